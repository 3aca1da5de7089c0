/*
 * The outcomes that agents report, and leases that lapse without one.
 */
#include <string.h>

#include "core/ledger_state.h"

/* Leases after its own in which a non-idempotent item's outcome may come. */
#define GRACE_LEASES 1

static void queue_attempt(struct ledger_job *job, uint32_t item,
			  uint32_t attempts, bool killed)
{
	Briarplank__LedgerRecord *record =
		ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_ATTEMPT);
	Briarplank__ItemAttempt *attempt = g_new(Briarplank__ItemAttempt, 1);

	briarplank__item_attempt__init(attempt);
	attempt->job_id = ledger_bytes(job->id, HASH128_BYTES);
	attempt->item = item;
	attempt->attempts = attempts;
	attempt->killed_server = killed;
	record->attempt = attempt;
	ledger_item_set_ending(job, item, true);
	ledger_queue(job->ledger, record);
}

/* An item proven not run needs a record only to close its intent. */
static void give_back(struct ledger_job *job, uint32_t item)
{
	if (job->items[item].flags & ITEM_IDEMPOTENT)
		ledger_item_requeue(job, item);
	else
		queue_attempt(job, item, job->items[item].attempts, false);
}

void ledger_ungrant(struct ledger *ledger, uint64_t grant_id)
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
		give_back(job, item);
}

static void fail_item(struct ledger_job *job, uint32_t item, uint64_t wall_ms,
		      const char *message)
{
	ProtobufCBinaryData none = { 0 };

	ledger_queue_end(job, item, BRIARPLANK__ITEM_ENDED__STATE__FAILED,
			 wall_ms, none, message);
}

/* Counts an attempt, and ends the item once they are used up. */
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

static void lose_outcome(struct ledger_job *job, uint32_t item,
			 uint64_t wall_ms)
{
	ProtobufCBinaryData none = { 0 };

	ledger_queue_end(job, item,
			 BRIARPLANK__ITEM_ENDED__STATE__OUTCOME_UNKNOWN,
			 wall_ms, none,
			 "the server was lost while it may have run the item");
}

/* The server or its agent was lost with the item in flight. */
static void lose_item(struct ledger_job *job, uint32_t item,
		      uint32_t attempts_max, uint64_t wall_ms)
{
	if (job->items[item].flags & ITEM_IDEMPOTENT)
		count_attempt(job, item, true, attempts_max, wall_ms,
			      "servers were lost while they ran the item");
	else
		lose_outcome(job, item, wall_ms);
}

static void take_outcome(struct ledger_job *job, uint32_t item,
			 const Briarplank__ItemOutcome *outcome,
			 uint32_t attempts_max, uint64_t wall_ms)
{
	switch (outcome->result) {
	case BRIARPLANK__ITEM_OUTCOME__RESULT__DONE:
		ledger_queue_end(job, item, BRIARPLANK__ITEM_ENDED__STATE__DONE,
				 wall_ms, outcome->body, "");
		break;
	case BRIARPLANK__ITEM_OUTCOME__RESULT__NOT_RUN:
		give_back(job, item);
		break;
	case BRIARPLANK__ITEM_OUTCOME__RESULT__LOST:
		lose_item(job, item, attempts_max, wall_ms);
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
 * An outcome counts under the grant in force. A result of an idempotent item
 * counts whatever its grant: it is what the item yields. For another item the
 * intent must name the grant.
 */
static bool outcome_counts(const struct ledger_job *job, uint32_t item,
			   const Briarplank__ItemOutcome *outcome, bool current)
{
	const struct ledger_item *it = &job->items[item];

	if (it->flags & ITEM_IDEMPOTENT)
		return current ||
		       outcome->result ==
			       BRIARPLANK__ITEM_OUTCOME__RESULT__DONE;
	return ledger_intent_of_ref(job, item, outcome->grant);
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
	job = ledger_grant_target(ledger, id, &item);
	if (!job || ledger_item_ended(&job->items[item]))
		return LEDGER_OK;
	if (job->items[item].flags & ITEM_ENDING)
		return LEDGER_QUEUED;
	grant = ledger_grant_of_ref(ledger, outcome->grant);
	if (!outcome_counts(job, item, outcome, grant != NULL))
		return LEDGER_VOID_GRANT;
	other = ledger_grant_of(ledger, job, item);
	if (grant)
		ledger_grant_remove(ledger, grant);
	else if (other)
		ledger_grant_revoke(ledger, other);
	take_outcome(job, item, outcome, attempts_max, wall_ms);
	return job->items[item].flags & ITEM_ENDING ? LEDGER_QUEUED : LEDGER_OK;
}

/*
 * The outcome of a non-idempotent item may still be on its way when the lease
 * lapses: its agent gets time to report before the item ends without one.
 */
static bool give_grace(struct ledger_grant *grant)
{
	const struct ledger_item *item = &grant->job->items[grant->item];

	if (item->flags & ITEM_IDEMPOTENT || grant->grace)
		return false;
	/* Until its intent is durable the grant has not been sent. */
	grant->grace = item->state == ITEM_INTENT;
	grant->expires_ms +=
		GRACE_LEASES * grant->job->ledger->options.lease_ms;
	return true;
}

void ledger_expire(struct ledger *ledger, ledger_attempts_fn attempts_max,
		   void *ctx, uint64_t now_ms, uint64_t wall_ms)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &ledger->grants) {
		struct ledger_grant *grant =
			list_entry(pos, struct ledger_grant, link);
		struct ledger_job *job = grant->job;
		uint32_t item = grant->item;

		if (grant->expires_ms > now_ms || give_grace(grant))
			continue;
		ledger_grant_revoke(ledger, grant);
		if (!(job->items[item].flags & ITEM_ENDING))
			lose_item(job, item, attempts_max(ctx, job->service),
				  wall_ms);
	}
}
