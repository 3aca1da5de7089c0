#include <string.h>

#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "briarplankd/access.h"
#include "common/hash.h"

#define BEARER "Bearer "
/* Capacity of the token bucket of failures, and the rate of its refill. */
#define FAILURES_BURST 20
#define FAILURES_PER_S 5

struct access_index {
	/* Access entries, indexed by the first bytes of their key digests. */
	GHashTable *by_prefix;
	/* The access list is empty, so that anyone may call. */
	bool open;
};

/* An entry of the access list with the digest of its key. */
struct access_entry {
	uint64_t prefix;
	uint8_t digest[SHA256_DIGEST_LENGTH];
	const struct access_settings *access;
};

bool access_parse_digest(const char *hex, uint8_t digest[ACCESS_DIGEST_BYTES])
{
	return hash_from_hex(hex, digest, ACCESS_DIGEST_BYTES);
}

static void index_add(struct access_index *index,
		      const struct access_settings *access)
{
	struct access_entry *entry = g_new0(struct access_entry, 1);

	entry->access = access;
	if (!access_parse_digest(access->key_sha256, entry->digest)) {
		g_free(entry);
		return;
	}
	memcpy(&entry->prefix, entry->digest, sizeof(entry->prefix));
	g_hash_table_replace(index->by_prefix, &entry->prefix, entry);
}

struct access_index *access_index_create(const struct daemon_settings *settings)
{
	const struct access_settings *access = settings->access.items;
	struct access_index *index = g_new0(struct access_index, 1);
	size_t i;

	index->by_prefix = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 NULL, g_free);
	index->open = settings->access.nr == 0;
	for (i = 0; i < settings->access.nr; i++)
		index_add(index, &access[i]);
	return index;
}

void access_index_destroy(struct access_index *index)
{
	g_hash_table_destroy(index->by_prefix);
	g_free(index);
}

bool access_allows_anyone(const struct access_index *index)
{
	return index->open;
}

/*
 * The timing of the hash table lookup reveals nothing about a key, as an
 * attacker can't choose the digest of a guessed key.
 */
const struct access_settings *access_find(const struct access_index *index,
					  const char *authorization)
{
	const struct access_entry *entry;
	uint8_t digest[SHA256_DIGEST_LENGTH];
	uint64_t prefix;
	const char *key;

	if (!authorization ||
	    g_ascii_strncasecmp(authorization, BEARER, strlen(BEARER)) != 0)
		return NULL;
	key = authorization + strlen(BEARER);
	SHA256((const uint8_t *)key, strlen(key), digest);
	memcpy(&prefix, digest, sizeof(prefix));
	entry = g_hash_table_lookup(index->by_prefix, &prefix);
	if (!entry || CRYPTO_memcmp(entry->digest, digest, sizeof(digest)) != 0)
		return NULL;
	return entry->access;
}

bool access_failure_allowed(struct access_failure_bucket *failures,
			    uint64_t now_ms)
{
	double refill = (double)(now_ms - failures->refilled_ms) *
			FAILURES_PER_S / 1000;

	if (!failures->refilled_ms)
		refill = FAILURES_BURST;
	failures->tokens = MIN(failures->tokens + refill, FAILURES_BURST);
	failures->refilled_ms = now_ms;
	if (failures->tokens < 1)
		return false;
	failures->tokens -= 1;
	return true;
}
