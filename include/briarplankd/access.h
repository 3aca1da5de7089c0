/**
 * Authenticates callers and operators by their bearer keys.
 */
#ifndef BRIARPLANKD_ACCESS_H
#define BRIARPLANKD_ACCESS_H

#include "briarplankd/daemon_settings.h"

/**
 * Token bucket that limits how often a wrong key is answered, so that guessing
 * keys is slow.
 */
struct access_failure_bucket {
	/** Tokens in the bucket, and the time of the last refill. */
	double tokens;
	uint64_t refilled_ms;
};

/** Length of a key's SHA-256 digest in bytes. */
#define ACCESS_DIGEST_BYTES 32

/** Parses a hexadecimal digest; returns false if it is malformed. */
bool access_parse_digest(const char *hex, uint8_t digest[ACCESS_DIGEST_BYTES]);

/** Index of callers and operators by the hash of their keys. */
struct access_index;

/** Indexes the access list of the settings, which must outlive the index. */
struct access_index *access_index_create(
	const struct daemon_settings *settings);
void access_index_destroy(struct access_index *index);

/** Returns true if the access list is empty, so that anyone may call. */
bool access_allows_anyone(const struct access_index *index);

/**
 * Returns the access entry for an Authorization header "Bearer KEY"; NULL if
 * the header is NULL or the key unknown. The time taken does not reveal how
 * much of a key was right.
 */
const struct access_settings *access_find(const struct access_index *index,
					  const char *authorization);

/** Counts a failed authentication; returns false above the rate limit. */
bool access_failure_allowed(struct access_failure_bucket *failures,
			    uint64_t now_ms);

#endif
