/**
 * The calls on batch jobs: submit, read results and bodies, end.
 */
#ifndef BRIARPLANKD_GATEWAY_JOB_CALLS_H
#define BRIARPLANKD_GATEWAY_JOB_CALLS_H

#include "gateway.h"

struct job_calls *job_calls_create(struct gateway *gateway);
void job_calls_destroy(struct job_calls *calls);

/** The fold decided a submission, of this node or of another. */
void job_calls_submitted(struct job_calls *calls, uint64_t number,
			 enum job_submission_outcome outcome, struct job *job);

/** An item of a job ended: readers may wait for it. */
void job_calls_result(struct job_calls *calls, const struct job *job);

#endif
