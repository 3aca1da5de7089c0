/*
 * The engine's continuous batching: admission, prefill and token generation
 * in timed steps.
 */
#include <string.h>

#include "common/hash.h"
#include "engine.h"

/* Maximum number of prompt tokens that one step computes. */
#define STEP_PREFILL_TOKENS 512
/* Maximum number of overdue steps that one timer callback runs. */
#define MAX_STEPS_PER_TIMER 32

struct sample {
	uint64_t at_ms;
	uint32_t running;
	uint32_t waiting;
};

void engine_token(uint64_t prompt_hash, uint32_t index, char out[32])
{
	uint64_t hash = hash_combine(prompt_hash, index);

	g_snprintf(out, 32, "t%u:%04x", index, (unsigned)(hash & 0xffff));
}

static void sample_load(struct engine_batch *batch)
{
	struct sample sample = { standin_wall_ms(), batch->running,
				 batch->waiting };

	g_array_append_val(batch->samples, sample);
}

struct json_object *engine_batch_load(struct engine_batch *batch)
{
	uint64_t seen_ms = standin_wall_ms() - batch->settings->load_lag_ms;
	struct json_object *root = json_object_new_object();
	struct sample *sample;

	while (batch->samples->len > 1) {
		sample = &g_array_index(batch->samples, struct sample, 1);
		if (sample->at_ms > seen_ms)
			break;
		g_array_remove_index(batch->samples, 0);
	}
	sample = &g_array_index(batch->samples, struct sample, 0);
	json_object_object_add(root, "running",
			       json_object_new_int64(sample->running));
	json_object_object_add(root, "waiting",
			       json_object_new_int64(sample->waiting));
	json_object_object_add(root, "tokens",
			       json_object_new_int64((int64_t)batch->tokens));
	json_object_object_add(root, "measured_ms",
			       json_object_new_int64((int64_t)seen_ms));
	return root;
}

static void call_free(struct engine_call *call)
{
	list_remove(&call->link);
	if (call->phase == CALL_QUEUED)
		call->batch->waiting--;
	else
		call->batch->running--;
	sample_load(call->batch);
	g_string_free(call->text, TRUE);
	g_free(call->prompt);
	g_free(call->id);
	g_free(call);
}

/* Frees the call and returns its request, which the caller must end. */
static struct web_request *call_release(struct engine_call *call)
{
	struct web_request *request = call->request;

	web_on_close(request, NULL, NULL);
	call_free(call);
	return request;
}

static void on_call_closed(void *ctx, bool sent)
{
	(void)sent;
	call_free(ctx);
}

static void count_run(struct engine_batch *batch, const char *id)
{
	gpointer nr = g_hash_table_lookup(batch->runs, id);

	g_hash_table_insert(batch->runs, g_strdup(id),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(nr) + 1));
}

static void call_start(struct engine_batch *batch, struct engine_call *call)
{
	batch->waiting--;
	batch->running++;
	call->phase = CALL_PREFILL;
	call->prefill_left = engine_cache_miss(batch->cache, call->prompt);
	if (!call->resumed)
		count_run(batch, call->id);
	sample_load(batch);
}

static void admit_calls(struct engine_batch *batch)
{
	struct list *pos;

	list_for_each (pos, &batch->calls) {
		struct engine_call *call =
			list_entry(pos, struct engine_call, link);

		if (batch->running >= batch->settings->max_running)
			return;
		if (call->phase == CALL_QUEUED)
			call_start(batch, call);
	}
}

/*
 * Computes the prompt tokens of the calls in order of arrival, up to
 * STEP_PREFILL_TOKENS. Returns the number of tokens computed.
 */
static uint32_t run_prefill(struct engine_batch *batch)
{
	uint32_t done = 0;
	struct list *pos;

	list_for_each (pos, &batch->calls) {
		struct engine_call *call =
			list_entry(pos, struct engine_call, link);
		uint32_t nr;

		if (call->phase != CALL_PREFILL)
			continue;
		nr = MIN(call->prefill_left, STEP_PREFILL_TOKENS - done);
		call->prefill_left -= nr;
		done += nr;
		if (!call->prefill_left)
			call->phase = CALL_RUNNING;
	}
	return done;
}

static uint64_t step_duration_us(struct engine_batch *batch, uint32_t prefilled)
{
	const struct engine_settings *set = batch->settings;
	int64_t over = MAX(0, (int64_t)batch->running - set->knee);

	return set->base_gap_us + set->slope_us * over +
	       prefilled * set->prefill_us_per_token;
}

