/**
 * How often an entry reads the store, so that all entries together stay within
 * its rate of calls.
 */
#ifndef BRIARPLANK_CORE_POLL_PACE_H
#define BRIARPLANK_CORE_POLL_PACE_H

#include <stdint.h>

struct poll_pace {
	/** Longest wait of the store for a new configuration, in ms. */
	unsigned config_wait_ms;
	/** Pause between two reads of the servers, in ms. */
	uint64_t servers_pause_ms;
	/** Pause between two reads of the job index, in ms. */
	uint64_t index_pause_ms;
};

/** The pace of one of so many entries before a store of so many reads a s. */
struct poll_pace poll_pace_of(unsigned entries, unsigned reads_per_s);

#endif
