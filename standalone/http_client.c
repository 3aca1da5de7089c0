#include <netinet/tcp.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>
#include <h2o.h>
#include <h2o/http1client.h>
#include <h2o/socketpool.h>

#include "common/list.h"
#include "standalone/http_client.h"

/* h2o's own I/O timeout, in ms; calls set shorter ones. */
#define IO_TIMEOUT_MS (3600 * 1000)
/* Idle time in ms after which a pooled connection is closed. */
#define POOL_IDLE_MS 4000
#define POOL_CONNECTIONS 4096
#define MAX_FIELDS 100

struct pool {
	h2o_socketpool_t sockets;
};

struct http_client {
	uv_loop_t *loop;
	h2o_http1client_ctx_t ctx;
	h2o_timeout_t io_timeout;
	h2o_multithread_queue_t *queue;
	h2o_multithread_receiver_t receiver;
	GHashTable *pools;
	struct list calls;
	bool callbacks_disabled;
	/* Set during the destruction: new calls never connect. */
	bool closing;
};

struct http_call {
	struct list link;
	struct http_client *client;
	h2o_http1client_t *h2o;
	struct http_call_options options;
	char *host;
	uint16_t port;
	/* Head and body of the request in wire format. */
	GString *request;
	h2o_iovec_t request_buf;
	uv_timer_t timer;
	bool sent;
	bool head_method;
	/* Framing of the response's body; with neither, it ends with the
	 * connection. */
	bool chunked;
	bool has_length;
	/* Set while one of h2o's callbacks runs. */
	bool in_callback;
	bool paused;
	/* h2o's read callback, saved while reading is stopped. */
	h2o_socket_cb read_cb;
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

	g_string_free(call->request, TRUE);
	g_free(call->host);
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

	call->h2o = NULL;
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

static void on_timeout(uv_timer_t *timer)
{
	struct http_call *call = timer->data;
	h2o_http1client_t *h2o = call->h2o;

	call->h2o = NULL;
	if (h2o)
		h2o_http1client_cancel(h2o);
	call_end(call, call->sent ? HTTP_TIMEOUT : HTTP_NOT_SENT);
}

static void set_timeout(struct http_call *call, uint32_t ms)
{
	uv_timer_stop(&call->timer);
	if (ms)
		uv_timer_start(&call->timer, on_timeout, ms, 0);
}

/* Delivers buffered data; returns false if the callback cancelled the call. */
static bool deliver_body(struct http_call *call, h2o_http1client_t *h2o)
{
	h2o_buffer_t *input = h2o->sock->input;

	if (input->size && call->options.on_body &&
	    !call->client->callbacks_disabled)
		call->options.on_body(call->options.ctx, input->bytes,
				      input->size);
	if (call->h2o != h2o)
		return false;
	h2o_buffer_consume(&h2o->sock->input, h2o->sock->input->size);
	return true;
}

static void stop_reading(struct http_call *call)
{
	h2o_socket_t *sock = call->h2o->sock;

	uv_timer_stop(&call->timer);
	if (call->read_cb)
		return;
	call->read_cb = sock->_cb.read;
	h2o_socket_read_stop(sock);
}

/*
 * Tells whether the server closed the connection without a reset, which h2o does
 * not distinguish. The socket's error can't be asked for, as libuv has read it.
 */
static bool is_orderly_close(h2o_socket_t *sock)
{
	struct tcp_info info = { 0 };
	socklen_t len = sizeof(info);

	return !getsockopt(h2o_socket_get_fd(sock), IPPROTO_TCP, TCP_INFO,
			   &info, &len) &&
	       info.tcpi_state == TCP_CLOSE_WAIT;
}

/*
 * h2o treats a close between two chunks as the end of the body. The body is
 * complete only if the last chunk arrived with this read.
 */
static bool is_complete(const struct http_call *call, const char *errstr)
{
	if (errstr != h2o_http1client_error_is_eos)
		return false;
	if (call->chunked)
		return call->h2o->sock->bytes_read;
	return call->has_length || is_orderly_close(call->h2o->sock);
}

static int on_h2o_body(h2o_http1client_t *h2o, const char *errstr)
{
	struct http_call *call = h2o->data;
	bool complete = is_complete(call, errstr);
	bool still_running;

	if (errstr && !complete && h2o->sock->bytes_read) {
		/* The buffer holds data that could not be decoded. */
		call_end(call, HTTP_TRUNCATED);
		return -1;
	}
	if (!errstr && call->paused) {
		/* The data stays in the buffer until reading resumes. */
		stop_reading(call);
		return 0;
	}
	call->in_callback = true;
	still_running = deliver_body(call, h2o);
	call->in_callback = false;
	if (!still_running)
		return -1;
	if (errstr)
		call_end(call, complete ? HTTP_COMPLETE : HTTP_TRUNCATED);
	else if (call->paused)
		stop_reading(call);
	else
		set_timeout(call, call->options.idle_timeout_ms);
	return 0;
}

static void report_head(struct http_call *call, int status,
			const h2o_header_t *headers, size_t nr)
{
	struct http_field fields[MAX_FIELDS];
	size_t i;

	nr = MIN(nr, MAX_FIELDS);
	for (i = 0; i < nr; i++) {
		fields[i].name =
			g_strndup(headers[i].name->base, headers[i].name->len);
		fields[i].value =
			g_strndup(headers[i].value.base, headers[i].value.len);
	}
	if (call->options.on_head && !call->client->callbacks_disabled)
		call->options.on_head(call->options.ctx, status, fields, nr);
	for (i = 0; i < nr; i++) {
		g_free((char *)fields[i].name);
		g_free((char *)fields[i].value);
	}
}

static bool has_header(const h2o_header_t *headers, size_t nr,
		       const h2o_token_t *name)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		if (headers[i].name == &name->buf)
			return true;
	}
	return false;
}

