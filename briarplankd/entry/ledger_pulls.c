/*
 * Handles pulls: grants items to agents and reads their bodies from the log.
 */
#include <string.h>

#include "briarplankd/entry/ledger_task.h"
#include "common/hash.h"
#include "common/log.h"

#define PART "ledger"

/* Maximum number of items in the answer to a pull. */
#define PULL_ITEMS_MAX 64
/* Maximum size of all bodies in the answer to a pull, in bytes. */
#define PULL_BYTES_MAX (4 << 20)
/* Bounds of the wait before an agent that got nothing pulls again, in ms. */
#define PULL_WAIT_MIN_MS 500
#define PULL_WAIT_MAX_MS 30000
/* Limit on the pulls per second of all idle agents together. */
#define IDLE_PULLS_PER_S 20
/* Maximum number of agents of a service that are notified per tick. */
#define WAKES_PER_TICK 16
/* Time for which an agent is reserved for an item that runs alone, in ms. */
#define RESERVE_MS 30000
/* Age of a pull above which its answer contains no grants, in ms. */
#define PULL_TIMEOUT_MS 1500

/* A pull that waits for item bodies to be read and intents to be durable. */
struct pull {
	struct list link;
	struct ledger_task *task;
	char *agent;
	char *service;
	uint64_t id;
	uint64_t received_ms;
	size_t max_bytes;
	size_t bytes;
	GArray *grants;
	/*
	 * Number of reads of bodies and appends of intents that have not
	 * completed.
	 */
	unsigned pending;
};

/* An item granted for a pull. */
struct pull_grant {
	struct pull *pull;
	uint32_t shard;
	uint64_t epoch;
	struct ledger_granted_item out;
	uint8_t job_id[HASH128_BYTES];
	char *path;
	uint8_t *body;
	size_t body_len;
	/*
	 * The item's body was read and fits into the answer, so the grant may
	 * be sent.
	 */
	bool ready;
};

static void fill_grant(const struct pull_grant *grant, Briarplank__Grant *out)
{
	briarplank__grant__init(out);
	out->shard = grant->shard;
	out->epoch = grant->epoch;
	out->grant_id = grant->out.grant_id;
	out->job_id.data = (uint8_t *)grant->job_id;
	out->job_id.len = HASH128_BYTES;
	out->item = grant->out.item;
	out->attempt = grant->out.attempt;
	out->method = "POST";
	out->path = grant->path;
	out->body.data = grant->body;
	out->body.len = grant->body_len;
	out->idempotent = grant->out.idempotent;
	out->lease_ms = LEDGER_LEASE_MS;
	out->alone = grant->out.alone;
}

static void send_grants(struct pull *pull)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Grants message = BRIARPLANK__GRANTS__INIT;
	Briarplank__Grant *bodies =
		g_new0(Briarplank__Grant, pull->grants->len);
	Briarplank__Grant **grants =
		g_new0(Briarplank__Grant *, pull->grants->len);
	guint i;

	for (i = 0; i < pull->grants->len; i++) {
		const struct pull_grant *grant =
			&g_array_index(pull->grants, struct pull_grant, i);

		if (!grant->ready)
			continue;
		fill_grant(grant, &bodies[i]);
		grants[message.n_grants++] = &bodies[i];
	}
	message.pull_id = pull->id;
	message.service = pull->service;
	message.grants = grants;
	if (message.n_grants)
		pull_pace_served(pull->task->pace, pull->agent);
	else
		message.retry_after_ms = pull_pace_empty(
			pull->task->pace, pull->agent, pull->service,
			node_now_ms(pull->task->super.node));
	counter_add(pull->task->granted, message.n_grants);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_GRANTS;
	env.grants = &message;
	bus_send(pull->task->super.node->bus, pull->agent, &env);
	g_free(bodies);
	g_free(grants);
}

/* Tells whether a grant is still in force when it is to be sent. */
static bool grant_in_force(const struct pull_grant *grant)
{
	struct ledger *ledger =
		shard_ledger(grant->pull->task->shards[grant->shard]);

	/*
	 * The grant stays valid while the shard is handed over, as the next
	 * owner adopts it.
	 */
	return ledger && ledger_owned(ledger) &&
	       ledger_grant_is_current(ledger, grant->out.grant_id,
				       grant->epoch);
}

/* Makes an item whose grant can't be sent available again. */
static void return_item(struct pull_grant *grant)
{
	struct ledger_task *task = grant->pull->task;
	struct ledger *ledger = shard_ledger(task->shards[grant->shard]);

	ledger_grant_withdraw(ledger, grant->out.grant_id);
	shard_schedule_append(task->shards[grant->shard]);
}

static void pull_free(struct pull *pull)
{
	guint i;

	for (i = 0; i < pull->grants->len; i++) {
		struct pull_grant *grant =
			&g_array_index(pull->grants, struct pull_grant, i);

		g_free(grant->path);
		g_free(grant->body);
	}
	g_array_free(pull->grants, TRUE);
	list_remove(&pull->link);
	g_free(pull->agent);
	g_free(pull->service);
	g_free(pull);
}

