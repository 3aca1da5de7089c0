/**
 * Who owns each shard of the job ledger, by the highest epoch heard of.
 */
#ifndef BRIARPLANK_CORE_SHARD_MAP_H
#define BRIARPLANK_CORE_SHARD_MAP_H

#include <stdbool.h>
#include <stdint.h>

struct shard_map;

/** One shard's owner. */
struct shard_owner {
	uint32_t shard;
	uint64_t epoch;
	/** NULL while none was heard of. */
	const char *owner;
};

/** Makes a map of shards 0 to nr - 1 without owners. */
struct shard_map *shard_map_create(uint32_t nr);
void shard_map_destroy(struct shard_map *map);

/** Notes an owner; false unless its epoch is the highest so far. */
bool shard_map_note(struct shard_map *map, const struct shard_owner *owner);

/** Fills in a shard's owner; false when the shard doesn't exist. */
bool shard_map_find(const struct shard_map *map, uint32_t shard,
		    struct shard_owner *owner);

/** Number of shards. */
uint32_t shard_map_size(const struct shard_map *map);

/** Hash of all owners and epochs; 0 while none was heard of. */
uint64_t shard_map_digest(const struct shard_map *map);

#endif
