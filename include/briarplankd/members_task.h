/**
 * The task that keeps track of the other nodes.
 */
#ifndef BRIARPLANKD_MEMBERS_TASK_H
#define BRIARPLANKD_MEMBERS_TASK_H

#include "briarplankd/node.h"
#include "core/members.h"

/** What this node knows of the others; owned by the members task. */
struct members *node_members(struct node *node);

/**
 * Returns the name of the entry that owns a ledger shard by the highest epoch
 * heard of, or NULL. This node itself may be the answer.
 */
const char *node_shard_owner(struct node *node, uint32_t shard);

/** Changes whenever node_shard_owner() changes; 0 while no owner is known. */
uint64_t node_shard_digest(struct node *node);

/**
 * Notes what a shard's stream says of its owner, for this node and others. An
 * empty owner means that the shard was released.
 */
void node_note_shard_owner(struct node *node, uint32_t shard, uint64_t epoch,
			   const char *owner);

/** Tells the others which shards this entry owns; sent with each Pong. */
void node_set_owned_shards(struct node *node, const uint32_t *shards,
			   const uint64_t *epochs, uint32_t nr);

/** Returns the shards that this entry owns, and their number. */
const uint32_t *node_owned_shards(struct node *node, uint32_t *nr);

#endif
