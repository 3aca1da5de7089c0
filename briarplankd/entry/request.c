/*
 * Dispatches requests, and decides what follows a refusal, a lost agent or a
 * passed deadline.
 */
#include <string.h>

#include "briarplankd/members_task.h"
#include "briarplankd/online.h"
#include "common/log.h"

#define PART "online"

/* Attempts of one request, the first included. */
#define MAX_ATTEMPTS 4
/* Time beyond the expected wait in which an agent must admit, in ms. */
#define ADMIT_SLACK_MS 500
/* Silence of a running attempt after which its agent is asked, in ms. */
#define SILENCE_MS 1000
/* Time between two questions to a silent agent, in ms. */
#define PROBE_INTERVAL_MS 250
/* Time after the deadline in which proof of not run may come, in ms. */
#define PROOF_WAIT_MS 200
/* Retry-After when no agent named one, in ms. */
#define RETRY_AFTER_MS 1000

static uint64_t now_ms(const struct online_request *request)
{
	return node_now_ms(request->online->super.node);
}

static void on_timer(uv_timer_t *timer);

struct online_request *online_request_create(struct online *online,
					     struct web_request *web)
{
	struct online_request *request = g_new0(struct online_request, 1);
	struct node *node = online->super.node;

	request->online = online;
	request->web = web;
	request->id = g_strdup_printf(
		"%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
		node->settings->name, node->incarnation, ++online->next_id);
	request->arrived_us = node_now_us();
	request->refused_by = g_ptr_array_new_with_free_func(g_free);
	uv_timer_init(&node->loop, &request->timer);
	request->timer.data = request;
	list_append(&online->requests, &request->link);
	g_hash_table_insert(online->by_id, request->id, request);
	return request;
}

static void on_closed(uv_handle_t *handle)
{
	struct online_request *request = handle->data;

	stream_destroy(request->stream);
	if (request->fields)
		g_ptr_array_free(request->fields, TRUE);
	g_ptr_array_free(request->refused_by, TRUE);
	g_free(request->id);
	g_free(request->service);
	g_free(request->path);
	g_free(request->caller);
	g_free(request->class);
	g_free(request->agent);
	g_free(request->reason);
	g_free(request);
}

void online_request_destroy(struct online_request *request)
{
	if (request->web) {
		web_on_close(request->web, NULL, NULL);
		web_on_taken(request->web, NULL, NULL);
	}
	request->web = NULL;
	list_remove(&request->link);
	g_hash_table_remove(request->online->by_id, request->id);
	uv_timer_stop(&request->timer);
	uv_close((uv_handle_t *)&request->timer, on_closed);
}

static bool has_refused(const struct online_request *request, const char *agent)
{
	return g_ptr_array_find_with_equal_func(request->refused_by, agent,
						g_str_equal, NULL);
}

static struct member *choose(struct online_request *request)
{
	struct node *node = request->online->super.node;
	struct member *best = NULL;
	struct list *pos;

	list_for_each (pos, members_all(node_members(node))) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->role != MEMBER_AGENT || !member_usable(member) ||
		    strcmp(member->service, request->service) != 0 ||
		    has_refused(request, member->name))
			continue;
		if (!best ||
		    member->load.expected_wait_us < best->load.expected_wait_us)
			best = member;
	}
	return best;
}

/* Ends a request that no byte of an answer was passed on for. */
static void finish(struct online_request *request, int status,
		   const char *title, const char *detail)
{
	uint32_t retry_after_ms = request->retry_after_ms;

	log_debug(PART, "%s: %s, %s (%s)", request->id,
		  outcome_statement_text(outcome_statement(&request->outcome)),
		  detail, title);
	online_http_problem(request, status,
			    retry_after_ms ? retry_after_ms : RETRY_AFTER_MS,
			    title, "%s", detail);
	online_request_destroy(request);
}

static void break_stream(struct online_request *request, const char *detail)
{
	struct web_request *web = request->web;

	outcome_ended(&request->outcome, false);
	log_info(PART, "%s: the answer is broken off: %s", request->id, detail);
	online_request_destroy(request);
	web_stream_end(web, false);
}

/* Ends a request after its last attempt, by what is known of it. */
static void give_up(struct online_request *request, const char *detail)
{
	switch (outcome_statement(&request->outcome)) {
	case OUTCOME_NOT_RUN:
		finish(request, 503, "Not run", detail);
		break;
	default:
		finish(request, 504, "Outcome unknown", detail);
	}
}

