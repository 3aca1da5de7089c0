/**
 * Selects the path of a node's calls to the store: direct, or relayed by
 * another entry.
 *
 * The store may reject or be unreachable for some nodes while it serves others.
 * A node whose direct path is down sends its calls to an entry that still
 * reaches the store and relays them, and probes from time to time whether its
 * direct path is up again.
 */
#ifndef BRIARPLANK_CORE_STORE_PATH_H
#define BRIARPLANK_CORE_STORE_PATH_H

#include <stdbool.h>
#include <stdint.h>

#include "common/list.h"

struct store_path;

/**
 * Creates the path of a node that starts now. The seed is a random number, by
 * which nodes choose different relays.
 */
struct store_path *store_path_create(uint64_t seed, uint64_t now_ms);
void store_path_destroy(struct store_path *path);

/** A completed call to the store. */
struct store_path_call {
	/** Address of the entry that relayed it; 0 for the direct path. */
	uint64_t relay;
	/** The store answered and did not reject the call. */
	bool answered;
	/**
	 * The store rejected the call because of its rate limit, which applies
	 * to the calls of all nodes together, unless only this node is
	 * throttled.
	 */
	bool throttled;
	uint64_t sent_ms;
	uint64_t ended_ms;
};

/** Records the result of a call; returns true if the direct path went down or
 * up. */
bool store_path_record_call(struct store_path *path,
			    const struct store_path_call *call);

/** Tells whether the node's direct path is down. */
bool store_path_is_down(const struct store_path *path);

/**
 * Returns the address of the peer that relays the next call, or 0 for the
 * direct path. peers is a list of struct peer, linked by peer->link.
 */
uint64_t store_path_choose(struct store_path *path, const struct list *peers,
			   uint64_t now_ms);

#endif
