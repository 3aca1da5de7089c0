/**
 * The data of the ledger task, shared by briarplankd/entry/ledger*.c.
 */
#ifndef BRIARPLANKD_ENTRY_LEDGER_TASK_H
#define BRIARPLANKD_ENTRY_LEDGER_TASK_H

#include <glib.h>

#include "briarplankd/entry/record_cache.h"
#include "briarplankd/entry/shard.h"
#include "briarplankd/node.h"
#include "core/ledger.h"
#include "core/ledger_schedule.h"
#include "core/pull_pace.h"

/** Time for which a grant holds unless its agent renews it, in ms. */
#define LEDGER_LEASE_MS 6000

struct ledger_task {
	struct task super;
	struct shard **shards;
	uint32_t shards_nr;
	/** When each shard was first seen without an owner; 0 while it has one. */
	uint64_t *orphaned_ms;
	struct ledger_schedule *schedule;
	struct record_cache *cache;
	/** Answers that wait for a record to be durable, by shard. */
	struct list *waiters;
	/** Seals that wait for their chunks to be read, of all shards. */
	struct list seals;
	/** Pulls that wait for the log. */
	struct list pulls;
	/** Idle agents, and how often they may ask. */
	struct pull_pace *pace;
	/** Calls and queries that wait for the log. */
	unsigned running;
	uv_timer_t timer;
	uint64_t started_ms;
	/** When a shard may next be handed over, and entries seen then. */
	uint64_t rebalance_ms;
	uint32_t others_nr;
	/** Agent that is being emptied for an item that must run alone. */
	char *reserved_agent;
	uint64_t reserved_until_ms;
	struct counter *granted;
	struct counter *ended;
	struct counter *void_outcomes;
	struct counter *shards_owned;
};

/** Calls fn once records up to the mark are durable, or the shard is lost. */
void ledger_wait(struct ledger_task *task, uint32_t shard, uint64_t mark,
		 void (*fn)(void *ctx, bool durable), void *ctx);

/** Returns the shard's ledger if this node owns it, else NULL. */
struct ledger *ledger_task_owned(struct ledger_task *task, uint32_t shard);

/** Registers the handler of pulls. */
void ledger_pulls_start(struct ledger_task *task);
/** Wakes idle agents for whose service there are items. */
void ledger_pulls_tick(struct ledger_task *task);
/** Registers the handlers of renewals and outcomes. */
void ledger_agents_start(struct ledger_task *task);
/** Tells agents of grants that became void. */
void ledger_agents_revoke(struct ledger_task *task, uint32_t shard);
/** Bound of attempts of the service's items. */
uint32_t ledger_attempts_max(struct ledger_task *task, const char *service);

/** Registers the handlers of calls from other entries. */
void ledger_calls_start(struct ledger_task *task);
/** Looks again at seals whose chunks were missing. */
void ledger_calls_retry(struct ledger_task *task);
void ledger_calls_stop(struct ledger_task *task);

#endif
