/*
 * Life cycle of an online request: retries after refusals and failures, probes
 * of agents that stop sending, and deadlines.
 */
#include "briarplankd/online.h"
#include "common/log.h"

#define PART "online"

/* Unanswered probes after which an idempotent request is sent elsewhere. */
#define MAX_PROBES 4
/*
 * Time without a message about a running attempt after which its agent is
 * probed, in ms.
 */
#define SILENCE_TIMEOUT_MS 1000
/* Interval of probes while the agent has not admitted the attempt, in ms. */
#define PROBE_INTERVAL_MS 250
/*
 * Time after the deadline in which the agent may still prove that an attempt
 * has not run, in ms.
 */
#define PROOF_WAIT_MS 200
/* Default of Retry-After, for when no agent sent one, in ms. */
#define DEFAULT_RETRY_AFTER_MS 1000

static uint64_t now_ms(const struct online_request *request)
{
	return node_now_ms(request->online->super.node);
}

static void on_timer(uv_timer_t *timer);

struct online_request *online_request_create(struct online *online,
					     struct web_request *web)
{
	struct online_request *request = g_new0(struct online_request, 1);
	struct node *node = online->super.node;

	request->online = online;
	request->web = web;
	request->id = g_strdup_printf(
		"%s-%" G_GINT64_MODIFIER "x-%" G_GINT64_MODIFIER "x",
		node->settings->name, node->incarnation, ++online->next_id);
	request->arrived_us = node_now_us();
	request->excluded_agents = g_ptr_array_new_with_free_func(g_free);
	uv_timer_init(&node->loop, &request->timer);
	request->timer.data = request;
	list_append(&online->requests, &request->link);
	g_hash_table_insert(online->by_id, request->id, request);
	return request;
}

static void on_closed(uv_handle_t *handle)
{
	struct online_request *request = handle->data;

	stream_destroy(request->stream);
	if (request->fields)
		g_ptr_array_free(request->fields, TRUE);
	g_ptr_array_free(request->excluded_agents, TRUE);
	g_free(request->id);
	g_free(request->service);
	g_free(request->path);
	g_free(request->caller);
	g_free(request->class);
	g_free(request->agent);
	g_free(request->reason);
	g_free(request);
}

void online_request_destroy(struct online_request *request)
{
	if (request->web) {
		web_on_close(request->web, NULL, NULL);
		web_on_flushed(request->web, NULL, NULL);
	}
	request->web = NULL;
	online_routing_attempt_ended(request);
	online_claim_end(request);
	if (request->limiter_counted) {
		limiter_ended(request->online->limiter, request->service,
			      request->caller);
		online_view_ended(request);
	}
	list_remove(&request->link);
	g_hash_table_remove(request->online->by_id, request->id);
	uv_timer_stop(&request->timer);
	uv_close((uv_handle_t *)&request->timer, on_closed);
}

void online_request_finish(struct online_request *request, int status,
			   const char *title, const char *reason)
{
	uint32_t retry_after_ms = request->retry_after_ms;

	online_view_add_refusal(request, status, reason);
	online_http_problem(request, status,
			    retry_after_ms ? retry_after_ms :
					     DEFAULT_RETRY_AFTER_MS,
			    title, "%s", reason);
	online_request_destroy(request);
}

void online_request_give_up(struct online_request *request, const char *reason)
{
	if (outcome_statement(&request->outcome) == OUTCOME_NOT_RUN)
		online_request_finish(request, 503, "Not run", reason);
	else
		online_request_finish(request, 504, "Outcome unknown", reason);
}

/* Handles an attempt that failed before any byte reached the caller. */
static void retry_or_give_up(struct online_request *request, const char *reason)
{
	struct online *online = request->online;
	enum retry_decision verdict;

	request->failure = reason;
	request->probe_at_ms = 0;
	online_routing_attempt_ended(request);
	if (request->give_up_at_ms ||
	    !outcome_may_dispatch(&request->outcome)) {
		online_request_give_up(request, reason);
		return;
	}
	verdict = retry_decide(&online->retry, request->outcome.attempt,
			       now_ms(request), request->deadline_ms,
			       online->random, &request->dispatch_at_ms);
	if (verdict == RETRY_NOW) {
		online_dispatch(request);
	} else if (verdict == RETRY_LATER) {
		online_request_arm_timer(request);
	} else {
		log_debug(PART, "%s: no retry: %s", request->id,
			  retry_decision_text(verdict));
		online_request_give_up(request, reason);
	}
}

