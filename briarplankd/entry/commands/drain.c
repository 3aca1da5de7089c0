/*
 * The operators' commands drain and undrain, which set whether a server gets
 * new work.
 */
#include <string.h>

#include "../operator.h"
#include "briarplankd/members_task.h"

static bool server_known(struct node *node, const char *name)
{
	struct member *member = members_find(node_members(node), name);

	return member && member->role == MEMBER_AGENT;
}

static void set_drained(struct operator_call *call, const char *value)
{
	struct node *node = call->task->super.node;
	const struct config_store *store = node_config_store(node);
	const char *name = call->command->subject;
	char *key = g_strdup_printf("server.%s.drained", name);
	const char *current = config_store_value(store, key);

	if (!current && !server_known(node, name)) {
		operator_set_result(call, COMMAND_REFUSED,
				    "no server %s is known to this entry",
				    name);
		operator_finish(call);
	} else if (current && !strcmp(current, value)) {
		operator_set_result(
			call, COMMAND_DONE,
			"%s has been %s since revision %" G_GUINT64_FORMAT, key,
			value, config_store_key_revision(store, key));
		operator_finish(call);
	} else {
		operator_publish_change(call, "", key, value, 0,
					operator_on_published);
	}
	g_free(key);
}

static void run_drain(struct operator_call *call)
{
	set_drained(call, "true");
}

static void run_undrain(struct operator_call *call)
{
	set_drained(call, "false");
}

const struct command_handler drain_command = { "drain", COMMAND_DRAIN,
					       run_drain };
const struct command_handler undrain_command = { "undrain", COMMAND_UNDRAIN,
						 run_undrain };
