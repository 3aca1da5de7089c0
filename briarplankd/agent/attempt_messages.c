/*
 * Handles the messages from entries about online attempts: dispatch, cancel,
 * credit and resume.
 */
#include <string.h>

#include <glib.h>

#include "attempt.h"
#include "report.h"
#include "common/log.h"

#define PART "gate"

/*
 * Time after a freeze of the process during which a message that is read may
 * have waited unread for as long as the freeze lasted.
 */
#define THAW_GRACE_US 300000

uint64_t attempt_remaining_ms(const struct gate *gate,
			      const Briarplank__Dispatch *dispatch)
{
	uint64_t left = dispatch->remaining_ms;

	if (gate->thawed_us && node_now_us() < gate->thawed_us + THAW_GRACE_US)
		return left > gate->freeze_ms ? left - gate->freeze_ms : 0;
	return left;
}

/* Returns the reason to refuse a dispatch, or -1 if it can be accepted. */
static int refusal_reason(struct gate *gate,
			  const Briarplank__Dispatch *dispatch,
			  enum tombstone_kind kind)
{
	const struct node *node = gate->task.node;

	if (dispatch->agent_incarnation != node->incarnation)
		return BRIARPLANK__REFUSED__REASON__WRONG_INCARNATION;
	if (strcmp(dispatch->service, node->settings->service) != 0)
		return BRIARPLANK__REFUSED__REASON__WRONG_SERVICE;
	if (kind == TOMBSTONE_NEVER_STARTED)
		return BRIARPLANK__REFUSED__REASON__CANCELLED;
	if (gate->stopping)
		return BRIARPLANK__REFUSED__REASON__LEAVING;
	if (!gate_accepts_work(gate))
		return BRIARPLANK__REFUSED__REASON__NOT_READY;
	if (!attempt_remaining_ms(gate, dispatch))
		return BRIARPLANK__REFUSED__REASON__DEADLINE;
	return -1;
}

/*
 * Returns whether the attempt of a dispatch is known already, so that a
 * repeated message does not start it again.
 */
static bool is_duplicate(struct gate *gate,
			 const Briarplank__Dispatch *dispatch,
			 enum tombstone_kind kind)
{
	struct attempt *attempt =
		attempt_find(gate, dispatch->request_id, dispatch->attempt);

	if (!attempt && kind != TOMBSTONE_ENDED)
		return false;
	counter_add(gate->metrics.duplicates, 1);
	if (attempt && attempt->state >= ATTEMPT_SENT)
		attempt_send_admitted(attempt);
	return true;
}

static void on_dispatch(void *ctx, const Briarplank__Envelope *env)
{
	struct gate *gate = ctx;
	const Briarplank__Dispatch *dispatch = env->dispatch;
	char *key = attempt_key(dispatch->request_id, dispatch->attempt);
	enum tombstone_kind kind;
	int reason;

	gate_detect_freeze(gate);
	report_sender_note_dispatch(gate->reports, env->sender);
	kind = tombstones_find(gate->tombstones, key,
			       node_now_ms(gate->task.node));
	g_free(key);
	if (is_duplicate(gate, dispatch, kind))
		return;
	reason = refusal_reason(gate, dispatch, kind);
	if (reason >= 0)
		attempt_send_refused(gate, env->sender, dispatch->request_id,
				     dispatch->attempt, reason, 0);
	else
		attempt_enqueue(attempt_create(gate, env->sender, dispatch));
	gate_schedule(gate);
}

static void send_cancel_result(struct gate *gate, const char *entry,
			       const Briarplank__Cancel *cancel,
			       Briarplank__CancelResult__State state)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__CancelResult body = BRIARPLANK__CANCEL_RESULT__INIT;

	body.request_id = cancel->request_id;
	body.attempt = cancel->attempt;
	body.state = state;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CANCEL_RESULT;
	env.cancel_result = &body;
	bus_send(gate->task.node->bus, entry, &env);
}

/*
 * Cancels an attempt that this agent does not know. A tombstone makes sure that
 * it never starts if its dispatch arrives later.
 */