/* Handles an attempt that is proven not to have run at its agent. */
static void attempt_not_run(struct online_request *request, const char *reason)
{
	g_ptr_array_add(request->excluded_agents, g_strdup(request->agent));
	retry_or_give_up(request, reason);
}

static const char *const refusal_texts[] = {
	[BRIARPLANK__REFUSED__REASON__OVERLOADED] = "overloaded",
	[BRIARPLANK__REFUSED__REASON__DEADLINE] =
		"the wait would pass the deadline",
	[BRIARPLANK__REFUSED__REASON__LEAVING] = "the server is leaving",
	[BRIARPLANK__REFUSED__REASON__WRONG_INCARNATION] =
		"the agent started anew",
	[BRIARPLANK__REFUSED__REASON__NOT_READY] = "the server is not ready",
	[BRIARPLANK__REFUSED__REASON__CONNECT_FAILED] =
		"the server can't be reached",
	[BRIARPLANK__REFUSED__REASON__CANCELLED] = "cancelled in time",
	[BRIARPLANK__REFUSED__REASON__CALLER_LIMIT] =
		"the caller has reached its limit",
	[BRIARPLANK__REFUSED__REASON__WRONG_SERVICE] =
		"the server has another service",
};

/* Returns whether a refusal is due to an agent's fault, not to its load. */
static bool is_agent_fault(Briarplank__Refused__Reason reason)
{
	return reason == BRIARPLANK__REFUSED__REASON__CONNECT_FAILED ||
	       reason == BRIARPLANK__REFUSED__REASON__NOT_READY ||
	       reason == BRIARPLANK__REFUSED__REASON__WRONG_SERVICE;
}

static bool is_overload(Briarplank__Refused__Reason reason)
{
	return reason == BRIARPLANK__REFUSED__REASON__OVERLOADED ||
	       reason == BRIARPLANK__REFUSED__REASON__DEADLINE;
}

void online_request_refused(struct online_request *request,
			    const Briarplank__Refused *refused)
{
	const char *text = "refused";

	if (!outcome_proven_not_run(&request->outcome))
		return;
	if (refused->reason < G_N_ELEMENTS(refusal_texts))
		text = refusal_texts[refused->reason];
	log_debug(PART, "%s: refused by %s: %s", request->id, request->agent,
		  text);
	request->retry_after_ms =
		MAX(request->retry_after_ms, refused->retry_after_ms);
	if (is_agent_fault(refused->reason))
		online_routing_failed(request);
	if (is_overload(refused->reason))
		limiter_set_full(request->online->limiter, request->service,
				 now_ms(request));
	if (refused->reason == BRIARPLANK__REFUSED__REASON__CALLER_LIMIT)
		online_request_finish(request, 429, "Too many requests", text);
	else
		attempt_not_run(request, text);
}

static const char *const failure_texts[] = {
	[BRIARPLANK__ANSWER_FAILED__CAUSE__SERVER_LOST] = "the server was lost",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__SERVER_STALLED] =
		"the server stalled",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__DEADLINE] = "the deadline passed",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__CANCELLED] = "cancelled",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__BUFFER_OVERFLOW] =
		"the caller took the answer too slowly",
	[BRIARPLANK__ANSWER_FAILED__CAUSE__AGENT_STOPPED] = "the agent stopped",
};

static void attempt_lost(struct online_request *request, const char *reason)
{
	online_routing_failed(request);
	if (request->outcome.state == OUTCOME_FIRST_BYTE) {
		online_answer_abort(request, reason);
		return;
	}
	outcome_lost(&request->outcome);
	g_ptr_array_add(request->excluded_agents, g_strdup(request->agent));
	retry_or_give_up(request, reason);
}

