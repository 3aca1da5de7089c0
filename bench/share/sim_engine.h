/**
 * A model of a continuously batching engine in virtual time: the same curve
 * as the engine's stand-in.
 */
#ifndef BENCH_SIM_ENGINE_H
#define BENCH_SIM_ENGINE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/list.h"

/** The engine's curve. */
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

/** A stream; its owner keeps it while it is away from the engine. */
struct sim_stream {
	struct list link;
	bool online;
	enum sim_phase phase;
	uint32_t prompt_tokens;
	uint32_t prefill_left;
	uint32_t tokens;
	uint32_t max_tokens;
	/** Prompt tokens that the engine had computed when it last saw this. */
	uint64_t cached_at;
	bool cached;
	uint64_t arrived_us;
	uint64_t started_us;
	/** When the last token of this run was seen; 0 before the first. */
	uint64_t token_us;
};

struct sim_engine;

/** Called for each token; the stream is out of the engine after its last. */
typedef void (*sim_token_fn)(void *ctx, struct sim_stream *stream,
			     uint64_t now_us);

struct sim_engine *sim_engine_create(const struct sim_curve *curve,
				     sim_token_fn on_token, void *ctx);
void sim_engine_destroy(struct sim_engine *engine);

void sim_engine_add(struct sim_engine *engine, struct sim_stream *stream,
		    uint64_t now_us);

/** Takes a stream out; it keeps its tokens. */
void sim_engine_cancel(struct sim_engine *engine, struct sim_stream *stream);

/** When the step that runs ends; UINT64_MAX when none does. */
uint64_t sim_engine_due(const struct sim_engine *engine);

/** Ends the step that is due. */
void sim_engine_step(struct sim_engine *engine);

/** Gap between tokens at a number of streams, prompts left out, in us. */
uint64_t sim_curve_gap(const struct sim_curve *curve, unsigned streams);

#endif
