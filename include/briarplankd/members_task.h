/**
 * The task that tracks the membership and health of the other nodes.
 */
#ifndef BRIARPLANKD_MEMBERS_TASK_H
#define BRIARPLANKD_MEMBERS_TASK_H

#include "briarplankd/node.h"
#include "core/members.h"

/** Returns the table of the other nodes, which the members task owns. */
struct members *node_members(struct node *node);

/**
 * Returns the name of the entry that owns a ledger shard according to the
 * highest known epoch, or NULL. It may be this node.
 */
const char *node_shard_owner(struct node *node, uint32_t shard);

/** Returns a hash of all known shard owners; 0 while none is known. */
uint64_t node_shard_digest(struct node *node);

/**
 * Records the owner of a shard as read from the shard's stream, and announces
 * it to other nodes. An empty owner means that the shard was released.
 */
void node_note_shard_owner(struct node *node, uint32_t shard, uint64_t epoch,
			   const char *owner);

/** Sets the shards that this entry owns; they are sent with each Pong. */
void node_set_owned_shards(struct node *node, const uint32_t *shards,
			   const uint64_t *epochs, uint32_t nr);

/** Returns the shards that this entry owns, and their number. */
const uint32_t *node_owned_shards(struct node *node, uint32_t *nr);

#endif
