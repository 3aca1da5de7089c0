/**
 * Learns a model engine's latency and throughput by the number of concurrent
 * streams, from measurements alone.
 *
 * Neither the engine's capacity nor the shape of its latency curve is
 * configured. For each number of streams the module keeps the median gap
 * between tokens of a stream, and fits a non-decreasing curve to these points.
 * Single late or bunched tokens move it little. Old measurements weigh less, so
 * that the curve follows a change of the engine.
 */
#ifndef BRIARPLANK_CORE_CONCURRENCY_H
#define BRIARPLANK_CORE_CONCURRENCY_H

#include <stdbool.h>
#include <stdint.h>

/** Largest number of streams that is measured separately. */
#define CONCURRENCY_MAX 512

struct concurrency;

struct concurrency_options {
	/** Target for the gap between tokens of online streams, in us. */
	uint64_t gap_target_us;
	/** Target for the time to the first token of online streams, in us. */
	uint64_t first_token_target_us;
};

struct concurrency *concurrency_create(
	const struct concurrency_options *options);
void concurrency_destroy(struct concurrency *concurrency);

/** Changes the targets for the gap and for the time to the first token. */
void concurrency_set(struct concurrency *concurrency,
		     const struct concurrency_options *options);

/** Tokens of a stream that arrived gap_us after the preceding ones. */
struct concurrency_sample {
	/** Number of running streams. */
	unsigned streams;
	uint64_t gap_us;
	unsigned tokens;
	/**
	 * True if no prompt was processed and no stream started or ended during
	 * the gap.
	 */
	bool steady;
};

/**
 * Records a gap between tokens. Only steady samples are used, because others
 * can't be attributed to one number of streams.
 */
void concurrency_record_gap(struct concurrency *concurrency,
			    const struct concurrency_sample *sample,
			    uint64_t now_us);

/** Records the time from a call's start to its first token. */
void concurrency_record_first_token(struct concurrency *concurrency,
				    unsigned streams, uint64_t us,
				    uint64_t now_us);

/** Returns the expected gap at a number of streams, in us; 0 if unknown. */
uint64_t concurrency_gap_at(const struct concurrency *concurrency,
			    unsigned streams);

/** Returns the expected tokens/s of all streams together; 0 if unknown. */
double concurrency_rate_at(const struct concurrency *concurrency,
			   unsigned streams);

/** Returns the largest number of streams with recent gap measurements. */
unsigned concurrency_max_measured(const struct concurrency *concurrency);

/** Tells whether a number of streams has enough recent gap measurements. */
bool concurrency_is_measured(const struct concurrency *concurrency,
			     unsigned streams, uint64_t now_us);

/**
 * Returns the limit of online streams. Beyond it, first tokens miss their
 * target, or the gap misses its target while the token rate decreases.
 * CONCURRENCY_MAX stands for no limit.
 */
unsigned concurrency_online_limit(const struct concurrency *concurrency);

#endif
