/**
 * What is known of a request's fate over all its attempts.
 *
 * An attempt moves from not sent over sent, admitted and first byte to ended.
 * "Not run" is stated only when every attempt is proven not to have run; a
 * request that is not idempotent is never dispatched again without that proof.
 */
#ifndef BRIARPLANK_CORE_OUTCOME_H
#define BRIARPLANK_CORE_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

enum outcome_state {
	OUTCOME_NOT_SENT,
	OUTCOME_SENT,
	OUTCOME_ADMITTED,
	/** A byte of the answer was passed on to the caller. */
	OUTCOME_FIRST_BYTE,
	OUTCOME_ENDED,
};

/** What may be told to the caller. */
enum outcome_statement {
	OUTCOME_COMPLETED,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
};

struct outcome {
	enum outcome_state state;
	/** Number of the present attempt, from 1; 0 before the first. */
	uint32_t attempt;
	/** Incarnation of the agent that the present attempt went to. */
	uint64_t incarnation;
	bool idempotent;
	/** An earlier attempt was lost without proof that it never ran. */
	bool may_have_run;
	/** The whole answer was passed on. */
	bool whole;
};

/** Begins a request without attempts. */
void outcome_init(struct outcome *outcome, bool idempotent);

/** Tells whether an attempt may begin now. */
bool outcome_may_dispatch(const struct outcome *outcome);

/** Begins an attempt and returns its number, or 0 when it is not allowed. */
uint32_t outcome_dispatch(struct outcome *outcome, uint64_t incarnation);

/** Tells whether a message belongs to the present attempt. */
bool outcome_accepts(const struct outcome *outcome, uint32_t attempt,
		     uint64_t incarnation);

/** The agent handed the attempt to its server. */
void outcome_admitted(struct outcome *outcome);

/** A byte of the answer is passed on to the caller. */
void outcome_first_byte(struct outcome *outcome);

/**
 * The attempt is proven not to have run: nothing was sent, the agent refused
 * it, or it will never start it. False when bytes were passed on already, as
 * such a proof can't be true.
 */
bool outcome_proven_not_run(struct outcome *outcome);

/** The attempt is lost without proof. */
void outcome_lost(struct outcome *outcome);

/** The answer ended, whole or broken. */
void outcome_ended(struct outcome *outcome, bool whole);

/** Returns what may be stated now. */
enum outcome_statement outcome_statement(const struct outcome *outcome);

/** Returns "completed", "not_run" or "unknown". */
const char *outcome_statement_text(enum outcome_statement statement);

/** Returns the name of a state. */
const char *outcome_state_text(enum outcome_state state);

#endif