/* Tells whether the agent has given up the pull; grants are then not sent. */
static bool pull_expired(const struct pull *pull)
{
	uint64_t now = node_now_ms(pull->task->super.node);

	return now > pull->received_ms + PULL_TIMEOUT_MS;
}

/*
 * Counts a completed read of a body or append of an intent. After the last one,
 * sends the grants that are valid.
 */
static void pull_step_done(struct pull *pull)
{
	bool expired = pull_expired(pull);
	guint i;

	if (--pull->pending)
		return;
	for (i = 0; i < pull->grants->len; i++) {
		struct pull_grant *grant =
			&g_array_index(pull->grants, struct pull_grant, i);

		if (expired || !grant_in_force(grant))
			grant->ready = false;
		if (!grant->ready && grant_in_force(grant))
			return_item(grant);
	}
	send_grants(pull);
	pull_free(pull);
}

static const Briarplank__JobItem *chunk_item(
	const Briarplank__ShardAppend *append, uint32_t index)
{
	if (!append || !append->chunk || index >= append->chunk->n_items)
		return NULL;
	return append->chunk->items[index];
}

static void on_chunk(void *ctx, enum record_cache_status status,
		     const Briarplank__ShardAppend *append)
{
	struct pull_grant *grant = ctx;
	struct pull *pull = grant->pull;
	const Briarplank__JobItem *item;

	item = chunk_item(append, grant->out.body_index);
	if (status == RECORD_CACHE_GONE)
		log_error(PART,
			  "shard %u: the body of item %u is not in the log",
			  grant->shard, grant->out.item);
	if (item &&
	    (!pull->bytes || pull->bytes + item->body.len <= pull->max_bytes)) {
		grant->body = g_memdup2(item->body.data, item->body.len);
		grant->body_len = item->body.len;
		grant->ready = true;
		pull->bytes += item->body.len;
	}
	pull_step_done(pull);
}

static void on_intent(void *ctx, bool durable)
{
	struct pull_grant *grant = ctx;

	if (!durable)
		grant->ready = false;
	pull_step_done(grant->pull);
}

/*
 * Adds a grant to the pull. This may reallocate the array of grants, so it must
 * not be called after pull_fetch.
 */
static struct pull_grant *pull_add_grant(struct pull *pull)
{
	struct pull_grant *grant;

	g_array_set_size(pull->grants, pull->grants->len + 1);
	grant = &g_array_index(pull->grants, struct pull_grant,
			       pull->grants->len - 1);
	grant->pull = pull;
	return grant;
}

/* Grants one item; returns false if none can be granted. */
static bool pull_grant_item(struct pull *pull, struct ledger **ledgers,
			    uint32_t nr, bool alone)
{
	struct ledger_task *task = pull->task;
	uint64_t now = node_now_ms(task->super.node);
	uint64_t wall = node_wall_ms();
	struct ledger_granted_item out;
	struct pull_grant *grant;
	struct ledger_job *job;

	job = ledger_schedule_choose(task->schedule, ledgers, nr, pull->service,
				     alone, now, wall);
	if (!job || !ledger_grant(job, pull->agent, alone, now, &out))
		return false;
	ledger_schedule_charge(task->schedule, job, wall);
	grant = pull_add_grant(pull);
	grant->out = out;
	grant->shard = ledger_job_shard(job);
	grant->epoch = ledger_epoch(shard_ledger(task->shards[grant->shard]));
	grant->path = g_strdup(out.path);
	memcpy(grant->job_id, out.job_id, HASH128_BYTES);
	return true;
}

/*
 * Reads the bodies of the granted items and waits until the intents to grant
 * them are durable. No grant may be added to the pull after this.
 */
static void pull_fetch(struct pull *pull)
{
	struct ledger_task *task = pull->task;
	guint i;

	pull->pending = 1;
	for (i = 0; i < pull->grants->len; i++) {
		struct pull_grant *grant =
			&g_array_index(pull->grants, struct pull_grant, i);

		pull->pending++;
		if (grant->out.required_durable) {
			pull->pending++;
			ledger_task_wait_durable(task, grant->shard,
						 grant->out.required_durable,
						 on_intent, grant);
			shard_schedule_append(task->shards[grant->shard]);
		}
		record_cache_get(task->cache, grant->shard,
				 grant->out.body_offset, on_chunk, grant);
	}
	pull_step_done(pull);
}

/* Collects the ledgers that may grant items now; returns their number. */
static uint32_t granting_ledgers(struct ledger_task *task,
				 struct ledger **ledgers)
{
	uint32_t nr = 0;
	uint32_t i;

	for (i = 0; i < task->shards_nr; i++) {
		struct ledger *ledger = ledger_task_owned(task, i);

		if (ledger && !shard_unverified(task->shards[i]))
			ledgers[nr++] = ledger;
	}
	return nr;
}

