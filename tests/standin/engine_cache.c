/*
 * The prefix cache: holds blocks of prompts with LRU eviction.
 */
#include <string.h>

#include "common/hash.h"
#include "engine.h"

#define BYTES_PER_TOKEN 4
#define BLOCK_TOKENS 16
#define BLOCK_BYTES (BLOCK_TOKENS * BYTES_PER_TOKEN)

struct engine_cache {
	int64_t max_blocks;
	/*
	 * Maps the hash of a block, which covers all blocks before it, to its
	 * link in the queue.
	 */
	GHashTable *blocks;
	/* Hashes of the cached blocks, most recently used first. */
	GQueue used;
};

struct engine_cache *engine_cache_create(int64_t max_tokens)
{
	struct engine_cache *cache = g_new0(struct engine_cache, 1);

	cache->max_blocks = max_tokens / BLOCK_TOKENS;
	cache->blocks = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_queue_init(&cache->used);
	return cache;
}

void engine_cache_destroy(struct engine_cache *cache)
{
	g_hash_table_destroy(cache->blocks);
	g_queue_clear_full(&cache->used, g_free);
	g_free(cache);
}

static bool mark_used(struct engine_cache *cache, uint64_t hash)
{
	GList *link = g_hash_table_lookup(cache->blocks, &hash);

	if (!link)
		return false;
	g_queue_unlink(&cache->used, link);
	g_queue_push_head_link(&cache->used, link);
	return true;
}

static void add_block(struct engine_cache *cache, uint64_t hash)
{
	uint64_t *key;

	while ((int64_t)cache->used.length >= MAX(cache->max_blocks, 1)) {
		key = g_queue_pop_tail(&cache->used);
		g_hash_table_remove(cache->blocks, key);
		g_free(key);
	}
	key = g_memdup2(&hash, sizeof(hash));
	g_queue_push_head(&cache->used, key);
	g_hash_table_insert(cache->blocks, key, cache->used.head);
}

uint32_t engine_cache_miss(struct engine_cache *cache, const char *prompt)
{
	size_t len = strlen(prompt);
	uint32_t tokens = (uint32_t)(len / BYTES_PER_TOKEN + 1);
	uint32_t hits = 0;
	bool prefix = true;
	uint64_t hash = 0;
	size_t at;

	if (!cache->max_blocks)
		return tokens;
	for (at = 0; at + BLOCK_BYTES <= len; at += BLOCK_BYTES) {
		hash = hash_bytes(prompt + at, BLOCK_BYTES, hash);
		prefix = mark_used(cache, hash) && prefix;
		if (prefix)
			hits += BLOCK_TOKENS;
		else if (!g_hash_table_contains(cache->blocks, &hash))
			add_block(cache, hash);
	}
	return tokens - hits;
}
