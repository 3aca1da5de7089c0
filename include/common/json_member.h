/**
 * Finds the source text of a JSON object's member, so that it can be forwarded
 * byte for byte.
 */
#ifndef BRIARPLANK_COMMON_JSON_MEMBER_H
#define BRIARPLANK_COMMON_JSON_MEMBER_H

#include <stddef.h>

/**
 * Returns the text of the last member with this name, or NULL if there is none.
 * Stores its length in bytes in *member_len.
 * The text must be one valid JSON object without comments.
 */
const char *json_member_text(const char *text, size_t len, const char *name,
			     size_t *member_len);

#endif
