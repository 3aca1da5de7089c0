/**
 * State of the batch task, shared by batch.c (items, leases and incoming
 * messages) and batch_send.c (messages to the owners of ledger shards).
 */
#ifndef BRIARPLANKD_AGENT_BATCH_H
#define BRIARPLANKD_AGENT_BATCH_H

#include "gate.h"

/**
 * Delay before the next pull from an owner that replied with no items and no
 * delay of its own, in ms.
 */
#define PULL_RETRY_MS 250

struct item {
	struct list link;
	struct batch *batch;
	Briarplank__Grant *grant;
	/*
	 * Entry that granted the item, or the later owner of the item's shard.
	 */
	char *owner;
	uint64_t lease_until_us;
	struct batch_request *request;
	/* Outcome of the item; NULL until its request has ended. */
	Briarplank__ItemOutcome *outcome;
	uint64_t send_after_ms;
	uint32_t resend_delay_ms;
	/* Entry that the outcome was last sent to; NULL before. */
	char *sent_to;
};

struct owner {
	struct list link;
	char *name;
	bool owns_shards;
	uint64_t pull_after_ms;
	/* Time of the oldest unanswered renewal; 0 if there is none. */
	uint64_t renew_sent_us;
	uint64_t renew_after_ms;
};

struct batch {
	struct task task;
	struct gate *gate;
	uv_timer_t timer;
	bool timer_open;
	struct list items;
	struct list owners;
	/*
	 * Digest of the shard owners from which the list of owners was built.
	 */
	uint64_t owners_digest;
	uint64_t pull_id;
	uint64_t pull_deadline_ms;
	size_t result_bytes;
	bool stopping;
	uint64_t stop_at_ms;
	struct counter *granted;
	struct counter *ended;
	struct counter *voided;
	struct counter *lapsed;
};

/** Returns the time of the node's clock, in ms. */
static inline uint64_t batch_now_ms(const struct batch *batch)
{
	return node_now_ms(batch->task.node);
}

/** Returns the owner with this name, adding it if necessary. */
struct owner *batch_get_owner(struct batch *batch, const char *name);

/** Removes an owner from its list and frees it. */
void batch_owner_free(struct owner *owner);

/** Updates the list of owners if the owner of a shard has changed. */
void batch_update_owners(struct batch *batch);

/** Pulls items from the next owner in turn if the gate has capacity. */
void batch_pull(struct batch *batch);

/** Sends the lease renewals that are due. */
void batch_renew_leases(struct batch *batch);

/** Sends the outcomes that are due. */
void batch_send_outcomes(struct batch *batch);

#endif
