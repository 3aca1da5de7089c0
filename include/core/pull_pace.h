/**
 * Limits how often idle agents poll an entry that owns a shard of the job
 * ledger for batch items, and selects the agents to wake.
 *
 * The delay until an agent's next pull grows with the number of idle agents, so
 * that the pulls of a large idle fleet stay within a rate. When items arrive,
 * that entry wakes idle agents of the service, the longest idle first. Does no
 * I/O and reads no clock.
 */
#ifndef BRIARPLANK_CORE_PULL_PACE_H
#define BRIARPLANK_CORE_PULL_PACE_H

#include <stdint.h>

struct pull_pace;

struct pull_pace_options {
	/**
	 * Bounds of the delay between two pulls of an idle agent, in ms: the
	 * minimum and the maximum.
	 */
	uint32_t min_wait_ms;
	uint32_t max_wait_ms;
	/** Maximum pulls/s of all idle agents together. */
	uint32_t pulls_per_s;
};

struct pull_pace *pull_pace_create(const struct pull_pace_options *options);
void pull_pace_destroy(struct pull_pace *pace);

/** Records that an agent's pull found no items; returns the delay until its
 * next pull, in ms. */
uint32_t pull_pace_empty(struct pull_pace *pace, const char *agent,
			 const char *service, uint64_t now_ms);

/** Records that an agent's pull found items, so that it isn't idle. */
void pull_pace_served(struct pull_pace *pace, const char *agent);

/** Returns the number of idle agents. */
unsigned pull_pace_idle_nr(const struct pull_pace *pace);

/** Removes agents whose next pull is overdue by more than max_wait_ms. */
void pull_pace_expire(struct pull_pace *pace, uint64_t now_ms);

/** Calls fn for each service with idle agents; fn may call
 * pull_pace_wake(). */
void pull_pace_each_service(struct pull_pace *pace,
			    void (*fn)(void *ctx, const char *service),
			    void *ctx);

/**
 * Removes the service's longest idle agent and returns its name, or NULL. Free
 * the name with g_free().
 */
char *pull_pace_wake(struct pull_pace *pace, const char *service);

#endif