static h2o_http1client_body_cb on_h2o_head(h2o_http1client_t *h2o,
					   const char *errstr, int minor,
					   int status, h2o_iovec_t msg,
					   h2o_header_t *headers, size_t nr,
					   int rlen)
{
	struct http_call *call = h2o->data;

	(void)minor;
	(void)msg;
	(void)rlen;
	if (errstr && errstr != h2o_http1client_error_is_eos) {
		call_end(call, HTTP_NO_ANSWER);
		return NULL;
	}
	call->chunked = has_header(headers, nr, H2O_TOKEN_TRANSFER_ENCODING);
	call->has_length = has_header(headers, nr, H2O_TOKEN_CONTENT_LENGTH);
	call->in_callback = true;
	report_head(call, status, headers, nr);
	call->in_callback = false;
	if (call->h2o != h2o)
		return NULL;
	if (errstr) {
		call_end(call, HTTP_COMPLETE);
		return NULL;
	}
	set_timeout(call, call->options.idle_timeout_ms);
	return on_h2o_body;
}

static h2o_http1client_head_cb on_h2o_connect(h2o_http1client_t *h2o,
					      const char *errstr,
					      h2o_iovec_t **bufs, size_t *nr,
					      int *method_is_head)
{
	struct http_call *call = h2o->data;

	if (errstr) {
		call_end(call, HTTP_NOT_SENT);
		return NULL;
	}
	call->sent = true;
	*bufs = &call->request_buf;
	*nr = 1;
	*method_is_head = call->head_method;
	set_timeout(call, call->options.first_byte_timeout_ms);
	call->in_callback = true;
	if (call->options.on_sent && !call->client->callbacks_disabled)
		call->options.on_sent(call->options.ctx);
	call->in_callback = false;
	return call->h2o == h2o ? on_h2o_head : NULL;
}

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
	call->request_buf = h2o_iovec_init(out->str, out->len);
}

static struct pool *pool_find(struct http_call *call)
{
	struct http_client *client = call->client;
	char *address = g_strdup_printf("%s:%u", call->host, call->port);
	struct pool *pool = g_hash_table_lookup(client->pools, address);
	struct sockaddr_storage addr;
	socklen_t len;

