/**
 * Online requests at an entry: the parts of the task, shared by its files.
 *
 * online.c owns the task and its table of requests, online_http.c speaks to
 * callers, request.c dispatches and decides what follows a failure, answer.c
 * passes the answer on.
 */
#ifndef BRIARPLANKD_ONLINE_H
#define BRIARPLANKD_ONLINE_H

#include <glib.h>

#include "briarplankd/config_task.h"
#include "briarplankd/node.h"
#include "core/outcome.h"
#include "core/stream.h"

/** Bytes of an answer that may be under way or waiting for a caller. */
#define ONLINE_WINDOW_BYTES (256 * 1024)
/** Pieces of an answer that may wait for a missing one. */
#define ONLINE_MAX_HELD 1024

/** The task. */
struct online {
	struct task super;
	/** All requests by id, and in order of arrival. */
	GHashTable *by_id;
	struct list requests;
	uint64_t next_id;
};

/** One request of a caller. */
struct online_request {
	struct list link;
	struct online *online;
	/** NULL once the caller has left or was answered. */
	struct web_request *web;
	uv_timer_t timer;
	char *id;
	char *service;
	/** Path and query as the backend server gets them. */
	char *path;
	char *caller;
	/** Class of the caller, for metrics. */
	char *class;
	struct service_policy policy;
	uint64_t arrived_us;
	uint64_t deadline_ms;

	struct outcome outcome;
	struct stream *stream;
	/** Agent of the present attempt, and why it was chosen. */
	char *agent;
	char *reason;
	/** Names of agents that refused. */
	GPtrArray *refused_by;
	uint32_t retry_after_ms;
	/** Time of the next attempt, 0 when none is planned. */
	uint64_t dispatch_at_ms;
	/** Time at which a silent agent is asked what became of the attempt. */
	uint64_t probe_at_ms;
	unsigned probes;
	/** The deadline has passed; proof is awaited until this time. */
	uint64_t give_up_at_ms;

	/** Head of the answer, kept until the first piece. */
	int status;
	GPtrArray *fields;
	uint64_t last_piece_us;
};

/* online_http.c */

/** Reads a caller's request; NULL when it was answered with a problem. */
struct online_request *online_http_accept(struct online *online,
					  struct web_request *web);

/** Answers with a problem and what is known of the outcome. */
__attribute__((format(printf, 5, 6))) void online_http_problem(
	struct online_request *request, int status, uint32_t retry_after_ms,
	const char *title, const char *fmt, ...);

/** Fills a dispatch's fields from the caller's; free with the array. */
GPtrArray *online_http_fields(struct online_request *request);

/** Begins the streamed answer with the kept head. */
void online_http_begin(struct online_request *request);

/** Tells whether a field of an answer is passed on. */
bool online_http_passes(const char *name);

/* request.c */

/** Makes a request and adds it to the task. */
struct online_request *online_request_create(struct online *online,
					     struct web_request *web);

/** Takes the request out of the task and frees it. */
void online_request_destroy(struct online_request *request);

/** Dispatches a new request. */
void online_request_start(struct online_request *request);

/** The agent refused the present attempt. */
void online_request_refused(struct online_request *request,
			    const Briarplank__Refused *refused);

/** The agent says what became of a cancelled attempt. */
void online_request_cancelled(struct online_request *request,
			      const Briarplank__CancelResult *result);

/** The attempt ended without a whole answer. */
void online_request_failed(struct online_request *request,
			   const Briarplank__AnswerFailed *failed);

/** The agent, or its incarnation, is lost. */
void online_request_agent_lost(struct online_request *request);

/** Asks the agent to cancel; only_if_not_started leaves a running one. */
void online_request_send_cancel(struct online_request *request,
				bool only_if_not_started);

/** Sets the timer to the next thing that is due. */
void online_request_arm(struct online_request *request);

/** Puts off the look at a silent agent: it was heard. */
void online_request_heard(struct online_request *request);

/* answer.c */

void online_answer_head(struct online_request *request,
			const Briarplank__AnswerHead *head);
void online_answer_chunk(struct online_request *request,
			 const Briarplank__AnswerChunk *chunk);

/** Asks the agent to send again from the first missing piece. */
void online_answer_resume(struct online_request *request);

/** Forgets what was received of a lost attempt. */
void online_answer_reset(struct online_request *request);

#endif
