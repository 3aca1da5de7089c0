#include "core/retry.h"

/* Bounds of the retry delay told to callers during an outage, in ms: a retry
 * costs little, and callers typically have only a few seconds until their
 * deadline. */
#define OUTAGE_RETRY_MIN_MS 500
#define OUTAGE_RETRY_MAX_MS 2000

#define MILLI 1000
#define MS_PER_S 1000

const struct retry_options retry_defaults = {
	.per_success_milli = 100,
	.per_second_milli = 1000,
	.max_retries = 100,
	.start_retries = 10,
	.max_attempts = 4,
	.backoff_min_ms = 10,
	.backoff_max_ms = 500,
};

void retry_init(struct retry *retry, const struct retry_options *options)
{
	retry->options = *options;
	retry->budget_milli = (uint64_t)options->start_retries * MILLI;
}

static void add_budget(struct retry *retry, uint64_t milli)
{
	uint64_t max = (uint64_t)retry->options.max_retries * MILLI;

	retry->budget_milli = MIN(retry->budget_milli + milli, max);
}

void retry_succeeded(struct retry *retry)
{
	add_budget(retry, retry->options.per_success_milli);
}

static void refill(struct retry *retry, uint64_t now_ms)
{
	uint64_t elapsed_ms = now_ms - retry->refilled_ms;

	if (retry->refilled_ms && now_ms > retry->refilled_ms)
		add_budget(retry, elapsed_ms * retry->options.per_second_milli /
					  MS_PER_S);
	retry->refilled_ms = MAX(retry->refilled_ms, now_ms);
}

/* Returns no delay for the second attempt, which goes to another agent, then an
 * exponential backoff with full jitter. */
static uint32_t backoff_ms(const struct retry_options *options,
			   uint32_t attempts, GRand *random)
{
	uint64_t most;

	if (attempts < 2)
		return 0;
	most = (uint64_t)options->backoff_min_ms << (attempts - 1);
	most = MIN(most, options->backoff_max_ms);
	return g_rand_int_range(random, 1, (gint32)most + 1);
}

enum retry_decision retry_decide(struct retry *retry, uint32_t attempts,
				 uint64_t now_ms, uint64_t deadline_ms,
				 GRand *random, uint64_t *at_ms)
{
	if (attempts >= retry->options.max_attempts)
		return RETRY_TOO_MANY;
	*at_ms = now_ms + backoff_ms(&retry->options, attempts, random);
	if (*at_ms >= deadline_ms)
		return RETRY_TOO_LATE;
	refill(retry, now_ms);
	if (retry->budget_milli < MILLI)
		return RETRY_NO_BUDGET;
	retry->budget_milli -= MILLI;
	return *at_ms > now_ms ? RETRY_LATER : RETRY_NOW;
}

uint32_t retry_after_outage_ms(uint64_t lasted_ms)
{
	return (uint32_t)CLAMP(lasted_ms, OUTAGE_RETRY_MIN_MS,
			       OUTAGE_RETRY_MAX_MS);
}

const char *retry_decision_text(enum retry_decision verdict)
{
	static const char *const texts[] = {
		[RETRY_NOW] = "now",
		[RETRY_LATER] = "later",
		[RETRY_NO_BUDGET] = "the retry budget is spent",
		[RETRY_TOO_MANY] = "too many attempts",
		[RETRY_TOO_LATE] = "no time is left",
	};

	return texts[verdict];
}
