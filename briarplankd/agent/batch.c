/*
 * The agent's task that pulls batch items from the owners of ledger shards,
 * runs them through the gate and reports their outcomes.
 *
 * A grant is a lease. Only the owner's reply to a renewal extends it, counted
 * from the time at which the renewal was sent.
 */
#include <string.h>

#include <glib.h>

#include "batch.h"
#include "briarplankd/config_task.h"
#include "briarplankd/members_task.h"
#include "briarplankd/tasks.h"
#include "common/hash.h"
#include "common/log.h"

#define PART "batch"

#define TICK_MS 50
/* Delay before an outcome is sent again for the first time, in ms. */
#define RESEND_MIN_MS 500

static void outcome_free(Briarplank__ItemOutcome *outcome)
{
	if (outcome)
		briarplank__item_outcome__free_unpacked(outcome, NULL);
}

static void item_free(struct item *item)
{
	if (item->request)
		batch_request_cancel(item->request);
	if (item->outcome)
		item->batch->result_bytes -= item->outcome->body.len;
	outcome_free(item->outcome);
	briarplank__grant__free_unpacked(item->grant, NULL);
	list_remove(&item->link);
	g_free(item->owner);
	g_free(item->sent_to);
	g_free(item);
}

static bool item_matches(const struct item *item,
			 const Briarplank__GrantRef *ref)
{
	return item->grant->grant_id == ref->grant_id &&
	       item->grant->shard == ref->shard &&
	       item->grant->epoch == ref->epoch;
}

static struct item *item_find(struct batch *batch,
			      const Briarplank__GrantRef *ref)
{
	struct list *pos;

	list_for_each (pos, &batch->items) {
		struct item *item = list_entry(pos, struct item, link);

		if (item_matches(item, ref))
			return item;
	}
	return NULL;
}

static void item_end(struct item *item, Briarplank__ItemOutcome__Result result,
		     int status, const GString *body)
{
	Briarplank__ItemOutcome *outcome = g_malloc(sizeof(*outcome));

	briarplank__item_outcome__init(outcome);
	outcome->grant = g_malloc(sizeof(*outcome->grant));
	briarplank__grant_ref__init(outcome->grant);
	outcome->grant->shard = item->grant->shard;
	outcome->grant->epoch = item->grant->epoch;
	outcome->grant->grant_id = item->grant->grant_id;
	outcome->result = result;
	outcome->http_status = status;
	if (body && body->len) {
		outcome->body.data = g_memdup2(body->str, body->len);
		outcome->body.len = body->len;
	}
	item->request = NULL;
	item->outcome = outcome;
	item->resend_delay_ms = RESEND_MIN_MS;
	item->batch->result_bytes += outcome->body.len;
	counter_add(item->batch->ended, 1);
}

static Briarplank__ItemOutcome__Result outcome_result(
	enum batch_request_result result, int status)
{
	if (result == BATCH_REQUEST_NOT_RUN)
		return BRIARPLANK__ITEM_OUTCOME__RESULT__NOT_RUN;
	if (result == BATCH_REQUEST_LOST)
		return BRIARPLANK__ITEM_OUTCOME__RESULT__LOST;
	return status >= 200 && status < 300 ?
		       BRIARPLANK__ITEM_OUTCOME__RESULT__DONE :
		       BRIARPLANK__ITEM_OUTCOME__RESULT__FAILED;
}

static void on_request_end(void *ctx, enum batch_request_result result,
			   int status, const GString *body)
{
	struct item *item = ctx;

	item_end(item, outcome_result(result, status), status, body);
}

/*
 * Returns the id by which the server knows the call for a grant. Each grant of
 * an item gets a call of its own.
 */
static char *make_call_id(const Briarplank__Grant *grant)
{
	char hex[2 * HASH128_BYTES + 1];

	if (grant->job_id.len != HASH128_BYTES)
		return g_strdup_printf("item-%u-%" G_GUINT64_FORMAT,
				       grant->shard, grant->grant_id);
	hash_to_hex(grant->job_id.data, HASH128_BYTES, hex);
	return g_strdup_printf("%s-%u-%" G_GUINT64_FORMAT, hex, grant->item,
			       grant->grant_id);
}

static Briarplank__Grant *copy_grant(const Briarplank__Grant *grant)
{
	size_t len = briarplank__grant__get_packed_size(grant);
	uint8_t *bytes = g_malloc(len);
	Briarplank__Grant *copy;

	briarplank__grant__pack(grant, bytes);
	copy = briarplank__grant__unpack(NULL, len, bytes);
	g_free(bytes);
	return copy;
}

static void item_submit(struct item *item)
{
	const Briarplank__Grant *grant = item->grant;
	char *id = make_call_id(grant);
	char *path = g_strdup_printf("%s%s", *grant->path == '/' ? "" : "/",
				     grant->path);
	struct batch_request_options options = {
		.id = id,
		.method = *grant->method ? grant->method : "POST",
		.path = path,
		.body = grant->body.data,
		.body_len = grant->body.len,
		.idempotent = grant->idempotent,
		.on_end = on_request_end,
		.ctx = item,
	};

	item->request = batch_request_submit(item->batch->gate, &options);
	g_free(path);
	g_free(id);
}

