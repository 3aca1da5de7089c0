/*
 * Chooses the members to ping: a bounded set of watched members at each
 * interval, and the others by round robin, so that a node's cost doesn't grow
 * with the fleet.
 */
#include <string.h>

#include "common/hash.h"
#include "members_private.h"

/* Number of consecutive pings without a connection that are not yet counted as
 * silence. */
#define UNSENT_PINGS_MAX 2

struct ranked {
	struct member *member;
	uint64_t weight;
};

static int compare_weights(const void *a, const void *b)
{
	const struct ranked *ra = a;
	const struct ranked *rb = b;

	if (ra->weight != rb->weight)
		return ra->weight > rb->weight ? -1 : 1;
	return strcmp(ra->member->name, rb->member->name);
}

static bool is_near(const struct members *members, const struct member *member)
{
	return !strcmp(member->data_centre, members->options.data_centre);
}

/*
 * Marks as watched the members of highest rendezvous hash, in this data centre
 * (near) or in all others.
 */
static void watch_highest(struct members *members, bool near, unsigned limit)
{
	struct ranked *ranked = g_new(struct ranked, members->nr);
	uint64_t self = hash_string(members->self, 0);
	struct list *pos;
	unsigned i, nr = 0;

	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		if (is_near(members, member) != near)
			continue;
		ranked[nr].member = member;
		ranked[nr++].weight =
			hash_combine(self, hash_string(member->name, 0));
	}
	qsort(ranked, nr, sizeof(*ranked), compare_weights);
	for (i = 0; i < nr && i < limit; i++)
		ranked[i].member->watched = true;
	g_free(ranked);
}

static void choose_watched(struct members *members)
{
	bool all = members_watch_all(members);
	struct list *pos;

	members->watched_outdated = false;
	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		member->watched = all || member->watch_requested;
	}
	if (all)
		return;
	watch_highest(members, true, members->options.watch_near);
	watch_highest(members, false, members->options.watch_far);
}

static void ping(struct member *member, uint64_t now_ms, GPtrArray *pings)
{
	member->pinged_ms = now_ms;
	if (!member->unanswered_ms)
		member->unanswered_ms = now_ms;
	g_ptr_array_add(pings, member);
}

void members_note_unsent_ping(struct members *members, struct member *member)
{
	(void)members;
	member->unsent_pings++;
	/*
	 * The connection to an unwatched member is closed between two of its
	 * round-robin pings, so the first pings may find no connection.
	 */
	if (!member->watched && member->unsent_pings <= UNSENT_PINGS_MAX &&
	    member->unanswered_ms == member->pinged_ms)
		member->unanswered_ms = 0;
}

bool members_watch_all(const struct members *members)
{
	return members->nr <= members->options.watch_all_max;
}

static uint32_t ping_interval_ms(const struct members *members)
{
	return members_watch_all(members) ?
		       members->options.ping_interval_ms :
		       members->options.ping_interval_large_ms;
}

static bool is_due(const struct members *members, const struct member *member,
		   uint64_t now_ms)
{
	if (!*member->address)
		return false;
	if (member->state == MEMBER_SUSPECT || member->loss_reported ||
	    (!member->watched && member->unsent_pings &&
	     member->unsent_pings <= UNSENT_PINGS_MAX))
		return true;
	return member->watched &&
	       (!member->pinged_ms ||
		now_ms - member->pinged_ms >= ping_interval_ms(members));
}

static struct member *next_by_round_robin(struct members *members)
{
	if (members->cursor == &members->all)
		members->cursor = members->all.next;
	if (members->cursor == &members->all)
		return NULL;
	members->cursor = members->cursor->next;
	return list_entry(members->cursor->prev, struct member, link);
}

static void ping_round_robin(struct members *members, uint64_t now_ms,
			     GPtrArray *pings)
{
	unsigned i, nr = 0;

	for (i = 0; i < members->nr; i++) {
		struct member *member;

		if (nr == members->options.round_robin_pings)
			return;
		member = next_by_round_robin(members);
		if (!member || !*member->address || member->watched ||
		    member->pinged_ms == now_ms)
			continue;
		member->unsent_pings = 0;
		ping(member, now_ms, pings);
		nr++;
	}
}

void members_choose_pings(struct members *members, uint64_t now_ms,
			  GPtrArray *pings)
{
	struct list *pos;

	if (members->watched_outdated)
		choose_watched(members);
	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		if (is_due(members, member, now_ms))
			ping(member, now_ms, pings);
	}
	ping_round_robin(members, now_ms, pings);
}
