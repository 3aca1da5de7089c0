/*
 * The ledger task of an entry: claims shards of the job ledger that have no
 * live owner, does their periodic work and hands shards over to other entries.
 */
#include <string.h>

#include "briarplankd/config_task.h"
#include "briarplankd/entry/ledger_task.h"
#include "briarplankd/members_task.h"
#include "briarplankd/tasks.h"
#include "common/log.h"
#include "core/shard_claims.h"

#define PART "ledger"

#define TICK_MS 100
/* Wait before hand-overs after the number of entries has changed, in ms. */
#define REBALANCE_DELAY_MS 10000
/* Minimum time between two hand-overs, in ms. */
#define REBALANCE_INTERVAL_MS 3000
/* Limit on the appends per second of all owners together. */
#define FLEET_APPENDS_PER_S 240
#define APPEND_INTERVAL_MIN_MS 50
/* Size of the cache of appends read from the log, in bytes. */
#define CACHE_BYTES (32 << 20)
/* Scheduling weight of a caller with a late job, in percent. */
#define LATE_WEIGHT_PERCENT 300
/* Slack below which a job counts as about to be late, in ms. */
#define LATE_SLACK_MS (30 * 60 * 1000)

/*
 * A callback that is called once the first queued_nr records of a shard are
 * durable.
 */
struct waiter {
	struct list link;
	uint64_t queued_nr;
	void (*fn)(void *ctx, bool durable);
	void *ctx;
};

void ledger_task_wait_durable(struct ledger_task *task, uint32_t shard,
			      uint64_t queued_nr,
			      void (*fn)(void *ctx, bool durable), void *ctx)
{
	struct waiter *waiter = g_new0(struct waiter, 1);

	waiter->queued_nr = queued_nr;
	waiter->fn = fn;
	waiter->ctx = ctx;
	list_append(&task->waiters[shard], &waiter->link);
}

/*
 * Calls the callbacks whose records are durable, or all callbacks if this node
 * has lost the shard.
 */
static void notify_waiters(struct ledger_task *task, uint32_t shard, bool lost)
{
	struct ledger *ledger = shard_ledger(task->shards[shard]);
	uint64_t durable = ledger ? ledger_durable(ledger) : 0;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &task->waiters[shard]) {
		struct waiter *waiter = list_entry(pos, struct waiter, link);

		if (!lost && waiter->queued_nr > durable)
			continue;
		list_remove(pos);
		waiter->fn(waiter->ctx, !lost);
		g_free(waiter);
	}
}

struct ledger *ledger_task_owned(struct ledger_task *task, uint32_t shard)
{
	struct ledger *ledger;

	if (shard >= task->shards_nr ||
	    shard_state(task->shards[shard]) != SHARD_OWNED)
		return NULL;
	/*
	 * Another node's claim may have been applied already while the rest of
	 * the stream is still being read.
	 */
	ledger = shard_ledger(task->shards[shard]);
	return ledger_owned(ledger) ? ledger : NULL;
}

static void publish_owned_shards(struct ledger_task *task)
{
	uint32_t *shards = g_new(uint32_t, task->shards_nr);
	uint64_t *epochs = g_new(uint64_t, task->shards_nr);
	uint32_t nr = 0;
	uint32_t i;

	for (i = 0; i < task->shards_nr; i++) {
		struct ledger *ledger = ledger_task_owned(task, i);

		if (!ledger)
			continue;
		shards[nr] = i;
		epochs[nr++] = ledger_epoch(ledger);
	}
	node_set_owned_shards(task->super.node, shards, epochs, nr);
	counter_set(task->shards_owned, nr);
	g_free(shards);
	g_free(epochs);
}

/* Reports the owner that a shard's stream names, or "" after a release. */
static void publish_owner(struct ledger_task *task, uint32_t shard)
{
	struct ledger *ledger = shard_ledger(task->shards[shard]);

	if (ledger && ledger_epoch(ledger))
		node_note_shard_owner(task->super.node, shard,
				      ledger_epoch(ledger),
				      ledger_owner(ledger));
}

static void on_changed(void *ctx, struct shard *shard)
{
	struct ledger_task *task = ctx;
	uint32_t index = shard_index(shard);

	if (shard_state(shard) == SHARD_OWNED)
		task->ownerless_since_ms[index] = 0;
	if (shard_state(shard) != SHARD_OWNED &&
	    shard_state(shard) != SHARD_RELEASING)
		notify_waiters(task, index, true);
	publish_owner(task, index);
	publish_owned_shards(task);
}

static void on_advanced(void *ctx, struct shard *shard)
{
	struct ledger_task *task = ctx;

	notify_waiters(task, shard_index(shard), false);
	ledger_agents_send_revoked(task, shard_index(shard));
	ledger_calls_retry(task);
}

