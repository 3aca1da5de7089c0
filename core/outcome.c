/*
 * State machine of a request's attempts.
 */
#include "core/outcome.h"

void outcome_init(struct outcome *outcome, bool idempotent)
{
	*outcome = (struct outcome){ .idempotent = idempotent };
}

bool outcome_may_dispatch(const struct outcome *outcome)
{
	if (outcome->state != OUTCOME_NOT_SENT)
		return false;
	return outcome->idempotent || !outcome->may_have_run;
}

uint32_t outcome_dispatch(struct outcome *outcome, uint64_t incarnation)
{
	if (!outcome_may_dispatch(outcome))
		return 0;
	outcome->state = OUTCOME_SENT;
	outcome->incarnation = incarnation;
	return ++outcome->attempt;
}

static bool in_flight(const struct outcome *outcome)
{
	return outcome->state != OUTCOME_NOT_SENT &&
	       outcome->state != OUTCOME_ENDED;
}

bool outcome_accepts(const struct outcome *outcome, uint32_t attempt,
		     uint64_t incarnation)
{
	return in_flight(outcome) && outcome->attempt == attempt &&
	       outcome->incarnation == incarnation;
}

void outcome_admitted(struct outcome *outcome)
{
	if (outcome->state == OUTCOME_SENT)
		outcome->state = OUTCOME_ADMITTED;
}

void outcome_first_byte(struct outcome *outcome)
{
	if (in_flight(outcome))
		outcome->state = OUTCOME_FIRST_BYTE;
}

bool outcome_proven_not_run(struct outcome *outcome)
{
	if (outcome->state != OUTCOME_SENT &&
	    outcome->state != OUTCOME_ADMITTED)
		return false;
	outcome->state = OUTCOME_NOT_SENT;
	return true;
}

void outcome_lost(struct outcome *outcome)
{
	if (!in_flight(outcome))
		return;
	outcome->may_have_run = true;
	if (outcome->state == OUTCOME_FIRST_BYTE)
		outcome->state = OUTCOME_ENDED;
	else
		outcome->state = OUTCOME_NOT_SENT;
}

void outcome_ended(struct outcome *outcome, bool complete)
{
	outcome->state = OUTCOME_ENDED;
	outcome->complete = complete;
}

enum outcome_statement outcome_statement(const struct outcome *outcome)
{
	if (outcome->state == OUTCOME_ENDED && outcome->complete)
		return OUTCOME_COMPLETED;
	if (outcome->state == OUTCOME_NOT_SENT && !outcome->may_have_run)
		return OUTCOME_NOT_RUN;
	return OUTCOME_UNKNOWN;
}

const char *outcome_statement_text(enum outcome_statement statement)
{
	static const char *const texts[] = {
		[OUTCOME_COMPLETED] = "completed",
		[OUTCOME_NOT_RUN] = "not_run",
		[OUTCOME_UNKNOWN] = "unknown",
	};

	return texts[statement];
}

const char *outcome_state_text(enum outcome_state state)
{
	static const char *const texts[] = {
		[OUTCOME_NOT_SENT] = "not_sent",
		[OUTCOME_SENT] = "sent",
		[OUTCOME_ADMITTED] = "admitted",
		[OUTCOME_FIRST_BYTE] = "first_byte",
		[OUTCOME_ENDED] = "ended",
	};

	return texts[state];
}