static void cancel_unknown(struct gate *gate, const char *entry,
			   const Briarplank__Cancel *cancel)
{
	char *key = attempt_key(cancel->request_id, cancel->attempt);
	uint64_t now = node_now_ms(gate->task.node);
	enum tombstone_kind kind = tombstones_find(gate->tombstones, key, now);

	if (kind == TOMBSTONE_ENDED)
		send_cancel_result(gate, entry, cancel,
				   BRIARPLANK__CANCEL_RESULT__STATE__ENDED);
	else if (tombstones_add(gate->tombstones, key, TOMBSTONE_NEVER_STARTED,
				now))
		send_cancel_result(
			gate, entry, cancel,
			BRIARPLANK__CANCEL_RESULT__STATE__NEVER_STARTED);
	else
		log_warn(PART,
			 "no tombstone left to record the cancelled attempt %s",
			 key);
	g_free(key);
}

static void cancel_running(struct attempt *attempt,
			   const Briarplank__Cancel *cancel)
{
	struct gate *gate = attempt->gate;

	if (cancel->only_if_not_started) {
		send_cancel_result(gate, attempt->entry, cancel,
				   BRIARPLANK__CANCEL_RESULT__STATE__RUNNING);
		return;
	}
	send_cancel_result(gate, attempt->entry, cancel,
			   BRIARPLANK__CANCEL_RESULT__STATE__STOPPED);
	attempt_remove(attempt, TOMBSTONE_ENDED);
	gate_schedule(gate);
}

static void on_cancel(void *ctx, const Briarplank__Envelope *env)
{
	struct gate *gate = ctx;
	const Briarplank__Cancel *cancel = env->cancel;
	struct attempt *attempt =
		attempt_find(gate, cancel->request_id, cancel->attempt);

	gate_detect_freeze(gate);
	if (!attempt) {
		cancel_unknown(gate, env->sender, cancel);
	} else if (attempt->state == ATTEMPT_SENT) {
		cancel_running(attempt, cancel);
	} else if (attempt->state == ATTEMPT_ENDED) {
		send_cancel_result(gate, env->sender, cancel,
				   BRIARPLANK__CANCEL_RESULT__STATE__ENDED);
	} else {
		send_cancel_result(
			gate, env->sender, cancel,
			BRIARPLANK__CANCEL_RESULT__STATE__NEVER_STARTED);
		attempt_remove(attempt, TOMBSTONE_NEVER_STARTED);
		gate_schedule(gate);
	}
}

static void on_credit(void *ctx, const Briarplank__Envelope *env)
{
	struct gate *gate = ctx;
	const Briarplank__Credit *credit = env->credit;
	struct attempt *attempt =
		attempt_find(gate, credit->request_id, credit->attempt);

	gate_detect_freeze(gate);
	if (!attempt)
		return;
	answer_buffer_credit(attempt->buffer, credit->next_sequence,
			     credit->bytes);
	attempt->confirmed = answer_buffer_drained(attempt->buffer) &&
			     answer_buffer_empty(attempt->buffer);
	attempt_send_pending(attempt);
}

static void send_not_resumable(struct gate *gate, const char *entry,
			       const Briarplank__Resume *resume)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerFailed body = BRIARPLANK__ANSWER_FAILED__INIT;

	body.request_id = resume->request_id;
	body.attempt = resume->attempt;
	body.cause = BRIARPLANK__ANSWER_FAILED__CAUSE__BUFFER_OVERFLOW;
	body.started = true;
	body.message = "the answer is kept no more";
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_FAILED;
	env.answer_failed = &body;
	bus_send(gate->task.node->bus, entry, &env);
}

static void on_resume(void *ctx, const Briarplank__Envelope *env)
{
	struct gate *gate = ctx;
	const Briarplank__Resume *resume = env->resume;
	struct attempt *attempt =
		attempt_find(gate, resume->request_id, resume->attempt);

	gate_detect_freeze(gate);
	if (!attempt) {
		send_not_resumable(gate, env->sender, resume);
		return;
	}
	if (!answer_buffer_rewind(attempt->buffer, resume->from_sequence,
				  resume->credit_bytes)) {
		send_not_resumable(gate, env->sender, resume);
		attempt_remove(attempt, TOMBSTONE_ENDED);
		return;
	}
	if (!resume->from_sequence)
		attempt->head_sent = false;
	attempt->failure_sent = false;
	attempt->entry_down_us = 0;
	attempt_send_pending(attempt);
}

void attempts_register(struct gate *gate)
{
	struct bus *bus = gate->task.node->bus;

	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_DISPATCH, on_dispatch,
			gate);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_CANCEL, on_cancel,
			gate);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_CREDIT, on_credit,
			gate);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_RESUME, on_resume,
			gate);
}
