#include <glib.h>

#include "common/list.h"
#include "core/stream_origins.h"

struct origin_entry {
	struct list link;
	struct stream_origin origin;
};

struct stream_origins {
	/* Maps a stream to its struct origin_entry *. */
	GHashTable *by_stream;
	/* All entries, oldest first. */
	struct list entries;
};

struct stream_origins *stream_origins_create(void)
{
	struct stream_origins *origins = g_new0(struct stream_origins, 1);

	origins->by_stream = g_hash_table_new(g_int64_hash, g_int64_equal);
	list_init(&origins->entries);
	return origins;
}

static void entry_free(struct stream_origins *origins,
		       struct origin_entry *entry)
{
	g_hash_table_remove(origins->by_stream, &entry->origin.stream);
	list_remove(&entry->link);
	g_free(entry);
}

void stream_origins_destroy(struct stream_origins *origins)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &origins->entries)
		entry_free(origins, list_entry(pos, struct origin_entry, link));
	g_hash_table_destroy(origins->by_stream);
	g_free(origins);
}

/* Drops expired entries, and the oldest one when all places are taken. Entries with
 * different lifetimes are dropped once the older ones before them are. */
static void make_room(struct stream_origins *origins, uint64_t now_ms)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &origins->entries) {
		struct origin_entry *entry =
			list_entry(pos, struct origin_entry, link);

		if (entry->origin.expires_ms > now_ms &&
		    g_hash_table_size(origins->by_stream) < STREAM_ORIGINS_MAX)
			return;
		entry_free(origins, entry);
	}
}

void stream_origins_add(struct stream_origins *origins,
			const struct stream_origin *origin, uint64_t now_ms)
{
	struct origin_entry *entry;

	make_room(origins, now_ms);
	if (g_hash_table_contains(origins->by_stream, &origin->stream))
		return;
	entry = g_new0(struct origin_entry, 1);
	entry->origin = *origin;
	list_append(&origins->entries, &entry->link);
	g_hash_table_insert(origins->by_stream, &entry->origin.stream, entry);
}

uint64_t stream_origins_find(const struct stream_origins *origins,
			     uint64_t stream, uint64_t now_ms)
{
	const struct origin_entry *entry =
		g_hash_table_lookup(origins->by_stream, &stream);

	return entry && entry->origin.expires_ms > now_ms ?
		       entry->origin.software :
		       0;
}

void stream_origins_each_own(
	const struct stream_origins *origins, uint64_t now_ms,
	void (*fn)(void *ctx, const struct stream_origin *origin), void *ctx)
{
	const struct list *pos;

	list_for_each (pos, &origins->entries) {
		const struct origin_entry *entry =
			list_entry(pos, struct origin_entry, link);

		if (entry->origin.own && entry->origin.expires_ms > now_ms)
			fn(ctx, &entry->origin);
	}
}

uint64_t stream_origin_ttl_ms(uint32_t timeout_ms)
{
	return MAX(STREAM_ORIGIN_MS, 2 * (uint64_t)timeout_ms);
}
