/**
 * Retry budget and backoff of failed requests.
 *
 * Each retry is charged to a budget that successes refill, so that a failing
 * fleet gets hardly more dispatches than requests. The budget also grows slowly
 * with time, so that an entry with few requests can retry.
 */
#ifndef BRIARPLANK_CORE_RETRY_H
#define BRIARPLANK_CORE_RETRY_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

struct retry_options {
	/** Budget added by each success, in thousandths of a retry. */
	uint32_t per_success_milli;
	/** Budget added each second, in thousandths of a retry. */
	uint32_t per_second_milli;
	/** Maximum and initial budget, in retries. */
	uint32_t max_retries;
	uint32_t start_retries;
	/** Maximum number of attempts of one request, including the first. */
	uint32_t max_attempts;
	/** Bounds of the backoff before an attempt, in ms. */
	uint32_t backoff_min_ms;
	uint32_t backoff_max_ms;
};

struct retry {
	struct retry_options options;
	uint64_t budget_milli;
	uint64_t refilled_ms;
};

enum retry_decision {
	RETRY_NOW,
	RETRY_LATER,
	RETRY_NO_BUDGET,
	RETRY_TOO_MANY,
	RETRY_TOO_LATE,
};

/** Default options of the retry budget and the backoff, used by entries. */
extern const struct retry_options retry_defaults;

void retry_init(struct retry *retry, const struct retry_options *options);

/** Records a success, which adds to the budget. */
void retry_succeeded(struct retry *retry);

/**
 * Decides whether a request may be attempted again after a number of failed
 * attempts. RETRY_NOW and RETRY_LATER charge the budget for one retry, and
 * at_ms is the time of the next attempt.
 */
enum retry_decision retry_decide(struct retry *retry, uint32_t attempts,
				 uint64_t now_ms, uint64_t deadline_ms,
				 GRand *random, uint64_t *at_ms);

/**
 * Returns the retry delay for callers during an outage, in ms. The end of the
 * outage is unknown; on average half of its duration has passed, so the delay
 * is the time that it has lasted, within bounds.
 */
uint32_t retry_after_outage_ms(uint64_t lasted_ms);

/** Returns a text that describes a decision. */
const char *retry_decision_text(enum retry_decision verdict);

#endif
