/**
 * What the files of the members module share.
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
	/** Of struct queued_change. */
	GQueue changes;
	char *last_name;
	uint64_t ticked_ms;
	/** Since when silence is taken for the own isolation; 0 when not. */
	uint64_t isolated_ms;
	/** Members came or went since the watched ones were chosen. */
	bool watch_stale;
	/** Members that this node lately judged lost, and how many it told. */
	GPtrArray *losses;
	unsigned losses_told;
	/** Next of the members that are pinged in turn. */
	struct list *cursor;
};

/** Queues a change for members_next_change(). */
void members_push_change(struct members *members, enum members_change_kind kind,
			 const struct member *member);

/** Chooses whom to watch and appends the members to ping now. */
void members_choose_pings(struct members *members, uint64_t now_ms,
			  GPtrArray *pings);

/** Finds the losses to tell, after the members were judged. */
void members_collect_losses(struct members *members, uint64_t now_ms);

#endif
