/**
 * Which entries an agent's next load reports go to.
 *
 * A round sends a bounded number of reports, so that they cost the same
 * however large the fleet is. Entries that use the server come first, then
 * those that have waited longest.
 */
#ifndef BRIARPLANK_CORE_REPORT_TURNS_H
#define BRIARPLANK_CORE_REPORT_TURNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Reports of one round at most: 25 entries work with an agent of 600. */
#define REPORT_TURNS_MAX 50

struct report_target {
	const char *name;
	/** Time of the last report to it, in ms; 0 before any. */
	uint64_t sent_ms;
	/** It dispatched lately. */
	bool recent;
};

/** Puts the targets of the next round first; returns their number. */
size_t report_turns_pick(struct report_target *targets, size_t nr);

#endif
