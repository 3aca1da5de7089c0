/*
 * Simulated inference engine: completions by continuous batching, with
 * cancellation, resumption, a prefix cache and a delayed load report.
 */
#include <string.h>

#include "engine.h"

#define CALLS_PREFIX "/v1/calls/"
#define CANCEL_SUFFIX "/cancel"
#define DEFAULT_MAX_TOKENS 16
#define LARGEST_MAX_TOKENS 100000

struct engine_state {
	struct standin *standin;
	struct engine_settings settings;
	struct engine_batch *batch;
	struct engine_orders *orders;
	uint64_t unnamed_calls;
};

static struct engine_call *call_create(struct engine_state *state,
				       struct web_request *request,
				       struct json_object *root)
{
	struct engine_call *call = g_new0(struct engine_call, 1);
	struct json_object *max = json_object_object_get(root, "max_tokens");
	const char *resume = web_header(request, "x-resume-from");
	const char *id = web_header(request, "x-call-id");

	call->request = request;
	if (id)
		call->id = g_strdup(id);
	else
		call->id = g_strdup_printf("unnamed-%" G_GUINT64_FORMAT,
					   ++state->unnamed_calls);
	call->prompt = g_strdup(standin_json_text(root, "prompt"));
	call->stream =
		json_object_get_boolean(json_object_object_get(root, "stream"));
	call->max_tokens = DEFAULT_MAX_TOKENS;
	if (max)
		call->max_tokens = (uint32_t)CLAMP(json_object_get_int64(max),
						   1, LARGEST_MAX_TOKENS);
	call->resumed = resume != NULL;
	if (resume)
		call->next = (uint32_t)g_ascii_strtoull(resume, NULL, 10);
	return call;
}

static void on_completion(void *ctx, struct web_request *request)
{
	struct engine_state *state = ctx;
	struct json_object *root;

	if (strcmp(web_method(request), "POST")) {
		web_problem(request, 405, "Not allowed", "POST only");
		return;
	}
	root = standin_body_json(request);
	if (!root || !json_object_object_get(root, "prompt")) {
		json_object_put(root);
		web_problem(request, 400, "Bad request", "no prompt");
		return;
	}
	engine_batch_add(state->batch, call_create(state, request, root));
	json_object_put(root);
}

static void on_cancel(void *ctx, struct web_request *request)
{
	struct engine_state *state = ctx;
	const char *path = web_path(request);
	struct json_object *root;
	bool found = false;
	char *id;

	if (!g_str_has_suffix(path, CANCEL_SUFFIX)) {
		web_problem(request, 404, "Not found", "no such path");
		return;
	}
	id = g_strndup(path + strlen(CALLS_PREFIX),
		       strlen(path) - strlen(CALLS_PREFIX) -
			       strlen(CANCEL_SUFFIX));
	found = engine_batch_cancel(state->batch, id);
	g_free(id);
	root = json_object_new_object();
	json_object_object_add(root, "cancelled",
			       json_object_new_boolean(found));
	standin_answer_json(state->standin, request, found ? 200 : 404, root);
}

static void on_load(void *ctx, struct web_request *request)
{
	struct engine_state *state = ctx;

	standin_answer_json(state->standin, request, 200,
			    engine_batch_load(state->batch));
}

static void on_runs(void *ctx, struct web_request *request)
{
	struct engine_state *state = ctx;
	struct json_object *root = json_object_new_object();
	GHashTableIter iter;
	gpointer key, nr;

	g_hash_table_iter_init(&iter, state->batch->runs);
	while (g_hash_table_iter_next(&iter, &key, &nr))
		json_object_object_add(
			root, key,
			json_object_new_int64((int64_t)GPOINTER_TO_SIZE(nr)));
	standin_answer_json(state->standin, request, 200, root);
}

static void engine_on_fault(void *data, const struct fault *fault)
{
	struct engine_state *state = data;

	if (fault->kind == FAULT_KILL_STREAMS)
		engine_batch_kill(state->batch);
}

static void *engine_create(struct standin *standin, const void *settings)
{
	struct engine_state *state = g_new0(struct engine_state, 1);

	state->standin = standin;
	state->settings = *(const struct engine_settings *)settings;
	state->batch = engine_batch_create(standin, &state->settings);
	state->orders = engine_orders_create(standin, &state->settings);
	standin_route(standin, "/v1/completions", on_completion, state);
	standin_route(standin, CALLS_PREFIX, on_cancel, state);
	standin_route(standin, "/v1/load", on_load, state);
	standin_route(standin, "/v1/runs", on_runs, state);
	return state;
}

static void engine_destroy(void *data)
{
	struct engine_state *state = data;

	engine_batch_destroy(state->batch);
	engine_orders_destroy(state->orders);
	g_free(state);
}

#define SETTING(member) offsetof(struct engine_settings, member)

static const struct standin_option engine_options[] = {
	{ "base-gap-us", SETTING(base_gap_us), 10000,
	  .help = "gap between the tokens of a stream, in us" },
	{ "knee", SETTING(knee), 8,
	  .help = "running calls above which the gap grows" },
	{ "slope", SETTING(slope_us), 2000,
	  .help = "growth of the gap per call above the knee, in us" },
	{ "max-running", SETTING(max_running), 32,
	  .help = "calls that run at once; further ones are queued" },
	{ "prefill-us-per-token", SETTING(prefill_us_per_token), 50,
	  .help = "time to compute one token of a prompt, in us" },
	{ "cache-tokens", SETTING(cache_tokens), 65536,
	  .help = "tokens that the prefix cache holds" },
	{ "load-lag-ms", SETTING(load_lag_ms), 500,
	  .help = "age of the load that /v1/load reports, in ms" },
	{ "fencing", SETTING(fencing), 1, .on_off = true,
	  .help = "on: refuse orders with an old fencing number" },
	{ "order-ms", SETTING(order_ms), 20,
	  .help = "time to apply an order, in ms" },
	{ 0 },
};

const struct standin_command engine_command = {
	.name = "engine",
	.options = engine_options,
	.settings_size = sizeof(struct engine_settings),
	.create = engine_create,
	.destroy = engine_destroy,
	.on_fault_change = engine_on_fault,
};
