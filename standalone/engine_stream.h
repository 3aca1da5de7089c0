/**
 * Converts a non-streaming call into a streaming one, so that the tokens of a
 * preempted call are kept, and assembles the non-streaming response from it.
 */
#ifndef BRIARPLANK_STANDALONE_ENGINE_STREAM_H
#define BRIARPLANK_STANDALONE_ENGINE_STREAM_H

#include <stddef.h>

/**
 * Returns the body with "stream":true added and all other bytes unchanged, or
 * NULL when the body already has "stream" or is not a JSON object.
 */
char *engine_stream_request(const char *body, size_t len);

/** Returns the response for a call's events, or NULL if they are incomplete. */
char *engine_stream_assemble(const char *call_id, const char *events);

/** Last line of each complete stream of an engine. */
extern const char engine_stream_end[];

#endif
