/*
 * HTTP adapter for the weight store.
 */
#include <glib.h>

#include "standalone/json_answer.h"
#include "standalone/weight_store.h"

#define CONNECT_TIMEOUT_MS 1000
#define ANSWER_TIMEOUT_MS 5000

struct weight_store_http {
	struct weight_store super;
	struct http_client *http;
	char *address;
};

struct query {
	weight_store_fn done;
	void *ctx;
};

static void on_described(void *ctx, const struct http_answer *answer)
{
	struct query *query = ctx;
	struct json_object *root = json_answer_parse(answer, json_type_object);
	uint64_t bytes = json_answer_int(root, "bytes");
	uint64_t rate = json_answer_int(root, "bytes_per_s");

	query->done(query->ctx, bytes && rate, bytes, rate);
	json_object_put(root);
}

static void weight_store_http_describe(struct weight_store *base,
				       const char *model, const char *version,
				       weight_store_fn done, void *ctx)
{
	struct weight_store_http *store = (struct weight_store_http *)base;
	struct query *query = g_new0(struct query, 1);
	char *model_part = g_uri_escape_string(model, NULL, FALSE);
	char *version_part = g_uri_escape_string(version, NULL, FALSE);
	char *path = g_strdup_printf("/v1/models/%s/versions/%s", model_part,
				     version_part);
	struct http_call_options options = {
		.address = store->address,
		.method = "GET",
		.path = path,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.first_byte_timeout_ms = ANSWER_TIMEOUT_MS,
		.idle_timeout_ms = ANSWER_TIMEOUT_MS,
		.on_free = g_free,
	};

	query->done = done;
	query->ctx = ctx;
	http_fetch(store->http, &options, on_described, query);
	g_free(path);
	g_free(version_part);
	g_free(model_part);
}

static void weight_store_http_destroy(struct weight_store *base)
{
	struct weight_store_http *store = (struct weight_store_http *)base;

	g_free(store->address);
	g_free(store);
}

static const struct weight_store_ops weight_store_http_ops = {
	.describe = weight_store_http_describe,
	.destroy = weight_store_http_destroy,
};

struct weight_store *weight_store_http_create(struct http_client *http,
					      const char *address)
{
	struct weight_store_http *store = g_new0(struct weight_store_http, 1);

	store->super.ops = &weight_store_http_ops;
	store->http = http;
	store->address = g_strdup(address);
	return &store->super;
}
