/* Merges the announcements of nodes about the owners of shards. */
#include <string.h>

#include <glib.h>

#include "common/hash.h"
#include "core/shard_map.h"

struct shard_map {
	uint32_t nr;
	struct shard_owner *owners;
	uint64_t digest;
	uint64_t now_ms;
	/* Time of the last change of each shard's owner. */
	uint64_t *changed_ms;
};

struct shard_map *shard_map_create(uint32_t nr)
{
	struct shard_map *map = g_new0(struct shard_map, 1);
	uint32_t i;

	map->nr = nr;
	map->owners = g_new0(struct shard_owner, nr);
	map->changed_ms = g_new0(uint64_t, nr);
	for (i = 0; i < nr; i++)
		map->owners[i].shard = i;
	return map;
}

void shard_map_destroy(struct shard_map *map)
{
	uint32_t i;

	for (i = 0; i < map->nr; i++)
		g_free((char *)map->owners[i].owner);
	g_free(map->owners);
	g_free(map->changed_ms);
	g_free(map);
}

static uint64_t owner_hash(const struct shard_owner *owner)
{
	if (!owner->owner)
		return 0;
	return hash_combine(hash_string(owner->owner, owner->shard),
			    owner->epoch * 2 + owner->released);
}

static bool is_newer(const struct shard_owner *a, const struct shard_owner *b)
{
	if (a->incarnation != b->incarnation)
		return a->incarnation > b->incarnation;
	return a->version > b->version;
}

/*
 * Returns true if an owner replaces the known one: a higher epoch wins, and
 * within an epoch the owner's newest statement wins.
 */
static bool supersedes(const struct shard_owner *known,
		       const struct shard_owner *owner)
{
	if (owner->epoch != known->epoch)
		return owner->epoch > known->epoch;
	return known->owner && !strcmp(known->owner, owner->owner) &&
	       is_newer(owner, known);
}

bool shard_map_update(struct shard_map *map, const struct shard_owner *owner)
{
	struct shard_owner *known;
	uint64_t digest = map->digest;
	char *name;

	if (owner->shard >= map->nr || !owner->owner)
		return false;
	known = &map->owners[owner->shard];
	if (!supersedes(known, owner))
		return false;
	name = g_strdup(owner->owner);
	map->digest ^= owner_hash(known);
	g_free((char *)known->owner);
	*known = *owner;
	known->owner = name;
	map->digest ^= owner_hash(known);
	/*
	 * A change of the version alone is of no use to other nodes, and so
	 * does not count as a change of the owner.
	 */
	if (map->digest != digest)
		map->changed_ms[owner->shard] = map->now_ms;
	return true;
}

static bool lists_shard(const struct shard_statement *statement, uint32_t shard)
{
	uint32_t i;

	for (i = 0; i < statement->nr; i++) {
		if (statement->shards[i] == shard)
			return true;
	}
	return false;
}

void shard_map_apply_statement(struct shard_map *map,
			       const struct shard_statement *statement)
{
	struct shard_owner owner = {
		.owner = statement->owner,
		.incarnation = statement->incarnation,
		.version = statement->version,
	};
	uint32_t i;

	for (i = 0; i < statement->nr; i++) {
		owner.shard = statement->shards[i];
		owner.epoch = statement->epochs[i];
		shard_map_update(map, &owner);
	}
	owner.released = true;
	for (i = 0; i < map->nr; i++) {
		const struct shard_owner *known = &map->owners[i];

		if (!known->owner || strcmp(known->owner, owner.owner) != 0 ||
		    lists_shard(statement, i))
			continue;
		owner.shard = i;
		owner.epoch = known->epoch;
		shard_map_update(map, &owner);
	}
}

bool shard_map_find(const struct shard_map *map, uint32_t shard,
		    struct shard_owner *owner)
{
	if (shard >= map->nr)
		return false;
	*owner = map->owners[shard];
	return true;
}

void shard_map_set_time(struct shard_map *map, uint64_t now_ms)
{
	map->now_ms = now_ms;
}

bool shard_map_changed_within(const struct shard_map *map, uint32_t shard,
			      uint32_t within_ms)
{
	return shard < map->nr && map->owners[shard].owner &&
	       map->now_ms - map->changed_ms[shard] <= within_ms;
}

uint32_t shard_map_size(const struct shard_map *map)
{
	return map->nr;
}

uint64_t shard_map_digest(const struct shard_map *map)
{
	return map->digest;
}
