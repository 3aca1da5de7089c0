/**
 * Calls of the jobs interface for an operator's command.
 */
#ifndef BRIARPLANKD_ENTRY_COMMANDS_JOBS_H
#define BRIARPLANKD_ENTRY_COMMANDS_JOBS_H

#include "../operator.h"

/**
 * Calls this entry's own jobs interface with the operator's key, so that a
 * command and a request have the same effect, and finishes the call with the
 * answer.
 */
void jobs_call(struct operator_call *call, const char *method, const char *path,
	       const char *body);

#endif
