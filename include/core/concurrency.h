/**
 * What a model engine does at each number of streams, learned by watching it.
 *
 * Neither the engine's size nor the shape of its curve is given. For each
 * number of streams the module keeps the typical gap between the tokens of a
 * stream, and fits a curve to these that never falls. Single late or bunched
 * tokens move it little. What was learned long ago weighs less, so that a
 * change of the engine is followed.
 */
#ifndef BRIARPLANK_CORE_CONCURRENCY_H
#define BRIARPLANK_CORE_CONCURRENCY_H

#include <stdbool.h>
#include <stdint.h>

/** Largest number of streams that is told apart. */
#define CONCURRENCY_MAX 512

struct concurrency;

struct concurrency_options {
	/** Longest gap between tokens that online callers should see, in us. */
	uint64_t gap_target_us;
	/** Longest time to the first token that they should see, in us. */
	uint64_t first_token_target_us;
};

struct concurrency *concurrency_create(
	const struct concurrency_options *options);
void concurrency_destroy(struct concurrency *concurrency);

/** Changes the targets. */
void concurrency_set(struct concurrency *concurrency,
		     const struct concurrency_options *options);

/** Tokens of a stream that came gap_us after the ones before. */
struct concurrency_sample {
	/** Number of streams that were running. */
	unsigned streams;
	uint64_t gap_us;
	unsigned tokens;
	/** Neither was a prompt computed nor did a stream come or go. */
	bool steady;
};

/**
 * Notes a gap. Only steady samples are used: others tell of no one number of
 * streams.
 */
void concurrency_gap(struct concurrency *concurrency,
		     const struct concurrency_sample *sample, uint64_t now_us);

/** Notes the time from a call's start to its first token. */
void concurrency_first_token(struct concurrency *concurrency, unsigned streams,
			     uint64_t us, uint64_t now_us);

/** Expected gap at a number of streams, in us; 0 when nothing is known. */
uint64_t concurrency_gap_at(const struct concurrency *concurrency,
			    unsigned streams);

/** Expected tokens a second of all streams together; 0 when unknown. */
double concurrency_rate_at(const struct concurrency *concurrency,
			   unsigned streams);

/** Largest number of streams at which the gap was measured lately. */
unsigned concurrency_explored(const struct concurrency *concurrency);

/** Tells whether a number of streams was measured lately, and enough. */
bool concurrency_known(const struct concurrency *concurrency, unsigned streams,
		       uint64_t now_us);

/**
 * Number of online streams beyond which the gap would miss its target while
 * more streams give no more tokens a second.
 */
unsigned concurrency_online_limit(const struct concurrency *concurrency);

#endif
