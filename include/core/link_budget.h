/**
 * A node's share of the bytes on the link between regions.
 *
 * A token bucket. What a request will cost is not known beforehand: a request
 * begins while the bucket isn't empty, and its bytes are taken as they come,
 * so that the bucket may be overdrawn for a while.
 */
#ifndef BRIARPLANK_CORE_LINK_BUDGET_H
#define BRIARPLANK_CORE_LINK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

struct link_budget {
	uint64_t bytes_per_s;
	uint64_t burst_bytes;
	int64_t bytes;
	uint64_t updated_us;
};

/** Begins with a full bucket. */
void link_budget_init(struct link_budget *budget, uint64_t bytes_per_s,
		      uint64_t burst_bytes, uint64_t now_us);

/** Changes the rate; what is in the bucket stays, up to the burst. */
void link_budget_set(struct link_budget *budget, uint64_t bytes_per_s,
		     uint64_t burst_bytes, uint64_t now_us);

/** Tells whether a request of this size may begin. */
bool link_budget_open(struct link_budget *budget, uint64_t bytes,
		      uint64_t now_us);

/** Takes bytes that were sent or received. */
void link_budget_take(struct link_budget *budget, uint64_t bytes,
		      uint64_t now_us);

#endif
