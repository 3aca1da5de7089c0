/**
 * One shard's stream in the log: opening, claiming, folding and appending.
 *
 * While a shard is owned, its records go out in one append at a time, at most
 * one an interval, and count once they were folded from the stream. A shard at
 * rest appends nothing.
 */
#ifndef BRIARPLANKD_ENTRY_SHARD_H
#define BRIARPLANKD_ENTRY_SHARD_H

#include <stdbool.h>
#include <stdint.h>

#include "briarplankd/node.h"
#include "core/ledger.h"

enum shard_state {
	/** Another node's, or nobody's. */
	SHARD_CLOSED,
	/** Reading the stream from the newest checkpoint on. */
	SHARD_OPENING,
	/** The claim is on its way. */
	SHARD_CLAIMING,
	SHARD_OWNED,
	/** Letting go: what is queued goes out, then the release. */
	SHARD_RELEASING,
};

struct shard;

struct shard_options {
	struct node *node;
	uint32_t index;
	/** Time a grant holds, in ms. */
	uint32_t lease_ms;
	/** Shortest time between two appends, in ms. */
	uint32_t append_interval_ms;
	/** Time for which the log keeps records, in ms; 0 for ever. */
	uint64_t retention_ms;
	/** The shard became owned or stopped being so. */
	void (*changed)(void *ctx, struct shard *shard);
	/** More records are durable, or the stream was read further. */
	void (*advanced)(void *ctx, struct shard *shard);
	/** The owner that the stream names, after the stream was read. */
	bool (*owner_up)(void *ctx, const char *owner, uint64_t incarnation);
	void *ctx;
};

struct shard *shard_create(const struct shard_options *options);
/** The loop must run once more before the node is freed. */
void shard_destroy(struct shard *shard);

enum shard_state shard_state(const struct shard *shard);
uint32_t shard_index(const struct shard *shard);
/** The folded state; NULL while closed. */
struct ledger *shard_ledger(const struct shard *shard);

/** Reads the stream and claims the shard if its owner is gone. */
void shard_open(struct shard *shard);
/** Gives the shard up: appends what is queued, then the release. */
void shard_release(struct shard *shard);
/** Records were queued: they go out with the next append. */
void shard_kick(struct shard *shard);
/** Reads what others appended. */
void shard_catch_up(struct shard *shard);
/** Regular work: checks the claim, checkpoints, refreshes old records. */
void shard_tick(struct shard *shard, uint64_t now_ms);
/** Closed, with no call to the log under way. */
bool shard_quiet(const struct shard *shard);
/** The log has not answered lately. */
bool shard_log_silent(const struct shard *shard);
/** The shard has not been read since a pause of the process. */
bool shard_unverified(const struct shard *shard);

#endif
