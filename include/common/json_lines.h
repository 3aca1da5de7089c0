/**
 * Finds the line of each key in JSON text with comments.
 */
#ifndef BRIARPLANK_COMMON_JSON_LINES_H
#define BRIARPLANK_COMMON_JSON_LINES_H

#include <glib.h>

/**
 * Maps the path of each member and array element ("peers[1].name") to its
 * line, counted from 1. The text must be valid JSON; free the table with
 * g_hash_table_destroy().
 */
GHashTable *json_lines_index(const char *text);

/** Returns the line of a path, or of its nearest parent in the table. */
int json_lines_find(GHashTable *lines, const char *path);

#endif
