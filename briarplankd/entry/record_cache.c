/*
 * Cache of appends read from the log: a hash table of records with a list in
 * order of use, and a list of reads in flight.
 */
#include <stdio.h>

#include <glib.h>

#include "briarplankd/entry/record_cache.h"
#include "common/list.h"

#define STREAM_NAME_BYTES 32

/* An append that is in the cache, with its offset in the log. */
struct record {
	struct list link;
	uint32_t shard;
	uint64_t offset;
	size_t bytes;
	Briarplank__ShardAppend *append;
};

/* A read in flight, and the callbacks that wait for it. */
struct fetch {
	struct list link;
	struct record_cache *cache;
	uint32_t shard;
	uint64_t offset;
	/*
	 * Callbacks (struct waiter) that wait for the read, in order of
	 * arrival.
	 */
	GArray *waiters;
};

struct waiter {
	record_cache_fn fn;
	void *ctx;
};

struct record_cache {
	struct log_service *log;
	size_t max_bytes;
	size_t bytes;
	GHashTable *records;
	/* Cached records, least recently used first. */
	struct list order;
	struct list fetches;
};

void shard_stream_name(uint32_t shard, char *out, size_t len)
{
	snprintf(out, len, "shard-%u", shard);
}

static guint record_hash(gconstpointer key)
{
	const struct record *record = key;

	return (guint)(record->offset * 31 + record->shard);
}

static gboolean record_equal(gconstpointer a, gconstpointer b)
{
	const struct record *x = a;
	const struct record *y = b;

	return x->offset == y->offset && x->shard == y->shard;
}

static void record_free(gpointer data)
{
	struct record *record = data;

	briarplank__shard_append__free_unpacked(record->append, NULL);
	g_free(record);
}

static void record_evict(struct record_cache *cache, struct record *record)
{
	list_remove(&record->link);
	cache->bytes -= record->bytes;
	g_hash_table_remove(cache->records, record);
}

struct record_cache *record_cache_create(struct log_service *log,
					 size_t max_bytes)
{
	struct record_cache *cache = g_new0(struct record_cache, 1);

	cache->log = log;
	cache->max_bytes = max_bytes;
	cache->records = g_hash_table_new_full(record_hash, record_equal,
					       record_free, NULL);
	list_init(&cache->order);
	list_init(&cache->fetches);
	return cache;
}

static void fetch_free(struct fetch *fetch)
{
	g_array_free(fetch->waiters, TRUE);
	list_remove(&fetch->link);
	g_free(fetch);
}

void record_cache_destroy(struct record_cache *cache)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &cache->fetches)
		fetch_free(list_entry(pos, struct fetch, link));
	g_hash_table_destroy(cache->records);
	g_free(cache);
}

static struct record *record_find(struct record_cache *cache, uint32_t shard,
				  uint64_t offset)
{
	struct record key = { .shard = shard, .offset = offset };

	return g_hash_table_lookup(cache->records, &key);
}

/*
 * Evicts the least recently used records until the cache fits max_bytes, but
 * never the one that was just added.
 */
static void evict(struct record_cache *cache, const struct record *keep)
{
	struct list *pos;

	while (cache->bytes > cache->max_bytes &&
	       (pos = list_first(&cache->order)) != NULL) {
		struct record *record = list_entry(pos, struct record, link);

		if (record == keep)
			return;
		record_evict(cache, record);
	}
}

static struct record *record_add(struct record_cache *cache,
				 const struct fetch *fetch,
				 const struct log_service_entry *entry)
{
	struct record *record = g_new0(struct record, 1);

	record->append = briarplank__shard_append__unpack(NULL, entry->len,
							  entry->payload);
	if (!record->append) {
		g_free(record);
		return NULL;
	}
	record->shard = fetch->shard;
	record->offset = fetch->offset;
	record->bytes = entry->len;
	cache->bytes += record->bytes;
	g_hash_table_add(cache->records, record);
	list_append(&cache->order, &record->link);
	evict(cache, record);
	return record;
}

static enum record_cache_status add_page(struct fetch *fetch,
					 enum log_service_status status,
					 const struct log_service_page *page,
					 struct record **record)
{
	if (status != LOG_SERVICE_OK)
		return RECORD_CACHE_UNAVAILABLE;
	if (!page->nr || page->entries[0].offset != fetch->offset)
		return RECORD_CACHE_GONE;
	*record = record_add(fetch->cache, fetch, &page->entries[0]);
	return *record ? RECORD_CACHE_OK : RECORD_CACHE_GONE;
}

static void on_read(void *ctx, enum log_service_status status,
		    const struct log_service_page *page)
{
	struct fetch *fetch = ctx;
	struct record *record = NULL;
	enum record_cache_status result =
		add_page(fetch, status, page, &record);
	guint i;

	list_remove(&fetch->link);
	for (i = 0; i < fetch->waiters->len; i++) {
		const struct waiter *waiter =
			&g_array_index(fetch->waiters, struct waiter, i);

		/*
		 * A callback may fetch further records, which may evict this
		 * one.
		 */
		record = record_find(fetch->cache, fetch->shard, fetch->offset);
		if (result == RECORD_CACHE_OK && !record)
			result = RECORD_CACHE_UNAVAILABLE;
		waiter->fn(waiter->ctx, result, record ? record->append : NULL);
	}
	fetch_free(fetch);
}

static struct fetch *fetch_get(struct record_cache *cache, uint32_t shard,
			       uint64_t offset)
{
	char stream[STREAM_NAME_BYTES];
	struct fetch *fetch;
	struct list *pos;

	list_for_each (pos, &cache->fetches) {
		fetch = list_entry(pos, struct fetch, link);
		if (fetch->shard == shard && fetch->offset == offset)
			return fetch;
	}
	fetch = g_new0(struct fetch, 1);
	fetch->cache = cache;
	fetch->shard = shard;
	fetch->offset = offset;
	fetch->waiters = g_array_new(FALSE, FALSE, sizeof(struct waiter));
	list_append(&cache->fetches, &fetch->link);
	shard_stream_name(shard, stream, sizeof(stream));
	cache->log->ops->read(cache->log, stream, offset, 1, 0, on_read, fetch);
	return fetch;
}

void record_cache_get(struct record_cache *cache, uint32_t shard,
		      uint64_t offset, record_cache_fn fn, void *ctx)
{
	struct record *record = record_find(cache, shard, offset);
	struct waiter waiter = { fn, ctx };

	if (record) {
		list_remove(&record->link);
		list_append(&cache->order, &record->link);
		fn(ctx, RECORD_CACHE_OK, record->append);
		return;
	}
	g_array_append_val(fetch_get(cache, shard, offset)->waiters, waiter);
}
