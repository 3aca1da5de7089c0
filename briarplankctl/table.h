/**
 * Prints the rows of an answer as a text table.
 */
#ifndef BRIARPLANKCTL_TABLE_H
#define BRIARPLANKCTL_TABLE_H

#include <stdio.h>

#include <json-c/json.h>

/** Columns of one kind of rows, in order. */
struct table_format {
	/** Kind of rows, as named in the command "show KIND". */
	const char *kind;
	/** NULL-terminated field names. */
	const char *const *columns;
};

extern const struct table_format config_table;
extern const struct table_format jobs_table;
extern const struct table_format nodes_table;
extern const struct table_format quarantine_table;
extern const struct table_format refusals_table;
extern const struct table_format requests_table;
extern const struct table_format servers_table;
extern const struct table_format services_table;

/**
 * Prints a header line and the rows. Kinds without a format use the fields of
 * the first row as columns.
 */
void table_print(FILE *out, const char *kind, struct json_object *rows);

#endif
