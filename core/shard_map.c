#include <glib.h>

#include "common/hash.h"
#include "core/shard_map.h"

struct shard_map {
	uint32_t nr;
	struct shard_owner *owners;
	uint64_t digest;
};

struct shard_map *shard_map_create(uint32_t nr)
{
	struct shard_map *map = g_new0(struct shard_map, 1);
	uint32_t i;

	map->nr = nr;
	map->owners = g_new0(struct shard_owner, nr);
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
	g_free(map);
}

static uint64_t owner_hash(const struct shard_owner *owner)
{
	if (!owner->owner)
		return 0;
	return hash_mix(hash_string(owner->owner, owner->shard), owner->epoch);
}

bool shard_map_note(struct shard_map *map, const struct shard_owner *owner)
{
	struct shard_owner *known;

	if (owner->shard >= map->nr || !owner->owner)
		return false;
	known = &map->owners[owner->shard];
	if (owner->epoch <= known->epoch)
		return false;
	map->digest ^= owner_hash(known);
	g_free((char *)known->owner);
	known->owner = g_strdup(owner->owner);
	known->epoch = owner->epoch;
	map->digest ^= owner_hash(known);
	return true;
}

bool shard_map_find(const struct shard_map *map, uint32_t shard,
		    struct shard_owner *owner)
{
	if (shard >= map->nr)
		return false;
	*owner = map->owners[shard];
	return true;
}

uint32_t shard_map_size(const struct shard_map *map)
{
	return map->nr;
}

uint64_t shard_map_digest(const struct shard_map *map)
{
	return map->digest;
}
