/**
 * xxHash functions for routing, identifiers and content.
 */
#ifndef BRIARPLANK_COMMON_HASH_H
#define BRIARPLANK_COMMON_HASH_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Size of a 128-bit content hash in bytes. */
#define HASH128_BYTES 16

/** Returns the 64-bit hash of len bytes. */
uint64_t hash_bytes(const void *data, size_t len, uint64_t seed);

/** Returns the 64-bit hash of a string. */
uint64_t hash_string(const char *text, uint64_t seed);

/** Combines two hashes into one; the order matters. */
uint64_t hash_combine(uint64_t a, uint64_t b);

/** Writes the 128-bit hash of len bytes in canonical (big-endian) order. */
void hash128_bytes(const void *data, size_t len, uint8_t out[HASH128_BYTES]);

/** Writes the 128-bit hash of two strings, including their lengths. */
void hash128_pair(const char *a, const char *b, uint8_t out[HASH128_BYTES]);

/** Parses exactly 2 * len hexadecimal digits; returns false for other text. */
bool hash_from_hex(const char *text, uint8_t *bytes, size_t len);

/** Writes bytes as lower-case hexadecimal; out must hold 2 * len + 1 bytes. */
void hash_to_hex(const uint8_t *bytes, size_t len, char *out);

#endif
