/**
 * Limits of callers at an entry: a request rate for each caller, and a fair
 * share of a service's running requests while the service is full.
 */
#ifndef BRIARPLANK_CORE_LIMITER_H
#define BRIARPLANK_CORE_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

struct limiter;

/** Rate limit of a caller. */
struct limiter_rate {
	uint64_t requests_per_s;
	uint64_t burst;
};

struct limiter *limiter_create(void);
void limiter_destroy(struct limiter *limiter);

/**
 * Tells whether a caller's rate limit admits a request now, by the generic cell
 * rate algorithm (GCRA). If not, retry_after_us is set to the delay after which
 * it will, in us.
 */
bool limiter_admit(struct limiter *limiter, const char *caller,
		   const struct limiter_rate *rate, uint64_t now_us,
		   uint64_t *retry_after_us);

/**
 * These functions record the start and the end of a caller's request at a
 * service.
 */
void limiter_started(struct limiter *limiter, const char *service,
		     const char *caller);
void limiter_ended(struct limiter *limiter, const char *service,
		   const char *caller);

/** Records that a server of the service refused a request because it is
 * full. */
void limiter_set_full(struct limiter *limiter, const char *service,
		      uint64_t now_ms);

/**
 * Tells whether a caller is within its fair share of a service's running
 * requests. Always true while the service isn't full.
 */
bool limiter_within_share(struct limiter *limiter, const char *service,
			  const char *caller, uint64_t now_ms);

/** Frees the rate state of idle callers; to be called periodically. */
void limiter_sweep(struct limiter *limiter, uint64_t now_us);

/** Returns the number of callers whose rate state is kept. */
unsigned limiter_callers_nr(const struct limiter *limiter);

#endif
