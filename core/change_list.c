/*
 * Latest value of each key, with a bounded number of removed keys.
 */
#include "core/change_list.h"

/* Maximum number of removed keys; above it all of them are discarded. */
#define REMOVED_MAX 4096

struct entry {
	GBytes *value;
	uint64_t offset;
	uint64_t seen_offset;
};

struct change_list {
	/* Maps a key to its struct entry *. */
	GHashTable *entries;
	/* Removals up to this offset have been discarded. */
	uint64_t since;
	unsigned removed_nr;
};

static void entry_free(gpointer data)
{
	struct entry *entry = data;

	if (entry->value)
		g_bytes_unref(entry->value);
	g_free(entry);
}

struct change_list *change_list_create(void)
{
	struct change_list *list = g_new0(struct change_list, 1);

	list->entries = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      entry_free);
	return list;
}

void change_list_destroy(struct change_list *list)
{
	g_hash_table_destroy(list->entries);
	g_free(list);
}

bool change_list_has(const struct change_list *list, const char *key)
{
	const struct entry *entry = g_hash_table_lookup(list->entries, key);

	return entry && entry->value;
}

void change_list_reset(struct change_list *list, uint64_t offset)
{
	g_hash_table_remove_all(list->entries);
	list->removed_nr = 0;
	list->since = offset;
}

static gboolean is_removed(gpointer key, gpointer value, gpointer data)
{
	(void)key;
	(void)data;
	return !((struct entry *)value)->value;
}

void change_list_repeat(struct change_list *list, const char *key,
			uint64_t offset)
{
	struct entry *entry = g_hash_table_lookup(list->entries, key);

	if (entry && entry->value)
		entry->seen_offset = MAX(entry->seen_offset, offset);
}

bool change_list_removed_after(const struct change_list *list, const char *key,
			       uint64_t offset)
{
	const struct entry *entry = g_hash_table_lookup(list->entries, key);

	return entry && !entry->value && entry->offset > offset;
}

void change_list_incomplete_until(struct change_list *list, uint64_t offset)
{
	list->since = offset;
}

static void discard_removed(struct change_list *list, uint64_t offset)
{
	g_hash_table_foreach_remove(list->entries, is_removed, NULL);
	list->removed_nr = 0;
	list->since = offset;
}

void change_list_put(struct change_list *list, const char *key,
		     const void *value, size_t len, uint64_t offset)
{
	struct entry *old = g_hash_table_lookup(list->entries, key);
	struct entry *entry = g_new0(struct entry, 1);

	if (old && !old->value)
		list->removed_nr--;
	if (value)
		entry->value = g_bytes_new(value, len);
	else
		list->removed_nr++;
	entry->offset = offset;
	entry->seen_offset = offset;
	g_hash_table_insert(list->entries, g_strdup(key), entry);
	if (list->removed_nr <= REMOVED_MAX)
		return;
	discard_removed(list, offset);
}

bool change_list_complete_since(const struct change_list *list, uint64_t offset)
{
	return offset >= list->since;
}

void change_list_for_each(const struct change_list *list,
			  void (*fn)(void *ctx, const struct change *change),
			  void *ctx)
{
	GHashTableIter iter;
	gpointer key, value;

	g_hash_table_iter_init(&iter, list->entries);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct entry *entry = value;
		struct change change = {
			.key = key,
			.value = entry->value,
			.offset = entry->offset,
			.seen_offset = entry->seen_offset,
		};

		fn(ctx, &change);
	}
}
