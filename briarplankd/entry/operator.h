/**
 * Operators' commands at an entry: one handler a command.
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
	/** Done, but the answer doesn't cover everything. */
	COMMAND_PARTIAL,
	/** Refused; nothing was changed. */
	COMMAND_REFUSED,
	/** Not understood. */
	COMMAND_USAGE,
	/** Nothing was changed, as something is out of reach now. */
	COMMAND_NOT_DONE,
	/** In doubt: sending it again with the same id is safe. */
	COMMAND_UNKNOWN,
};

/** What a command comes to. */
struct command_result {
	enum command_status status;
	char *message;
	/** Array of objects, or NULL. */
	struct json_object *rows;
	/** Nodes that were asked, and those that did not answer. */
	unsigned nodes_asked;
	struct json_object *nodes_silent;
	/** What was not answered is covered by what was. */
	bool complete;
	/** Shards of the ledger that no answer covers; NULL but for jobs. */
	struct json_object *shards_missing;
	/** Shards that answers cover, by number. */
	GHashTable *shards;
};

struct operator_task {
	struct task super;
	/** Of struct operator_call. */
	struct list calls;
	/** Of struct gather. */
	struct list gathers;
	uint64_t next_gather;
	struct access_failures failures;
};

/** A command under way. */
struct operator_call {
	struct list link;
	struct operator_task *task;
	/** NULL once the operator has left. */
	struct web_request *web;
	struct command *command;
	/** First line of the command, as it was sent. */
	char *line;
	char *operator_name;
	char *authorization;
	char *command_id;
	struct command_result result;
	/** State of the handler, freed with g_free. */
	void *state;
};

/** Makes a command's way from its call to operator_finish(). */
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

/** Registers the rows that an entry knows itself. */
void operator_rows_start(struct node *node);

/** Makes the row of a job. */
struct json_object *operator_job_row(const Briarplank__JobState *state);

/** Sets the result's status and message. */
__attribute__((format(printf, 3, 4))) void operator_result(
	struct operator_call *call, enum command_status status, const char *fmt,
	...);

/** Publishes one change under the call's command id and a suffix. */
void operator_publish(struct operator_call *call, const char *suffix,
		      const char *key, const char *value, uint64_t base,
		      config_publish_fn done);

/** Takes over the outcome of a change as the call's result. */
void operator_published(struct operator_call *call,
			const struct config_published *published);

/** A config_publish_fn for calls that end with one change. */
void operator_on_published(void *ctx, const struct config_published *published);

#endif
