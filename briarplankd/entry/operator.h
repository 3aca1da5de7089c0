/**
 * Operators' commands at an entry. Each command has one handler.
 */
#ifndef BRIARPLANKD_ENTRY_OPERATOR_H
#define BRIARPLANKD_ENTRY_OPERATOR_H

#include <json-c/json.h>

#include "briarplankd/access.h"
#include "briarplankd/config_task.h"
#include "briarplankd/node.h"
#include "core/command.h"

#define OPERATOR_PART "operator"

enum command_status {
	COMMAND_DONE,
	/**
	 * The command was done, but the answer doesn't cover all nodes or
	 * shards.
	 */
	COMMAND_PARTIAL,
	/** The command was refused, and nothing was changed. */
	COMMAND_REFUSED,
	/** The command was not understood. */
	COMMAND_USAGE,
	/** Nothing was changed, as a part of the system can't be reached now. */
	COMMAND_NOT_DONE,
	/**
	 * The outcome is unknown; sending the command again with the same id is
	 * safe.
	 */
	COMMAND_UNKNOWN,
};

/** Result of a command. */
struct command_result {
	enum command_status status;
	char *message;
	/** JSON array of rows, which are objects. */
	struct json_object *rows;
	/**
	 * Number of nodes that were asked, and JSON array of the names of those
	 * that did not answer in full.
	 */
	unsigned nodes_asked;
	struct json_object *nodes_silent;
	/** The rows are complete, although some nodes have not replied. */
	bool is_complete;
	/** JSON array of shards that no answer covers; NULL except for jobs. */
	struct json_object *shards_missing;
	/** Set of the numbers of the shards that answers cover. */
	GHashTable *shards;
};

struct operator_task {
	struct task super;
	/** List of struct operator_call. */
	struct list calls;
	/** List of struct gather. */
	struct list gathers;
	uint64_t next_gather;
	struct access_failure_bucket failures;
};

/** A command that is being carried out. */
struct operator_call {
	struct list link;
	struct operator_task *task;
	/**
	 * HTTP request of the operator; NULL once the operator has
	 * disconnected.
	 */
	struct web_request *web;
	struct command *command;
	/** First line of the command, as it was sent. */
	char *line;
	char *operator_name;
	char *authorization;
	char *command_id;
	struct command_result result;
	/** Data that the command's handler keeps, freed with g_free. */
	void *state;
};

/** Handler of a command: run() starts it, operator_finish() ends it. */
struct command_handler {
	const char *verb;
	enum command_kind kind;
	void (*run)(struct operator_call *call);
};

extern const struct command_handler cancel_command;
extern const struct command_handler create_command;
extern const struct command_handler drain_command;
extern const struct command_handler set_command;
extern const struct command_handler show_command;
extern const struct command_handler submit_command;
extern const struct command_handler undrain_command;
extern const struct command_handler unset_command;

/** Sends the result and frees the call. */
void operator_finish(struct operator_call *call);

/** Registers the rows that an entry lists from its own state. */
void operator_rows_register(struct node *node);

/** Creates the row of a job. */
struct json_object *operator_job_row(const Briarplank__JobState *state);

/** Sets the result's status and message. */
__attribute__((format(printf, 3, 4))) void operator_set_result(
	struct operator_call *call, enum command_status status, const char *fmt,
	...);

/**
 * Publishes one change of the configuration. Its id is the call's command id
 * followed by suffix.
 */
void operator_publish_change(struct operator_call *call, const char *suffix,
			     const char *key, const char *value, uint64_t base,
			     config_publish_fn done);

/** Sets the call's result from the outcome of a published change. */
void operator_set_published(struct operator_call *call,
			    const struct config_publish_result *published);

/** Sets the result and finishes a call that publishes a single change. */
void operator_on_published(void *ctx,
			   const struct config_publish_result *published);

#endif
