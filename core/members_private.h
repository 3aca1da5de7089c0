/**
 * Types and functions shared by the files of the members module.
 */
#ifndef BRIARPLANK_CORE_MEMBERS_PRIVATE_H
#define BRIARPLANK_CORE_MEMBERS_PRIVATE_H

#include "core/members.h"

struct members {
	struct members_options options;
	char *self;
	GHashTable *by_name;
	struct list all;
	unsigned nr;
	/**
	 * Queued changes of members' states (struct queued_change), oldest
	 * first.
	 */
	GQueue changes;
	/** Name of the member in the change that was returned last. */
	char *change_name;
	/** Time of the last members_tick(); 0 before the first. */
	uint64_t ticked_ms;
	/** Time since which this node may be isolated; 0 when it is not. */
	uint64_t isolated_ms;
	/**
	 * Set when the watched members must be chosen again, as after members
	 * were added or removed.
	 */
	bool watched_outdated;
	/** Members whose loss this node itself detected recently. */
	GPtrArray *losses;
	/** Index of the next loss to report, modulo the number of losses. */
	unsigned next_loss;
	/** Next member to ping by round robin. */
	struct list *cursor;
};

/** Queues a change for members_next_change(). */
void members_push_change(struct members *members, enum members_change_kind kind,
			 const struct member *member);

/** Chooses the watched members and appends the members to ping now. */
void members_choose_pings(struct members *members, uint64_t now_ms,
			  GPtrArray *pings);

/**
 * Collects the losses to report; called after the members' states were updated.
 */
void members_collect_losses(struct members *members, uint64_t now_ms);

#endif