static void send_full_answer(struct engine_call *call)
{
	struct json_object *root = json_object_new_object();
	struct standin *standin = call->batch->standin;

	json_object_object_add(root, "id", json_object_new_string(call->id));
	json_object_object_add(root, "text",
			       json_object_new_string(call->text->str));
	json_object_object_add(root, "tokens",
			       json_object_new_int64(call->max_tokens));
	standin_answer_json(standin, call_release(call), 200, root);
}

/* Writes an event to a stream, and the response head before the first event. */
static void write_event(struct engine_call *call, const char *event)
{
	if (!call->head_sent)
		web_stream_begin(call->request, 200, "text/event-stream");
	call->head_sent = true;
	web_stream_write(call->request, event, strlen(event));
}

static void end_stream(struct engine_call *call)
{
	static const char done[] = "data: [DONE]\n\n";
	struct web_request *request;

	write_event(call, done);
	request = call_release(call);
	web_stream_end(request, true);
}

static void emit_token(struct engine_call *call)
{
	char token[32];
	char *event;

	if (call->next < call->max_tokens) {
		call->batch->tokens++;
		engine_token(call->prompt_hash, call->next, token);
		g_string_append_printf(call->text, "%s ", token);
		event = g_strdup_printf(
			"data: {\"token\":\"%s\",\"index\":%u}\n\n", token,
			call->next++);
		if (call->stream)
			write_event(call, event);
		g_free(event);
	}
	if (call->next < call->max_tokens)
		return;
	if (call->stream)
		end_stream(call);
	else
		send_full_answer(call);
}

static void emit_tokens(struct engine_batch *batch)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->calls) {
		struct engine_call *call =
			list_entry(pos, struct engine_call, link);

		if (call->phase == CALL_RUNNING)
			emit_token(call);
	}
}

static void on_step(uv_timer_t *timer);

static void schedule_step(struct engine_batch *batch)
{
	uint64_t now = standin_now_us();
	uint64_t wait_us =
		batch->next_step_us > now ? batch->next_step_us - now : 0;

	batch->step_scheduled = true;
	uv_timer_start(batch->timer, on_step, (wait_us + 500) / 1000, 0);
}

/* Starts a step; returns false when no call is running. */
static bool begin_step(struct engine_batch *batch)
{
	admit_calls(batch);
	if (!batch->running)
		return false;
	batch->next_step_us += step_duration_us(batch, run_prefill(batch));
	return true;
}

static void on_step(uv_timer_t *timer)
{
	struct engine_batch *batch = timer->data;
	unsigned steps = 0;

	batch->step_scheduled = false;
	do {
		if (!standin_fault_active(batch->standin, FAULT_STALL))
			emit_tokens(batch);
		if (!begin_step(batch))
			return;
	} while (batch->next_step_us <= standin_now_us() &&
		 ++steps < MAX_STEPS_PER_TIMER);
	schedule_step(batch);
}

void engine_batch_add(struct engine_batch *batch, struct engine_call *call)
{
	call->batch = batch;
	call->text = g_string_new(NULL);
	call->prompt_hash = hash_string(call->prompt, 0);
	call->phase = CALL_QUEUED;
	list_append(&batch->calls, &call->link);
	batch->waiting++;
	sample_load(batch);
	web_on_close(call->request, on_call_closed, call);
	if (batch->step_scheduled)
		return;
	batch->next_step_us = standin_now_us();
	if (begin_step(batch))
		schedule_step(batch);
}

bool engine_batch_cancel(struct engine_batch *batch, const char *id)
{
	bool found = false;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->calls) {
		struct engine_call *call =
			list_entry(pos, struct engine_call, link);

		if (strcmp(call->id, id))
			continue;
		found = true;
		web_stream_end(call_release(call), false);
	}
	return found;
}

void engine_batch_kill(struct engine_batch *batch)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->calls)
		web_stream_end(
			call_release(list_entry(pos, struct engine_call, link)),
			false);
}

struct engine_batch *engine_batch_create(struct standin *standin,
					 const struct engine_settings *settings)
{
	struct engine_batch *batch = g_new0(struct engine_batch, 1);

	batch->standin = standin;
	batch->settings = settings;
	batch->cache = engine_cache_create(settings->cache_tokens);
	batch->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	batch->samples = g_array_new(FALSE, FALSE, sizeof(struct sample));
	batch->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(standin_loop(standin), batch->timer);
	batch->timer->data = batch;
	list_init(&batch->calls);
	sample_load(batch);
	return batch;
}

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

void engine_batch_destroy(struct engine_batch *batch)
{
	uv_timer_stop(batch->timer);
	uv_close((uv_handle_t *)batch->timer, on_timer_closed);
	engine_cache_destroy(batch->cache);
	g_hash_table_destroy(batch->runs);
	g_array_free(batch->samples, TRUE);
	g_free(batch);
}
