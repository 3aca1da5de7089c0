/**
 * Keeps the owner of each shard of the job ledger: the one with the highest
 * epoch that this node has learned of.
 *
 * An owner announces all of its shards in a statement with a version that it
 * increments with each change. A shard that its statement no longer lists
 * counts as released. Other nodes forward statements, so an older one can
 * arrive late and must not replace a newer one.
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
	/** Name of the node; NULL while no owner is known. */
	const char *owner;
	/** True if the owner has released the shard. */
	bool released;
	/** Incarnation and version of the owner's statement. */
	uint64_t incarnation;
	uint64_t version;
};

/** The shards that a node owns, as announced by itself. */
struct shard_statement {
	const char *owner;
	uint64_t incarnation;
	uint64_t version;
	const uint32_t *shards;
	const uint64_t *epochs;
	uint32_t nr;
};

/** Creates a map of the shards 0 to nr - 1, without owners. */
struct shard_map *shard_map_create(uint32_t nr);
void shard_map_destroy(struct shard_map *map);

/**
 * Updates one shard with the owner that another node knows. Returns false if
 * it is not newer than the known owner.
 */
bool shard_map_update(struct shard_map *map, const struct shard_owner *owner);

/** Updates the map with a node's statement of its own shards. */
void shard_map_apply_statement(struct shard_map *map,
			       const struct shard_statement *statement);

/** Fills in a shard's owner; false if the shard doesn't exist. */
bool shard_map_find(const struct shard_map *map, uint32_t shard,
		    struct shard_owner *owner);

/** Sets the current time for later updates. */
void shard_map_set_time(struct shard_map *map, uint64_t now_ms);

/** Returns true if a shard's owner changed within this time in ms. */
bool shard_map_changed_within(const struct shard_map *map, uint32_t shard,
			      uint32_t within_ms);

/** Returns the number of shards. */
uint32_t shard_map_size(const struct shard_map *map);

/** Returns a hash of all owners and epochs; 0 if no owner is known. */
uint64_t shard_map_digest(const struct shard_map *map);

#endif
