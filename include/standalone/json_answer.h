/**
 * Reads members of JSON responses. A member that is absent, of another type, or
 * of a NULL root reads as an empty value.
 */
#ifndef BRIARPLANK_STANDALONE_JSON_ANSWER_H
#define BRIARPLANK_STANDALONE_JSON_ANSWER_H

#include <json-c/json.h>

#include "standalone/http_fetch.h"

/**
 * Parses a complete response with status 200. Returns NULL for any other
 * result, for invalid JSON, or when the root is not of the given type.
 */
struct json_object *json_answer_parse(const struct http_answer *answer,
				      enum json_type type);

/** Returns a string member, or "". */
const char *json_answer_text(struct json_object *root, const char *name);

/** Returns an integer member, or 0. */
uint64_t json_answer_int(struct json_object *root, const char *name);

bool json_answer_bool(struct json_object *root, const char *name);

#endif
