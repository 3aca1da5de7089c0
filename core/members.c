#include <string.h>

#include "core/members.h"

struct members {
	struct members_options options;
	char *self;
	GHashTable *by_name;
	struct list all;
	unsigned nr;
	GQueue changes;
	char *last_name;
	bool isolated;
};

struct queued_change {
	enum members_change_kind kind;
	char *name;
};

static void member_free(struct member *member)
{
	g_free(member->name);
	g_free(member->address);
	g_free(member->data_centre);
	g_free(member->region);
	g_free(member->service);
	g_free(member->owned_shards);
	g_free(member->owned_epochs);
	g_free(member);
}

struct members *members_create(const struct members_options *options)
{
	struct members *members = g_new0(struct members, 1);

	members->options = *options;
	members->self = g_strdup(options->self);
	members->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&members->all);
	g_queue_init(&members->changes);
	return members;
}

static void change_free(void *data)
{
	struct queued_change *change = data;

	g_free(change->name);
	g_free(change);
}

void members_destroy(struct members *members)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &members->all)
		member_free(list_entry(pos, struct member, link));
	g_queue_clear_full(&members->changes, change_free);
	g_hash_table_destroy(members->by_name);
	g_free(members->last_name);
	g_free(members->self);
	g_free(members);
}

static void push_change(struct members *members, enum members_change_kind kind,
			const struct member *member)
{
	struct queued_change *change = g_new0(struct queued_change, 1);

	change->kind = kind;
	change->name = g_strdup(member->name);
	g_queue_push_tail(&members->changes, change);
}

bool members_next_change(struct members *members, struct members_change *change)
{
	struct queued_change *next = g_queue_pop_head(&members->changes);

	if (!next)
		return false;
	g_free(members->last_name);
	members->last_name = next->name;
	change->kind = next->kind;
	change->name = next->name;
	g_free(next);
	return true;
}

static void replace(char **slot, const char *text)
{
	if (!text || (*slot && !strcmp(*slot, text)))
		return;
	g_free(*slot);
	*slot = g_strdup(text);
}

static struct member *member_add(struct members *members, const char *name)
{
	struct member *member = g_new0(struct member, 1);

	member->name = g_strdup(name);
	member->address = g_strdup("");
	member->data_centre = g_strdup("");
	member->region = g_strdup("");
	member->service = g_strdup("");
	list_append(&members->all, &member->link);
	g_hash_table_insert(members->by_name, member->name, member);
	members->nr++;
	return member;
}

static void set_leaving(struct members *members, struct member *member)
{
	if (member->leaving)
		return;
	member->leaving = true;
	push_change(members, MEMBERS_LEAVES, member);
}

struct member *members_learn(struct members *members,
			     const struct member_facts *facts)
{
	struct member *member;

	if (!strcmp(facts->name, members->self))
		return NULL;
	member = members_find(members, facts->name);
	if (!member)
		member = member_add(members, facts->name);
	member->role = facts->role;
	member->fixed |= facts->fixed;
	replace(&member->address, facts->address);
	replace(&member->data_centre, facts->data_centre);
	replace(&member->region, facts->region);
	replace(&member->service, facts->service);
	if (facts->leaving)
		set_leaving(members, member);
	return member;
}

/* The process of the last incarnation is gone, with all that it held. */
static void forget_incarnation(struct members *members, struct member *member)
{
	if (member->state == MEMBER_UP || member->state == MEMBER_SUSPECT)
		push_change(members, MEMBERS_WENT_DOWN, member);
	member->state = MEMBER_DOWN;
	member->leaving = false;
	member->owned_nr = 0;
	memset(&member->load, 0, sizeof(member->load));
}

