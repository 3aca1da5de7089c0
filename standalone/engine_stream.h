/**
 * Asks an engine for a stream in place of a whole answer, so that the tokens
 * of a call that must give way are kept, and makes the whole answer of it.
 */
#ifndef BRIARPLANK_STANDALONE_ENGINE_STREAM_H
#define BRIARPLANK_STANDALONE_ENGINE_STREAM_H

#include <stddef.h>

/**
 * Returns the body with the stream asked for, else unchanged byte for byte;
 * NULL when the body names "stream" itself or is no JSON object.
 */
char *engine_stream_request(const char *body, size_t len);

/** Returns the whole answer of a call's events; NULL when they aren't whole. */
char *engine_stream_whole(const char *call_id, const char *events);

#endif
