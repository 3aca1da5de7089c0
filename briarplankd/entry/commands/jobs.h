/**
 * Operators' commands on jobs, carried out by the jobs task.
 */
#ifndef BRIARPLANKD_ENTRY_COMMANDS_JOBS_H
#define BRIARPLANKD_ENTRY_COMMANDS_JOBS_H

#include "../operator.h"
#include "briarplankd/entry/jobs.h"

/** Has a request carried out and finishes the call with its answer. */
void jobs_command(struct operator_call *call, struct job_request *request);

#endif
