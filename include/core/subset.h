/**
 * The subset of agents that an entry dispatches to.
 *
 * A full mesh of entries and agents costs too many load reports, so each entry
 * has a subset. For each pair of data centres, agents and entries are placed on
 * two rings in the order of their hashed names; an entry takes an arc of agents
 * that starts at its own position. So each agent is in the subsets of equally
 * many entries, give or take one for each pair, and a node that joins or leaves
 * moves each arc by few positions.
 */
#ifndef BRIARPLANK_CORE_SUBSET_H
#define BRIARPLANK_CORE_SUBSET_H

#include <stdbool.h>
#include <stddef.h>

/** Number of agents of a service in the subset of an entry. */
#define SUBSET_AGENTS 40

/** An entry or an agent of the service. */
struct subset_node {
	const char *name;
	const char *data_centre;
	const char *region;
	/** Output: the node is in the subset. */
	bool picked;
};

/**
 * Marks the agents of an entry's subset and returns their number. Marks all
 * agents when there are no more than size. self must be among the entries.
 */
unsigned subset_pick(const struct subset_node *entries, size_t entries_nr,
		     const char *self, struct subset_node *agents,
		     size_t agents_nr, unsigned size);

/**
 * The inverse for an agent: marks the entries that have it in their subset
 * and returns their number. self must be among the agents.
 */
unsigned subset_pick_entries(struct subset_node *entries, size_t entries_nr,
			     const struct subset_node *agents, size_t agents_nr,
			     const char *self, unsigned size);

#endif
