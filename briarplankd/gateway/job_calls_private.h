/**
 * State and helpers shared by job submissions, job reads and the output cache.
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
	/**
	 * Cache of outputs by partition and offset, and a queue of the cached
	 * outputs, oldest first.
	 */
	GHashTable *cache;
	GQueue cache_order;
	size_t cache_bytes;
};

/**
 * Detaches a request from its call, sets *web to NULL and returns the request,
 * which the caller must answer at once.
 */
struct web_request *job_call_detach(struct web_request **web);

/**
 * Returns the loop time at which a call must be answered, in ms; a little
 * before the caller's deadline.
 */
uint64_t job_call_deadline(struct gateway *gateway, struct web_request *web);

/** Answer the calls in progress when the process stops. */
void job_submissions_stop(struct job_calls *calls);
void job_reads_stop(struct job_calls *calls);

/** Free the calls in progress, after the web server was destroyed. */
void job_submissions_free(struct job_calls *calls);
void job_reads_free(struct job_calls *calls);

/** A cached output. */
struct job_output {
	uint64_t key;
	char *data;
	size_t len;
};

void job_outputs_init(struct job_calls *calls);
void job_outputs_clear(struct job_calls *calls);
/** Caches a copy of an output and evicts the oldest ones over the limit. */
void job_outputs_put(struct job_calls *calls, const struct job_blob *location,
		     const char *data, size_t len);

/** Returns a cached output, valid until the next put, or NULL. */
const struct job_output *job_outputs_get(struct job_calls *calls,
					 const struct job_blob *location);

#endif