	if (pool) {
		g_free(address);
		return pool;
	}
	pool = g_new0(struct pool, 1);
	if (!uv_ip4_addr(call->host, call->port, (struct sockaddr_in *)&addr)) {
		len = sizeof(struct sockaddr_in);
	} else {
		uv_ip6_addr(call->host, call->port,
			    (struct sockaddr_in6 *)&addr);
		len = sizeof(struct sockaddr_in6);
	}
	h2o_socketpool_init_by_address(&pool->sockets, (struct sockaddr *)&addr,
				       len, 0, POOL_CONNECTIONS);
	h2o_socketpool_set_timeout(&pool->sockets, client->loop, POOL_IDLE_MS);
	g_hash_table_insert(client->pools, address, pool);
	return pool;
}

struct http_client *http_client_create(uv_loop_t *loop)
{
	struct http_client *client = g_new0(struct http_client, 1);

	/* Writing to a closed connection must fail with EPIPE, not end the
	 * process. */
	signal(SIGPIPE, SIG_IGN);
	client->loop = loop;
	client->queue = h2o_multithread_create_queue(loop);
	h2o_multithread_register_receiver(client->queue, &client->receiver,
					  h2o_hostinfo_getaddr_receiver);
	h2o_timeout_init(loop, &client->io_timeout, IO_TIMEOUT_MS);
	client->ctx.loop = loop;
	client->ctx.getaddr_receiver = &client->receiver;
	client->ctx.io_timeout = &client->io_timeout;
	client->pools =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list_init(&client->calls);
	return client;
}

/* The loop must run once more to close the pools' timers before the pools are
 * freed. */
static void dispose_pools(struct http_client *client)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, client->pools);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		h2o_socketpool_dispose(&((struct pool *)value)->sockets);
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
 * Owners may start calls while the loop runs here, from timers or on_free. If
 * such a call connected, its timeout would be linked to a client that is being
 * freed. So such a call stays unconnected until the last cancel_calls().
 */
void http_client_destroy(struct http_client *client)
{
	client->callbacks_disabled = true;
	client->closing = true;
	cancel_calls(client);
	uv_run(client->loop, UV_RUN_NOWAIT);
	dispose_pools(client);
	uv_run(client->loop, UV_RUN_NOWAIT);
	g_hash_table_destroy(client->pools);
	h2o_timeout_dispose(client->loop, &client->io_timeout);
	h2o_multithread_unregister_receiver(client->queue, &client->receiver);
	h2o_multithread_destroy_queue(client->queue);
	uv_run(client->loop, UV_RUN_NOWAIT);
	cancel_calls(client);
	g_free(client);
}

static void split_address(struct http_call *call)
{
	const char *address = call->options.address;
	const char *colon = strrchr(address, ':');

	if (*address == '[')
		call->host = g_strndup(address + 1, colon - address - 2);
	else
		call->host = g_strndup(address, colon - address);
	call->port = (uint16_t)g_ascii_strtoull(colon + 1, NULL, 10);
}

static void connect_call(struct http_call *call)
{
	struct http_client *client = call->client;

	set_timeout(call, call->options.connect_timeout_ms);
	if (call->options.fresh_connection)
		h2o_http1client_connect(
			&call->h2o, call, &client->ctx,
			h2o_iovec_init(call->host, strlen(call->host)),
			call->port, 0, on_h2o_connect);
	else
		h2o_http1client_connect_with_pool(
			&call->h2o, call, &client->ctx,
			&pool_find(call)->sockets, on_h2o_connect);
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
	call->head_method = !strcmp(options->method, "HEAD");
	list_append(&client->calls, &call->link);
	uv_timer_init(client->loop, &call->timer);
	call->timer.data = call;
	split_address(call);
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
	h2o_http1client_t *h2o = call->h2o;

	call->h2o = NULL;
	/* Within an h2o callback, the return value closes the connection. */
	if (h2o && !call->in_callback)
		h2o_http1client_cancel(h2o);
	call_release(call);
}

void http_call_pause(struct http_call *call, bool pause)
{
	h2o_http1client_t *h2o = call->h2o;

	if (pause == call->paused)
		return;
	call->paused = pause;
	if (pause || !h2o || !call->read_cb)
		return;
	h2o_socket_read_start(h2o->sock, call->read_cb);
	call->read_cb = NULL;
	set_timeout(call, call->options.idle_timeout_ms);
	deliver_body(call, h2o);
}
