/**
 * Operators' commands on jobs.
 */
#ifndef BRIARPLANKD_ENTRY_COMMANDS_JOBS_H
#define BRIARPLANKD_ENTRY_COMMANDS_JOBS_H

#include "../operator.h"
#include "briarplankd/entry/jobs.h"

/** Sends a request to the jobs task and finishes the call with its answer. */
void jobs_command_run(struct operator_call *call, struct job_request *request);

#endif
