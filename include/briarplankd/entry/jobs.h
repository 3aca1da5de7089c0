/**
 * HTTP API for jobs at an entry: types and functions shared by jobs*.c.
 *
 * jobs.c has the task, the table of calls and the messages to shard owners;
 * jobs_submit.c parses and stores submissions; jobs_answer.c writes responses.
 */
#ifndef BRIARPLANKD_ENTRY_JOBS_H
#define BRIARPLANKD_ENTRY_JOBS_H

#include <glib.h>
#include <json-c/json.h>

#include "briarplankd/node.h"
#include "common/hash.h"
#include "core/submission.h"

struct jobs {
	struct task super;
	/** Calls in progress (struct job_call) by their id. */
	GHashTable *by_id;
	uint64_t next_id;
	uv_timer_t timer;
};

/** Operation on a job that a caller requested. */
enum job_call_kind {
	JOB_CALL_SUBMIT,
	JOB_CALL_QUERY,
	JOB_CALL_RESULTS,
	JOB_CALL_CANCEL,
	/** Stores one part of a job that is submitted in several parts. */
	JOB_CALL_PART,
};

/** Result of a request made from within the process. */
struct job_outcome {
	/** HTTP status code. */
	int status;
	/** Error message; NULL on success. */
	const char *detail;
	/** The request may have taken effect; repeating it is safe. */
	bool in_doubt;
	/** State of the job; NULL on failure. */
	const Briarplank__JobState *job;
};

typedef void (*job_done_fn)(void *ctx, const struct job_outcome *outcome);

/** A submission or cancellation from within the process, for jobs_request. */
struct job_request {
	enum job_call_kind kind;
	const char *caller;
	const char *name;
	/** Id of the job to cancel. */
	const uint8_t *job_id;
	/** URL query and items (NDJSON) of a submission. */
	const char *query;
	const char *body;
	size_t body_len;
	job_done_fn done;
	void *ctx;
};

/** One request of a caller. */
struct job_call {
	uint64_t id;
	struct jobs *jobs;
	/**
	 * HTTP request of the caller; NULL once the caller has disconnected or
	 * was answered.
	 */
	struct web_request *web;
	/**
	 * Callback that receives the outcome of a request from within the
	 * process; used instead of web.
	 */
	job_done_fn done;
	void *done_ctx;
	char *query_text;
	char *body;
	size_t body_len;
	enum job_call_kind kind;
	char *caller;
	char *name;
	uint8_t job_id[HASH128_BYTES];
	uint32_t shard;
	uint64_t deadline_ms;
	/** Time of the next attempt to reach the owner; 0: none is due. */
	uint64_t resend_ms;
	/** The call was sent to an owner of the job's shard at least once. */
	bool was_sent;

	/** Fields used by a submission: decoded query parameters. */
	GHashTable *query;
	uint64_t due_ms;
	uint64_t keep_ms;
	struct submission_parser *parser;
	/** Log offsets (uint64_t) of the chunks appended so far. */
	GArray *offsets;
	/**
	 * Number of stored parts that make up the job; 0 if the body is the
	 * whole job.
	 */
	uint32_t parts;
	/**
	 * Number of the part to store, from 1, and the line of the job at which
	 * it starts.
	 */
	uint32_t part;
	uint32_t first_line;
	/** The shard's owner has said that it does not store the part yet. */
	bool part_unknown;
	/** Failed attempts to append the current chunk. */
	unsigned append_attempts;
	/** Earliest time of the next append; 0 while parsing or appending. */
	uint64_t next_append_ms;
	/** An append is in flight: the call must not be freed yet. */
	bool appending;
	/** The call ended during an append, which frees it on completion. */
	bool free_after_append;

	/** First item of the next page of results. */
	uint32_t from_item;
	bool streaming;
	/**
	 * The next page of results waits until the caller has read those that
	 * are queued.
	 */
	bool waiting_for_reader;
};

/** Returns a job's state as JSON; free with json_object_put. */
struct json_object *job_state_json(const Briarplank__JobState *state);

/** Parses "90s", "15m", "72h" or "3d" to ms; returns false if invalid. */
bool jobs_parse_duration(const char *text, uint64_t *ms);

/** Copies and runs a request; may call done before it returns. */
void jobs_request(struct node *node, const struct job_request *request);

/** Reports the outcome of a call from within the process, once. */
void job_call_report(struct job_call *call, const struct job_outcome *outcome);

/** Frees a call that has been answered, after any append in flight. */
void job_call_end(struct job_call *call);

/** Answers the call with an HTTP problem and ends it. */
__attribute__((format(printf, 4, 5))) void job_call_fail(struct job_call *call,
							 int status,
							 const char *title,
							 const char *fmt, ...);

/** Answers the call with status 503 and a Retry-After field, and ends it. */
void job_call_unavailable(struct job_call *call, uint32_t retry_after_ms,
			  const char *detail);

/** Sends the call to the shard's owner, and again until the owner answers. */
void job_call_send(struct job_call *call);

/** Starts a submission: parses its query, then its body; reports errors. */
void job_submit_start(struct job_call *call);

/** Continues a submission: parses lines or appends the next chunk. */
void job_submit_step(struct job_call *call);

/** Appends the chunks of a part that the owner does not have. */
void job_submit_append_part(struct job_call *call);

/** Answers the caller according to the owner's reply. */
void job_call_answer(struct job_call *call, const Briarplank__JobReply *reply);

#endif
