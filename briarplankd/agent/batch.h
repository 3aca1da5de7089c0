/**
 * The batch task's state: batch.c has the items' lives, batch_send.c what is
 * sent to the owners of shards.
 */
#ifndef BRIARPLANKD_AGENT_BATCH_H
#define BRIARPLANKD_AGENT_BATCH_H

#include "gate.h"

/** Wait before an owner without items is asked again, if it names none. */
#define PULL_PAUSE_MS 250

struct item {
	struct list link;
	struct batch *batch;
	Briarplank__Grant *grant;
	/* Entry that granted it. */
	char *owner;
	uint64_t lease_until_us;
	struct gate_work *work;
	/* NULL while the work goes on. */
	Briarplank__ItemOutcome *outcome;
	uint64_t send_after_ms;
	uint32_t send_pause_ms;
	/* Owner that the outcome was last sent to. */
	char *told;
};

struct owner {
	struct list link;
	char *name;
	bool owns_shards;
	uint64_t ask_after_ms;
	/* Oldest renewal without an answer; 0 when there is none. */
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
	/* Of the owners of all shards when they were last learned. */
	uint64_t owners_digest;
	uint64_t pull_id;
	uint64_t pull_until_ms;
	size_t result_bytes;
	bool leaving;
	uint64_t stop_at_ms;
	struct counter *granted;
	struct counter *ended;
	struct counter *voided;
	struct counter *lapsed;
};

/** Time by the task's clock, in ms. */
static inline uint64_t batch_now_ms(const struct batch *batch)
{
	return node_now_ms(batch->task.node);
}

/** Finds or adds an owner by name. */
struct owner *batch_owner(struct batch *batch, const char *name);

/** Takes an owner out of its list and frees it. */
void batch_owner_free(struct owner *owner);

/** Learns the present owners of all shards when they have changed. */
void batch_learn_owners(struct batch *batch);

/** Asks the next owner for items when there is room. */
void batch_pull(struct batch *batch);

/** Renews the leases that are due. */
void batch_renew(struct batch *batch);

/** Sends the outcomes that are due. */
void batch_complete(struct batch *batch);

#endif
