/**
 * Online requests at an entry: the parts of the task, shared by its files.
 *
 * online.c owns the task and its table of requests, online_http.c speaks to
 * callers, request.c decides what follows a refusal, a failure or a deadline,
 * dispatch.c sends to agents, routing.c chooses the agent, answer.c passes the
 * answer on, claim.c claims idempotency keys, and online_view.c keeps what
 * operators see.
 */
#ifndef BRIARPLANKD_ONLINE_H
#define BRIARPLANKD_ONLINE_H

#include <glib.h>

#include "briarplankd/config_task.h"
#include "briarplankd/node.h"
#include "common/hash.h"
#include "core/circuit.h"
#include "core/limiter.h"
#include "core/link_budget.h"
#include "core/outcome.h"
#include "core/retry.h"
#include "core/router.h"
#include "core/stream.h"

/** Bytes of an answer that may be under way or waiting for a caller. */
#define ONLINE_WINDOW_BYTES (256 * 1024)
/** Pieces of an answer that may wait for a missing one. */
#define ONLINE_MAX_HELD 1024
/** Refusals that are kept for operators. */
#define ONLINE_REFUSALS 256

struct online_request;

/** What this entry knows of an agent beyond the members' list. */
struct online_agent {
	char *name;
	struct circuit circuit;
	/** Requests sent since the report with this sequence number. */
	uint64_t report_sequence;
	uint32_t unreported;
	/** Requests that are there, and when one last came or went. */
	uint32_t running;
	uint64_t used_ms;
	/** Its silence must be noticed soon, also in a large fleet. */
	bool watched;
};

/** A request that was not completed. */
struct online_refusal {
	uint64_t wall_ms;
	char *id;
	char *caller;
	char *service;
	char *reason;
	int status;
	enum outcome_statement statement;
};

/** The task. */
struct online {
	struct task super;
	/** All requests by id, and in order of arrival. */
	GHashTable *by_id;
	struct list requests;
	uint64_t next_id;
	/** struct online_agent by name. */
	GHashTable *agents;
	/** Service to the names of its agents that this entry works with. */
	GHashTable *subsets;
	struct limiter *limiter;
	struct retry retry;
	struct link_budget link;
	GRand *random;
	uv_timer_t sweep_timer;
	/** Claims that wait for an answer, by call id. */
	GHashTable *claims;
	/** Keys of requests that have not run, by call id. */
	GHashTable *releases;
	uint64_t next_claim;
	struct online_refusal refusals[ONLINE_REFUSALS];
	uint64_t refusals_nr;
};

/** Key claim of a request that must run at most once across entries. */
struct online_claim {
	uint64_t call_id;
	uint32_t shard;
	uint8_t key_hash[HASH128_BYTES];
	uint8_t content_hash[HASH128_BYTES];
	uint64_t ask_again_ms;
	uint64_t give_up_ms;
	/** The claim was won; the key stays with the request. */
	bool won;
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
	struct limiter_rate rate;
	struct service_policy policy;
	uint64_t prefix_hash;
	uint64_t arrived_us;
	uint64_t deadline_ms;
	/** It counts in its caller's share. */
	bool counted;
	/** NULL when no key must be claimed, or it belongs to another. */
	struct online_claim *claim;

	struct outcome outcome;
	struct stream *stream;
	/** Agent of the present attempt, and why it was chosen. */
	char *agent;
	char *reason;
	enum router_distance distance;
	bool at_agent;
	uint64_t report_sequence;
	/** Names of agents that refused or were lost. */
	GPtrArray *refused_by;
	/** Why the last attempt failed; NULL before that. */
	const char *failure;
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
	/** Time at which a missing piece was last asked for. */
	uint64_t missing_asked_ms;
	struct histogram *token_gap;
};

/* online_http.c */

/** Reads a caller's request; NULL when it was answered with a problem. */
struct online_request *online_http_accept(struct online *online,
					  struct web_request *web);

/** Answers with a problem and what is known of the outcome. */
__attribute__((format(printf, 5, 6))) void online_http_problem(
	struct online_request *request, int status, uint32_t retry_after_ms,
	const char *title, const char *fmt, ...);