static struct member *hear(struct members *members, const char *name,
			   uint64_t incarnation, uint64_t now_ms)
{
	struct member *member = members_find(members, name);

	if (!member || incarnation < member->incarnation)
		return NULL;
	if (incarnation > member->incarnation && member->incarnation)
		forget_incarnation(members, member);
	member->incarnation = incarnation;
	member->heard_ms = now_ms;
	member->unanswered_ms = 0;
	if (member->state == MEMBER_UP)
		return member;
	if (member->state != MEMBER_SUSPECT)
		push_change(members, MEMBERS_CAME_UP, member);
	member->state = MEMBER_UP;
	return member;
}

void members_heard(struct members *members, const char *name,
		   uint64_t incarnation, uint64_t now_ms)
{
	hear(members, name, incarnation, now_ms);
}

static void store_shards(struct member *member, const struct members_pong *pong)
{
	size_t nr = pong->shards_nr;

	g_free(member->owned_shards);
	g_free(member->owned_epochs);
	member->owned_shards =
		g_memdup2(pong->shards, nr * sizeof(*pong->shards));
	member->owned_epochs =
		g_memdup2(pong->epochs, nr * sizeof(*pong->epochs));
	member->owned_nr = pong->shards_nr;
}

void members_ponged(struct members *members, const char *name,
		    const struct members_pong *pong, uint64_t now_ms)
{
	struct member *member = hear(members, name, pong->incarnation, now_ms);

	if (!member)
		return;
	if (member->pinged_ms)
		member->round_trip_us =
			(uint32_t)(now_ms - member->pinged_ms) * 1000;
	store_shards(member, pong);
	if (pong->leaving)
		set_leaving(members, member);
}

void members_loaded(struct members *members, const char *name,
		    const struct member_load *load)
{
	struct member *member = members_find(members, name);

	if (member && load->sequence >= member->load.sequence)
		member->load = *load;
}

void members_set_leaving(struct members *members, const char *name)
{
	struct member *member = members_find(members, name);

	if (member)
		set_leaving(members, member);
}

static bool silent_for(const struct member *member, uint64_t now_ms,
		       uint32_t limit_ms)
{
	return member->unanswered_ms &&
	       now_ms - member->unanswered_ms >= limit_ms;
}

/* Silence of most members at once is more likely this node's own fault. */
static bool judge_isolation(const struct members *members, uint64_t now_ms)
{
	unsigned known = 0, silent = 0;
	struct list *pos;

	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->state == MEMBER_UNKNOWN ||
		    member->state == MEMBER_DOWN)
			continue;
		known++;
		silent += silent_for(member, now_ms,
				     members->options.suspect_after_ms);
	}
	return known > 1 &&
	       silent * 100 > known * members->options.panic_percent;
}

static void judge(struct members *members, struct member *member,
		  uint64_t now_ms)
{
	if (member->state == MEMBER_UP &&
	    silent_for(member, now_ms, members->options.suspect_after_ms))
		member->state = MEMBER_SUSPECT;
	if (member->state != MEMBER_SUSPECT || members->isolated)
		return;
	if (!silent_for(member, now_ms, members->options.down_after_ms))
		return;
	member->state = MEMBER_DOWN;
	push_change(members, MEMBERS_WENT_DOWN, member);
}

void members_tick(struct members *members, uint64_t now_ms, GPtrArray *pings)
{
	struct list *pos;

	members->isolated = judge_isolation(members, now_ms);
	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		judge(members, member, now_ms);
		if (!*member->address)
			continue;
		member->pinged_ms = now_ms;
		if (!member->unanswered_ms)
			member->unanswered_ms = now_ms;
		g_ptr_array_add(pings, member);
	}
}

bool members_isolated(const struct members *members)
{
	return members->isolated;
}

struct member *members_find(const struct members *members, const char *name)
{
	return g_hash_table_lookup(members->by_name, name);
}

const struct list *members_all(const struct members *members)
{
	return &members->all;
}

unsigned members_up_nr(const struct members *members, enum member_role role)
{
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		nr += member->role == role && member_usable(member);
	}
	return nr;
}

bool member_usable(const struct member *member)
{
	return member->state == MEMBER_UP && !member->leaving;
}
