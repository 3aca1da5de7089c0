/**
 * Keeps the last requests that this node refused, for operators.
 */
#ifndef BRIARPLANKD_GATEWAY_REFUSALS_H
#define BRIARPLANKD_GATEWAY_REFUSALS_H

#include <stdint.h>

struct refusal {
	/** Unix time at which the request was refused, in ms. */
	uint64_t wall_ms;
	char *id;
	/** Service of a refused online request, or route of a refused job. */
	char *service;
	/** Reason and HTTP status in the answer to the caller. */
	char *reason;
	int status;
};

struct refusals;

struct refusals *refusals_create(void);
void refusals_destroy(struct refusals *refusals);

/** Adds a refusal and drops the oldest beyond a limit. Strings are copied. */
void refusals_add(struct refusals *refusals, const struct refusal *refusal);

/** Calls fn for each refusal, oldest first. */
void refusals_each(const struct refusals *refusals,
		   void (*fn)(void *ctx, const struct refusal *refusal),
		   void *ctx);

#endif
