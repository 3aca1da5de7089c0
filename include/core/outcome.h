/**
 * Tracks what is known about the outcome of a request over all its attempts.
 *
 * An attempt goes from not sent to sent, admitted, first byte and ended. The
 * caller is told "not run" only when every attempt is proven not to have run; a
 * request that is not idempotent is never retried without that proof.
 */
#ifndef BRIARPLANK_CORE_OUTCOME_H
#define BRIARPLANK_CORE_OUTCOME_H

#include <stdbool.h>
#include <stdint.h>

enum outcome_state {
	OUTCOME_NOT_SENT,
	OUTCOME_SENT,
	OUTCOME_ADMITTED,
	/** At least one byte of the answer was sent to the caller. */
	OUTCOME_FIRST_BYTE,
	OUTCOME_ENDED,
};

/** The outcome as reported to the caller. */
enum outcome_statement {
	OUTCOME_COMPLETED,
	OUTCOME_NOT_RUN,
	OUTCOME_UNKNOWN,
};

struct outcome {
	enum outcome_state state;
	/** Number of the current attempt, from 1; 0 before the first. */
	uint32_t attempt;
	/** Incarnation of the agent that the current attempt was sent to. */
	uint64_t incarnation;
	bool idempotent;
	/** An earlier attempt was lost without proof that it never ran. */
	bool may_have_run;
	/** The complete answer was sent to the caller. */
	bool complete;
};

/** Initializes a request without attempts. */
void outcome_init(struct outcome *outcome, bool idempotent);

/** Tells whether a new attempt may be dispatched now. */
bool outcome_may_dispatch(const struct outcome *outcome);

/** Starts an attempt and returns its number, or 0 when not allowed. */
uint32_t outcome_dispatch(struct outcome *outcome, uint64_t incarnation);

/** Tells whether a message belongs to the current attempt. */
bool outcome_accepts(const struct outcome *outcome, uint32_t attempt,
		     uint64_t incarnation);

/** Records that the agent passed the attempt to its server. */
void outcome_admitted(struct outcome *outcome);

/** Records that a byte of the answer is sent to the caller. */
void outcome_first_byte(struct outcome *outcome);

/**
 * Records proof that the attempt did not run: nothing was sent, the agent
 * refused it, or will never start it. Returns false when there is no attempt in
 * flight, or when bytes of an answer were already sent to the caller, which
 * shows that it ran.
 */
bool outcome_proven_not_run(struct outcome *outcome);

/** Records that the attempt was lost, without proof that it did not run. */
void outcome_lost(struct outcome *outcome);

/** Records the end of the answer, which is complete or truncated. */
void outcome_ended(struct outcome *outcome, bool complete);

/** Returns the outcome that the caller can be told now. */
enum outcome_statement outcome_statement(const struct outcome *outcome);

/** Returns "completed", "not_run" or "unknown". */
const char *outcome_statement_text(enum outcome_statement statement);

/** Returns the name of an attempt's state. */
const char *outcome_state_text(enum outcome_state state);

#endif
