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

/** Bytes a second of the link between regions, each way. */
#define LINK_BYTES_PER_S 3750000
/** Share of it for online requests; the rest is for batch work and control. */
#define LINK_ONLINE_PERCENT 25
/** Time over which a node may save up its share, in s. */
#define LINK_BUDGET_BURST_S 2

struct link_budget {
	uint64_t bytes_per_s;
	uint64_t burst_bytes;
	int64_t bytes;
	uint64_t updated_us;
};

/**
 * A node's share in bytes a second, when so many entries of the region are
 * known, itself among them: all shares together keep to online's part.
 */
uint64_t link_budget_share(unsigned entries);

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
