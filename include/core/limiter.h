/**
 * Limits of callers at an entry: a rate for each, and a fair share of what
 * runs while a service is full.
 */
#ifndef BRIARPLANK_CORE_LIMITER_H
#define BRIARPLANK_CORE_LIMITER_H

#include <stdbool.h>
#include <stdint.h>

struct limiter;

/** What a caller may use. */
struct limiter_rate {
	uint64_t requests_per_s;
	uint64_t burst;
};

struct limiter *limiter_create(void);
void limiter_destroy(struct limiter *limiter);

/**
 * Asks whether a caller may begin a request, by the generic cell rate
 * algorithm. Otherwise sets the time after which it may, in us.
 */
bool limiter_admit(struct limiter *limiter, const char *caller,
		   const struct limiter_rate *rate, uint64_t now_us,
		   uint64_t *retry_after_us);

/** Counts the requests of a caller at a service that run. */
void limiter_started(struct limiter *limiter, const char *service,
		     const char *caller);
void limiter_ended(struct limiter *limiter, const char *service,
		   const char *caller);

/** A server of the service refused a request because it is full. */
void limiter_full(struct limiter *limiter, const char *service,
		  uint64_t now_ms);

/**
 * Tells whether a caller is within its share of a service's running requests.
 * While the service isn't full everyone is.
 */
bool limiter_fair(struct limiter *limiter, const char *service,
		  const char *caller, uint64_t now_ms);

/** Drops callers that have been idle for long; call now and then. */
void limiter_sweep(struct limiter *limiter, uint64_t now_us);

/** Number of callers that are remembered for their rates. */
unsigned limiter_callers_nr(const struct limiter *limiter);

#endif
