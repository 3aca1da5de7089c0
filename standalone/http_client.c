#include <signal.h>
#include <string.h>

#include <glib.h>

#include "common/list.h"
#include "net/http_pool.h"
#include "standalone/http_client.h"

/* Idle time after which a pooled connection isn't used any more, in ms, and maximum
 * number of idle connections to one server. */
#define POOL_IDLE_MS 4000
#define POOL_IDLE_CONNECTIONS_MAX 64
/* Longest time for establishing a connection, in ms; calls set shorter ones. */
#define CONNECT_LIMIT_MS (3600 * 1000)

struct http_client {
	uv_loop_t *loop;
	/* Maps IP:PORT to the connections to it, a struct http_pool *. */
	GHashTable *pools;
	struct list calls;
	bool callbacks_disabled;
	/* Set during the destruction: new calls never connect. */
	bool closing;
};

struct http_call {
	struct list link;
	struct http_client *client;
	/* Connection of the call, while it is in progress. */
	struct http_link *http;
	/* Connections from which it was taken; NULL for a fresh one. */
	struct http_pool *pool;
	struct http_call_options options;
	char *address;
	/* Head and body of the request in wire format, until it is sent. */
	GString *request;
	uv_timer_t timer;
	bool sent;
	bool head_received;
	bool paused;
};

/* Hop-by-hop and framing fields, which are not forwarded. */
static const char *const connection_fields[] = {
	"connection",	     "content-length",	 "expect", "host",
	"keep-alive",	     "proxy-connection", "te",	   "trailer",
	"transfer-encoding", "upgrade",
};

static void on_timer_closed(uv_handle_t *handle)
{
	struct http_call *call = handle->data;

	if (call->request)
		g_string_free(call->request, TRUE);
	g_free(call->address);
	g_free(call);
}

static void call_release(struct http_call *call)
{
	list_remove(&call->link);
	uv_timer_stop(&call->timer);
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
	if (call->options.on_free)
		call->options.on_free(call->options.ctx);
}

static void call_end(struct http_call *call, enum http_result end)
{
	void (*on_end)(void *, enum http_result) = call->options.on_end;

	/* The call is freed later, when its owner or the client's
	 * destruction cancels it. */
	if (call->client->callbacks_disabled) {
		uv_timer_stop(&call->timer);
		return;
	}
	call->options.on_end = NULL;
	if (on_end)
		on_end(call->options.ctx, end);
	call_release(call);
}

/* Gives the call's connection back if it can be used again, or closes it. */
static void call_disconnect(struct http_call *call, bool complete)
{
	struct http_link *http = call->http;

	call->http = NULL;
	if (http && call->pool && complete)
		http_pool_release(call->pool, http);
	else if (http)
		http_link_close(http);
	if (call->pool)
		http_pool_unref(call->pool);
	call->pool = NULL;
}

static void on_timeout(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	call_disconnect(call, false);
	call_end(call, call->sent ? HTTP_TIMEOUT : HTTP_NOT_SENT);
}

static void set_timeout(struct http_call *call, uint32_t ms)
{
	uv_timer_stop(&call->timer);
	if (ms)
		uv_timer_start(&call->timer, on_timeout, ms, 0);
}

static void on_sent(void *ctx)
{
	struct http_call *call = ctx;

	call->sent = true;
	set_timeout(call, call->options.first_byte_timeout_ms);
	if (call->options.on_sent && !call->client->callbacks_disabled)
		call->options.on_sent(call->options.ctx);
}

/* Waits for more of the response, unless a callback cancelled or paused the call. */
static void await_more(struct http_call *call)
{
	if (call->http && !call->paused)
		set_timeout(call, call->options.idle_timeout_ms);
}

static bool on_head(void *ctx, const struct http_link_head *head)
{
	struct http_call *call = ctx;
	struct http_field *fields = g_new0(struct http_field, head->fields_nr);
	size_t i;

	call->head_received = true;
	for (i = 0; i < head->fields_nr; i++) {
		fields[i].name = g_ascii_strdown(head->fields[i].name, -1);
		fields[i].value = head->fields[i].value;
	}
	if (call->options.on_head && !call->client->callbacks_disabled)
		call->options.on_head(call->options.ctx, head->status, fields,
				      head->fields_nr);
	for (i = 0; i < head->fields_nr; i++)
		g_free((char *)fields[i].name);
	g_free(fields);
	await_more(call);
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct http_call *call = ctx;

	if (call->options.on_body && !call->client->callbacks_disabled)
		call->options.on_body(call->options.ctx, data, len);
	await_more(call);
}

static void on_end(void *ctx, enum http_link_end end)
{
	struct http_call *call = ctx;

	call_disconnect(call, end == HTTP_LINK_COMPLETE);
	if (end == HTTP_LINK_COMPLETE)
		call_end(call, HTTP_COMPLETE);
	else if (end == HTTP_LINK_NOT_SENT)
		call_end(call, HTTP_NOT_SENT);
	else
		call_end(call,
			 call->head_received ? HTTP_TRUNCATED : HTTP_NO_ANSWER);
}

static const struct http_link_handlers handlers = {
	.on_sent = on_sent,
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static bool is_connection_field(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(connection_fields); i++) {
		if (!g_ascii_strcasecmp(name, connection_fields[i]))
			return true;
	}
	return false;
}

/* Returns whether text holds no control characters, and no blanks unless
 * allow_blanks is set. */
static bool has_valid_chars(const char *text, bool allow_blanks)
{
	for (; *text; text++) {
		unsigned char c = *text;

		if (c == 0x7f || (c < ' ' && c != '\t') ||
		    (!allow_blanks && (c == ' ' || c == '\t')))
			return false;
	}
	return true;
}

