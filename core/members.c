/*
 * The table of members: updates from the VM list and from messages, failure
 * detection by unanswered pings, and removal.
 */
#include <string.h>

#include "members_private.h"

struct queued_change {
	enum members_change_kind kind;
	char *name;
};

static void member_free(struct member *member)
{
	g_free(member->name);
	g_free(member->address);
	g_free(member->listed_address);
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
	members->options.self = members->self;
	members->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	list_init(&members->all);
	members->cursor = &members->all;
	members->losses = g_ptr_array_new();
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
	g_ptr_array_free(members->losses, TRUE);
	g_free(members->change_name);
	g_free(members->self);
	g_free(members);
}

void members_push_change(struct members *members, enum members_change_kind kind,
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
	g_free(members->change_name);
	members->change_name = next->name;
	change->kind = next->kind;
	change->name = next->name;
	g_free(next);
	return true;
}

static void set_string(char **string, const char *text)
{
	if (!text || (*string && !strcmp(*string, text)))
		return;
	g_free(*string);
	*string = g_strdup(text);
}

static struct member *member_add(struct members *members, const char *name)
{
	struct member *member = g_new0(struct member, 1);

	member->name = g_strdup(name);
	member->added_ms = members->ticked_ms;
	member->address = g_strdup("");
	member->listed_address = g_strdup("");
	member->data_centre = g_strdup("");
	member->region = g_strdup("");
	member->service = g_strdup("");
	list_append(&members->all, &member->link);
	g_hash_table_insert(members->by_name, member->name, member);
	members->nr++;
	members->watched_outdated = true;
	return member;
}

static void member_remove(struct members *members, struct member *member)
{
	if (members->cursor == &member->link)
		members->cursor = member->link.next;
	members_push_change(members, MEMBERS_REMOVED, member);
	g_hash_table_remove(members->by_name, member->name);
	list_remove(&member->link);
	member_free(member);
	members->nr--;
	members->watched_outdated = true;
}

static void set_leaving(struct members *members, struct member *member)
{
	if (member->leaving)
		return;
	member->leaving = true;
	members_push_change(members, MEMBERS_LEAVING, member);
}

/* Finds or adds a node and updates all its attributes but the address. */
static struct member *update_info(struct members *members,
				  const struct member_info *info)
{
	struct member *member;

	if (!strcmp(info->name, members->self))
		return NULL;
	member = members_find(members, info->name);
	if (!member)
		member = member_add(members, info->name);
	member->role = info->role;
	set_string(&member->data_centre, info->data_centre);
	set_string(&member->region, info->region);
	set_string(&member->service, info->service);
	return member;
}

struct member *members_add_configured(struct members *members,
				      const struct member_info *info)
{
	struct member *member = update_info(members, info);

	if (!member)
		return NULL;
	member->configured |= info->configured;
	set_string(&member->address, info->address);
	if (info->leaving)
		set_leaving(members, member);
	return member;
}

struct member *members_update_listed(struct members *members,
				     const struct member_info *info,
				     uint64_t now_ms)
{
	struct member *member = update_info(members, info);

	if (!member)
		return NULL;
	if (info->address && strcmp(member->listed_address, info->address))
		set_string(&member->address, info->address);
	set_string(&member->listed_address, info->address);
	if (info->leaving && !member->listed_leaving)
		set_leaving(members, member);
	member->listed_leaving = info->leaving;
	member->listed_ms = now_ms;
	return member;
}

struct member *members_update_introduced(struct members *members,
					 const struct member_info *info,
					 uint64_t incarnation)
{
	struct member *member = members_find(members, info->name);

	if (member && incarnation < member->incarnation)
		return NULL;
	member = update_info(members, info);
	if (member)
		set_string(&member->address, info->address);
	return member;
}

void members_request_watch(struct members *members, const char *name,
			   bool watch_requested)
{
	struct member *member = members_find(members, name);

	if (!member || member->watch_requested == watch_requested)
		return;
	member->watch_requested = watch_requested;
	members->watched_outdated = true;
}

/*
 * Marks a member as down and resets what its last incarnation reported, because
 * that process has ended and its shards and configuration are lost with it.
 */
static void reset_incarnation(struct members *members, struct member *member)
{
	if (member->state == MEMBER_UP || member->state == MEMBER_SUSPECT)
		members_push_change(members, MEMBERS_WENT_DOWN, member);
	member->state = MEMBER_DOWN;
	member->leaving = false;
	member->owned_nr = 0;
	member->config_revision = 0;
	member->config_pushed = 0;
	memset(&member->load, 0, sizeof(member->load));
}

