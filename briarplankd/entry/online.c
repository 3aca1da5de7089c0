/*
 * Online requests at an entry: accepts them from callers and passes messages
 * from agents to the request that they belong to.
 */
#include <string.h>

#include "briarplankd/members_task.h"
#include "briarplankd/online.h"
#include "briarplankd/tasks.h"
#include "common/log.h"

#define PART "online"
#define SERVICES_PREFIX "/v1/services/"
/*
 * Interval at which subsets of agents are recomputed, the state of idle callers
 * is dropped, idle agents are no longer watched and releases of idempotency
 * keys are sent again, in ms.
 */
#define SWEEP_INTERVAL_MS 1000

static void on_caller_disconnected(void *ctx, bool sent)
{
	struct online_request *request = ctx;

	(void)sent;
	log_debug(PART, "%s: the caller left", request->id);
	request->web = NULL;
	if (request->outcome.state != OUTCOME_NOT_SENT)
		online_dispatch_cancel(request, false);
	online_request_destroy(request);
}

/*
 * A request that has a key and isn't idempotent must run at most once across
 * all entries: it claims the key before it is dispatched.
 */
static void start_request(struct online_request *request)
{
	const char *key = web_header(request->web, "idempotency-key");

	if (key && *key && !request->outcome.idempotent)
		online_claim_begin(request, key);
	else
		online_dispatch(request);
}

static void on_web_request(void *ctx, struct web_request *web)
{
	struct online *online = ctx;
	struct online_request *request = online_http_accept(online, web);

	if (!request)
		return;
	limiter_started(online->limiter, request->service, request->caller);
	request->limiter_counted = true;
	web_on_close(web, on_caller_disconnected, request);
	if (online->super.node->stopping)
		online_request_finish(request, 503, "Not run",
				      "this entry is stopping");
	else
		start_request(request);
}

/* Returns the request whose current attempt a message is about, or NULL. */
static struct online_request *find_by_attempt(struct online *online,
					      const Briarplank__Envelope *env,
					      const char *id, uint32_t attempt)
{
	struct online_request *request = g_hash_table_lookup(online->by_id, id);

	if (!request || !request->agent ||
	    strcmp(request->agent, env->sender) != 0 ||
	    !outcome_accepts(&request->outcome, attempt, env->incarnation))
		return NULL;
	return request;
}

static void on_refused(void *ctx, const Briarplank__Envelope *env)
{
	struct online_request *request = find_by_attempt(
		ctx, env, env->refused->request_id, env->refused->attempt);

	if (request)
		online_request_refused(request, env->refused);
}

static void on_admitted(void *ctx, const Briarplank__Envelope *env)
{
	struct online_request *request = find_by_attempt(
		ctx, env, env->admitted->request_id, env->admitted->attempt);

	if (!request)
		return;
	online_request_reset_silence_timeout(request);
	outcome_admitted(&request->outcome);
}

static void on_head(void *ctx, const Briarplank__Envelope *env)
{
	struct online_request *request =
		find_by_attempt(ctx, env, env->answer_head->request_id,
				env->answer_head->attempt);

	if (!request)
		return;
	online_request_reset_silence_timeout(request);
	online_answer_receive_head(request, env->answer_head);
}

static void on_chunk(void *ctx, const Briarplank__Envelope *env)
{
	struct online_request *request =
		find_by_attempt(ctx, env, env->answer_chunk->request_id,
				env->answer_chunk->attempt);

	if (!request)
		return;
	online_request_reset_silence_timeout(request);
	online_answer_receive_chunk(request, env->answer_chunk);
}

static void on_failed(void *ctx, const Briarplank__Envelope *env)
{
	struct online_request *request =
		find_by_attempt(ctx, env, env->answer_failed->request_id,
				env->answer_failed->attempt);

	if (request)
		online_request_failed(request, env->answer_failed);
}

