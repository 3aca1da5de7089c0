/**
 * The index of all batch jobs in the platform's store, which this node follows,
 * folds and appends to.
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

struct job_log *job_store_log(struct job_store *store);

/** Offset up to which the index was read. */
uint64_t job_store_offset(const struct job_store *store);

/** Offset behind the last record that this node is known to have appended. */
uint64_t job_store_written(const struct job_store *store);

/** The index was read to its end at least once. */
bool job_store_loaded(const struct job_store *store);

/** Asks the store itself for the index's end; only the call's fate counts. */
void job_store_probe(struct job_store *store, uint32_t timeout_ms);

/** What the fold says is at most a second old. */
bool job_store_current(const struct job_store *store);

/** Retry-After for calls that need the store, in s. */
double job_store_retry_s(const struct job_store *store);

/** A caller begins, or ceases, to wait for the fold: it is followed closely. */
void job_store_await(struct job_store *store, bool awaited);

/** How the append of a record to the index ended. */
enum job_append_result {
	JOB_APPEND_DONE,
	/** The record is not in the log and never will be. */
	JOB_APPEND_REFUSED,
};

/**
 * Appends a record to the index; takes it over. It is sent again until it is
 * there. With may_give_up it ends as refused when the store refuses it and it
 * is sure never to be there.
 */
void job_store_append(struct job_store *store, GByteArray *record,
		      bool may_give_up,
		      void (*done)(void *ctx, enum job_append_result result),
		      void *ctx);

#endif
