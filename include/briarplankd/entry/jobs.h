/**
 * The HTTP of jobs at an entry: the parts of the task, shared by its files.
 *
 * jobs.c owns the task, its table of calls and what goes to shard owners,
 * jobs_submit.c takes submissions in, jobs_answer.c writes answers.
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
	GHashTable *by_id;
	uint64_t next_id;
	uv_timer_t timer;
};

/** What a caller asked for. */
enum job_call_kind {
	JOB_CALL_SUBMIT,
	JOB_CALL_QUERY,
	JOB_CALL_RESULTS,
	JOB_CALL_CANCEL,
	/** One part of a job that is sent in parts. */
	JOB_CALL_PART,
};

/** What a request came to, for those within the process. */
struct job_outcome {
	/** As over HTTP. */
	int status;
	/** NULL when all is well. */
	const char *detail;
	/** It may have taken effect; sending it again is safe. */
	bool in_doubt;
	/** State of the job, or NULL. */
	const Briarplank__JobState *job;
};

typedef void (*job_done_fn)(void *ctx, const struct job_outcome *outcome);

/** A submission or cancel from within the process. All is copied. */
struct job_request {
	enum job_call_kind kind;
	const char *caller;
	const char *name;
	/** Id of the job to cancel. */
	const uint8_t *job_id;
	/** Query and items of a submission. */
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
	/** NULL once the caller has left or was answered. */
	struct web_request *web;
	/** In place of web, for a request from within the process. */
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
	/** When the owner is asked again; 0 while it is not asked. */
	uint64_t ask_ms;
	bool asked;

	/** Of a submission. */
	GHashTable *query;
	uint64_t due_ms;
	uint64_t keep_ms;
	struct submission_parser *parser;
	GArray *offsets;
	/** Parts that a seal joins; 0 when the body is the whole job. */
	uint32_t parts;
	/** Of a part: its number and the line of the job it begins at. */
	uint32_t part;
	uint32_t first_line;
	/** The owner was asked whether it has the part. */
	bool looked_up;
	unsigned tries;
	uint64_t append_ms;
	/** An append is under way: the call must outlive it. */
	bool appending;
	/** To be freed once the append has ended. */
	bool dead;

	/** Of results: where the next page begins. */
	uint32_t from_item;
	bool streaming;
	bool waiting_taken;
};

/** Makes the JSON of a job's state; free with json_object_put. */
struct json_object *job_state_json(const Briarplank__JobState *state);

/** Parses "90s", "15m", "72h" or "3d" to ms; false when it is none. */
bool jobs_parse_duration(const char *text, uint64_t *ms);

/** Carries out a request of this process; done may come before it returns. */
void jobs_request(struct node *node, const struct job_request *request);

/** Gives the outcome of a call from within the process, once. */
void job_call_done(struct job_call *call, const struct job_outcome *outcome);

/** Ends a call; it must have been answered. */
void job_call_end(struct job_call *call);

/** Answers with a problem and ends the call. */
__attribute__((format(printf, 4, 5))) void job_call_fail(struct job_call *call,
							 int status,
							 const char *title,
							 const char *fmt, ...);

/** Answers 503 with Retry-After and ends the call. */
void job_call_unavailable(struct job_call *call, uint32_t retry_after_ms,
			  const char *detail);

/** Sends the call to the shard's owner, now and until it answers. */
void job_call_ask(struct job_call *call);

/** Takes a submission's query and body in; a fault is answered. */
void job_submit_start(struct job_call *call);

/** Goes on with a submission: parses lines or appends the next chunk. */
void job_submit_step(struct job_call *call);

/** Appends the chunks of a part that the owner does not have. */
void job_submit_part_unknown(struct job_call *call);

/** Turns the owner's answer into the caller's. */
void job_call_answer(struct job_call *call, const Briarplank__JobReply *reply);

#endif
