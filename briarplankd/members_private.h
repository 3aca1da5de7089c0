/**
 * What the files of the members task share.
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
	/** The list could be had last time. */
	bool list_seen;
	uint64_t fetch_at_ms;
	/** Shards that this entry owns, with their epochs. */
	uint32_t *shards;
	uint64_t *epochs;
	uint32_t shards_nr;
	/** Counts the changes of what is owned. */
	uint64_t shards_version;
	struct shard_map *shard_map;
	uint64_t owners_at_ms;
	/** Time from which the whole map of owners may be sent again. */
	uint64_t whole_map_at_ms;
	struct counter *up_entries;
	struct counter *up_agents;
	struct counter *bytes_sent;
	struct counter *bytes_received;
};

/** The members task of a node. */
struct members_task *members_task_of(struct node *node);

/** Tells the other tasks what changed. */
void members_publish_changes(struct members_task *task);

/** Connects the bus to a member that was learnt; NULL is let pass. */
void members_connect(struct members_task *task, const struct member *member);

/** Registers the handlers for messages between nodes. */
void members_messages_start(struct members_task *task);

/** Has the owners watched whose shards this entry would claim. */
void members_watch_owners(struct members_task *task, uint64_t now_ms);

/** Sends a ping. */
void members_send_ping(struct members_task *task, struct member *member);

/** Sends a pong, unasked or with the nonce of a ping. */
void members_send_pong(struct members_task *task, const char *peer,
		       const Briarplank__Ping *ping);

#endif
