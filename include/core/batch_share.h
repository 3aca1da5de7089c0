/**
 * Controls how many batch streams run concurrently with the online streams of
 * an engine.
 *
 * An engine schedules all streams alike, so only the number of batch streams
 * can be controlled. The total number of streams is chosen from the engine's
 * learned curve: a weight of 0 selects the number at which online streams are
 * hardly slowed, a weight of 100 the one with the highest token rate. An
 * arriving online request preempts a batch stream at once; free slots are
 * refilled in small steps.
 */
#ifndef BRIARPLANK_CORE_BATCH_SHARE_H
#define BRIARPLANK_CORE_BATCH_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "core/concurrency.h"

struct batch_share;

struct batch_share_options {
	/**
	 * Trade-off between online and batch: 0 protects online tail latency,
	 * 100 maximizes throughput.
	 */
	unsigned weight;
	/** Target for the gap between tokens of online streams, in us. */
	uint64_t gap_target_us;
};

/** Number of running and waiting streams. */
struct batch_share_load {
	unsigned online_running;
	unsigned online_waiting;
	/** Running online streams that have no token yet. */
	unsigned online_starting;
	unsigned batch_running;
	/** Running batch streams that have no token yet. */
	unsigned batch_starting;
	/** Number of batch items that aren't running. */
	unsigned batch_waiting;
};

/** Number of batch streams to keep and to start. */
struct batch_share_plan {
	/** Batch streams that may continue; others must be preempted. */
	unsigned keep;
	/** Additional batch streams that may start now. */
	unsigned start;
};

struct batch_share *batch_share_create(
	const struct batch_share_options *options);
void batch_share_destroy(struct batch_share *share);

/** Changes the weight and the gap target. */
void batch_share_set(struct batch_share *share,
		     const struct batch_share_options *options);

/** Computes the plan for the current load from the engine's learned curve. */
struct batch_share_plan batch_share_plan(struct batch_share *share,
					 const struct concurrency *concurrency,
					 const struct batch_share_load *load,
					 uint64_t now_us);

/** Records a gap of an online stream, in us, and whether a batch prompt was
 * processed during it. */
void batch_share_record_online_gap(struct batch_share *share, uint64_t gap_us,
				   bool batch_starting);

/** Returns the last plan's target number of streams, online and batch. */
unsigned batch_share_target_streams(const struct batch_share *share);

#endif