static void on_cancel_result(void *ctx, const Briarplank__Envelope *env)
{
	struct online_request *request =
		find_by_attempt(ctx, env, env->cancel_result->request_id,
				env->cancel_result->attempt);

	if (request)
		online_request_cancelled(request, env->cancel_result);
}

static void on_sweep(uv_timer_t *timer)
{
	struct online *online = timer->data;

	limiter_sweep(online->limiter, node_now_us());
	online_routing_unwatch_idle(online);
	online_claim_retry_releases(online);
	online_routing_members_changed(online);
}

static void register_handlers(struct online *online)
{
	struct bus *bus = online->super.node->bus;

	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_REFUSED, on_refused,
			online);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_ADMITTED, on_admitted,
			online);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_ANSWER_HEAD, on_head,
			online);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_ANSWER_CHUNK, on_chunk,
			online);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_ANSWER_FAILED,
			on_failed, online);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_CANCEL_RESULT,
			on_cancel_result, online);
	online_claim_init(online);
}

static bool online_start(struct task *task)
{
	struct online *online = (struct online *)task;

	register_handlers(online);
	online->random = g_rand_new_with_seed((guint32)task->node->incarnation);
	online->limiter = limiter_create();
	retry_init(&online->retry, &retry_defaults);
	link_budget_init(&online->link, 0, 0, node_now_us());
	online_routing_members_changed(online);
	uv_timer_init(&task->node->loop, &online->sweep_timer);
	online->sweep_timer.data = online;
	uv_timer_start(&online->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
	web_route(task->node->web, SERVICES_PREFIX, on_web_request, online);
	return true;
}

static bool online_stopped(struct task *task)
{
	return list_empty(&((struct online *)task)->requests);
}

/*
 * Fails requests whose agent is down or has restarted. If the agent is up with
 * the same incarnation, asks it to resume their answers.
 */
static void on_peer_changed(struct online *online, const char *peer, bool down)
{
	const struct member *member =
		members_find(node_members(online->super.node), peer);
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &online->requests) {
		struct online_request *request =
			list_entry(pos, struct online_request, link);

		if (!request->agent || strcmp(request->agent, peer) != 0 ||
		    request->outcome.state == OUTCOME_NOT_SENT)
			continue;
		if (down || !member ||
		    member->incarnation != request->outcome.incarnation)
			online_request_agent_lost(request);
		else if (request->outcome.state != OUTCOME_SENT)
			online_answer_resume(request);
	}
}

static void online_event(struct task *task, const struct node_event *event)
{
	struct online *online = (struct online *)task;

	if (event->kind != NODE_CONFIG_CHANGED)
		online_routing_members_changed(online);
	if (event->kind == NODE_PEER_DOWN || event->kind == NODE_PEER_UP)
		on_peer_changed(online, event->peer,
				event->kind == NODE_PEER_DOWN);
}

static void destroy_started(struct online *online)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &online->requests)
		online_request_destroy(
			list_entry(pos, struct online_request, link));
	uv_close((uv_handle_t *)&online->sweep_timer, NULL);
	uv_run(&online->super.node->loop, UV_RUN_NOWAIT);
	limiter_destroy(online->limiter);
	g_rand_free(online->random);
	g_hash_table_destroy(online->claims);
	g_hash_table_destroy(online->releases);
}

static void online_destroy(struct task *task)
{
	struct online *online = (struct online *)task;

	if (online->limiter)
		destroy_started(online);
	online_view_clear(online);
	online_routing_clear(online);
	g_hash_table_destroy(online->by_id);
	g_free(online);
}

static const struct task_ops online_ops = {
	.name = "online",
	.start = online_start,
	.stopped = online_stopped,
	.event = online_event,
	.destroy = online_destroy,
};

struct task *online_task_create(void)
{
	struct online *online = g_new0(struct online, 1);

	online->super.ops = &online_ops;
	online->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&online->requests);
	return &online->super;
}