static bool is_drained(const struct batch *batch)
{
	struct node *node = batch->task.node;

	return config_server_drained(node, node->settings->name);
}

static void item_create(struct batch *batch, const char *owner,
			const Briarplank__Grant *grant, uint64_t granted_us)
{
	struct item *item = g_new0(struct item, 1);

	item->batch = batch;
	item->grant = copy_grant(grant);
	item->owner = g_strdup(owner);
	item->lease_until_us = granted_us + (uint64_t)grant->lease_ms * 1000;
	list_append(&batch->items, &item->link);
	counter_add(batch->granted, 1);
	if (batch->stopping || is_drained(batch))
		item_end(item, BRIARPLANK__ITEM_OUTCOME__RESULT__NOT_RUN, 0,
			 NULL);
	else
		item_submit(item);
}

/* Cancels and frees the running items whose lease has expired. */
static void drop_expired_items(struct batch *batch)
{
	uint64_t now = node_now_us();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->items) {
		struct item *item = list_entry(pos, struct item, link);

		if (!item->request || now < item->lease_until_us)
			continue;
		log_info(PART,
			 "the lease of grant %" G_GUINT64_FORMAT
			 " expired, its request is cancelled",
			 item->grant->grant_id);
		counter_add(batch->lapsed, 1);
		item_free(item);
	}
}

static void on_thaw(void *ctx)
{
	drop_expired_items(ctx);
}

static void on_grants(void *ctx, const Briarplank__Envelope *env)
{
	struct batch *batch = ctx;
	const Briarplank__Grants *grants = env->grants;
	struct owner *owner = batch_get_owner(batch, env->sender);
	uint64_t pause = grants->retry_after_ms;
	size_t i;

	gate_detect_freeze(batch->gate);
	if (grants->pull_id == batch->pull_id)
		batch->pull_deadline_ms = 0;
	/*
	 * A pull id of 0 means that the owner announces items, so the next pull
	 * is not delayed.
	 */
	if (grants->pull_id && !pause && !grants->n_grants)
		pause = PULL_RETRY_MS;
	owner->pull_after_ms = batch_now_ms(batch) + pause;
	for (i = 0; i < grants->n_grants; i++) {
		const Briarplank__Grant *grant = grants->grants[i];
		Briarplank__GrantRef ref = BRIARPLANK__GRANT_REF__INIT;

		ref.shard = grant->shard;
		ref.epoch = grant->epoch;
		ref.grant_id = grant->grant_id;
		if (!item_find(batch, &ref))
			item_create(batch, env->sender, grant, node_now_us());
	}
	gate_schedule(batch->gate);
}

/*
 * Frees the items of grants whose outcome is recorded durably or that are no
 * longer valid.
 */
static void drop_items(struct batch *batch, Briarplank__GrantRef **refs,
		       size_t nr)
{
	GPtrArray *found = g_ptr_array_new();
	size_t i;

	for (i = 0; i < nr; i++) {
		struct item *item = item_find(batch, refs[i]);

		if (item && !g_ptr_array_find(found, item, NULL))
			g_ptr_array_add(found, item);
	}
	for (i = 0; i < found->len; i++)
		item_free(found->pdata[i]);
	g_ptr_array_free(found, TRUE);
}

static bool is_listed(const struct item *item, Briarplank__GrantRef **refs,
		      size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		if (refs[i]->grant_id == item->grant->grant_id &&
		    refs[i]->shard == item->grant->shard)
			return true;
	}
	return false;
}

static void extend_leases(struct batch *batch, const struct owner *owner,
			  const Briarplank__RenewResult *result)
{
	uint64_t until =
		owner->renew_sent_us + (uint64_t)result->lease_ms * 1000;
	struct list *pos;

	list_for_each (pos, &batch->items) {
		struct item *item = list_entry(pos, struct item, link);

		if (!strcmp(item->owner, owner->name) &&
		    !is_listed(item, result->not_owned, result->n_not_owned))
			item->lease_until_us = MAX(item->lease_until_us, until);
	}
}

/*
 * Assigns items to the new owner of their shard. The new owner receives the
 * renewals from now on, and may take over the grant.
 */
static void update_item_owners(struct batch *batch)
{
	struct list *pos;

	list_for_each (pos, &batch->items) {
		struct item *item = list_entry(pos, struct item, link);
		const char *name =
			node_shard_owner(batch->task.node, item->grant->shard);
		struct owner *owner;

		if (!name || !strcmp(name, item->owner))
			continue;
		g_free(item->owner);
		item->owner = g_strdup(name);
		owner = batch_get_owner(batch, name);
		owner->renew_sent_us = 0;
		owner->renew_after_ms = 0;
	}
}

