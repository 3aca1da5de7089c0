/**
 * Online requests at an entry: declarations shared by the files of the task.
 *
 * online.c owns the task and its table of requests, online_http.c reads
 * callers' requests and writes answers' heads, request.c handles refusals,
 * failures and deadlines, dispatch.c sends attempts to agents, routing.c
 * chooses the agent, answer.c streams the answer, claim.c claims idempotency
 * keys, and online_view.c keeps metrics and the lists that operators see.
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

/** Maximum number of bytes of an answer in flight or queued for the caller. */
#define ONLINE_WINDOW_BYTES (256 * 1024)
/** Maximum number of chunks buffered until a missing earlier one arrives. */
#define ONLINE_MAX_BUFFERED 1024
/** Number of the latest refusals that are kept for operators. */
#define ONLINE_MAX_REFUSALS 256

struct online_request;

/** State that this entry keeps about an agent, besides the member list. */
struct online_agent {
	char *name;
	struct circuit circuit;
	/**
	 * Sequence number of the last load report, and number of requests sent
	 * since.
	 */
	uint64_t report_sequence;
	uint32_t unreported;
	/** Number of requests at the agent, and time of its last change. */
	uint32_t running;
	uint64_t last_used_ms;
	/** The agent is pinged often, also in a large fleet. */
	bool watched;
};

/** A request that was not completed, as operators see it. */
struct online_refusal {
	uint64_t wall_ms;
	char *id;
	char *caller;
	char *service;
	char *reason;
	int status;
	enum outcome_statement statement;
};

/** The task that serves online requests. */
struct online {
	struct task super;
	/** All requests, by id and as a list in order of arrival. */
	GHashTable *by_id;
	struct list requests;
	uint64_t next_id;
	/** Agents (struct online_agent) by name. */
	GHashTable *agents;
	/** Names of the subset of agents that this entry uses, by service. */
	GHashTable *subsets;
	struct limiter *limiter;
	struct retry retry;
	struct link_budget link;
	GRand *random;
	uv_timer_t sweep_timer;
	/** Requests whose claim is pending or won, by call id of the claim. */
	GHashTable *claims;
	/** Releases of keys whose request has not run, by call id. */
	GHashTable *releases;
	uint64_t next_claim;
	/** Ring buffer of the latest refusals, and number of all so far. */
	struct online_refusal refusals[ONLINE_MAX_REFUSALS];
	uint64_t refusals_nr;
};

/** Claim of the key of a request that must run at most once across entries. */
struct online_claim {
	uint64_t call_id;
	uint32_t shard;
	uint8_t key_hash[HASH128_BYTES];
	uint8_t content_hash[HASH128_BYTES];
	/** Times at which the claim is sent again and given up. */
	uint64_t retry_at_ms;
	uint64_t give_up_ms;
	/** The claim was successful, so the key belongs to this request. */
	bool won;
};

/** One request of a caller. */
struct online_request {
	struct list link;
	struct online *online;
	/**
	 * HTTP request of the caller; NULL once the caller has disconnected or
	 * was answered.
	 */
	struct web_request *web;
	uv_timer_t timer;
	char *id;
	char *service;
	/** Path and query that are sent to the backend server. */
	char *path;
	char *caller;
	/** Class of the caller, for metrics. */
	char *class;
	struct limiter_rate rate;
	struct service_policy policy;
	uint64_t prefix_hash;
	uint64_t arrived_us;
	uint64_t deadline_ms;
	/**
	 * The rate limiter counts this request as one of the caller's running
	 * requests.
	 */
	bool limiter_counted;
	/**
	 * Claim of the request's idempotency key; NULL if no key must be
	 * claimed, or another request has claimed it.
	 */
	struct online_claim *claim;

	struct outcome outcome;
	struct stream *stream;
	/**
	 * Name of the agent of the current attempt, and the reason why it was
	 * chosen.
	 */
	char *agent;
	char *reason;
	enum router_distance distance;
	/**
	 * The attempt counts in the agent's number of requests; it was sent
	 * after the load report with this sequence number.
	 */
	bool agent_counted;
	uint64_t report_sequence;
	/** Names of agents that refused the request or were lost. */
	GPtrArray *excluded_agents;
	/** Reason why the last attempt failed; NULL if none has failed. */
	const char *failure;
	uint32_t retry_after_ms;
	/** Time of the next attempt, or 0 if none is scheduled. */
	uint64_t dispatch_at_ms;
	/** Time at which a silent agent is asked about the attempt. */
	uint64_t probe_at_ms;
	unsigned probes;
	/**
	 * Time until which proof that the attempt has not run is awaited after
	 * the deadline; 0 before the deadline.
	 */
	uint64_t give_up_at_ms;

	/** Head of the answer, kept until the first chunk arrives. */
	int status;
	GPtrArray *fields;
	uint64_t last_chunk_us;
	/** Time at which a missing chunk was last asked for. */
	uint64_t missing_requested_ms;
	struct histogram *token_gap;
};

/* The functions below are defined in online_http.c. */

/** Reads a caller's request. Returns NULL if it was answered with a problem. */
struct online_request *online_http_accept(struct online *online,
					  struct web_request *web);

/** Answers with a problem (RFC 9457) and the known outcome. */
__attribute__((format(printf, 5, 6))) void online_http_problem(
	struct online_request *request, int status, uint32_t retry_after_ms,
	const char *title, const char *fmt, ...);