/* Counts an agent's grants; sets *alone if one of them must run alone. */
static uint32_t agent_grants(struct ledger **ledgers, uint32_t nr,
			     const char *agent, bool *alone)
{
	uint32_t held_nr = 0;
	uint32_t i;

	*alone = false;
	for (i = 0; i < nr; i++)
		held_nr += ledger_agent_grants(ledgers[i], agent, alone);
	return held_nr;
}

/*
 * Grants an item that must run alone, because it may crash servers, to an agent
 * that holds no other batch items. If the agent holds some and no agent is
 * reserved, reserves this one: it gets no more items until it holds none.
 * Returns false if the agent must not be granted further items now.
 */
static bool pull_alone(struct pull *pull, struct ledger **ledgers, uint32_t nr)
{
	struct ledger_task *task = pull->task;
	uint64_t now = node_now_ms(task->super.node);
	bool alone;
	uint32_t held_nr = agent_grants(ledgers, nr, pull->agent, &alone);

	if (alone)
		return false;
	if (!ledger_schedule_choose(task->schedule, ledgers, nr, pull->service,
				    true, now, node_wall_ms()))
		return true;
	if (!held_nr) {
		g_clear_pointer(&task->reserved_agent, g_free);
		return !pull_grant_item(pull, ledgers, nr, true);
	}
	if (!task->reserved_agent || now > task->reserved_until_ms) {
		g_free(task->reserved_agent);
		task->reserved_agent = g_strdup(pull->agent);
		task->reserved_until_ms = now + RESERVE_MS;
	}
	return strcmp(task->reserved_agent, pull->agent) != 0;
}

static void on_pull(void *ctx, const Briarplank__Envelope *env)
{
	struct ledger_task *task = ctx;
	const Briarplank__Pull *message = env->pull;
	struct ledger **ledgers = g_new(struct ledger *, task->shards_nr);
	uint32_t nr = granting_ledgers(task, ledgers);
	uint32_t max = MIN(message->max_items, PULL_ITEMS_MAX);
	struct pull *pull = g_new0(struct pull, 1);

	pull->task = task;
	pull->agent = g_strdup(env->sender);
	pull->service = g_strdup(message->service);
	pull->id = message->pull_id;
	pull->received_ms = node_now_ms(task->super.node);
	pull->max_bytes = message->max_bytes ?
				  MIN(message->max_bytes, PULL_BYTES_MAX) :
				  PULL_BYTES_MAX;
	pull->grants = g_array_new(FALSE, TRUE, sizeof(struct pull_grant));
	list_append(&task->pulls, &pull->link);
	if (!task->super.node->stopping && pull_alone(pull, ledgers, nr)) {
		while (pull->grants->len < max &&
		       pull_grant_item(pull, ledgers, nr, false))
			;
	}
	g_free(ledgers);
	pull_fetch(pull);
}

/*
 * Sends an agent a Grants message without a pull id and without grants, which
 * makes the agent pull.
 */
static void wake_agent(struct ledger_task *task, const char *service,
		       const char *agent)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Grants message = BRIARPLANK__GRANTS__INIT;

	message.service = (char *)service;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_GRANTS;
	env.grants = &message;
	bus_send(task->super.node->bus, agent, &env);
}

static uint32_t count_grantable_items(struct ledger_task *task,
				      const char *service)
{
	struct ledger **ledgers = g_new(struct ledger *, task->shards_nr);
	uint32_t ledgers_nr = granting_ledgers(task, ledgers);
	uint32_t nr = ledger_schedule_available_nr(
		ledgers, ledgers_nr, service, node_now_ms(task->super.node));

	g_free(ledgers);
	return nr;
}

/* Notifies idle agents of a service, at most one per grantable item. */
static void wake_service(void *ctx, const char *service)
{
	struct ledger_task *task = ctx;
	uint32_t max_nr =
		MIN(count_grantable_items(task, service), WAKES_PER_TICK);
	uint32_t woken_nr;
	char *agent;

	for (woken_nr = 0; woken_nr < max_nr; woken_nr++) {
		agent = pull_pace_wake(task->pace, service);
		if (!agent)
			return;
		wake_agent(task, service, agent);
		g_free(agent);
	}
}

void ledger_pulls_tick(struct ledger_task *task)
{
	pull_pace_expire(task->pace, node_now_ms(task->super.node));
	if (!task->super.node->stopping)
		pull_pace_each_service(task->pace, wake_service, task);
}

void ledger_pulls_start(struct ledger_task *task)
{
	struct pull_pace_options options = {
		.min_wait_ms = PULL_WAIT_MIN_MS,
		.max_wait_ms = PULL_WAIT_MAX_MS,
		.pulls_per_s = IDLE_PULLS_PER_S,
	};

	task->pace = pull_pace_create(&options);
	bus_set_handler(task->super.node->bus, BRIARPLANK__ENVELOPE__BODY_PULL,
			on_pull, task);
}