static bool send_dispatch(struct online_request *request)
{
	struct node *node = request->online->super.node;
	GPtrArray *fields = online_http_fields(request);
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Dispatch dispatch = BRIARPLANK__DISPATCH__INIT;
	enum bus_status status;
	size_t len;

	dispatch.request_id = request->id;
	dispatch.attempt = request->outcome.attempt;
	dispatch.agent_incarnation = request->outcome.incarnation;
	dispatch.service = request->service;
	dispatch.method = (char *)web_method(request->web);
	dispatch.path = request->path;
	dispatch.headers = (Briarplank__HeaderField **)fields->pdata;
	dispatch.n_headers = fields->len;
	dispatch.body.data = (uint8_t *)web_body(request->web, &len);
	dispatch.body.len = len;
	dispatch.idempotent = request->outcome.idempotent;
	dispatch.remaining_ms = request->deadline_ms - now_ms(request);
	dispatch.caller = request->caller;
	dispatch.credit_bytes = ONLINE_WINDOW_BYTES;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_DISPATCH;
	env.dispatch = &dispatch;
	status = bus_send(node->bus, request->agent, &env);
	g_ptr_array_free(fields, TRUE);
	return status == BUS_OK;
}

static void dispatch_to(struct online_request *request,
			const struct member *member)
{
	g_free(request->agent);
	request->agent = g_strdup(member->name);
	online_answer_reset(request);
	outcome_dispatch(&request->outcome, member->incarnation);
	request->probes = 0;
	request->probe_at_ms = now_ms(request) +
			       member->load.expected_wait_us / 1000 +
			       ADMIT_SLACK_MS;
	log_debug(PART, "%s: attempt %u goes to %s", request->id,
		  request->outcome.attempt, request->agent);
}

static void dispatch(struct online_request *request)
{
	struct member *member;

	request->dispatch_at_ms = 0;
	while ((member = choose(request)) != NULL) {
		dispatch_to(request, member);
		if (send_dispatch(request)) {
			online_request_arm(request);
			return;
		}
		outcome_proven_not_run(&request->outcome);
		g_ptr_array_add(request->refused_by, g_strdup(member->name));
	}
	give_up(request, "no backend server of the service takes it now");
}

void online_request_start(struct online_request *request)
{
	dispatch(request);
}

/* Goes on after an attempt that failed without a byte passed on. */
static void try_again(struct online_request *request, const char *detail)
{
	if (request->give_up_at_ms ||
	    !outcome_may_dispatch(&request->outcome) ||
	    request->outcome.attempt >= MAX_ATTEMPTS ||
	    now_ms(request) >= request->deadline_ms)
		give_up(request, detail);
	else
		dispatch(request);
}

static const char *const refusal_texts[] = {
	[BRIARPLANK__REFUSED__REASON__OVERLOADED] = "overloaded",
	[BRIARPLANK__REFUSED__REASON__DEADLINE] =
		"the wait would pass the deadline",
	[BRIARPLANK__REFUSED__REASON__LEAVING] = "the server is leaving",
	[BRIARPLANK__REFUSED__REASON__WRONG_INCARNATION] =
		"the agent started anew",
	[BRIARPLANK__REFUSED__REASON__NOT_READY] = "the server is not ready",
	[BRIARPLANK__REFUSED__REASON__CONNECT_FAILED] =
		"the server can't be reached",
	[BRIARPLANK__REFUSED__REASON__CANCELLED] = "cancelled in time",
	[BRIARPLANK__REFUSED__REASON__CALLER_LIMIT] =
		"the caller has reached its limit",
	[BRIARPLANK__REFUSED__REASON__WRONG_SERVICE] =
		"the server has another service",
};

void online_request_refused(struct online_request *request,
			    const Briarplank__Refused *refused)
{
	const char *text = "refused";

	if (!outcome_proven_not_run(&request->outcome))
		return;
	if (refused->reason < G_N_ELEMENTS(refusal_texts))
		text = refusal_texts[refused->reason];
	log_debug(PART, "%s: refused by %s: %s", request->id, request->agent,
		  text);
	request->retry_after_ms =
		MAX(request->retry_after_ms, refused->retry_after_ms);
	g_ptr_array_add(request->refused_by, g_strdup(request->agent));
	if (refused->reason == BRIARPLANK__REFUSED__REASON__CALLER_LIMIT)
		finish(request, 429, "Too many requests", text);
	else
		try_again(request, text);
}

static const char *const failure_texts[] = {
	[BRIARPLANK__ANSWER_FAILED__CAUSE__SERVER_LOST] = "the server was lost",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__SERVER_STALLED] =
		"the server stalled",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__DEADLINE] = "the deadline passed",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__CANCELLED] = "cancelled",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__BUFFER_OVERFLOW] =
		"the caller took the answer too slowly",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__AGENT_STOPPED] = "the agent stopped",
};

