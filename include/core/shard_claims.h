/**
 * When a node may claim a shard that seems to have no owner.
 *
 * Candidates are ranked by rendezvous hash of their names with the shard, and
 * wait in rank order, so that in ordinary times one of them writes. The log
 * decides if two do.
 */
#ifndef BRIARPLANK_CORE_SHARD_CLAIMS_H
#define BRIARPLANK_CORE_SHARD_CLAIMS_H

#include <stdbool.h>
#include <stdint.h>

/** Wait of the first in rank, and of each rank after it, in ms. */
#define CLAIM_WAIT_MS 300
#define CLAIM_RANK_STEP_MS 1000
/** Wait after the start, in which owners are heard of, in ms. */
#define CLAIM_START_WAIT_MS 1500

/** What is known of a shard and its owner. */
enum shard_owner_state {
	/** Nobody says that they own it. */
	SHARD_OWNER_NONE,
	/** The owner answers. */
	SHARD_OWNER_UP,
	/** The owner is silent, or has gone. */
	SHARD_OWNER_DOWN,
	/** The owner has released it, or says that it goes. */
	SHARD_OWNER_RELEASED,
};

/** Shard of a job or key: its hash's first 4 bytes, modulo the shards. */
uint32_t shard_of_hash(const uint8_t *hash, uint32_t shards);

/** Score of a candidate for a shard; the highest is first in rank. */
uint64_t shard_claim_score(const char *node, uint32_t shard);

/** Number of candidates that come before self. */
uint32_t shard_claim_rank(const char *self, const char *const *others,
			  uint32_t others_nr, uint32_t shard);

/** Tells whether to claim, orphaned_ms after the owner was last known to be. */
bool shard_claim_due(enum shard_owner_state state, uint32_t rank,
		     uint64_t orphaned_ms, uint64_t running_ms);

#endif
