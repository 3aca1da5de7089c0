/**
 * Poll intervals of an entry at the store, chosen so that all entries together
 * stay within the store's rate limit.
 */
#ifndef BRIARPLANK_CORE_POLL_PACE_H
#define BRIARPLANK_CORE_POLL_PACE_H

#include <stdint.h>

struct poll_pace {
	/** Timeout of a long poll for a new configuration, in ms. */
	unsigned config_wait_ms;
	/** Pause between two reads of the server list, in ms. */
	uint64_t servers_pause_ms;
	/** Pause between two reads of the job index, in ms. */
	uint64_t index_pause_ms;
};

/** Returns the poll intervals of each entry, for a number of entries and the
 * store's limit of reads/s. */
struct poll_pace poll_pace_for(unsigned entries, unsigned reads_per_s);

#endif
