/**
 * Chooses the entries that an agent sends its next load reports to.
 *
 * The number of reports in a round is bounded, so that their cost doesn't grow
 * with the fleet. Entries that use the server come first, then those whose last
 * report is oldest.
 */
#ifndef BRIARPLANK_CORE_REPORT_TURNS_H
#define BRIARPLANK_CORE_REPORT_TURNS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/**
 * Maximum number of reports in a round. With 600 agents, an agent is in the
 * subsets of 25 entries.
 */
#define REPORT_TURNS_MAX 50

/** One entry that reports may be sent to. */
struct report_target {
	const char *name;
	/** Time of the last report to the entry, in ms; 0 before any. */
	uint64_t sent_ms;
	/** The entry dispatched to this agent recently. */
	bool recent;
};

/** Sorts the targets of the next round first and returns their number. */
size_t report_turns_pick(struct report_target *targets, size_t nr);

#endif
