/**
 * Decides when a node may claim a shard that seems to have no live owner.
 *
 * Candidates are ranked by rendezvous hashing of their name and the shard. They
 * wait in rank order, so that normally only one of them writes a claim. If
 * several do, the order in the log decides.
 */
#ifndef BRIARPLANK_CORE_SHARD_CLAIMS_H
#define BRIARPLANK_CORE_SHARD_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

/** Wait of the first candidate, and extra wait per rank, in ms. */
#define CLAIM_WAIT_MS 300
#define CLAIM_RANK_STEP_MS 1000
/**
 * Time in ms after a node's start in which it learns of the owners and claims
 * no shard without a known owner.
 */
#define CLAIM_START_WAIT_MS 1500

/** State of a shard's owner as this node sees it. */
enum shard_owner_state {
	/** No node has announced that it owns the shard. */
	SHARD_OWNER_NONE,
	/** The owner is alive. */
	SHARD_OWNER_UP,
	/** The owner doesn't respond, or has left. */
	SHARD_OWNER_DOWN,
	/** The owner has released the shard, or announces that it leaves. */
	SHARD_OWNER_RELEASED,
};

/** Returns the shard of a job or key: its hash's first 4 bytes mod shards. */
uint32_t shard_of_hash(const uint8_t *hash, uint32_t shards);

/** Returns a candidate's score for a shard; the highest has rank 0. */
uint64_t shard_claim_score(const char *node, uint32_t shard);

/** Returns the number of candidates that rank before self. */
uint32_t shard_claim_rank(const char *self, const char *const *others,
			  uint32_t others_nr, uint32_t shard);

/**
 * Returns true if a node of this rank should claim a shard that has been
 * without a live owner for ownerless_ms. The node has run for running_ms.
 */
bool shard_claim_due(enum shard_owner_state state, uint32_t rank,
		     uint64_t ownerless_ms, uint64_t running_ms);

#endif
