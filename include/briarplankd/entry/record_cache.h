/**
 * Bounded LRU cache of appends read from the log by offset. Item bodies and
 * results are not held in memory anywhere else.
 */
#ifndef BRIARPLANKD_ENTRY_RECORD_CACHE_H
#define BRIARPLANKD_ENTRY_RECORD_CACHE_H

#include <stddef.h>
#include <stdint.h>

#include "ledger.pb-c.h"
#include "standalone/log_service.h"

struct record_cache;

enum record_cache_status {
	RECORD_CACHE_OK,
	/** The record was deleted by retention, or can't be unpacked. */
	RECORD_CACHE_GONE,
	/** The log could not be read. */
	RECORD_CACHE_UNAVAILABLE,
};

/**
 * Callback that receives an append. The append is valid only during the call;
 * it is NULL unless the status is OK.
 */
typedef void (*record_cache_fn)(void *ctx, enum record_cache_status status,
				const Briarplank__ShardAppend *append);

/** Creates a cache that holds up to max_bytes of packed appends. */
struct record_cache *record_cache_create(struct log_service *log,
					 size_t max_bytes);
/** Frees the cache; pending callbacks are not called. */
void record_cache_destroy(struct record_cache *cache);

/** Fetches an append; may call fn before it returns. */
void record_cache_get(struct record_cache *cache, uint32_t shard,
		      uint64_t offset, record_cache_fn fn, void *ctx);

/** Writes the name of a shard's stream, "shard-N", to out. */
void shard_stream_name(uint32_t shard, char *out, size_t len);

#endif
