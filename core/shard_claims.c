/*
 * Ranks the candidates for a shard and times their claims.
 */
#include <string.h>

#include "common/hash.h"
#include "core/shard_claims.h"

uint32_t shard_of_hash(const uint8_t *hash, uint32_t shards)
{
	uint32_t head = (uint32_t)hash[0] << 24 | (uint32_t)hash[1] << 16 |
			(uint32_t)hash[2] << 8 | hash[3];

	return head % shards;
}

uint64_t shard_claim_score(const char *node, uint32_t shard)
{
	return hash_combine(hash_string(node, 0), shard);
}

uint32_t shard_claim_rank(const char *self, const char *const *others,
			  uint32_t others_nr, uint32_t shard)
{
	uint64_t own = shard_claim_score(self, shard);
	uint32_t rank = 0;
	uint32_t i;

	for (i = 0; i < others_nr; i++) {
		uint64_t other = shard_claim_score(others[i], shard);

		if (other > own ||
		    (other == own && strcmp(others[i], self) < 0))
			rank++;
	}
	return rank;
}

bool shard_claim_due(enum shard_owner_state state, uint32_t rank,
		     uint64_t ownerless_ms, uint64_t running_ms)
{
	uint64_t wait = (uint64_t)rank * CLAIM_RANK_STEP_MS;

	if (state == SHARD_OWNER_UP)
		return false;
	if (state != SHARD_OWNER_RELEASED)
		wait += CLAIM_WAIT_MS;
	if (state == SHARD_OWNER_NONE && running_ms < CLAIM_START_WAIT_MS)
		return false;
	return ownerless_ms >= wait;
}
