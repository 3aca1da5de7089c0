/*
 * Stores tombstones in a hash table by id, and in a list by age for expiry.
 */
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
	/* Entries of the set, oldest first. */
	struct list by_age;
	GHashTable *by_id;
};

struct tombstones *tombstones_create(unsigned max, uint32_t keep_ms)
{
	struct tombstones *set = g_new0(struct tombstones, 1);

	set->max = max;
	set->keep_ms = keep_ms;
	list_init(&set->by_age);
	set->by_id = g_hash_table_new(g_str_hash, g_str_equal);
	return set;
}

static void tombstone_free(struct tombstones *set, struct tombstone *entry)
{
	g_hash_table_remove(set->by_id, entry->id);
	list_remove(&entry->link);
	g_free(entry->id);
	g_free(entry);
}

void tombstones_destroy(struct tombstones *set)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &set->by_age)
		tombstone_free(set, list_entry(pos, struct tombstone, link));
	g_hash_table_destroy(set->by_id);
	g_free(set);
}

static void remove_expired(struct tombstones *set, uint64_t now_ms)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &set->by_age) {
		struct tombstone *entry =
			list_entry(pos, struct tombstone, link);

		if (now_ms < entry->added_ms + set->keep_ms)
			return;
		tombstone_free(set, entry);
	}
}

bool tombstones_add(struct tombstones *set, const char *id,
		    enum tombstone_kind kind, uint64_t now_ms)
{
	struct tombstone *entry;

	remove_expired(set, now_ms);
	if (g_hash_table_contains(set->by_id, id))
		return true;
	if (g_hash_table_size(set->by_id) >= set->max)
		return false;
	entry = g_new0(struct tombstone, 1);
	entry->id = g_strdup(id);
	entry->kind = kind;
	entry->added_ms = now_ms;
	list_append(&set->by_age, &entry->link);
	g_hash_table_insert(set->by_id, entry->id, entry);
	return true;
}

enum tombstone_kind tombstones_find(struct tombstones *set, const char *id,
				    uint64_t now_ms)
{
	const struct tombstone *entry;

	remove_expired(set, now_ms);
	entry = g_hash_table_lookup(set->by_id, id);
	return entry ? entry->kind : TOMBSTONE_NONE;
}

unsigned tombstones_nr(const struct tombstones *set)
{
	return g_hash_table_size(set->by_id);
}
