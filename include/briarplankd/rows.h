/**
 * Rows that a node lists for operators' show commands.
 *
 * A row is a JSON object. Each task registers functions that list its rows. An
 * entry that runs a show command asks the other nodes for their rows.
 */
#ifndef BRIARPLANKD_ROWS_H
#define BRIARPLANKD_ROWS_H

#include <json-c/json.h>

#include "briarplankd/node.h"
#include "core/command.h"

/** Add a field to a row. A NULL text is added as an empty string. */
void row_add_text(struct json_object *row, const char *name, const char *value);
void row_add_number(struct json_object *row, const char *name, uint64_t value);
void row_add_bool(struct json_object *row, const char *name, bool value);
/** Adds a Unix time in ms as ISO 8601, or an empty string if it is 0. */
void row_add_time(struct json_object *row, const char *name, uint64_t ms);

/** Function that appends the rows of one source to an array. */
typedef void (*rows_list_fn)(void *ctx, struct json_object *rows);

/**
 * Registers a source of rows of a kind: "jobs", "requests", "refusals" or
 * "servers". A kind may have several sources.
 */
void rows_register(struct node *node, const char *kind, rows_list_fn fn,
		   void *ctx);

/**
 * Appends this node's rows that meet the conditions of a show command. Returns
 * false if the node has no source of that kind. Sets *truncated if rows were
 * left out.
 */
bool rows_collect(struct node *node, const struct command *command,
		  struct json_object *rows, bool *truncated);

/** Returns whether a row meets all conditions of a show command. */
bool row_matches(const struct command *command, struct json_object *row);

/** Creates the task that answers other nodes' queries for rows. */
struct task *rows_task_create(void);

#endif