static struct member *note_message(struct members *members, const char *name,
				   uint64_t incarnation, uint64_t now_ms)
{
	struct member *member = members_find(members, name);

	if (!member || incarnation < member->incarnation)
		return NULL;
	if (incarnation > member->incarnation && member->incarnation)
		reset_incarnation(members, member);
	member->incarnation = incarnation;
	member->heard_ms = now_ms;
	member->unanswered_ms = 0;
	member->unsent_pings = 0;
	member->loss_reported = false;
	member->lost_ms = 0;
	if (member->state == MEMBER_UP)
		return member;
	if (member->state != MEMBER_SUSPECT)
		members_push_change(members, MEMBERS_CAME_UP, member);
	member->state = MEMBER_UP;
	return member;
}

void members_note_message(struct members *members, const char *name,
			  uint64_t incarnation, uint64_t now_ms)
{
	note_message(members, name, incarnation, now_ms);
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

void members_note_pong(struct members *members, const char *name,
		       const struct members_pong *pong, uint64_t now_ms)
{
	struct member *member =
		note_message(members, name, pong->incarnation, now_ms);

	if (!member)
		return;
	if (pong->round_trip_us)
		member->round_trip_us = pong->round_trip_us;
	store_shards(member, pong);
	if (pong->leaving)
		set_leaving(members, member);
}

void members_update_load(struct members *members, const char *name,
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

/*
 * Tells whether most watched members are silent. That is more likely a fault of
 * this node's own network than of all of them.
 */
static bool most_are_silent(const struct members *members, uint64_t now_ms)
{
	unsigned nr = 0, silent = 0;
	struct list *pos;

	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		if (!member->watched || member->state == MEMBER_UNKNOWN ||
		    member->state == MEMBER_DOWN)
			continue;
		nr++;
		silent += silent_for(member, now_ms,
				     members->options.suspect_after_ms);
	}
	return nr > 1 && silent * 100 > nr * members->options.isolation_percent;
}

static void update_isolation(struct members *members, uint64_t now_ms)
{
	if (!most_are_silent(members, now_ms))
		members->isolated_ms = 0;
	else if (!members->isolated_ms)
		members->isolated_ms = now_ms;
}

/*
 * Tells whether this node may be isolated, so that silent members are not yet
 * marked as down.
 */
static bool may_be_isolated(const struct members *members, uint64_t now_ms)
{
	return members->isolated_ms &&
	       now_ms - members->isolated_ms <
		       members->options.isolation_limit_ms;
}

static void update_state(struct members *members, struct member *member,
			 uint64_t now_ms)
{
	if (member->state == MEMBER_UP &&
	    silent_for(member, now_ms, members->options.suspect_after_ms))
		member->state = MEMBER_SUSPECT;
	if (member->state != MEMBER_SUSPECT || may_be_isolated(members, now_ms))
		return;
	if (!silent_for(member, now_ms, members->options.down_after_ms))
		return;
	member->state = MEMBER_DOWN;
	member->lost_ms = now_ms;
	member->loss_reported = false;
	members_push_change(members, MEMBERS_WENT_DOWN, member);
}

static bool is_expired(const struct members *members,
		       const struct member *member, uint64_t now_ms)
{
	uint64_t seen_ms =
		MAX(MAX(member->heard_ms, member->listed_ms), member->added_ms);

	return !member->configured &&
	       (member->state == MEMBER_DOWN ||
		member->state == MEMBER_UNKNOWN) &&
	       now_ms - seen_ms >= members->options.remove_after_ms;
}

/*
 * Restarts the ping timeouts after this process itself was paused: the members
 * were not silent in that time.
 */
static void restart_timeouts_after_pause(struct members *members,
					 uint64_t now_ms)
{
	uint64_t limit_ms = members->options.suspect_after_ms / 2;
	struct list *pos;

	if (!members->ticked_ms || now_ms - members->ticked_ms < limit_ms)
		return;
	list_for_each (pos, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->unanswered_ms)
			member->unanswered_ms = now_ms;
	}
}

void members_tick(struct members *members, uint64_t now_ms, GPtrArray *pings)
{
	struct list *pos, *tmp;

	restart_timeouts_after_pause(members, now_ms);
	members->ticked_ms = now_ms;
	update_isolation(members, now_ms);
	list_for_each_safe (pos, tmp, &members->all) {
		struct member *member = list_entry(pos, struct member, link);

		update_state(members, member, now_ms);
		if (is_expired(members, member, now_ms))
			member_remove(members, member);
	}
	members_collect_losses(members, now_ms);
	members_choose_pings(members, now_ms, pings);
}

bool members_isolated(const struct members *members)
{
	return members->isolated_ms != 0;
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
