/**
 * Rows of an answer as a table of text.
 */
#ifndef BRIARPLANKCTL_TABLE_H
#define BRIARPLANKCTL_TABLE_H

#include <stdio.h>

#include <json-c/json.h>

/** Which columns a kind of rows has, in order. */
struct table_format {
	/** Kind as in "show KIND". */
	const char *kind;
	/** NULL-terminated names of fields. */
	const char *const *columns;
};

extern const struct table_format config_table;
extern const struct table_format jobs_table;
extern const struct table_format nodes_table;
extern const struct table_format refusals_table;
extern const struct table_format requests_table;
extern const struct table_format servers_table;
extern const struct table_format services_table;

/**
 * Prints rows below a line of titles. Kinds without a format have the columns
 * of their first row.
 */
void table_print(FILE *out, const char *kind, struct json_object *rows);

#endif
