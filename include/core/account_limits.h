/**
 * Rates of client accounts that hold over all entries together.
 *
 * Each entry keeps a token bucket for the whole fleet and account, and subtracts what
 * it accepts itself and what the other entries report. While the bucket holds more than
 * the others may have taken since their last reports, requests are accepted at once.
 * When it runs low, each entry accepts its share, in proportion to the requests that
 * arrive at the entries. An entry that isn't heard keeps its share of the limit.
 */
#ifndef BRIARPLANK_CORE_ACCOUNT_LIMITS_H
#define BRIARPLANK_CORE_ACCOUNT_LIMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct account_limits;

/** The limit of an account. */
struct account_limit {
	uint64_t account;
	/** Requests a second. */
	double rate;
	/** Requests beyond the rate that may come at once; at least 1. */
	double burst;
};

struct account_limits_options {
	uint64_t now_ms;
	/**
	 * Fills in the limit of an account that another entry reports; returns false
	 * for one that has none.
	 */
	bool (*limit_of)(void *ctx, uint64_t account,
			 struct account_limit *limit);
	void *ctx;
};

struct account_limits *account_limits_create(
	const struct account_limits_options *options);
void account_limits_destroy(struct account_limits *limits);

/** Sets the time after which an entry counts as silent, in ms. */
void account_limits_set_silence(struct account_limits *limits, uint64_t ms);

/** Adds an entry that shares the limits and isn't heard yet. */
void account_limits_expect(struct account_limits *limits, uint64_t entry);

/** Removes an entry that takes no more requests. */
void account_limits_forget(struct account_limits *limits, uint64_t entry);

/** What an entry reports of an account. */
struct account_use {
	uint64_t account;
	/** Requests that it has accepted since it started. */
	uint32_t used;
	/** Requests a second that arrive at it. */
	double rate;
};

/** Notes a report of another entry, which was sent latency_ms ago. */
void account_limits_hear(struct account_limits *limits, uint64_t entry,
			 uint64_t latency_ms, const struct account_use *uses,
			 size_t uses_nr, uint64_t now_ms);

/**
 * Accepts a request of an account, or refuses it. On a refusal retry_ms is the time
 * after which there is room for it; refusals one after the other get later times.
 */
bool account_limits_admit(struct account_limits *limits,
			  const struct account_limit *limit, uint64_t now_ms,
			  double *retry_ms);

/** Entries that get a report: only those of this region, or all. */
enum account_audience {
	AUDIENCE_REGION,
	AUDIENCE_ALL,
	AUDIENCES,
};

/**
 * Calls fn for up to max accounts whose use has changed since it was last reported to
 * an audience a few times.
 */
void account_limits_report(struct account_limits *limits, uint64_t now_ms,
			   enum account_audience audience, size_t max,
			   void (*fn)(void *ctx, const struct account_use *use),
			   void *ctx);

/** State of an account's limit, as this entry believes it. */
struct account_limit_state {
	/** Requests that the fleet may accept at once. */
	double level;
	/** This entry's share of the limit, and the share of the silent ones. */
	double share;
	double silent_share;
	/** Requests a second that arrive at this entry and at all heard ones. */
	double own_rate;
	double rate;
};

void account_limits_state(struct account_limits *limits,
			  const struct account_limit *limit, uint64_t now_ms,
			  struct account_limit_state *state);

/** Frees the state of accounts that nobody has used lately. Called every few
 * seconds. */
void account_limits_sweep(struct account_limits *limits, uint64_t now_ms);

#endif
