/**
 * A shard's stream in the log: reads it and applies its records to the shard's
 * state (called folding), claims the shard and appends to the stream.
 *
 * While a shard is owned, its queued records are batched into appends. One
 * append is in flight at a time, at most one per append interval. Records take
 * effect once they are folded. An idle shard appends nothing.
 */
#ifndef BRIARPLANKD_ENTRY_SHARD_H
#define BRIARPLANKD_ENTRY_SHARD_H

#include <stdbool.h>
#include <stdint.h>

#include "briarplankd/node.h"
#include "core/ledger.h"

enum shard_state {
	/** The shard is owned by another node, or by none. */
	SHARD_CLOSED,
	/** The stream is being read from the newest checkpoint on. */
	SHARD_OPENING,
	/** A claim is being appended. */
	SHARD_CLAIMING,
	SHARD_OWNED,
	/**
	 * The queued records are being appended, and then the release record.
	 */
	SHARD_RELEASING,
};

struct shard;

struct shard_options {
	struct node *node;
	uint32_t index;
	/** Lease of a grant, in ms. */
	uint32_t lease_ms;
	/** Minimum time between two appends, in ms. */
	uint32_t append_interval_ms;
	/** Retention time of the log, in ms; 0: unlimited. */
	uint64_t retention_ms;
	/** Called when this node may have gained or lost the shard. */
	void (*ownership_changed)(void *ctx, struct shard *shard);
	/** Called when more records of the stream have been applied. */
	void (*stream_advanced)(void *ctx, struct shard *shard);
	/** Tells whether the process that the stream names as owner is up. */
	bool (*owner_up)(void *ctx, const char *owner, uint64_t incarnation);
	void *ctx;
};

struct shard *shard_create(const struct shard_options *options);
/** Destroys a shard; the loop must run once more to free its timer. */
void shard_destroy(struct shard *shard);

enum shard_state shard_state(const struct shard *shard);
uint32_t shard_index(const struct shard *shard);
/**
 * Returns the state that results from the applied records; NULL before the
 * shard was first opened.
 */
struct ledger *shard_ledger(const struct shard *shard);

/** Reads the stream and claims the shard unless its owner is up. */
void shard_open(struct shard *shard);
/**
 * Gives up ownership of the shard: appends the queued records, then the release
 * record.
 */
void shard_release(struct shard *shard);
/** Schedules an append of queued records. */
void shard_schedule_append(struct shard *shard);
/** Reads the stream to its end, to apply appends of other nodes. */
void shard_catch_up(struct shard *shard);
/** Periodic work: verifies the claim and reappends old records. */
void shard_tick(struct shard *shard, uint64_t now_ms);
/** Tells whether the shard is closed, with no log call in flight. */
bool shard_idle(const struct shard *shard);
/** Tells whether calls fail and the log has not answered for 3 seconds. */
bool shard_log_unavailable(const struct shard *shard);
/** Tells whether the claim is unchecked since the process was paused. */
bool shard_unverified(const struct shard *shard);

#endif
