/*
 * Model of an engine with continuous batching.
 */
#include <glib.h>

#include "sim_engine.h"

/* Maximum number of prompt tokens that one step computes. */
#define STEP_PREFILL_TOKENS 512

struct sim_engine {
	const struct sim_curve *curve;
	sim_token_fn on_token;
	void *ctx;
	struct list streams;
	unsigned running;
	uint64_t due_us;
	bool stepping;
	/* Prompt tokens computed so far, all of which entered the cache. */
	uint64_t computed;
};

struct sim_engine *sim_engine_create(const struct sim_curve *curve,
				     sim_token_fn on_token, void *ctx)
{
	struct sim_engine *engine = g_new0(struct sim_engine, 1);

	engine->curve = curve;
	engine->on_token = on_token;
	engine->ctx = ctx;
	list_init(&engine->streams);
	return engine;
}

void sim_engine_destroy(struct sim_engine *engine)
{
	g_free(engine);
}

uint64_t sim_curve_gap(const struct sim_curve *curve, unsigned streams)
{
	unsigned over = streams > curve->knee ? streams - curve->knee : 0;

	return curve->base_gap_us + (uint64_t)curve->slope_us * over;
}

static uint32_t uncached_tokens(const struct sim_engine *engine,
				const struct sim_stream *stream)
{
	if (stream->cached &&
	    engine->computed - stream->cached_at < engine->curve->cache_tokens)
		return 0;
	return stream->prompt_tokens;
}

static void admit_streams(struct sim_engine *engine)
{
	struct list *pos;

	list_for_each (pos, &engine->streams) {
		struct sim_stream *stream =
			list_entry(pos, struct sim_stream, link);

		if (engine->running >= engine->curve->max_running)
			return;
		if (stream->phase != SIM_QUEUED)
			continue;
		stream->phase = SIM_PREFILL;
		stream->prefill_left = uncached_tokens(engine, stream);
		engine->running++;
	}
}

static uint32_t run_prefill(struct sim_engine *engine)
{
	uint32_t done = 0;
	struct list *pos;

	list_for_each (pos, &engine->streams) {
		struct sim_stream *stream =
			list_entry(pos, struct sim_stream, link);
		uint32_t nr;

		if (stream->phase != SIM_PREFILL)
			continue;
		nr = MIN(stream->prefill_left, STEP_PREFILL_TOKENS - done);
		stream->prefill_left -= nr;
		engine->computed += nr;
		done += nr;
		if (stream->prefill_left)
			continue;
		stream->phase = SIM_RUNNING;
		stream->cached = true;
		stream->cached_at = engine->computed;
	}
	return done;
}

static void start_step(struct sim_engine *engine, uint64_t now_us)
{
	uint32_t done;

	admit_streams(engine);
	engine->stepping = engine->running > 0;
	if (!engine->stepping)
		return;
	done = run_prefill(engine);
	engine->due_us = now_us +
			 sim_curve_gap(engine->curve, engine->running) +
			 (uint64_t)done * engine->curve->prefill_us_per_token;
}

void sim_engine_add(struct sim_engine *engine, struct sim_stream *stream,
		    uint64_t now_us)
{
	stream->phase = SIM_QUEUED;
	stream->started_us = now_us;
	stream->token_us = 0;
	list_append(&engine->streams, &stream->link);
	if (!engine->stepping)
		start_step(engine, now_us);
}

void sim_engine_cancel(struct sim_engine *engine, struct sim_stream *stream)
{
	list_remove(&stream->link);
	if (stream->phase != SIM_QUEUED)
		engine->running--;
	stream->phase = SIM_IDLE;
}

uint64_t sim_engine_due(const struct sim_engine *engine)
{
	return engine->stepping ? engine->due_us : UINT64_MAX;
}

void sim_engine_step(struct sim_engine *engine)
{
	uint64_t now = engine->due_us;
	GPtrArray *served = g_ptr_array_new();
	struct list *pos;
	guint i;

	list_for_each (pos, &engine->streams) {
		struct sim_stream *stream =
			list_entry(pos, struct sim_stream, link);

		if (stream->phase == SIM_RUNNING)
			g_ptr_array_add(served, stream);
	}
	for (i = 0; i < served->len; i++) {
		struct sim_stream *stream = served->pdata[i];

		if (stream->phase != SIM_RUNNING)
			continue;
		if (++stream->tokens >= stream->max_tokens)
			sim_engine_cancel(engine, stream);
		engine->on_token(engine->ctx, stream, now);
	}
	g_ptr_array_free(served, TRUE);
	start_step(engine, now);
}
