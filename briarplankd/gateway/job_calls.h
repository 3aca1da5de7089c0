/**
 * Handles the HTTP calls on batch jobs: submitting a job, reading results and
 * item bodies, and ending a job.
 */
#ifndef BRIARPLANKD_GATEWAY_JOB_CALLS_H
#define BRIARPLANKD_GATEWAY_JOB_CALLS_H

#include "gateway.h"

struct job_calls *job_calls_create(struct gateway *gateway);
void job_calls_destroy(struct job_calls *calls);

/** Answers the calls in progress when the process stops. */
void job_calls_stop(struct job_calls *calls);

/**
 * Answers the submission with this number when the job log has decided it. Does
 * nothing for a submission of another node.
 */
void job_calls_submission_decided(struct job_calls *calls, uint64_t number,
				  enum job_submission_outcome outcome,
				  struct job *job);

/** Answers the reads that wait for results of a job, after an item ended. */
void job_calls_item_ended(struct job_calls *calls, const struct job *job);

#endif
