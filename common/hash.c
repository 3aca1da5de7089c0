#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <xxhash.h>

#include "common/hash.h"

uint64_t hash_bytes(const void *data, size_t len, uint64_t seed)
{
	return XXH3_64bits_withSeed(data, len, seed);
}

uint64_t hash_string(const char *text, uint64_t seed)
{
	return hash_bytes(text, strlen(text), seed);
}

uint64_t hash_combine(uint64_t a, uint64_t b)
{
	uint64_t pair[2] = { a, b };

	return XXH3_64bits(pair, sizeof(pair));
}

static void store_canonical(XXH128_hash_t hash, uint8_t out[HASH128_BYTES])
{
	XXH128_canonical_t canonical;

	XXH128_canonicalFromHash(&canonical, hash);
	memcpy(out, canonical.digest, HASH128_BYTES);
}

void hash128_bytes(const void *data, size_t len, uint8_t out[HASH128_BYTES])
{
	store_canonical(XXH3_128bits(data, len), out);
}

void hash128_pair(const char *a, const char *b, uint8_t out[HASH128_BYTES])
{
	uint64_t lens[2] = { strlen(a), strlen(b) };
	XXH3_state_t *state = XXH3_createState();

	XXH3_128bits_reset(state);
	XXH3_128bits_update(state, lens, sizeof(lens));
	XXH3_128bits_update(state, a, lens[0]);
	XXH3_128bits_update(state, b, lens[1]);
	store_canonical(XXH3_128bits_digest(state), out);
	XXH3_freeState(state);
}

bool hash_from_hex(const char *text, uint8_t *bytes, size_t len)
{
	size_t i;

	if (strlen(text) != 2 * len)
		return false;
	for (i = 0; i < len; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		bytes[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

void hash_to_hex(const uint8_t *bytes, size_t len, char *out)
{
	size_t i;

	for (i = 0; i < len; i++)
		snprintf(out + 2 * i, 3, "%02x", bytes[i]);
}
