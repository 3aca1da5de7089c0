/**
 * The state of all batch jobs, computed from the records of the job log.
 *
 * Every entry applies the same records in the order of their offsets and gets
 * the same state: which submission was accepted, which result of an item
 * counts, and the position of that result in its job.
 */
#ifndef BRIARPLANK_CORE_JOB_LOG_H
#define BRIARPLANK_CORE_JOB_LOG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "common/list.h"

struct job_log;

/** Location of a body or an output in the bulk topic. */
struct job_blob {
	int partition;
	/** Offset of the first record that holds the data. */
	uint64_t offset;
	/** Number of consecutive records that hold the data. */
	unsigned records;
	uint64_t bytes;
};

/** An item is open until it has an output or has failed permanently. */
enum job_item_state { JOB_ITEM_OPEN, JOB_ITEM_DONE, JOB_ITEM_DEAD };

struct job_item {
	char *id;
	uint64_t tokens;
	enum job_item_state state;
	struct job_blob body;
	/** Output of a JOB_ITEM_DONE item. */
	struct job_blob output;
	/** Last event of the saved partial output of an open item, or -1. */
	int64_t saved_event;
	/** Saved partial output. */
	struct job_blob saved;
	/** Hash of the service and software version that wrote it; 0 if unknown. */
	uint64_t saved_software;
	/** Number of runs that a server answered with a failure. */
	unsigned failures;
	/** This node's run of the item; owned by the module that runs items. */
	void *run;
};

struct job {
	struct list link;
	char *id;
	char *host;
	char *path;
	char *route;
	/** Name of the client account; NULL for none. */
	char *account;
	/** The entry that accepted the job. */
	char *node;
	uint64_t accepted_ms;
	uint64_t due_ms;
	/** Time after which open items may be dropped. */
	uint64_t expires_ms;
	unsigned attempts_max;
	bool ended;
	struct job_item *items;
	size_t items_nr;
	size_t open_nr;
	/** Indices of items in the order of their results. */
	uint32_t *results;
	size_t results_nr;
};

enum job_submission_outcome {
	JOB_ACCEPTED,
	/** The same job was already accepted. */
	JOB_REPEATED,
	/** The job would exceed its account's limit of waiting tokens on the
	 * route. */
	JOB_OVER_LIMIT,
};

/** Callbacks for changes of the state; each may be NULL. */
struct job_log_watcher {
	void (*on_submission)(void *ctx, uint64_t submission,
			      enum job_submission_outcome outcome,
			      struct job *job);
	/** An item ended; its index is the last one in job->results. */
	void (*on_result)(void *ctx, struct job *job, struct job_item *item);
	void (*on_end)(void *ctx, struct job *job);
	void (*on_node)(void *ctx, const char *name, const char *address,
			const char *data_centre);
	/** Called before the job is freed. */
	void (*on_forget)(void *ctx, struct job *job);
	void *ctx;
};

struct job_log *job_log_create(const struct job_log_watcher *watcher);
void job_log_destroy(struct job_log *log);

/** Applies the next record; returns false if it can't be decoded. */
bool job_log_apply(struct job_log *log, const void *data, size_t len);

struct job *job_log_find(struct job_log *log, const char *id);

/** Returns the list of all jobs, linked by job->link, oldest first. */
struct list *job_log_jobs(struct job_log *log);

/** Returns the number of tokens of an account's unfinished items on a route; account
 * is NULL for jobs without an account. */
uint64_t job_log_waiting_tokens(const struct job_log *log, const char *route,
				const char *account);

/** Returns the number of open items of all jobs that haven't ended. */
size_t job_log_open_items(const struct job_log *log);

/**
 * Tells whether a job's open items may be given up at a Unix time in ms by this
 * VM's clock. As clocks may differ and jump by seconds, it does so some seconds
 * after the job's expiry.
 */
bool job_may_be_given_up(const struct job *job, uint64_t wall_ms);

/** Removes jobs accepted before a time that ended or have no open items. */
void job_log_expire(struct job_log *log, uint64_t accepted_before_ms);

/** An item of a submission, and the location of its body. */
struct job_submission_item {
	const char *id;
	uint64_t tokens;
	struct job_blob body;
};

struct job_submission {
	/** Job id. */
	const char *id;
	/** Number of this submission, passed to on_submission. */
	uint64_t submission;
	const char *host;
	const char *path;
	const char *route;
	/** Name of the client account; NULL for none. */
	const char *account;
	const char *node;
	uint64_t accepted_ms;
	uint64_t completion_ms;
	uint64_t retention_ms;
	unsigned attempts_max;
	uint64_t waiting_tokens_max;
	const struct job_submission_item *items;
	size_t items_nr;
};

/**
 * These functions encode records of the job log; the caller frees the buffers.
 */
GByteArray *job_log_encode_submission(const struct job_submission *submission);
GByteArray *job_log_encode_result(const char *job, size_t item,
				  const struct job_blob *output,
				  const char *dead_reason);
GByteArray *job_log_encode_failure(const char *job, size_t item, int status);
/** Discards the saved output of an item; this doesn't count as a failure. */
GByteArray *job_log_encode_discard(const char *job, size_t item);
GByteArray *job_log_encode_progress(const char *job, size_t item,
				    uint64_t last_event, uint64_t software,
				    const struct job_blob *output);
GByteArray *job_log_encode_end(const char *job);
GByteArray *job_log_encode_node(const char *name, const char *address,
				const char *data_centre);

#endif
