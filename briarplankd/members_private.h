/**
 * Declarations shared by the sources of the members task.
 */
#ifndef BRIARPLANKD_MEMBERS_PRIVATE_H
#define BRIARPLANKD_MEMBERS_PRIVATE_H

#include "briarplankd/members_task.h"
#include "core/shard_map.h"
#include "standalone/vm_list.h"

#define MEMBERS_PART "members"

struct members_task {
	struct task super;
	struct members *members;
	uv_timer_t timer;
	struct vm_list *vm_list;
	bool fetching;
	/** The last read of the VM list succeeded. */
	bool list_reachable;
	uint64_t fetch_at_ms;
	/** Shards that this entry owns, and their epochs. */
	uint32_t *shards;
	uint64_t *epochs;
	uint32_t shards_nr;
	/** Number of changes of the owned shards. */
	uint64_t shards_version;
	struct shard_map *shard_map;
	/** Time of the next update of the watched owners. */
	uint64_t next_owners_ms;
	/** Earliest time at which the full map of owners is sent again. */
	uint64_t next_full_map_ms;
	struct counter *up_entries;
	struct counter *up_agents;
	struct counter *bytes_sent;
	struct counter *bytes_received;
};

/** Returns the members task of a node. */
struct members_task *members_task_of(struct node *node);

/** Notifies the other tasks of changed members. */
void members_publish_changes(struct members_task *task);

/** Sets the bus address of a member; does nothing for NULL. */
void members_connect(struct members_task *task, const struct member *member);

/** Registers the handlers for messages between nodes. */
void members_messages_start(struct members_task *task);

/** Watches the owners of shards that this entry would claim on their loss. */
void members_watch_owners(struct members_task *task, uint64_t now_ms);

/** Sends a ping to a member. */
void members_send_ping(struct members_task *task, struct member *member);

/** Sends a pong with the nonce of a ping, or unsolicited if ping is NULL. */
void members_send_pong(struct members_task *task, const char *peer,
		       const Briarplank__Ping *ping);

#endif