static void attempt_lost(struct online_request *request, const char *detail)
{
	if (request->outcome.state == OUTCOME_FIRST_BYTE) {
		break_stream(request, detail);
		return;
	}
	outcome_lost(&request->outcome);
	g_ptr_array_add(request->refused_by, g_strdup(request->agent));
	try_again(request, detail);
}

static void never_started(struct online_request *request)
{
	if (!outcome_proven_not_run(&request->outcome))
		return;
	g_ptr_array_add(request->refused_by, g_strdup(request->agent));
	try_again(request, "the server did not start it in time");
}

void online_request_cancelled(struct online_request *request,
			      const Briarplank__CancelResult *result)
{
	switch (result->state) {
	case BRIARPLANK__CANCEL_RESULT__STATE__NEVER_STARTED:
		never_started(request);
		break;
	case BRIARPLANK__CANCEL_RESULT__STATE__STOPPED:
		attempt_lost(request, "cancelled");
		break;
	default:
		online_request_heard(request);
		outcome_admitted(&request->outcome);
		online_answer_resume(request);
	}
}

void online_request_failed(struct online_request *request,
			   const Briarplank__AnswerFailed *failed)
{
	const char *text = "failed";

	if (failed->cause < G_N_ELEMENTS(failure_texts))
		text = failure_texts[failed->cause];
	if (!failed->started && outcome_proven_not_run(&request->outcome)) {
		g_ptr_array_add(request->refused_by, g_strdup(request->agent));
		try_again(request, text);
		return;
	}
	attempt_lost(request, text);
}

void online_request_agent_lost(struct online_request *request)
{
	attempt_lost(request, "the agent was lost");
}

void online_request_send_cancel(struct online_request *request,
				bool only_if_not_started)
{
	struct node *node = request->online->super.node;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Cancel cancel = BRIARPLANK__CANCEL__INIT;

	if (!request->outcome.attempt)
		return;
	cancel.request_id = request->id;
	cancel.attempt = request->outcome.attempt;
	cancel.only_if_not_started = only_if_not_started;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CANCEL;
	env.cancel = &cancel;
	bus_send(node->bus, request->agent, &env);
}

/* Proof may still come for an attempt that is not known to be admitted. */
static void deadline_passed(struct online_request *request)
{
	const char *text = "the deadline passed";

	if (request->outcome.state != OUTCOME_NOT_SENT)
		online_request_send_cancel(request, false);
	if (request->outcome.state == OUTCOME_FIRST_BYTE) {
		break_stream(request, text);
	} else if (request->outcome.state == OUTCOME_SENT) {
		request->give_up_at_ms = now_ms(request) + PROOF_WAIT_MS;
		online_request_arm(request);
	} else {
		give_up(request, text);
	}
}

static void probe(struct online_request *request)
{
	request->probes++;
	request->probe_at_ms = now_ms(request) + PROBE_INTERVAL_MS;
	if (request->outcome.state == OUTCOME_SENT)
		online_request_send_cancel(request, true);
	else
		online_answer_resume(request);
	online_request_arm(request);
}

static void on_timer(uv_timer_t *timer)
{
	struct online_request *request = timer->data;
	uint64_t now = now_ms(request);

	if (request->give_up_at_ms && now >= request->give_up_at_ms)
		give_up(request, "the deadline passed");
	else if (!request->give_up_at_ms && now >= request->deadline_ms)
		deadline_passed(request);
	else if (request->dispatch_at_ms && now >= request->dispatch_at_ms)
		dispatch(request);
	else if (request->probe_at_ms && now >= request->probe_at_ms)
		probe(request);
	else
		online_request_arm(request);
}

static uint64_t earlier(uint64_t a, uint64_t b)
{
	return b && b < a ? b : a;
}

void online_request_arm(struct online_request *request)
{
	uint64_t now = now_ms(request);
	uint64_t due = request->deadline_ms;

	if (request->give_up_at_ms)
		due = request->give_up_at_ms;
	due = earlier(due, request->dispatch_at_ms);
	due = earlier(due, request->probe_at_ms);
	uv_update_time(request->timer.loop);
	uv_timer_start(&request->timer, on_timer, due > now ? due - now : 0, 0);
}

void online_request_heard(struct online_request *request)
{
	request->probes = 0;
	request->probe_at_ms = now_ms(request) + SILENCE_MS;
}
