/**
 * Internal interfaces of the simulated inference engine: batching, prefix
 * cache and orders.
 */
#ifndef BRIARPLANK_TESTS_ENGINE_H
#define BRIARPLANK_TESTS_ENGINE_H

#include "common/list.h"
#include "standin.h"

struct engine_settings {
	int64_t base_gap_us;
	int64_t knee;
	int64_t slope_us;
	int64_t max_running;
	int64_t prefill_us_per_token;
	int64_t cache_tokens;
	int64_t load_lag_ms;
	int64_t fencing;
	int64_t order_ms;
};

enum call_phase { CALL_QUEUED, CALL_PREFILL, CALL_RUNNING };

/** A queued or running completion. */
struct engine_call {
	struct list link;
	struct engine_batch *batch;
	struct web_request *request;
	char *id;
	char *prompt;
	uint64_t prompt_hash;
	enum call_phase phase;
	bool stream;
	bool resumed;
	/** The status and headers of the answer were sent. */
	bool head_sent;
	uint32_t next;
	uint32_t max_tokens;
	/** Prompt tokens that are not computed yet. */
	uint32_t prefill_left;
	GString *text;
};

/** Continuous batching: each step generates one token per running call. */
struct engine_batch {
	struct standin *standin;
	const struct engine_settings *settings;
	struct engine_cache *cache;
	struct list calls;
	uint32_t running;
	uint32_t waiting;
	/** Tokens generated since the engine started. */
	uint64_t tokens;
	/** Maps a call id to the number of times that it was started. */
	GHashTable *runs;
	GArray *samples;
	uv_timer_t *timer;
	uint64_t next_step_us;
	bool step_scheduled;
};

struct engine_batch *engine_batch_create(
	struct standin *standin, const struct engine_settings *settings);
void engine_batch_destroy(struct engine_batch *batch);

/** Queues a call and takes ownership of it. */
void engine_batch_add(struct engine_batch *batch, struct engine_call *call);

/** Aborts all calls with this id; returns false if there are none. */
bool engine_batch_cancel(struct engine_batch *batch, const char *id);

/** Aborts all calls, queued ones as well. */
void engine_batch_kill(struct engine_batch *batch);

/** Returns the load as it was load_lag_ms ago. */
struct json_object *engine_batch_load(struct engine_batch *batch);

/** Writes the text of the token at an index of the answer to a prompt. */
void engine_token(uint64_t prompt_hash, uint32_t index, char out[32]);

struct engine_cache *engine_cache_create(int64_t max_tokens);
void engine_cache_destroy(struct engine_cache *cache);

/** Returns how many tokens of a prompt are not cached, and caches them. */
uint32_t engine_cache_miss(struct engine_cache *cache, const char *prompt);

struct engine_orders *engine_orders_create(struct standin *standin,
					   const struct engine_settings *set);
void engine_orders_destroy(struct engine_orders *orders);

#endif
