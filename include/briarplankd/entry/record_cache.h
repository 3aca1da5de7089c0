/**
 * Appends read back from the log by offset, in a bounded least recently used
 * cache. Item bodies and results are not kept elsewhere.
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
	/** Retention has taken the record. */
	RECORD_CACHE_GONE,
	/** The log can't be read now. */
	RECORD_CACHE_UNAVAILABLE,
};

/** The append is valid during the callback; NULL unless the status is OK. */
typedef void (*record_cache_fn)(void *ctx, enum record_cache_status status,
				const Briarplank__ShardAppend *append);

/** Makes a cache that keeps up to max_bytes of packed appends. */
struct record_cache *record_cache_create(struct log_service *log,
					 size_t max_bytes);
void record_cache_destroy(struct record_cache *cache);

/** Fetches an append; the callback may come before this returns. */
void record_cache_get(struct record_cache *cache, uint32_t shard,
		      uint64_t offset, record_cache_fn fn, void *ctx);

/** Writes the name of a shard's stream. */
void shard_stream_name(uint32_t shard, char *out, size_t len);

#endif