static const struct member *find_member(struct ledger_task *task,
					const char *name)
{
	return members_find(node_members(task->super.node), name);
}

/* Returns whether an owner is up with the incarnation in its claim. */
static bool owner_up(void *ctx, const char *owner, uint64_t incarnation)
{
	struct ledger_task *task = ctx;
	const struct member *member = find_member(task, owner);

	return member && member->state == MEMBER_UP &&
	       member->incarnation == incarnation;
}

static enum shard_owner_state owner_state(struct ledger_task *task,
					  uint32_t shard)
{
	const char *owner = node_shard_owner(task->super.node, shard);
	const struct member *member;

	if (!owner)
		return SHARD_OWNER_NONE;
	if (!strcmp(owner, task->super.node->settings->name))
		return SHARD_OWNER_UP;
	member = find_member(task, owner);
	if (!member || member->state == MEMBER_DOWN)
		return SHARD_OWNER_DOWN;
	return member->leaving ? SHARD_OWNER_RELEASED : SHARD_OWNER_UP;
}

static GPtrArray *live_entries(struct ledger_task *task)
{
	GPtrArray *names = g_ptr_array_new();
	struct list *pos;

	list_for_each (pos, members_all(node_members(task->super.node))) {
		const struct member *member =
			list_entry(pos, struct member, link);

		if (member->role == MEMBER_ENTRY &&
		    member->state == MEMBER_UP && !member->leaving)
			g_ptr_array_add(names, member->name);
	}
	return names;
}

static void claim_if_due(struct ledger_task *task, uint32_t shard,
			 const GPtrArray *entries, uint64_t now)
{
	enum shard_owner_state state = owner_state(task, shard);
	uint32_t rank;

	if (state == SHARD_OWNER_UP) {
		task->ownerless_since_ms[shard] = 0;
		return;
	}
	if (!task->ownerless_since_ms[shard])
		task->ownerless_since_ms[shard] = now;
	rank = shard_claim_rank(task->super.node->settings->name,
				(const char *const *)entries->pdata,
				entries->len, shard);
	if (!shard_claim_due(state, rank, now - task->ownerless_since_ms[shard],
			     now - task->started_ms))
		return;
	/*
	 * Restart the wait before the next attempt to claim the shard, as the
	 * stream may name a live owner.
	 */
	task->ownerless_since_ms[shard] = now;
	shard_open(task->shards[shard]);
}

/*
 * Releases a shard for which another entry ranks first, at most one per
 * interval, so that shards spread to entries that started later.
 */
static void rebalance(struct ledger_task *task, const GPtrArray *entries,
		      uint64_t now)
{
	uint32_t i;

	if (now < task->next_rebalance_ms)
		return;
	task->next_rebalance_ms = now + REBALANCE_INTERVAL_MS;
	for (i = 0; i < task->shards_nr; i++) {
		struct shard *shard = task->shards[i];

		if (shard_state(shard) != SHARD_OWNED ||
		    shard_log_unavailable(shard) || shard_unverified(shard))
			continue;
		if (!shard_claim_rank(task->super.node->settings->name,
				      (const char *const *)entries->pdata,
				      entries->len, i))
			continue;
		log_info(PART,
			 "shard %u: releasing it to the entry that ranks first",
			 i);
		shard_release(shard);
		return;
	}
}

static void claim_shards(struct ledger_task *task, uint64_t now)
{
	GPtrArray *entries;
	uint32_t i;

	if (task->super.node->stopping ||
	    members_isolated(node_members(task->super.node)))
		return;
	entries = live_entries(task);
	if (entries->len != task->live_entries_nr)
		task->next_rebalance_ms = now + REBALANCE_DELAY_MS;
	task->live_entries_nr = entries->len;
	rebalance(task, entries, now);
	for (i = 0; i < task->shards_nr; i++) {
		if (shard_state(task->shards[i]) == SHARD_CLOSED)
			claim_if_due(task, i, entries, now);
	}
	g_ptr_array_free(entries, TRUE);
}

static uint32_t attempts_max(void *ctx, const char *service)
{
	return ledger_attempts_max(ctx, service);
}

static void maintain_shard(struct ledger_task *task, uint32_t shard,
			   uint64_t now)
{
	struct ledger *ledger = ledger_task_owned(task, shard);
	uint64_t wall = node_wall_ms();

	if (!ledger)
		return;
	/*
	 * After a pause of the process, leases expire only once the shard's
	 * claim has been verified.
	 */
	if (!shard_unverified(task->shards[shard]))
		ledger_expire_leases(ledger, attempts_max, task, now, wall);
	ledger_pause_intents(ledger,
			     shard_log_unavailable(task->shards[shard]));
	ledger_update_rates(ledger, wall);
	ledger_remove_expired(ledger, wall);
	ledger_agents_send_revoked(task, shard);
}

