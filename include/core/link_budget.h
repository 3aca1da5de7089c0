/**
 * Token bucket for a node's share of the bandwidth between regions.
 *
 * The number of bytes of a request is not known in advance. A request may begin
 * while the bucket isn't empty, and its bytes are subtracted as they are
 * transferred, so that the level may become negative for a while.
 */
#ifndef BRIARPLANK_CORE_LINK_BUDGET_H
#define BRIARPLANK_CORE_LINK_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** Bandwidth of the link between regions in each direction, in bytes/s. */
#define LINK_BYTES_PER_S 3750000
/** Share of the bandwidth for online requests, in percent; the rest is for
 * batch and control traffic. */
#define LINK_ONLINE_PERCENT 25
/** Burst size: the time for which a node accumulates unused bandwidth, in s. */
#define LINK_BUDGET_BURST_S 2

struct link_budget {
	uint64_t bytes_per_s;
	uint64_t burst_bytes;
	/** Current level of the bucket; may be negative. */
	int64_t bytes;
	uint64_t updated_us;
};

/**
 * Returns a node's share of the online bandwidth, in bytes/s. entries is the
 * number of entries in the region, including the node.
 */
uint64_t link_budget_share(unsigned entries);

/** Initializes a full bucket. */
void link_budget_init(struct link_budget *budget, uint64_t bytes_per_s,
		      uint64_t burst_bytes, uint64_t now_us);

/** Changes the rate and the burst size; keeps the level, up to the burst. */
void link_budget_set(struct link_budget *budget, uint64_t bytes_per_s,
		     uint64_t burst_bytes, uint64_t now_us);

/** Tells whether a request of at least this size may begin. */
bool link_budget_allows(struct link_budget *budget, uint64_t bytes,
			uint64_t now_us);

/** Subtracts bytes that were sent or received. */
void link_budget_charge(struct link_budget *budget, uint64_t bytes,
			uint64_t now_us);

#endif
