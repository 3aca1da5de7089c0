#include <string.h>

#include "jobs.h"

static const char *const needed[] = { "service", "path", NULL };

/* Appends "&NAME=VALUE" with the value escaped. */
static void add_parameter(GString *path, const struct command_pair *pair)
{
	char *escaped = g_uri_escape_string(pair->value, NULL, FALSE);

	g_string_append_printf(path, "%c%s=%s",
			       strchr(path->str, '?') ? '&' : '?', pair->name,
			       escaped);
	g_free(escaped);
}

static bool check(struct operator_call *call)
{
	size_t i;

	for (i = 0; needed[i]; i++) {
		if (command_pair_value(call->command, needed[i]))
			continue;
		operator_result(call, COMMAND_USAGE,
				"submit job needs %s and a value", needed[i]);
		return false;
	}
	if (*call->command->body)
		return true;
	operator_result(call, COMMAND_USAGE,
			"submit job needs items, one in JSON on each line "
			"below the command");
	return false;
}

static void run(struct operator_call *call)
{
	const struct command *command = call->command;
	char *name = g_uri_escape_string(command->subject, NULL, FALSE);
	GString *path = g_string_new("/v1/jobs/");
	size_t i;

	g_string_append(path, name);
	for (i = 0; i < command->pairs_nr; i++)
		add_parameter(path, &command->pairs[i]);
	if (check(call))
		jobs_call(call, "PUT", path->str, command->body);
	else
		operator_finish(call);
	g_string_free(path, TRUE);
	g_free(name);
}

const struct command_handler submit_command = { "submit", COMMAND_SUBMIT, run };
