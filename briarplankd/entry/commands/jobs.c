/*
 * Runs operators' commands on jobs through the task that serves jobs.
 */
#include <string.h>

#include "jobs.h"

static enum command_status get_command_status(int http_status, bool in_doubt)
{
	if (in_doubt)
		return COMMAND_UNKNOWN;
	if (http_status >= 200 && http_status < 300)
		return COMMAND_DONE;
	if (http_status == 400)
		return COMMAND_USAGE;
	if (http_status == 429 || http_status == 503)
		return COMMAND_NOT_DONE;
	return http_status < 500 ? COMMAND_REFUSED : COMMAND_UNKNOWN;
}

/* Sets the result; for a cancel it counts the items that had ended before. */
static void set_done(struct operator_call *call,
		     const struct job_outcome *outcome)
{
	const Briarplank__JobState *job = outcome->job;

	if (call->command->kind == COMMAND_CANCEL && job)
		operator_set_result(
			call, COMMAND_DONE,
			"the job is cancelled; %u of its %u items had "
			"ended otherwise",
			job->done + job->failed + job->outcome_unknown,
			job->items);
	else if (outcome->status == 201)
		operator_set_result(call, COMMAND_DONE, "the job is accepted");
	else
		operator_set_result(call, COMMAND_DONE,
				    "the same job was accepted before");
}

static void on_done(void *ctx, const struct job_outcome *outcome)
{
	struct operator_call *call = ctx;

	if (outcome->detail)
		operator_set_result(
			call,
			get_command_status(outcome->status, outcome->in_doubt),
			"%s", outcome->detail);
	else
		set_done(call, outcome);
	if (outcome->job)
		json_object_array_add(call->result.rows,
				      operator_job_row(outcome->job));
	operator_finish(call);
}

void jobs_command_run(struct operator_call *call, struct job_request *request)
{
	request->caller = call->operator_name;
	request->done = on_done;
	request->ctx = call;
	jobs_request(call->task->super.node, request);
}