void online_request_failed(struct online_request *request,
			   const Briarplank__AnswerFailed *failed)
{
	const char *text = "failed";

	if (failed->cause < G_N_ELEMENTS(failure_texts))
		text = failure_texts[failed->cause];
	if (!failed->started && outcome_proven_not_run(&request->outcome))
		attempt_not_run(request, text);
	else
		attempt_lost(request, text);
}

void online_request_agent_lost(struct online_request *request)
{
	attempt_lost(request, "the agent was lost");
}

static void attempt_never_started(struct online_request *request)
{
	if (outcome_proven_not_run(&request->outcome))
		attempt_not_run(request, "no server started it in time");
}

void online_request_cancelled(struct online_request *request,
			      const Briarplank__CancelResult *result)
{
	switch (result->state) {
	case BRIARPLANK__CANCEL_RESULT__STATE__NEVER_STARTED:
		attempt_never_started(request);
		break;
	case BRIARPLANK__CANCEL_RESULT__STATE__STOPPED:
		attempt_lost(request, "cancelled");
		break;
	default:
		online_request_reset_silence_timeout(request);
		outcome_admitted(&request->outcome);
		online_answer_resume(request);
	}
}

/*
 * Ends the request, except that an attempt which is not known to be admitted
 * gets PROOF_WAIT_MS: the agent may still prove that it has not run.
 */
static void on_deadline(struct online_request *request)
{
	const char *text = "the deadline passed";

	request->give_up_at_ms = now_ms(request) + PROOF_WAIT_MS;
	if (request->outcome.state == OUTCOME_NOT_SENT) {
		online_request_give_up(request, text);
		return;
	}
	online_dispatch_cancel(request, false);
	if (request->outcome.state == OUTCOME_FIRST_BYTE)
		online_answer_abort(request, text);
	else if (request->outcome.state == OUTCOME_ADMITTED)
		online_request_give_up(request, text);
	else
		online_request_arm_timer(request);
}

/*
 * Asks a silent agent about the attempt. After MAX_PROBES an idempotent request
 * is sent to another agent.
 */
static void probe_agent(struct online_request *request)
{
	bool sent = request->outcome.state == OUTCOME_SENT;

	if (sent && request->probes == MAX_PROBES &&
	    request->outcome.idempotent) {
		online_dispatch_cancel(request, false);
		attempt_lost(request, "the agent is silent");
		return;
	}
	request->probes++;
	request->probe_at_ms = now_ms(request) +
			       (sent ? PROBE_INTERVAL_MS : SILENCE_TIMEOUT_MS);
	if (sent)
		online_dispatch_cancel(request, true);
	else
		online_answer_resume(request);
	online_request_arm_timer(request);
}

static void on_timer(uv_timer_t *timer)
{
	struct online_request *request = timer->data;
	uint64_t now = now_ms(request);

	if (request->give_up_at_ms && now >= request->give_up_at_ms)
		online_request_give_up(request, "the deadline passed");
	else if (!request->give_up_at_ms && now >= request->deadline_ms)
		on_deadline(request);
	else if (online_claim_is_pending(request) &&
		 now >= request->claim->retry_at_ms)
		online_claim_retry(request, now);
	else if (request->dispatch_at_ms && now >= request->dispatch_at_ms)
		online_dispatch(request);
	else if (request->probe_at_ms && now >= request->probe_at_ms)
		probe_agent(request);
	else
		online_request_arm_timer(request);
}

/* Returns the earlier of two times, of which b may be 0 for none. */
static uint64_t earliest_due(uint64_t a, uint64_t b)
{
	return b && b < a ? b : a;
}

void online_request_arm_timer(struct online_request *request)
{
	uint64_t now = now_ms(request);
	uint64_t due = request->deadline_ms;

	if (request->give_up_at_ms)
		due = request->give_up_at_ms;
	due = earliest_due(due, request->dispatch_at_ms);
	due = earliest_due(due, request->probe_at_ms);
	if (online_claim_is_pending(request))
		due = earliest_due(due, request->claim->retry_at_ms);
	uv_update_time(request->timer.loop);
	uv_timer_start(&request->timer, on_timer, due > now ? due - now : 0, 0);
}

void online_request_reset_silence_timeout(struct online_request *request)
{
	request->probes = 0;
	request->probe_at_ms = now_ms(request) + SILENCE_TIMEOUT_MS;
}