static bool is_well_formed(const struct http_call_options *options)
{
	size_t i;

	if (!has_valid_chars(options->method, false) || *options->path != '/' ||
	    !has_valid_chars(options->path, false))
		return false;
	for (i = 0; i < options->fields_nr; i++) {
		if (!has_valid_chars(options->fields[i].name, false) ||
		    !has_valid_chars(options->fields[i].value, true))
			return false;
	}
	return true;
}

static void build_request(struct http_call *call)
{
	const struct http_call_options *options = &call->options;
	GString *out = g_string_new(NULL);
	size_t i;

	g_string_printf(out, "%s %s HTTP/1.1\r\nhost: %s\r\n", options->method,
			options->path, options->address);
	for (i = 0; i < options->fields_nr; i++) {
		if (is_connection_field(options->fields[i].name))
			continue;
		g_string_append_printf(out, "%s: %s\r\n",
				       options->fields[i].name,
				       options->fields[i].value);
	}
	if (options->body_len || strcmp(options->method, "GET"))
		g_string_append_printf(out, "content-length: %zu\r\n",
				       options->body_len);
	if (options->fresh_connection)
		g_string_append(out, "connection: close\r\n");
	else
		g_string_append(out, "connection: keep-alive\r\n");
	g_string_append(out, "\r\n");
	g_string_append_len(out, options->body, (gssize)options->body_len);
	call->request = out;
}

static void pool_destroy(gpointer data)
{
	http_pool_close(data);
	http_pool_unref(data);
}

static struct http_pool *pool_find(struct http_client *client,
				   const char *address)
{
	struct http_pool *pool = g_hash_table_lookup(client->pools, address);
	struct http_pool_options options = {
		.loop = client->loop,
		.address = address,
		.connect_timeout_ms = CONNECT_LIMIT_MS,
		.idle_max = POOL_IDLE_CONNECTIONS_MAX,
		.reuse_limit_ms = POOL_IDLE_MS,
	};

	if (pool)
		return pool;
	pool = http_pool_create(&options);
	g_hash_table_insert(client->pools, g_strdup(address), pool);
	return pool;
}

struct http_client *http_client_create(uv_loop_t *loop)
{
	struct http_client *client = g_new0(struct http_client, 1);

	/* Writing to a closed connection must fail with EPIPE, not end the
	 * process. */
	signal(SIGPIPE, SIG_IGN);
	client->loop = loop;
	client->pools = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					      pool_destroy);
	list_init(&client->calls);
	return client;
}

void http_client_disable_callbacks(struct http_client *client)
{
	client->callbacks_disabled = true;
}

/*
 * Cancels all current calls. They are first moved to a separate list, since
 * on_free may start or cancel calls during the iteration.
 */
static void cancel_calls(struct http_client *client)
{
	struct list batch, *pos;

	list_init(&batch);
	while ((pos = list_first(&client->calls)) != NULL) {
		list_remove(pos);
		list_append(&batch, pos);
	}
	while ((pos = list_first(&batch)) != NULL)
		http_call_cancel(list_entry(pos, struct http_call, link));
}

/*
 * Owners may start calls while the loop runs here, from timers or on_free. Such a call
 * stays unconnected until the last cancel_calls().
 */
void http_client_destroy(struct http_client *client)
{
	client->callbacks_disabled = true;
	client->closing = true;
	cancel_calls(client);
	uv_run(client->loop, UV_RUN_NOWAIT);
	g_hash_table_destroy(client->pools);
	uv_run(client->loop, UV_RUN_NOWAIT);
	cancel_calls(client);
	g_free(client);
}

static struct http_link *open_fresh(const struct http_call *call)
{
	struct http_link_options options = {
		.loop = call->client->loop,
		.address = call->address,
		.connect_timeout_ms = CONNECT_LIMIT_MS,
	};

	return http_link_open(&options);
}

static void connect_call(struct http_call *call)
{
	GString *request = call->request;

	set_timeout(call, call->options.connect_timeout_ms);
	if (call->options.fresh_connection) {
		call->http = open_fresh(call);
	} else {
		call->pool =
			http_pool_ref(pool_find(call->client, call->address));
		call->http = http_pool_acquire(call->pool, POOL_IDLE_MS, 0);
	}
	call->request = NULL;
	http_link_send(call->http, request, &handlers, call);
}

static void on_start(uv_timer_t *timer)
{
	struct http_call *call = timer->data;

	if (!call->client->closing)
		connect_call(call);
}

static void on_malformed(uv_timer_t *timer)
{
	call_end(timer->data, HTTP_NOT_SENT);
}

struct http_call *http_call_start(struct http_client *client,
				  const struct http_call_options *options)
{
	struct http_call *call = g_new0(struct http_call, 1);
	bool well_formed = is_well_formed(options);

	call->client = client;
	call->options = *options;
	call->address = g_strdup(options->address);
	list_append(&client->calls, &call->link);
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	build_request(call);
	/* The caller's memory is not valid after the return. */
	call->options.fields = NULL;
	call->options.body = NULL;
	call->options.path = NULL;
	call->options.method = NULL;
	call->options.address = NULL;
	uv_timer_start(&call->timer, well_formed ? on_start : on_malformed, 0,
		       0);
	return call;
}

void http_call_cancel(struct http_call *call)
{
	call_disconnect(call, false);
	call_release(call);
}

void http_call_pause(struct http_call *call, bool pause)
{
	if (pause == call->paused)
		return;
	call->paused = pause;
	if (!call->http)
		return;
	http_link_pause(call->http, pause);
	set_timeout(call, pause ? 0 : call->options.idle_timeout_ms);
}
