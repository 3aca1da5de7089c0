/**
 * How often idle agents may ask an owner for batch items, and whom to wake.
 *
 * The wait that an agent is told grows with the number of idle agents, so that
 * the pulls of a large fleet at rest stay within a rate. When items come, the
 * owner wakes idle agents of the service, the one idle for longest first. Pure.
 */
#ifndef BRIARPLANK_CORE_PULL_PACE_H
#define BRIARPLANK_CORE_PULL_PACE_H

#include <stdint.h>

struct pull_pace;

struct pull_pace_options {
	/** Bounds of the wait between two pulls of an idle agent, in ms. */
	uint32_t min_wait_ms;
	uint32_t max_wait_ms;
	/** Pulls a second that all idle agents together may make. */
	uint32_t pulls_per_s;
};

struct pull_pace *pull_pace_create(const struct pull_pace_options *options);
void pull_pace_destroy(struct pull_pace *pace);

/** Notes that an agent's pull found nothing; returns its wait, in ms. */
uint32_t pull_pace_empty(struct pull_pace *pace, const char *agent,
			 const char *service, uint64_t now_ms);

/** Notes that an agent's pull found items: it is not idle. */
void pull_pace_served(struct pull_pace *pace, const char *agent);

/** Number of idle agents. */
unsigned pull_pace_idle_nr(const struct pull_pace *pace);

/** Forgets agents that should have asked again long ago. */
void pull_pace_expire(struct pull_pace *pace, uint64_t now_ms);

/** Calls fn for each service with idle agents; fn may wake some. */
void pull_pace_each_service(struct pull_pace *pace,
			    void (*fn)(void *ctx, const char *service),
			    void *ctx);

/**
 * Takes the agent of the service that has been idle for longest, or returns
 * NULL. Free the name with g_free().
 */
char *pull_pace_wake(struct pull_pace *pace, const char *service);

#endif
