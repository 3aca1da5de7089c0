/**
 * Finds the text of a member of a JSON object, so that it can be passed on
 * byte for byte.
 */
#ifndef BRIARPLANK_COMMON_JSON_MEMBER_H
#define BRIARPLANK_COMMON_JSON_MEMBER_H

#include <stddef.h>

/**
 * Returns the text of the last member with this name and its length, or NULL.
 * The text must be one valid JSON object without comments.
 */
const char *json_member_text(const char *text, size_t len, const char *name,
			     size_t *member_len);

#endif
