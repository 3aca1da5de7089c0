/**
 * Bound over the memory that a process holds for its callers, on all of its HTTP servers
 * together: bytes of requests that have not arrived in full, requests that are being
 * served, and answers that callers have not read.
 *
 * A request that arrives in full and doesn't fit is refused. Otherwise connections are
 * closed, first the one whose bytes times the time for which it has held them are most: a
 * caller that sends and reads at a usual pace holds few bytes, or for a short time.
 */
#ifndef BRIARPLANKD_WEB_BUDGET_H
#define BRIARPLANKD_WEB_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <uv.h>

#include "briarplankd/web.h"

struct web_budget_options {
	uv_loop_t *loop;
	/** Bound, in bytes. */
	size_t bytes_max;
	/** Returns bytes that the process holds for callers elsewhere; may be NULL. */
	size_t (*held_elsewhere)(void *ctx);
	void *ctx;
	struct metrics *metrics;
};

struct web_budget *web_budget_create(const struct web_budget_options *options);

/** Frees a budget whose servers have been destroyed. */
void web_budget_destroy(struct web_budget *budget);

/** Adds a server. */
void web_budget_add(struct web_budget *budget, struct web *web);

/** Tells whether a request with a body of this length may be served. */
bool web_budget_admits(struct web_budget *budget, size_t body_len);

/** Takes up memory if there is room; the next count finds who holds it. */
bool web_budget_reserve(struct web_budget *budget, size_t bytes);

#endif
