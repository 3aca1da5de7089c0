/*
 * In a large fleet an entry does not watch all other entries, but the owners of
 * those shards that it would be among the first to claim if they were lost.
 */
#include <string.h>

#include "core/shard_claims.h"
#include "members_private.h"

/*
 * Number of entries that watch the owner of a shard. They are the first ones in
 * the order in which entries claim the shard if it is lost.
 */
#define OWNER_WATCHERS 3
/* Interval of updates of the watched owners, in ms. */
#define OWNERS_INTERVAL_MS 2000

static GPtrArray *other_entries(struct members_task *task)
{
	GPtrArray *names = g_ptr_array_new();
	struct list *pos;

	list_for_each (pos, members_all(task->members)) {
		const struct member *member =
			list_entry(pos, struct member, link);

		if (member->role == MEMBER_ENTRY && member_usable(member))
			g_ptr_array_add(names, member->name);
	}
	return names;
}

/* Returns the owners of shards that this entry would be early to claim. */
static GHashTable *owners_to_watch(struct members_task *task)
{
	GHashTable *owners = g_hash_table_new(g_str_hash, g_str_equal);
	GPtrArray *others = other_entries(task);
	uint32_t i, nr = shard_map_size(task->shard_map);

	for (i = 0; i < nr; i++) {
		struct shard_owner owner;

		shard_map_find(task->shard_map, i, &owner);
		if (owner.owner && *owner.owner && !owner.released &&
		    shard_claim_rank(task->super.node->settings->name,
				     (const char *const *)others->pdata,
				     others->len, i) < OWNER_WATCHERS)
			g_hash_table_add(owners, (char *)owner.owner);
	}
	g_ptr_array_free(others, TRUE);
	return owners;
}

void members_watch_owners(struct members_task *task, uint64_t now_ms)
{
	GHashTable *owners;
	struct list *pos;

	if (task->super.node->settings->role != ROLE_ENTRY ||
	    now_ms < task->next_owners_ms || members_watch_all(task->members))
		return;
	task->next_owners_ms = now_ms + OWNERS_INTERVAL_MS;
	owners = owners_to_watch(task);
	list_for_each (pos, members_all(task->members)) {
		struct member *member = list_entry(pos, struct member, link);

		/* Agents are watched by the tasks that send them work. */
		if (member->role != MEMBER_ENTRY)
			continue;
		members_request_watch(
			task->members, member->name,
			g_hash_table_contains(owners, member->name));
	}
	g_hash_table_destroy(owners);
}
