/*
 * The operators' command submit, which submits a job.
 */
#include <string.h>

#include "jobs.h"

static const char *const required_parameters[] = { "service", "path", NULL };

/* Appends "&NAME=VALUE" with the value escaped. */
static void add_parameter(GString *query, const struct command_pair *pair)
{
	char *escaped = g_uri_escape_string(pair->value, NULL, FALSE);

	g_string_append_printf(query, "%s%s=%s", query->len ? "&" : "",
			       pair->name, escaped);
	g_free(escaped);
}

static bool check_command(struct operator_call *call)
{
	size_t i;

	for (i = 0; required_parameters[i]; i++) {
		if (command_pair_value(call->command, required_parameters[i]))
			continue;
		operator_set_result(call, COMMAND_USAGE,
				    "submit job needs %s and a value",
				    required_parameters[i]);
		return false;
	}
	if (*call->command->body)
		return true;
	operator_set_result(call, COMMAND_USAGE,
			    "submit job needs items, one JSON object per line "
			    "after the command");
	return false;
}

static void run(struct operator_call *call)
{
	const struct command *command = call->command;
	GString *query = g_string_new(NULL);
	struct job_request request = { .kind = JOB_CALL_SUBMIT };
	size_t i;

	for (i = 0; i < command->pairs_nr; i++)
		add_parameter(query, &command->pairs[i]);
	request.name = command->subject;
	request.query = query->str;
	request.body = command->body;
	request.body_len = strlen(command->body);
	if (check_command(call))
		jobs_command_run(call, &request);
	else
		operator_finish(call);
	g_string_free(query, TRUE);
}

const struct command_handler submit_command = { "submit", COMMAND_SUBMIT, run };