static void on_tick(uv_timer_t *timer)
{
	struct ledger_task *task = timer->data;
	uint64_t now = node_now_ms(task->super.node);
	uint32_t i;

	claim_shards(task, now);
	for (i = 0; i < task->shards_nr; i++) {
		shard_tick(task->shards[i], now);
		maintain_shard(task, i, now);
	}
	ledger_calls_retry(task);
	ledger_pulls_tick(task);
}

static void create_shards(struct ledger_task *task)
{
	struct node *node = task->super.node;
	uint32_t nr = node->settings->ledger_shards;
	uint32_t i;

	task->shards_nr = nr;
	task->shards = g_new0(struct shard *, nr);
	task->ownerless_since_ms = g_new0(uint64_t, nr);
	task->waiters = g_new0(struct list, nr);
	for (i = 0; i < nr; i++) {
		struct shard_options options = {
			.node = node,
			.index = i,
			.lease_ms = LEDGER_LEASE_MS,
			.append_interval_ms =
				MAX(APPEND_INTERVAL_MIN_MS,
				    1000 * nr / FLEET_APPENDS_PER_S),
			.retention_ms = node->settings->log_retention_ms,
			.ownership_changed = on_changed,
			.stream_advanced = on_advanced,
			.owner_up = owner_up,
			.ctx = task,
		};

		list_init(&task->waiters[i]);
		task->shards[i] = shard_create(&options);
	}
}

static void create_metrics(struct ledger_task *task)
{
	struct metrics *metrics = task->super.node->metrics;

	task->granted =
		metrics_counter(metrics, "briarplank_items_granted_total", "");
	task->ended =
		metrics_counter(metrics, "briarplank_items_outcomes_total", "");
	task->void_outcomes = metrics_counter(
		metrics, "briarplank_items_void_outcomes_total", "");
	task->shards_owned =
		metrics_gauge(metrics, "briarplank_ledger_shards_owned", "");
}

static bool ledger_start(struct task *base)
{
	struct ledger_task *task = (struct ledger_task *)base;
	struct ledger_schedule_options options = {
		.late_weight_percent = LATE_WEIGHT_PERCENT,
		.late_slack_ms = LATE_SLACK_MS,
	};

	if (!base->node->log) {
		log_warn(PART, "platform.log is not set: jobs are disabled");
		return true;
	}
	create_metrics(task);
	task->started_ms = node_now_ms(base->node);
	task->schedule = ledger_schedule_create(&options);
	task->cache = record_cache_create(base->node->log, CACHE_BYTES);
	create_shards(task);
	ledger_pulls_start(task);
	ledger_agents_start(task);
	ledger_calls_start(task);
	uv_timer_init(&base->node->loop, &task->timer);
	task->timer.data = task;
	uv_timer_start(&task->timer, on_tick, TICK_MS, TICK_MS);
	return true;
}

static void ledger_stop(struct task *base)
{
	struct ledger_task *task = (struct ledger_task *)base;
	uint32_t i;

	for (i = 0; i < task->shards_nr; i++)
		shard_release(task->shards[i]);
}

static bool ledger_stopped(struct task *base)
{
	struct ledger_task *task = (struct ledger_task *)base;
	uint32_t i;

	for (i = 0; i < task->shards_nr; i++) {
		if (!shard_idle(task->shards[i]))
			return false;
	}
	return task->pending_calls == 0 && list_empty(&task->pulls);
}

static void free_shards(struct ledger_task *task)
{
	uint32_t i;

	for (i = 0; i < task->shards_nr; i++) {
		notify_waiters(task, i, true);
		shard_destroy(task->shards[i]);
	}
	g_free(task->shards);
	g_free(task->ownerless_since_ms);
	g_free(task->waiters);
}

static void ledger_task_destroy(struct task *base)
{
	struct ledger_task *task = (struct ledger_task *)base;

	if (task->schedule) {
		uv_close((uv_handle_t *)&task->timer, NULL);
		ledger_calls_stop(task);
		free_shards(task);
		uv_run(&base->node->loop, UV_RUN_NOWAIT);
		record_cache_destroy(task->cache);
		ledger_schedule_destroy(task->schedule);
		pull_pace_destroy(task->pace);
	}
	g_free(task->reserved_agent);
	g_free(task);
}

static const struct task_ops ledger_ops = {
	.name = "ledger",
	.start = ledger_start,
	.stop = ledger_stop,
	.stopped = ledger_stopped,
	.destroy = ledger_task_destroy,
};

struct task *ledger_task_create(void)
{
	struct ledger_task *task = g_new0(struct ledger_task, 1);

	task->super.ops = &ledger_ops;
	list_init(&task->chunk_waiters);
	list_init(&task->pulls);
	return &task->super;
}
