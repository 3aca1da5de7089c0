/*
 * Handles the outcomes that agents report, and leases that expire without one.
 */
#include <string.h>

#include "core/ledger_state.h"

/*
 * Number of lease periods after the lease has expired in which the outcome of a
 * non-idempotent item is still accepted.
 */
#define GRACE_LEASES 1

static void queue_attempt(struct ledger_job *job, uint32_t item,
			  uint32_t attempts, bool killed)
{
	Briarplank__LedgerRecord *record =
		ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_ATTEMPT);
	Briarplank__ItemAttempt *attempt = g_new(Briarplank__ItemAttempt, 1);

	briarplank__item_attempt__init(attempt);
	attempt->job_id = ledger_copy_bytes(job->id, HASH128_BYTES);
	attempt->item = item;
	attempt->attempts = attempts;
	attempt->killed_server = killed;
	record->attempt = attempt;
	ledger_item_set_ending(job, item, true);
	ledger_queue_record(job->ledger, record);
}

/*
 * Makes an item that has not run available for another grant. A non-idempotent
 * one needs a record that closes its intent.
 */
static void return_item(struct ledger_job *job, uint32_t item)
{
	if (job->items[item].flags & ITEM_IDEMPOTENT)
		ledger_item_requeue(job, item);
	else
		queue_attempt(job, item, job->items[item].attempts, false);
}

void ledger_grant_withdraw(struct ledger *ledger, uint64_t grant_id)
{
	struct ledger_grant *grant = ledger_grant_find(ledger, grant_id);
	struct ledger_job *job;
	uint32_t item;

	if (!grant)
		return;
	job = grant->job;
	item = grant->item;
	ledger_grant_remove(ledger, grant);
	if (!ledger_item_ended(&job->items[item]))
		return_item(job, item);
}

static void fail_item(struct ledger_job *job, uint32_t item, uint64_t wall_ms,
		      const char *message)
{
	ProtobufCBinaryData none = { 0 };

	ledger_queue_item_ended(job, item,
				BRIARPLANK__ITEM_ENDED__STATE__FAILED, wall_ms,
				none, message);
}

/* Counts an attempt, and fails the item if it was the last attempt allowed. */
static void count_attempt(struct ledger_job *job, uint32_t item, bool killed,
			  uint32_t attempts_max, uint64_t wall_ms,
			  const char *message)
{
	uint32_t attempts = job->items[item].attempts + 1u;

	if (attempts >= attempts_max)
		fail_item(job, item, wall_ms, message);
	else
		queue_attempt(job, item, attempts, killed);
}

static void end_outcome_unknown(struct ledger_job *job, uint32_t item,
				uint64_t wall_ms)
{
	ProtobufCBinaryData none = { 0 };

	ledger_queue_item_ended(
		job, item, BRIARPLANK__ITEM_ENDED__STATE__OUTCOME_UNKNOWN,
		wall_ms, none,
		"the server was lost while it may have run the item");
}

/* Handles the loss of a server or its agent with the item in flight. */
static void handle_lost_item(struct ledger_job *job, uint32_t item,
			     uint32_t attempts_max, uint64_t wall_ms)
{
	if (job->items[item].flags & ITEM_IDEMPOTENT)
		count_attempt(job, item, true, attempts_max, wall_ms,
			      "servers were lost while they ran the item");
	else
		end_outcome_unknown(job, item, wall_ms);
}

