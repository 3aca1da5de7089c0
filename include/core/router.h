/**
 * The choice of an agent for a request.
 *
 * The shorter expected wait of two random agents decides, nearest data centre
 * first; farther ones are taken when that is quicker, other regions only with
 * a byte budget. A request whose prompt has a known prefix goes to the prefix's
 * own agent while that is not overloaded.
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

/** An agent that may be chosen. */
struct router_candidate {
	const char *name;
	uint64_t name_hash;
	enum router_distance distance;
	/** Wait that the agent expects, in us. */
	uint32_t expected_wait_us;
	/** Online requests that run or are queued, by the agent's report. */
	uint32_t reported;
	/** Requests sent by this entry since that report. */
	uint32_t unreported;
	/** Requests that run at once before others are queued. */
	uint32_t limit;
};

struct router_request {
	/** 0 for a request without a prefix worth keeping together. */
	uint64_t prefix_hash;
	/** The link to other regions has bytes left for this request. */
	bool link_open;
};

enum router_reason {
	ROUTER_ONLY_ONE,
	ROUTER_SHORTER_WAIT,
	ROUTER_PREFIX,
};

/** The choice, and what it was made from. */
struct router_choice {
	/** Index of the candidate, or -1 for none. */
	int index;
	enum router_reason reason;
	/** The other one of two, or -1. */
	int other;
	/** Predicted waits of both, in us, the way to the agent included. */
	uint64_t wait_us;
	uint64_t other_wait_us;
};

/** Longest text of router_explain(). */
#define ROUTER_TEXT_BYTES 192

/** Predicts the wait at a candidate, the way to it included, in us. */
uint64_t router_wait(const struct router_candidate *candidate);

/** Chooses among candidates. */
void router_choose(const struct router_request *request,
		   const struct router_candidate *candidates, size_t nr,
		   GRand *random, struct router_choice *choice);

/** Says why a server was chosen, in one line. */
void router_explain(const struct router_choice *choice,
		    const struct router_candidate *candidates, char *text,
		    size_t len);

#endif
