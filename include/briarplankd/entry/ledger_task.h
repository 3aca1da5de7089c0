/**
 * State and functions of the ledger task, shared by ledger*.c.
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

/** Lease of a grant, in ms, counted from the grant or its last renewal. */
#define LEDGER_LEASE_MS 6000

struct ledger_task {
	struct task super;
	/** All shards of the fleet; any of them may be opened at this entry. */
	struct shard **shards;
	uint32_t shards_nr;
	/** Time at which each shard was first seen without an owner, or 0. */
	uint64_t *ownerless_since_ms;
	struct ledger_schedule *schedule;
	struct record_cache *cache;
	/** Callbacks that wait for records to be durable, by shard. */
	struct list *waiters;
	/**
	 * Requests of all shards to complete a job or store a part that wait
	 * until chunks are read.
	 */
	struct list chunk_waiters;
	/**
	 * Agents' pulls that wait until item bodies are read or intents are
	 * durable.
	 */
	struct list pulls;
	/** Idle agents and the rate at which they may pull. */
	struct pull_pace *pace;
	/** Number of calls and result queries that wait for the log. */
	unsigned pending_calls;
	uv_timer_t timer;
	uint64_t started_ms;
	/** Earliest time of the next hand-over of a shard. */
	uint64_t next_rebalance_ms;
	/** Number of entries at the last tick, this one included. */
	uint32_t live_entries_nr;
	/** Agent reserved for an item that must run alone, or NULL. */
	char *reserved_agent;
	uint64_t reserved_until_ms;
	struct counter *granted;
	struct counter *ended;
	struct counter *void_outcomes;
	struct counter *shards_owned;
};

/**
 * Calls fn once the first queued_nr records of the shard are durable, or with
 * durable false once the shard is lost.
 */
void ledger_task_wait_durable(struct ledger_task *task, uint32_t shard,
			      uint64_t queued_nr,
			      void (*fn)(void *ctx, bool durable), void *ctx);

/** Returns the shard's ledger if this node owns it, else NULL. */
struct ledger *ledger_task_owned(struct ledger_task *task, uint32_t shard);

/** Registers the handler of agents' pulls. */
void ledger_pulls_start(struct ledger_task *task);
/** Notifies idle agents whose service has items to grant. */
void ledger_pulls_tick(struct ledger_task *task);
/** Registers the handlers of lease renewals and item outcomes. */
void ledger_agents_start(struct ledger_task *task);
/** Tells agents which of their grants on the shard are no longer valid. */
void ledger_agents_send_revoked(struct ledger_task *task, uint32_t shard);
/** Returns the maximum number of attempts for an item of the service. */
uint32_t ledger_attempts_max(struct ledger_task *task, const char *service);

/** Registers the handlers of calls from other entries. */
void ledger_calls_start(struct ledger_task *task);
/**
 * Retries requests to complete a job or store a part whose chunks had not been
 * read.
 */
void ledger_calls_retry(struct ledger_task *task);
/** Frees the requests of entries that still wait until chunks are read. */
void ledger_calls_stop(struct ledger_task *task);

#endif
