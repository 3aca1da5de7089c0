/**
 * A key by which a request is recognized when it comes again under another id.
 */
#ifndef BRIARPLANK_CORE_REQUEST_KEY_H
#define BRIARPLANK_CORE_REQUEST_KEY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** What makes two requests equal. */
struct request_identity {
	const char *method;
	const char *host;
	/** Path and query. */
	const char *target;
	/** Credentials of the client account; NULL without any. */
	const char *account;
	const char *body;
	size_t body_len;
};

/**
 * Returns the key of a request: never 0, and never equal to that of a part of a
 * prompt. It is the beginning of a cryptographic hash, so that no caller can choose
 * a request that has the key of another account's.
 */
uint64_t request_key(const struct request_identity *identity);

/** Tells whether a key is that of a request, not of a part of a prompt. */
bool is_request_key(uint64_t key);

/** Returns the key of a part of a prompt, by the hash of its id. */
uint64_t prompt_part_key(uint64_t hash);

#endif
