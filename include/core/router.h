/**
 * Selection of an agent for a request.
 *
 * Of two random agents, the one with the shorter expected wait is chosen (power
 * of two choices). Agents of the own data centre are preferred; farther ones
 * are chosen if that reduces the wait, and other regions only while the byte
 * budget of the link allows it. A request whose prompt has a known prefix goes
 * to the agent assigned to the prefix unless that agent is overloaded.
 */
#ifndef BRIARPLANK_CORE_ROUTER_H
#define BRIARPLANK_CORE_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

enum router_distance {
	ROUTER_SAME_DATA_CENTRE,
	ROUTER_SAME_REGION,
	ROUTER_OTHER_REGION,
	ROUTER_DISTANCES,
};

/** An agent that can be chosen. */
struct router_candidate {
	const char *name;
	uint64_t name_hash;
	enum router_distance distance;
	/** Queueing time that the agent reported, in us. */
	uint32_t expected_wait_us;
	/** Running and queued online requests in the agent's last report. */
	uint32_t reported;
	/** Requests sent by this entry since that report. */
	uint32_t unreported;
	/** Number of requests that the agent runs concurrently. */
	uint32_t limit;
};

struct router_request {
	/** Hash of the prompt's prefix; 0 to disable prefix affinity. */
	uint64_t prefix_hash;
	/** The budget of the link to other regions allows this request. */
	bool link_has_budget;
};

enum router_reason {
	ROUTER_ONLY_ONE,
	ROUTER_SHORTER_WAIT,
	ROUTER_PREFIX,
};

/** The chosen agent and the reason for the choice. */
struct router_choice {
	/** Index of the chosen candidate, or -1 for none. */
	int index;
	enum router_reason reason;
	/**
	 * Index of the other of the two compared candidates, which was
	 * rejected; -1 for none.
	 */
	int other;
	/**
	 * Predicted waits at the chosen and the rejected candidate, including
	 * the network, in us.
	 */
	uint64_t wait_us;
	uint64_t other_wait_us;
};

/** Buffer size that suffices for router_explain(). */
#define ROUTER_TEXT_BYTES 192

/** Returns the predicted wait at a candidate, including the network, in us. */
uint64_t router_wait(const struct router_candidate *candidate);

/**
 * Chooses one of the candidates; sets the choice's index to -1 if none can be
 * used.
 */
void router_choose(const struct router_request *request,
		   const struct router_candidate *candidates, size_t nr,
		   GRand *random, struct router_choice *choice);

/** Writes a line that explains why an agent was chosen. */
void router_explain(const struct router_choice *choice,
		    const struct router_candidate *candidates, char *text,
		    size_t len);

#endif
