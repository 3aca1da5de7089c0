/*
 * Handles lost members, which nodes report to each other in their pings. A
 * report only causes the member to be pinged at once. Each node marks members
 * as down by its own observation alone, so that a faulty node can't evict
 * members from the tables of others.
 */
#include "members_private.h"

void members_collect_losses(struct members *members, uint64_t now_ms)
{
	struct list *pos;

	g_ptr_array_set_size(members->losses, 0);
	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->lost_ms &&
		    now_ms - member->lost_ms <
			    members->options.report_losses_ms)
			g_ptr_array_add(members->losses, member);
	}
}

unsigned members_pick_losses(struct members *members,
			     const struct member **losses)
{
	unsigned limit =
		MIN(members->options.report_losses_max, MEMBERS_LOSSES_MAX);
	unsigned nr = MIN(members->losses->len, limit);
	unsigned i;

	for (i = 0; i < nr; i++)
		losses[i] = members->losses->pdata[members->next_loss++ %
						   members->losses->len];
	return nr;
}

void members_note_reported_loss(struct members *members, const char *name,
				uint64_t incarnation, uint64_t now_ms)
{
	struct member *member = members_find(members, name);

	if (!member || member->state != MEMBER_UP ||
	    incarnation < member->incarnation ||
	    now_ms - member->heard_ms < members->options.down_after_ms)
		return;
	member->loss_reported = true;
}
