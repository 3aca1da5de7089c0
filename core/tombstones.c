#include <glib.h>

#include "common/list.h"
#include "core/tombstones.h"

struct tombstone {
	struct list link;
	char *id;
	enum tombstone_kind kind;
	uint64_t added_ms;
};

struct tombstones {
	unsigned max;
	uint32_t keep_ms;
	/* Oldest first. */
	struct list order;
	GHashTable *by_id;
};

struct tombstones *tombstones_create(unsigned max, uint32_t keep_ms)
{
	struct tombstones *set = g_new0(struct tombstones, 1);

	set->max = max;
	set->keep_ms = keep_ms;
	list_init(&set->order);
	set->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return set;
}

static void tombstone_free(struct tombstones *set, struct tombstone *stone)
{
	g_hash_table_remove(set->by_id, stone->id);
	list_remove(&stone->link);
	g_free(stone->id);
	g_free(stone);
}

void tombstones_destroy(struct tombstones *set)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &set->order)
		tombstone_free(set, list_entry(pos, struct tombstone, link));
	g_hash_table_destroy(set->by_id);
	g_free(set);
}

static void expire(struct tombstones *set, uint64_t now_ms)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &set->order) {
		struct tombstone *stone =
			list_entry(pos, struct tombstone, link);

		if (now_ms < stone->added_ms + set->keep_ms)
			return;
		tombstone_free(set, stone);
	}
}

bool tombstones_add(struct tombstones *set, const char *id,
		    enum tombstone_kind kind, uint64_t now_ms)
{
	struct tombstone *stone;

	expire(set, now_ms);
	if (g_hash_table_contains(set->by_id, id))
		return true;
	if (g_hash_table_size(set->by_id) >= set->max)
		return false;
	stone = g_new0(struct tombstone, 1);
	stone->id = g_strdup(id);
	stone->kind = kind;
	stone->added_ms = now_ms;
	list_append(&set->order, &stone->link);
	g_hash_table_insert(set->by_id, stone->id, stone);
	return true;
}

enum tombstone_kind tombstones_find(struct tombstones *set, const char *id,
				    uint64_t now_ms)
{
	const struct tombstone *stone;

	expire(set, now_ms);
	stone = g_hash_table_lookup(set->by_id, id);
	return stone ? stone->kind : TOMBSTONE_NONE;
}

unsigned tombstones_nr(const struct tombstones *set)
{
	return g_hash_table_size(set->by_id);
}
