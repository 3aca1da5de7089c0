#include "jobs.h"

static void run(struct operator_call *call)
{
	char *id = g_uri_escape_string(call->command->subject, NULL, FALSE);
	char *path = g_strconcat("/v1/jobs/", id, NULL);

	jobs_call(call, "DELETE", path, NULL);
	g_free(path);
	g_free(id);
}

const struct command_handler cancel_command = { "cancel", COMMAND_CANCEL, run };
