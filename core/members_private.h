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
	/** Pending changes (struct queued_change), oldest first. */
	GQueue changes;
	/** Name in the change that was returned last. */
	char *change_name;
	/** Time of the last members_tick(); 0 before the first. */
	uint64_t ticked_ms;
	/** Time since which this node may be isolated; 0 when it is not. */
	uint64_t isolated_ms;
	/** Set when members were added or removed since the last choice. */
	bool watched_outdated;
	/** Members whose loss this node itself detected recently. */
	GPtrArray *losses;
	/** Index of the next loss to report, modulo their number. */
	unsigned next_loss;
	/** Next member of the round robin. */
	struct list *cursor;
};

/** Queues a change for members_next_change(). */
void members_push_change(struct members *members, enum members_change_kind kind,
			 const struct member *member);

/** Chooses the watched members and appends the members to ping now. */
void members_choose_pings(struct members *members, uint64_t now_ms,
			  GPtrArray *pings);

/** Collects the losses to report, after the states were updated. */
void members_collect_losses(struct members *members, uint64_t now_ms);

#endif
