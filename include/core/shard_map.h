/**
 * Who owns each shard of the job ledger, by the highest epoch heard of.
 *
 * An owner states all that it owns under a version that goes up with each
 * change. What it no longer states it has given up. Statements also come by
 * way of others, so an older one must not undo a newer one.
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
	/** The owner has given it up. */
	bool released;
	/** Incarnation and version of the owner's statement. */
	uint64_t incarnation;
	uint64_t version;
};

/** What a node says that it owns. */
struct shard_statement {
	const char *owner;
	uint64_t incarnation;
	uint64_t version;
	const uint32_t *shards;
	const uint64_t *epochs;
	uint32_t nr;
};

/** Makes a map of shards 0 to nr - 1 without owners. */
struct shard_map *shard_map_create(uint32_t nr);
void shard_map_destroy(struct shard_map *map);

/** Notes one shard as another node knows it; false when that is no news. */
bool shard_map_note(struct shard_map *map, const struct shard_owner *owner);

/** Notes what a node itself says that it owns. */
void shard_map_state(struct shard_map *map,
		     const struct shard_statement *statement);

/** Fills in a shard's owner; false when the shard doesn't exist. */
bool shard_map_find(const struct shard_map *map, uint32_t shard,
		    struct shard_owner *owner);

/** Sets the time at which news is noted from now on. */
void shard_map_tick(struct shard_map *map, uint64_t now_ms);

/** Tells whether news of a shard came within this time, in ms. */
bool shard_map_is_recent(const struct shard_map *map, uint32_t shard,
			 uint32_t within_ms);

/** Number of shards. */
uint32_t shard_map_size(const struct shard_map *map);

/** Hash of all owners and epochs; 0 while none was heard of. */
uint64_t shard_map_digest(const struct shard_map *map);

#endif
