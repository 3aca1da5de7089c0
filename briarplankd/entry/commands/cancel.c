#include <string.h>

#include "jobs.h"

/* Parses 32 hexadecimal digits. */
static bool parse_id(const char *text, uint8_t id[HASH128_BYTES])
{
	size_t i;

	if (strlen(text) != 2 * HASH128_BYTES)
		return false;
	for (i = 0; i < HASH128_BYTES; i++) {
		int high = g_ascii_xdigit_value(text[2 * i]);
		int low = g_ascii_xdigit_value(text[2 * i + 1]);

		if (high < 0 || low < 0)
			return false;
		id[i] = (uint8_t)(high << 4 | low);
	}
	return true;
}

/* An id as show jobs has it, or CALLER/NAME, or a name of the operator's own. */
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

	if (!parse_id(subject, id))
		hash128_pair(caller, slash ? slash + 1 : subject, id);
	jobs_command(call, &request);
	g_free(caller);
}

const struct command_handler cancel_command = { "cancel", COMMAND_CANCEL, run };