static void on_renew_result(void *ctx, const Briarplank__Envelope *env)
{
	struct batch *batch = ctx;
	const Briarplank__RenewResult *result = env->renew_result;
	struct owner *owner = batch_get_owner(batch, env->sender);

	gate_detect_freeze(batch->gate);
	counter_add(batch->voided, result->n_revoked);
	drop_items(batch, result->revoked, result->n_revoked);
	if (owner->renew_sent_us && result->lease_ms)
		extend_leases(batch, owner, result);
	owner->renew_sent_us = 0;
	gate_schedule(batch->gate);
}

static void on_completions_ack(void *ctx, const Briarplank__Envelope *env)
{
	struct batch *batch = ctx;
	const Briarplank__CompletionsAck *ack = env->completions_ack;

	gate_detect_freeze(batch->gate);
	counter_add(batch->voided, ack->n_void_grants);
	drop_items(batch, ack->durable, ack->n_durable);
	drop_items(batch, ack->void_grants, ack->n_void_grants);
}

static void on_timer(uv_timer_t *timer)
{
	struct batch *batch = timer->data;

	gate_detect_freeze(batch->gate);
	drop_expired_items(batch);
	batch_update_owners(batch);
	update_item_owners(batch);
	batch_renew_leases(batch);
	batch_send_outcomes(batch);
	batch_pull(batch);
}

static bool batch_start(struct task *task)
{
	struct batch *batch = list_entry(task, struct batch, task);
	struct node *node = task->node;
	struct metrics *metrics = node->metrics;

	batch->gate = gate_of(node);
	batch->gate->on_thaw = on_thaw;
	batch->gate->thaw_ctx = batch;
	batch->granted =
		metrics_counter(metrics, "briarplank_batch_granted_total", "");
	batch->ended =
		metrics_counter(metrics, "briarplank_batch_ended_total", "");
	batch->voided =
		metrics_counter(metrics, "briarplank_batch_void_total", "");
	batch->lapsed =
		metrics_counter(metrics, "briarplank_batch_lapsed_total", "");
	bus_set_handler(node->bus, BRIARPLANK__ENVELOPE__BODY_GRANTS, on_grants,
			batch);
	bus_set_handler(node->bus, BRIARPLANK__ENVELOPE__BODY_RENEW_RESULT,
			on_renew_result, batch);
	bus_set_handler(node->bus, BRIARPLANK__ENVELOPE__BODY_COMPLETIONS_ACK,
			on_completions_ack, batch);
	uv_timer_init(&node->loop, &batch->timer);
	batch->timer_open = true;
	batch->timer.data = batch;
	uv_timer_start(&batch->timer, on_timer, TICK_MS, TICK_MS);
	return true;
}

/*
 * Ends the items that were never sent to the server as not run, and sends these
 * outcomes to their owners.
 */
static void return_unsent_items(struct batch *batch)
{
	struct list *pos;

	list_for_each (pos, &batch->items) {
		struct item *item = list_entry(pos, struct item, link);

		if (item->request && batch_request_withdraw(item->request))
			item_end(item,
				 BRIARPLANK__ITEM_OUTCOME__RESULT__NOT_RUN, 0,
				 NULL);
	}
	batch_send_outcomes(batch);
}

static void batch_event(struct task *task, const struct node_event *event)
{
	struct batch *batch = list_entry(task, struct batch, task);

	if (event->kind == NODE_CONFIG_CHANGED && is_drained(batch))
		return_unsent_items(batch);
}

static void batch_stop(struct task *task)
{
	struct batch *batch = list_entry(task, struct batch, task);

	batch->stopping = true;
	batch->stop_at_ms =
		batch_now_ms(batch) + task->node->settings->stop_limit_ms;
	return_unsent_items(batch);
}

static bool batch_stopped(struct task *task)
{
	struct batch *batch = list_entry(task, struct batch, task);

	return list_empty(&batch->items) ||
	       batch_now_ms(batch) >= batch->stop_at_ms;
}

static void batch_destroy(struct task *task)
{
	struct batch *batch = list_entry(task, struct batch, task);
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->items)
		item_free(list_entry(pos, struct item, link));
	list_for_each_safe (pos, tmp, &batch->owners)
		batch_owner_free(list_entry(pos, struct owner, link));
	if (batch->timer_open)
		uv_close((uv_handle_t *)&batch->timer, NULL);
	uv_run(&task->node->loop, UV_RUN_NOWAIT);
	g_free(batch);
}

static const struct task_ops batch_ops = {
	.name = "batch",
	.start = batch_start,
	.event = batch_event,
	.stop = batch_stop,
	.stopped = batch_stopped,
	.destroy = batch_destroy,
};

struct task *batch_task_create(void)
{
	struct batch *batch = g_new0(struct batch, 1);

	batch->task.ops = &batch_ops;
	list_init(&batch->items);
	list_init(&batch->owners);
	return &batch->task;
}