/**
 * Returns copies of the header fields to send to the server, which are freed
 * with the array.
 */
GPtrArray *online_http_forwarded_fields(struct online_request *request);

/** Starts the streamed answer with the status and fields of its head. */
void online_http_start_stream(struct online_request *request);

/** Returns whether a header field is forwarded. */
bool online_http_forwards_field(const char *name);

/* The functions below are defined in request.c. */

/** Creates a request and adds it to the task. */
struct online_request *online_request_create(struct online *online,
					     struct web_request *web);

/** Removes the request from the task and frees it. */
void online_request_destroy(struct online_request *request);

/** Ends the request with a problem instead of the server's answer. */
void online_request_finish(struct online_request *request, int status,
			   const char *title, const char *reason);

/** Ends the request with 503 if it is proven not to have run, else 504. */
void online_request_give_up(struct online_request *request, const char *reason);

/** Handles the agent's refusal of the current attempt. */
void online_request_refused(struct online_request *request,
			    const Briarplank__Refused *refused);

/** Handles the agent's report on an attempt that it was asked to cancel. */
void online_request_cancelled(struct online_request *request,
			      const Briarplank__CancelResult *result);

/** Handles an attempt that ended without a complete answer. */
void online_request_failed(struct online_request *request,
			   const Briarplank__AnswerFailed *failed);

/** Handles the loss or the restart of the request's agent. */
void online_request_agent_lost(struct online_request *request);

/** Sets the timer to the earliest of the request's due times. */
void online_request_arm_timer(struct online_request *request);

/** Restarts the silence timeout after a message from the agent. */
void online_request_reset_silence_timeout(struct online_request *request);

/* The functions below are defined in dispatch.c. */

/** Sends the request to an agent, or gives up if no agent can take it. */
void online_dispatch(struct online_request *request);

/**
 * Asks the agent to cancel the attempt. With only_if_not_started, an attempt
 * that already runs continues.
 */
void online_dispatch_cancel(struct online_request *request,
			    bool only_if_not_started);

/* The functions below are defined in routing.c. */

/** Chooses an agent and sets the request's reason. Returns NULL for none. */
const struct member *online_routing_choose(struct online_request *request);

/** Records that an attempt is sent to the request's agent. */
void online_routing_dispatched(struct online_request *request);

/** Records that the request is no longer at its agent. */
void online_routing_attempt_ended(struct online_request *request);

/** Record the result of the attempt in the agent's circuit breaker. */
void online_routing_succeeded(struct online_request *request);
void online_routing_failed(struct online_request *request);

/**
 * Drops the subsets of agents, and recomputes this entry's share of the link
 * between regions, after the list of members has changed.
 */
void online_routing_members_changed(struct online *online);

/** Stops watching agents that have had no request for a while. */
void online_routing_unwatch_idle(struct online *online);

/** Charges bytes to the link budget if the agent is in another region. */
void online_routing_charge_link(struct online_request *request, size_t bytes);

/** Frees the agents' state and the subsets. */
void online_routing_clear(struct online *online);

/* The functions below are defined in claim.c. */

/**
 * Claims the request's idempotency key and dispatches the request once the
 * claim succeeds.
 */
void online_claim_begin(struct online_request *request, const char *key);

/** Sends the claim again, or gives up after its timeout. */
void online_claim_retry(struct online_request *request, uint64_t now_ms);

/** Frees the request's claim. Releases the key if nothing has run. */
void online_claim_end(struct online_request *request);

/** Returns whether the request has a claim that is not decided yet. */
bool online_claim_is_pending(const struct online_request *request);

/** Sends pending releases of keys again, or gives them up. */
void online_claim_retry_releases(struct online *online);

/** Registers the handler of claim replies and creates the tables. */
void online_claim_init(struct online *online);

/* The functions below are defined in answer.c. */

/** Handle the head and a chunk of the answer from the agent. */
void online_answer_receive_head(struct online_request *request,
				const Briarplank__AnswerHead *head);
void online_answer_receive_chunk(struct online_request *request,
				 const Briarplank__AnswerChunk *chunk);

/** Asks the agent to send again from the first missing chunk. */
void online_answer_resume(struct online_request *request);

/** Discards what was received in an earlier attempt. */
void online_answer_reset(struct online_request *request);

/** Ends a partly sent answer so that the caller sees it is truncated. */
void online_answer_abort(struct online_request *request, const char *reason);

/* The functions below are defined in online_view.c. */

/** Keeps a refusal for operators, and counts it. */
void online_view_add_refusal(struct online_request *request, int status,
			     const char *reason);

/** Frees the refusals that are kept for operators. */
void online_view_clear(struct online *online);

/** Counts an attempt after the first one of a request in the metrics. */
void online_view_retried(struct online_request *request);

/**
 * Record the time to the first byte of an answer and the time between its
 * chunks.
 */
void online_view_first_byte(struct online_request *request);
void online_view_chunk(struct online_request *request);

/** Counts a request in the metrics by the way in which it ended. */
void online_view_ended(struct online_request *request);

/** Calls fn for each running request, in order of arrival. */
void online_view_requests(struct node *node,
			  void (*fn)(void *ctx,
				     const struct online_request *request),
			  void *ctx);

/** Calls fn for each kept refusal, oldest first. */
void online_view_refusals(struct node *node,
			  void (*fn)(void *ctx,
				     const struct online_refusal *refusal),
			  void *ctx);

#endif
