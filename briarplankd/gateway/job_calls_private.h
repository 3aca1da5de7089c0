/**
 * What submissions, reads and the cache of outputs share.
 */
#ifndef BRIARPLANKD_GATEWAY_JOB_CALLS_PRIVATE_H
#define BRIARPLANKD_GATEWAY_JOB_CALLS_PRIVATE_H

#include "gateway.h"
#include "job_calls.h"
#include "job_store.h"

struct job_calls {
	struct gateway *gateway;
	struct list submissions;
	struct list reads;
	/** Outputs by partition and offset, oldest first in the queue. */
	GHashTable *cache;
	GQueue cache_order;
	size_t cache_bytes;
};

/** Takes a request out of its call, which answers it at once. */
struct web_request *job_call_answered(struct web_request **web);

/** Loop time at which a call must be answered. */
uint64_t job_call_deadline(struct gateway *gateway, struct web_request *web);

/** Free what is under way, when the web has gone. */
void job_submissions_free(struct job_calls *calls);
void job_reads_free(struct job_calls *calls);

/** An output that is kept in memory. */
struct job_output {
	uint64_t key;
	char *data;
	size_t len;
};

void job_outputs_init(struct job_calls *calls);
void job_outputs_clear(struct job_calls *calls);
void job_outputs_put(struct job_calls *calls, const struct job_blob *place,
		     const char *data, size_t len);

/** Returns a kept output, or NULL. */
const struct job_output *job_outputs_get(struct job_calls *calls,
					 const struct job_blob *place);

#endif
