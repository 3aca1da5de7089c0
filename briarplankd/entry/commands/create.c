/*
 * The operators' command create, which creates a service with its settings.
 */
#include <string.h>

#include "../operator.h"
#include "common/error.h"
#include "core/config_keys.h"

/* Progress of publishing a service's settings, one at a time. */
struct create_state {
	/* Index of the next setting to publish. */
	size_t next;
	/* This field is not used. */
	unsigned refused;
};

static char *service_key(const struct operator_call *call, const char *field)
{
	return g_strdup_printf("service.%s.%s", call->command->subject, field);
}

static bool check_pair(struct operator_call *call,
		       const struct command_pair *pair)
{
	char *key = service_key(call, pair->name);
	bool valid = config_key_check(key, pair->json) == CONFIG_CHECK_VALID;

	if (!valid)
		operator_set_result(call, COMMAND_REFUSED, "column %u: %s",
				    pair->column, error_last());
	g_free(key);
	return valid;
}

/* Checks the name and all settings before anything is published. */
static bool check_all(struct operator_call *call)
{
	const struct command *command = call->command;
	size_t i;

	if (!config_name_valid(command->subject, strlen(command->subject))) {
		operator_set_result(call, COMMAND_REFUSED,
				    "column %u: a service name must be 1 to 64 "
				    "letters, digits, dashes or underscores",
				    command->subject_column);
		return false;
	}
	for (i = 0; i < command->pairs_nr; i++) {
		if (!check_pair(call, &command->pairs[i]))
			return false;
	}
	return true;
}

static void publish_next(struct operator_call *call);

static void on_pair_published(void *ctx,
			      const struct config_publish_result *published)
{
	struct operator_call *call = ctx;
	struct create_state *state = call->state;

	if (published->status == CONFIG_PUBLISH_APPLIED) {
		publish_next(call);
		return;
	}
	operator_set_published(call, published);
	operator_set_result(
		call, call->result.status,
		"service %s was created, but %zu of its settings are "
		"not in effect: %s",
		call->command->subject,
		call->command->pairs_nr - state->next + 1, published->message);
	operator_finish(call);
}

static void publish_next(struct operator_call *call)
{
	struct create_state *state = call->state;
	const struct command_pair *pair;
	char *key, *suffix;

	if (state->next == call->command->pairs_nr) {
		operator_set_result(
			call, COMMAND_DONE,
			"service %s was created at revision %" G_GUINT64_FORMAT,
			call->command->subject,
			config_revision(call->task->super.node));
		operator_finish(call);
		return;
	}
	pair = &call->command->pairs[state->next++];
	key = service_key(call, pair->name);
	suffix = g_strdup_printf("/%zu", state->next);
	operator_publish_change(call, suffix, key, pair->json, 0,
				on_pair_published);
	g_free(suffix);
	g_free(key);
}

static void on_created(void *ctx, const struct config_publish_result *published)
{
	struct operator_call *call = ctx;

	if (published->status == CONFIG_PUBLISH_APPLIED) {
		publish_next(call);
		return;
	}
	operator_set_published(call, published);
	operator_finish(call);
}

/* Returns whether another command created the service before. */
static bool service_exists(struct operator_call *call, const char *key)
{
	const struct config_store *store =
		node_config_store(call->task->super.node);
	const char *value = config_store_value(store, key);
	struct config_command own;

	if (!value || strcmp(value, "true") != 0)
		return false;
	return !config_store_command(store, call->operator_name,
				     call->command_id, &own);
}

static void run(struct operator_call *call)
{
	char *key = service_key(call, "created");

	call->state = g_new0(struct create_state, 1);
	if (!check_all(call)) {
		operator_finish(call);
	} else if (service_exists(call, key)) {
		operator_set_result(call, COMMAND_REFUSED,
				    "service %s already exists",
				    call->command->subject);
		operator_finish(call);
	} else {
		operator_publish_change(call, "", key, "true", 0, on_created);
	}
	g_free(key);
}

const struct command_handler create_command = { "create", COMMAND_CREATE, run };
