/**
 * Model of an engine with continuous batching in virtual time, with the same
 * performance curve as the simulated engine of the tests.
 */
#ifndef BENCH_SIM_ENGINE_H
#define BENCH_SIM_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/list.h"

/** Performance curve of an engine; see the options of its simulation. */
struct sim_curve {
	const char *name;
	uint32_t base_gap_us;
	uint32_t knee;
	uint32_t slope_us;
	uint32_t max_running;
	uint32_t prefill_us_per_token;
	uint32_t cache_tokens;
};

enum sim_phase { SIM_IDLE, SIM_QUEUED, SIM_PREFILL, SIM_RUNNING };

/** A stream. The caller owns it. */
struct sim_stream {
	struct list link;
	bool online;
	enum sim_phase phase;
	uint32_t prompt_tokens;
	uint32_t prefill_left;
	uint32_t tokens;
	uint32_t max_tokens;
	/**
	 * Number of prompt tokens that the engine had computed in total when it
	 * last computed this prompt.
	 */
	uint64_t cached_at;
	bool cached;
	uint64_t arrived_us;
	uint64_t started_us;
	/**
	 * Arrival time of the newest token since the stream was started or
	 * resumed; 0 before the first.
	 */
	uint64_t token_us;
};

struct sim_engine;

/** Called for each token; after the last the engine has removed the stream. */
typedef void (*sim_token_fn)(void *ctx, struct sim_stream *stream,
			     uint64_t now_us);

struct sim_engine *sim_engine_create(const struct sim_curve *curve,
				     sim_token_fn on_token, void *ctx);
void sim_engine_destroy(struct sim_engine *engine);

void sim_engine_add(struct sim_engine *engine, struct sim_stream *stream,
		    uint64_t now_us);

/** Stops a stream early; the stream keeps its token count. */
void sim_engine_cancel(struct sim_engine *engine, struct sim_stream *stream);

/** Returns the end time of the current step; UINT64_MAX if none runs. */
uint64_t sim_engine_due(const struct sim_engine *engine);

/** Ends the current step and starts the next one. */
void sim_engine_step(struct sim_engine *engine);

/** Returns the gap between tokens for a number of streams, without prefill. */
uint64_t sim_curve_gap(const struct sim_curve *curve, unsigned streams);

#endif
