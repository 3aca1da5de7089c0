/**
 * Which way a node's calls to the store take: its own, or by another entry.
 *
 * The store may turn some nodes away, or be cut off from them, while it serves
 * the others. A node that has lost its own way sends its calls by an entry that
 * has not, which passes them on, and looks from time to time whether its own
 * way is back.
 */
#ifndef BRIARPLANK_CORE_STORE_PATH_H
#define BRIARPLANK_CORE_STORE_PATH_H

#include <stdbool.h>
#include <stdint.h>

#include "common/list.h"

struct store_path;

struct store_path *store_path_create(uint64_t now_ms);
void store_path_destroy(struct store_path *path);

/** A call to the store that ended. */
struct store_path_call {
	/** Address of the entry that passed it on; 0 for the node's own way. */
	uint64_t relay;
	/** The store answered and did not turn it away. */
	bool answered;
	/**
	 * It was turned away for the rate of calls: of all nodes' calls
	 * together, unless this node alone meets it.
	 */
	bool throttled;
	uint64_t sent_ms;
	uint64_t ended_ms;
};

/** Learns from a call; true when the own way was lost or found by it. */
bool store_path_ended(struct store_path *path,
		      const struct store_path_call *call);

/** Tells whether the node's own way is lost. */
bool store_path_lost(const struct store_path *path);

/**
 * The way of the next call: the address of one of the peers (struct peer, by
 * its link), or 0 for the node's own.
 */
uint64_t store_path_choose(struct store_path *path, const struct list *peers,
			   uint64_t now_ms);

#endif
