/*
 * HTTP adapter for model engines. X-Call-Id identifies a call for cancelling;
 * X-Resume-From resumes its stream.
 */
#include <string.h>

#include <json-c/json.h>

#include "backend_http.h"
#include "engine_stream.h"
#include "standalone/http_fetch.h"
#include "standalone/json_answer.h"

/* Time limit for an engine to complete an order, in ms. */
#define ORDER_TIMEOUT_MS 120000
#define STATUS_FENCED 409

/* A pending query or order. */
struct query {
	backend_load_fn load;
	backend_model_state_fn held;
	backend_order_fn order;
	void *ctx;
};

static struct query *query_create(void *ctx)
{
	struct query *query = g_new0(struct query, 1);

	query->ctx = ctx;
	return query;
}

static struct backend_call *engine_http_call(
	struct backend *base, const struct backend_call_options *options)
{
	struct http_field extra[2];
	char resume[16];
	size_t nr = 0;

	if (options->call_id)
		extra[nr++] =
			(struct http_field){ "x-call-id", options->call_id };
	if (options->resume_from) {
		g_snprintf(resume, sizeof(resume), "%u", options->resume_from);
		extra[nr++] = (struct http_field){ "x-resume-from", resume };
	}
	return backend_http_call(base, options, extra, nr);
}

static void on_cancelled(void *ctx, const struct http_answer *answer)
{
	(void)ctx;
	(void)answer;
}

static void engine_http_cancel(struct backend_call *call)
{
	struct backend_http *backend = call->backend;
	bool notify = call->sent && call->id;
	char *path = g_strdup_printf("/v1/calls/%s/cancel",
				     call->id ? call->id : "");
	struct http_call_options options =
		backend_http_options(backend, "POST", path);

	backend_http_cancel(call);
	if (notify)
		http_fetch(backend->http, &options, on_cancelled, NULL);
	g_free(path);
}

static void on_load(void *ctx, const struct http_answer *answer)
{
	struct query *query = ctx;
	struct json_object *root = json_answer_parse(answer, json_type_object);
	struct backend_load load = {
		.running = (uint32_t)json_answer_int(root, "running"),
		.waiting = (uint32_t)json_answer_int(root, "waiting"),
		.measured_ms = json_answer_int(root, "measured_ms"),
	};

	query->load(query->ctx, root != NULL, root ? &load : NULL);
	json_object_put(root);
}

static void engine_http_load(struct backend *base, backend_load_fn done,
			     void *ctx)
{
	struct backend_http *backend = (struct backend_http *)base;
	struct http_call_options options =
		backend_http_options(backend, "GET", "/v1/load");
	struct query *query = query_create(ctx);

	query->load = done;
	options.on_free = g_free;
	http_fetch(backend->http, &options, on_load, query);
}

static void on_held(void *ctx, const struct http_answer *answer)
{
	struct query *query = ctx;
	struct json_object *root = json_answer_parse(answer, json_type_object);
	struct backend_model_state held = {
		.model = json_answer_text(root, "model"),
		.version = json_answer_text(root, "version"),
		.adapter = json_answer_text(root, "adapter"),
		.role = json_answer_text(root, "role"),
		.fencing_number = json_answer_int(root, "fencing_number"),
		.busy = json_answer_bool(root, "busy"),
	};

	query->held(query->ctx, root != NULL, root ? &held : NULL);
	json_object_put(root);
}

static void engine_http_held(struct backend *base, backend_model_state_fn done,
			     void *ctx)
{
	struct backend_http *backend = (struct backend_http *)base;
	struct http_call_options options =
		backend_http_options(backend, "GET", "/v1/held");
	struct query *query = query_create(ctx);

	query->held = done;
	options.on_free = g_free;
	http_fetch(backend->http, &options, on_held, query);
}

static enum backend_order_status order_status(const struct http_answer *answer)
{
	if (answer->end == HTTP_COMPLETE && answer->status == STATUS_FENCED)
		return BACKEND_ORDER_FENCED;
	if (http_answer_refused(answer))
		return BACKEND_ORDER_REFUSED;
	if (answer->end == HTTP_COMPLETE && answer->status == 200)
		return BACKEND_ORDER_DONE;
	return BACKEND_ORDER_UNKNOWN;
}

static void on_order(void *ctx, const struct http_answer *answer)
{
	struct query *query = ctx;
	char *message =
		g_strndup(answer->body ? answer->body : "", answer->len);

	query->order(query->ctx, order_status(answer), message);
	g_free(message);
}

static void add_text(struct json_object *root, const char *name,
		     const char *value)
{
	json_object_object_add(root, name,
			       json_object_new_string(value ? value : ""));
}

static struct json_object *order_json(const struct backend_order *order)
{
	struct json_object *root = json_object_new_object();

	add_text(root, "action", order->action);
	add_text(root, "model", order->model);
	add_text(root, "version", order->version);
	add_text(root, "adapter", order->adapter);
	add_text(root, "role", order->role);
	json_object_object_add(
		root, "fencing_number",
		json_object_new_int64((int64_t)order->fencing_number));
	return root;
}

static void engine_http_order(struct backend *base,
			      const struct backend_order *order,
			      backend_order_fn done, void *ctx)
{
	struct backend_http *backend = (struct backend_http *)base;
	struct json_object *root = order_json(order);
	struct http_call_options options =
		backend_http_options(backend, "POST", "/v1/orders");
	struct query *query = query_create(ctx);

	query->order = done;
	options.body = json_object_to_json_string(root);
	options.body_len = strlen(options.body);
	/* If a pooled connection is stale, it is unknown whether the order
	 * took effect. */
	options.fresh_connection = true;
	options.first_byte_timeout_ms = ORDER_TIMEOUT_MS;
	options.on_free = g_free;
	http_fetch(backend->http, &options, on_order, query);
	json_object_put(root);
}

static const struct backend_ops engine_http_ops = {
	.call = engine_http_call,
	.cancel = engine_http_cancel,
	.pause = backend_http_pause,
	.load = engine_http_load,
	.order = engine_http_order,
	.held = engine_http_held,
	.destroy = backend_http_destroy,
	.make_stream_request = engine_stream_request,
	.assemble_response = engine_stream_assemble,
	.stream_end = engine_stream_end,
};

struct backend *engine_http_create(struct http_client *http,
				   const char *address)
{
	struct backend_http *backend =
		backend_http_create(&engine_http_ops, http, address);

	backend->super.resumable = true;
	return &backend->super;
}
