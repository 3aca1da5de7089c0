/**
 * Hashes for routing, identities and content, by xxHash.
 */
#ifndef BRIARPLANK_COMMON_HASH_H
#define BRIARPLANK_COMMON_HASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Bytes of a 128-bit content hash. */
#define HASH128_BYTES 16

/** Hashes bytes to 64 bits. */
uint64_t hash_bytes(const void *data, size_t len, uint64_t seed);

/** Hashes a string to 64 bits. */
uint64_t hash_string(const char *text, uint64_t seed);

/** Mixes two hashes into one. */
uint64_t hash_mix(uint64_t a, uint64_t b);

/** Hashes bytes to 128 bits, in canonical byte order. */
void hash128_bytes(const void *data, size_t len, uint8_t out[HASH128_BYTES]);

/** Hashes a pair of strings, each with its length, to 128 bits. */
void hash128_pair(const char *a, const char *b, uint8_t out[HASH128_BYTES]);

/** Parses exactly len bytes of hexadecimal; false when text is anything else. */
bool hash_from_hex(const char *text, uint8_t *bytes, size_t len);

/** Writes bytes as lower-case hexadecimal; out holds 2 * len + 1 bytes. */
void hash_to_hex(const uint8_t *bytes, size_t len, char *out);

#endif