static void apply_outcome(struct ledger_job *job, uint32_t item,
			  const Briarplank__ItemOutcome *outcome,
			  uint32_t attempts_max, uint64_t wall_ms)
{
	switch (outcome->result) {
	case BRIARPLANK__ITEM_OUTCOME__RESULT__DONE:
		ledger_queue_item_ended(job, item,
					BRIARPLANK__ITEM_ENDED__STATE__DONE,
					wall_ms, outcome->body, "");
		break;
	case BRIARPLANK__ITEM_OUTCOME__RESULT__NOT_RUN:
		return_item(job, item);
		break;
	case BRIARPLANK__ITEM_OUTCOME__RESULT__LOST:
		handle_lost_item(job, item, attempts_max, wall_ms);
		break;
	default:
		if (job->items[item].flags & ITEM_IDEMPOTENT)
			count_attempt(job, item, false, attempts_max, wall_ms,
				      outcome->message);
		else
			fail_item(job, item, wall_ms, outcome->message);
		break;
	}
}

/*
 * Returns true if an outcome is accepted. For an idempotent item, a result is
 * accepted under any grant, because the result of any run is valid; other
 * outcomes need the current grant. For a non-idempotent item, the intent must
 * name the grant.
 */
static bool outcome_accepted(const struct ledger_job *job, uint32_t item,
			     const Briarplank__ItemOutcome *outcome,
			     bool current)
{
	const struct ledger_item *it = &job->items[item];

	if (it->flags & ITEM_IDEMPOTENT)
		return current ||
		       outcome->result ==
			       BRIARPLANK__ITEM_OUTCOME__RESULT__DONE;
	return ledger_intent_matches(job, item, outcome->grant);
}

enum ledger_status ledger_complete(struct ledger *ledger,
				   const Briarplank__ItemOutcome *outcome,
				   uint32_t attempts_max, uint64_t wall_ms)
{
	uint64_t id = outcome->grant->grant_id;
	struct ledger_grant *grant, *other;
	struct ledger_job *job;
	uint32_t item;

	if (!ledger_owned(ledger))
		return LEDGER_NOT_OWNER;
	job = ledger_grant_find_item(ledger, id, &item);
	if (!job || ledger_item_ended(&job->items[item]))
		return LEDGER_OK;
	if (job->items[item].flags & ITEM_ENDING)
		return LEDGER_QUEUED;
	grant = ledger_grant_find_ref(ledger, outcome->grant);
	if (!outcome_accepted(job, item, outcome, grant != NULL))
		return LEDGER_VOID_GRANT;
	other = ledger_grant_on_item(ledger, job, item);
	if (grant)
		ledger_grant_remove(ledger, grant);
	else if (other)
		ledger_grant_revoke(ledger, other);
	apply_outcome(job, item, outcome, attempts_max, wall_ms);
	return job->items[item].flags & ITEM_ENDING ? LEDGER_QUEUED : LEDGER_OK;
}

/*
 * The outcome of a non-idempotent item may be in transit when its lease
 * expires. Extends the lease once, so that the agent can report it before the
 * item ends with outcome unknown. Returns false if there is no extension.
 */
static bool extend_by_grace(struct ledger_grant *grant)
{
	const struct ledger_item *item = &grant->job->items[grant->item];

	if (item->flags & ITEM_IDEMPOTENT || grant->in_grace_period)
		return false;
	/*
	 * A grant is not sent before its intent is durable. An extension
	 * before that does not count, so that it can be repeated.
	 */
	grant->in_grace_period = item->state == ITEM_INTENT;
	grant->expires_ms +=
		GRACE_LEASES * grant->job->ledger->options.lease_ms;
	return true;
}

void ledger_expire_leases(struct ledger *ledger,
			  ledger_attempts_fn attempts_max, void *ctx,
			  uint64_t now_ms, uint64_t wall_ms)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &ledger->grants) {
		struct ledger_grant *grant =
			list_entry(pos, struct ledger_grant, link);
		struct ledger_job *job = grant->job;
		uint32_t item = grant->item;

		if (grant->expires_ms > now_ms || extend_by_grace(grant))
			continue;
		ledger_grant_revoke(ledger, grant);
		if (!(job->items[item].flags & ITEM_ENDING))
			handle_lost_item(job, item,
					 attempts_max(ctx, job->service),
					 wall_ms);
	}
}
