/**
 * How many batch streams may run beside the online ones.
 *
 * An engine treats all streams alike, so the number of batch streams is the
 * only lever. The best number of streams in all comes from what was learned
 * of the engine: a weight of 0 takes the number at which online streams are
 * hardly slowed, a weight of 100 the one with the most tokens a second.
 * An online arrival takes the place of a batch stream at once; free places
 * are filled again in small steps.
 */
#ifndef BRIARPLANK_CORE_BATCH_SHARE_H
#define BRIARPLANK_CORE_BATCH_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/concurrency.h"

struct batch_share;

struct batch_share_options {
	/** 0 guards the online tail, 100 weighs only throughput. */
	unsigned weight;
	/** Longest gap between tokens that online callers should see, in us. */
	uint64_t gap_target_us;
};

/** What runs and waits now. */
struct batch_share_load {
	unsigned online_running;
	unsigned online_waiting;
	/** Online streams that run and have no token yet. */
	unsigned online_starting;
	unsigned batch_running;
	/** Batch streams that run and have no token yet. */
	unsigned batch_starting;
	/** Batch work that isn't running. */
	unsigned batch_waiting;
};

/** What the batch streams may do now. */
struct batch_share_plan {
	/** Streams that may stay; more are preempted. */
	unsigned keep;
	/** Further streams that may start now. */
	unsigned start;
};

struct batch_share *batch_share_create(
	const struct batch_share_options *options);
void batch_share_destroy(struct batch_share *share);

/** Changes the weight and the target. */
void batch_share_set(struct batch_share *share,
		     const struct batch_share_options *options);

/** Plans for now from the load and what is known of the engine. */
struct batch_share_plan batch_share_plan(struct batch_share *share,
					 const struct concurrency *concurrency,
					 const struct batch_share_load *load,
					 uint64_t now_us);

/** Notes a gap of an online stream, and whether a batch prompt was computed. */
void batch_share_online_gap(struct batch_share *share, uint64_t gap_us,
			    bool batch_starting);

/** Number of streams, of both kinds, that the last plan aimed at. */
unsigned batch_share_level(const struct batch_share *share);

#endif
