/**
 * Reads the job log (the index of all batch jobs in the store) as it grows,
 * applies its records to this node's struct job_log, and appends records to it.
 */
#ifndef BRIARPLANKD_GATEWAY_JOB_STORE_H
#define BRIARPLANKD_GATEWAY_JOB_STORE_H

#include "gateway.h"

struct job_store_options {
	struct gateway *gateway;
	struct job_log_watcher watcher;
};

struct job_store *job_store_create(const struct job_store_options *options);
void job_store_destroy(struct job_store *store);

/** Returns the state of all jobs, computed from the records read so far. */
struct job_log *job_store_log(struct job_store *store);

/** Returns the offset up to which the index was read. */
uint64_t job_store_read_offset(const struct job_store *store);

/**
 * Returns the offset after the last record this node is known to have appended.
 */
uint64_t job_store_appended_offset(const struct job_store *store);

/** Tells whether the index was read to its end at least once. */
bool job_store_loaded(const struct job_store *store);

/**
 * Sends a small read of the index directly to the store. The store's route
 * learns from it whether the store is reachable; the result is ignored.
 */
void job_store_probe(struct job_store *store, uint32_t timeout_ms);

/** Tells whether job_store_log() is at most a second out of date. */
bool job_store_is_current(const struct job_store *store);

/** Returns the Retry-After for calls that need the store, in s. */
double job_store_retry_s(const struct job_store *store);

/**
 * Counts a caller that starts (true) or stops (false) waiting for a record. The
 * index is polled without a pause while there is one.
 */
void job_store_count_waiter(struct job_store *store, bool waiting);

/** Outcome of the append of a record to the index. */
enum job_append_result {
	/** The record is in the log. */
	JOB_APPEND_DONE,
	/** The record is not in the log and never will be. */
	JOB_APPEND_REFUSED,
};

/**
 * Appends a record to the index, exactly once, and takes over the record. The
 * append is retried until it succeeds. With may_give_up it ends with
 * JOB_APPEND_REFUSED when the store refuses it and no earlier attempt can have
 * been carried out. done may be NULL.
 */
void job_store_append(struct job_store *store, GByteArray *record,
		      bool may_give_up,
		      void (*done)(void *ctx, enum job_append_result result),
		      void *ctx);

#endif
