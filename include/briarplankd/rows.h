/**
 * What a node can show to operators: each task registers the rows it knows.
 *
 * A row is a JSON object. An entry that runs a show asks the other nodes for
 * theirs.
 */
#ifndef BRIARPLANKD_ROWS_H
#define BRIARPLANKD_ROWS_H

#include <json-c/json.h>

#include "briarplankd/node.h"
#include "core/command.h"

/** Add a field to a row; a NULL text is an empty one, and so is time 0. */
void row_add_text(struct json_object *row, const char *name, const char *value);
void row_add_number(struct json_object *row, const char *name, uint64_t value);
void row_add_bool(struct json_object *row, const char *name, bool value);
/** Unix time in ms, as ISO 8601. */
void row_add_time(struct json_object *row, const char *name, uint64_t ms);

/** Appends the rows that a task knows. */
typedef void (*rows_fn)(void *ctx, struct json_object *rows);

/**
 * Registers the source of a kind: "jobs", "requests", "refusals" or "servers".
 * A kind may have several sources.
 */
void rows_register(struct node *node, const char *kind, rows_fn fn, void *ctx);

/**
 * Appends this node's rows that meet the conditions of a show. False when the
 * node has no source for the kind. Sets truncated when rows were left out.
 */
bool rows_collect(struct node *node, const struct command *command,
		  struct json_object *rows, bool *truncated);

/** Tells whether a row meets all conditions of a show. */
bool rows_match(const struct command *command, struct json_object *row);

/** Makes the task that answers other nodes' questions for rows. */
struct task *rows_task_create(void);

#endif
