#include "backend_http.h"

#define CONNECT_TIMEOUT_MS 1000
/* Timeout of the adapter's own requests, such as load queries, in ms. */
#define QUERY_TIMEOUT_MS 2000
/* Maximum size of the responses to them, in bytes. */
#define QUERY_BYTES_MAX (1 << 20)

struct backend_http *backend_http_create(const struct backend_ops *ops,
					 struct http_client *http,
					 const char *address)
{
	struct backend_http *backend = g_new0(struct backend_http, 1);

	backend->super.ops = ops;
	backend->http = http;
	backend->address = g_strdup(address);
	return backend;
}

void backend_http_destroy(struct backend *base)
{
	struct backend_http *backend = (struct backend_http *)base;

	g_free(backend->address);
	g_free(backend);
}

static void on_sent(void *ctx)
{
	struct backend_call *call = ctx;

	call->sent = true;
	if (call->options.on_sent)
		call->options.on_sent(call->options.ctx);
}

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	struct backend_call *call = ctx;

	if (call->options.on_head)
		call->options.on_head(call->options.ctx, status, fields, nr);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct backend_call *call = ctx;

	if (call->options.on_body)
		call->options.on_body(call->options.ctx, data, len);
}

static void on_end(void *ctx, enum http_result end)
{
	struct backend_call *call = ctx;

	if (call->options.on_end)
		call->options.on_end(call->options.ctx, end);
}

static void on_free(void *ctx)
{
	struct backend_call *call = ctx;

	g_free(call->id);
	g_free(call);
}

static struct http_field *join_fields(const struct backend_call_options *from,
				      const struct http_field *extra,
				      size_t extra_nr)
{
	struct http_field *fields =
		g_new0(struct http_field, from->fields_nr + extra_nr + 1);
	size_t i;

	for (i = 0; i < extra_nr; i++)
		fields[i] = extra[i];
	for (i = 0; i < from->fields_nr; i++)
		fields[extra_nr + i] = from->fields[i];
	return fields;
}

struct backend_call *backend_http_call(
	struct backend *base, const struct backend_call_options *options,
	const struct http_field *extra, size_t extra_nr)
{
	struct backend_http *backend = (struct backend_http *)base;
	struct backend_call *call = g_new0(struct backend_call, 1);
	struct http_field *fields = join_fields(options, extra, extra_nr);
	struct http_call_options http = {
		.address = backend->address,
		.method = options->method,
		.path = options->path,
		.fields = fields,
		.fields_nr = options->fields_nr + extra_nr,
		.body = options->body,
		.body_len = options->body_len,
		/* If a pooled connection is stale, it is unknown whether the
		 * request took effect. */
		.fresh_connection = !options->idempotent,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.first_byte_timeout_ms = options->first_byte_timeout_ms,
		.idle_timeout_ms = options->idle_timeout_ms,
		.on_sent = on_sent,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.on_free = on_free,
		.ctx = call,
	};

	call->backend = backend;
	call->options = *options;
	call->id = g_strdup(options->call_id);
	call->http = http_call_start(backend->http, &http);
	g_free(fields);
	return call;
}

void backend_http_cancel(struct backend_call *call)
{
	http_call_cancel(call->http);
}

void backend_http_pause(struct backend_call *call, bool pause)
{
	http_call_pause(call->http, pause);
}

struct http_call_options backend_http_options(struct backend_http *backend,
					      const char *method,
					      const char *path)
{
	return (struct http_call_options){
		.address = backend->address,
		.method = method,
		.path = path,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.first_byte_timeout_ms = QUERY_TIMEOUT_MS,
		.idle_timeout_ms = QUERY_TIMEOUT_MS,
		.collect_bytes_max = QUERY_BYTES_MAX,
	};
}
