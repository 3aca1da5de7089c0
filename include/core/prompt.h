/**
 * The parts of a request's prompt that other requests may share, and the key of the
 * whole request.
 */
#ifndef BRIARPLANK_CORE_PROMPT_H
#define BRIARPLANK_CORE_PROMPT_H

#include <stddef.h>
#include <stdint.h>

/** What identifies the content of a request; empty without shared parts. */
struct prompt {
	/** Keys of the parts, in order. */
	uint64_t *parts;
	size_t parts_nr;
	/** Key of the whole request (request_key()); 0 for an item of a job. */
	uint64_t request;
	/** The parts as the caller sent them, for logs; NULL without any. */
	char *text;
};

/** Adds a part by its id. */
void prompt_add(struct prompt *prompt, const char *id);

/** Returns a hash of all shared parts together, or 0 without any. */
uint64_t prompt_hash(const struct prompt *prompt);

/** Frees the contents and makes the prompt empty. */
void prompt_clear(struct prompt *prompt);

#endif