/** Copies the fields that go to the server; free with the array. */
GPtrArray *online_http_fields(struct online_request *request);

/** Begins the streamed answer with the kept head. */
void online_http_begin(struct online_request *request);

/** Tells whether a field is passed on. */
bool online_http_passes(const char *name);

/* request.c */

/** Makes a request and adds it to the task. */
struct online_request *online_request_create(struct online *online,
					     struct web_request *web);

/** Takes the request out of the task and frees it. */
void online_request_destroy(struct online_request *request);

/** Answers that the request ends without an answer of the server. */
void online_request_finish(struct online_request *request, int status,
			   const char *title, const char *reason);

/** Ends a request after its last attempt, by what is known of it. */
void online_request_give_up(struct online_request *request, const char *reason);

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

/** Sets the timer to the next thing that is due. */
void online_request_arm(struct online_request *request);

/** Puts off the look at a silent agent: it was heard. */
void online_request_heard(struct online_request *request);

/* dispatch.c */

/** Sends the request to an agent, or gives up when there is none. */
void online_dispatch(struct online_request *request);

/** Asks the agent to cancel; only_if_not_started leaves a running one. */
void online_dispatch_cancel(struct online_request *request,
			    bool only_if_not_started);

/* routing.c */

/** Chooses an agent and notes the reason in the request; NULL for none. */
const struct member *online_routing_choose(struct online_request *request);

/** Notes that an attempt goes to the chosen agent. */
void online_routing_dispatched(struct online_request *request);

/** Notes that the request is no longer at its agent. */
void online_routing_left(struct online_request *request);

/** Notes how the attempt at the request's agent went. */
void online_routing_succeeded(struct online_request *request);
void online_routing_failed(struct online_request *request);

/** Forgets the subsets: the members have changed. */
void online_routing_changed(struct online *online);

/** Stops watching the agents that were not used for a while. */
void online_routing_sweep(struct online *online);

/** Counts bytes of the request that cross the regions' link. */
void online_routing_bytes(struct online_request *request, size_t bytes);

/** Frees what is known of agents. */
void online_routing_clear(struct online *online);

/* claim.c */

/** Claims the request's idempotency key, then dispatches. */
void online_claim_begin(struct online_request *request, const char *key);

/** Asks again, or gives up, when that is due. */
void online_claim_tick(struct online_request *request, uint64_t now_ms);

/** Ends the request's claim; the key is given back if nothing has run. */
void online_claim_end(struct online_request *request);

/** Tells whether the claim has not been answered yet. */
bool online_claim_is_open(const struct online_request *request);

/** Asks again for the release of keys, for a while. */
void online_claim_sweep(struct online *online);

/** Registers the handler of replies. */
void online_claim_register(struct online *online);

/* answer.c */

void online_answer_head(struct online_request *request,
			const Briarplank__AnswerHead *head);
void online_answer_chunk(struct online_request *request,
			 const Briarplank__AnswerChunk *chunk);

/** Asks the agent to send again from the first missing piece. */
void online_answer_resume(struct online_request *request);

/** Forgets what was received of an earlier attempt. */
void online_answer_reset(struct online_request *request);

/** Ends an answer that the caller has got a part of, visibly broken. */
void online_answer_break(struct online_request *request, const char *reason);

/* online_view.c */

/** Keeps a refusal for operators, and counts it. */
void online_view_refused(struct online_request *request, int status,
			 const char *reason);

/** Frees the kept refusals. */
void online_view_clear(struct online *online);

/** Counts an attempt after the first. */
void online_view_retried(struct online_request *request);

/** Records the time to the first byte and between pieces. */
void online_view_first_byte(struct online_request *request);
void online_view_piece(struct online_request *request);

/** Counts how a request ended. */
void online_view_ended(struct online_request *request);

/** Visits the requests that run, in order of arrival. */
void online_view_requests(struct node *node,
			  void (*fn)(void *ctx,
				     const struct online_request *request),
			  void *ctx);

/** Visits the kept refusals, oldest first. */
void online_view_refusals(struct node *node,
			  void (*fn)(void *ctx,
				     const struct online_refusal *refusal),
			  void *ctx);

#endif
