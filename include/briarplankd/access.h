/**
 * Who may do what: bearer keys of callers and operators.
 */
#ifndef BRIARPLANKD_ACCESS_H
#define BRIARPLANKD_ACCESS_H

#include "briarplankd/daemon_settings.h"

/** Limits how often wrong keys are answered, so that guessing is slow. */
struct access_failures {
	/** Failures that may still come at once, and when that was counted. */
	double left;
	uint64_t counted_ms;
};

/** Bytes of a key's SHA-256. */
#define ACCESS_DIGEST_BYTES 32

/** Parses a digest in hexadecimal; false when it is none. */
bool access_parse_digest(const char *hex, uint8_t digest[ACCESS_DIGEST_BYTES]);

/** Callers and operators by the hash of their keys. */
struct access_index;

/** Makes the index of a settings' access list, which must outlive it. */
struct access_index *access_index_create(
	const struct daemon_settings *settings);
void access_index_destroy(struct access_index *index);

/** Tells whether no caller is named, so that anybody may call. */
bool access_open(const struct access_index *index);

/**
 * Finds the entry of a field "Bearer KEY"; NULL for none or a NULL field. The
 * time taken doesn't depend on which key comes near.
 */
const struct access_settings *access_find(const struct access_index *index,
					  const char *authorization);

/** Counts a failure; false when there were too many of late. */
bool access_failure_allowed(struct access_failures *failures, uint64_t now_ms);

#endif
