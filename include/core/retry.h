/**
 * When a request may be dispatched again.
 *
 * Retries are paid from a budget that recent successes fill, so that a sick
 * fleet gets hardly more dispatches than requests. A trickle lets an entry
 * retry that has few requests.
 */
#ifndef BRIARPLANK_CORE_RETRY_H
#define BRIARPLANK_CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

struct retry_options {
	/** Retries earned by a success, in thousandths. */
	uint32_t per_success_milli;
	/** Retries earned in a second, in thousandths, for quiet entries. */
	uint32_t per_second_milli;
	/** Most retries that are kept, and those at the start. */
	uint32_t max_retries;
	uint32_t start_retries;
	/** Attempts of one request, the first included. */
	uint32_t max_attempts;
	/** Bounds of the wait before an attempt, in ms. */
	uint32_t backoff_min_ms;
	uint32_t backoff_max_ms;
};

struct retry {
	struct retry_options options;
	uint64_t budget_milli;
	uint64_t refilled_ms;
};

enum retry_verdict {
	RETRY_NOW,
	RETRY_LATER,
	RETRY_NO_BUDGET,
	RETRY_TOO_MANY,
	RETRY_TOO_LATE,
};

/** The options that entries use. */
extern const struct retry_options retry_defaults;

void retry_init(struct retry *retry, const struct retry_options *options);

/** A request succeeded. */
void retry_succeeded(struct retry *retry);

/**
 * Asks for another attempt after attempts that failed. On RETRY_NOW and
 * RETRY_LATER the budget is charged; RETRY_LATER sets the time of the attempt.
 */
enum retry_verdict retry_ask(struct retry *retry, uint32_t attempts,
			     uint64_t now_ms, uint64_t deadline_ms,
			     GRand *random, uint64_t *at_ms);

/**
 * Time after which a caller may come back while something is away, in ms. How
 * long that lasts isn't known; on average it has lasted half of its time.
 */
uint32_t retry_after_outage_ms(uint64_t lasted_ms);

/** Returns the name of a verdict. */
const char *retry_verdict_text(enum retry_verdict verdict);

#endif
