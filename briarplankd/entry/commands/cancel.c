/*
 * The operators' command cancel, which cancels a job.
 */
#include <string.h>

#include "jobs.h"

/*
 * The subject is an id from show jobs, CALLER/NAME, or the name of one of the
 * operator's own jobs.
 */
static void run(struct operator_call *call)
{
	const char *subject = call->command->subject;
	const char *slash = strchr(subject, '/');
	char *caller = slash ? g_strndup(subject, slash - subject) :
			       g_strdup(call->operator_name);
	uint8_t id[HASH128_BYTES];
	struct job_request request = {
		.kind = JOB_CALL_CANCEL,
		.name = subject,
		.job_id = id,
	};

	if (!hash_from_hex(subject, id, HASH128_BYTES))
		hash128_pair(caller, slash ? slash + 1 : subject, id);
	jobs_command_run(call, &request);
	g_free(caller);
}

const struct command_handler cancel_command = { "cancel", COMMAND_CANCEL, run };
