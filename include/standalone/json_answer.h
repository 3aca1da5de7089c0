/**
 * Reads members of JSON answers; absent ones and a NULL root are empty.
 */
#ifndef BRIARPLANK_STANDALONE_JSON_ANSWER_H
#define BRIARPLANK_STANDALONE_JSON_ANSWER_H

#include <json-c/json.h>

#include "standalone/http_fetch.h"

/** Parses a whole answer with status 200; NULL for any other type or text. */
struct json_object *json_answer_parse(const struct http_answer *answer,
				      enum json_type type);

/** Returns a text member, or "". */
const char *json_answer_text(struct json_object *root, const char *name);

/** Returns a member that is a whole number, or 0. */
uint64_t json_answer_int(struct json_object *root, const char *name);

bool json_answer_bool(struct json_object *root, const char *name);

#endif
