/**
 * The last requests that this node refused, for operators.
 */
#ifndef BRIARPLANKD_GATEWAY_REFUSALS_H
#define BRIARPLANKD_GATEWAY_REFUSALS_H

#include <stdint.h>

struct refusal {
	/** Unix time in ms. */
	uint64_t wall_ms;
	char *id;
	/** Service of a request, route of a job. */
	char *service;
	/** What was said to the caller, and with which status. */
	char *reason;
	int status;
};

struct refusals;

struct refusals *refusals_create(void);
void refusals_destroy(struct refusals *refusals);

/** Notes a refusal; the texts are copied. The oldest one may go for it. */
void refusals_note(struct refusals *refusals, const struct refusal *refusal);

/** Calls fn for each refusal that is kept, oldest first. */
void refusals_each(const struct refusals *refusals,
		   void (*fn)(void *ctx, const struct refusal *refusal),
		   void *ctx);

#endif
