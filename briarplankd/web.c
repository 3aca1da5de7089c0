#include <arpa/inet.h>
#include <errno.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
#include <json-c/json.h>

#include "briarplankd/web.h"
#include "common/error.h"
#include "common/list.h"
#include "common/log.h"

#define PART "web"

/* Period of the look for callers that left before their answer, in ms. */
#define CALLER_CHECK_INTERVAL_MS 50
#define LISTEN_BACKLOG 1024
/* How h2o writes the version. */
#define HTTP_1_1 0x101
/* Turns of the loop in which cut connections must be gone. */
#define CLOSE_TURNS 100

struct route {
	struct list link;
	char *prefix;
	web_handler_fn fn;
	void *ctx;
};

struct web {
	uv_loop_t *loop;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	bool listening;
	char *address;
	struct list routes;
	struct list requests;
	struct list connections;
	unsigned running;
	uv_timer_t caller_timer;
	struct counter *requests_total;
	struct counter *callers_left;
};

struct web_request {
	struct list link;
	struct web *web;
	/* NULL once h2o has disposed of the request. */
	h2o_req_t *req;
	h2o_generator_t generator;
	char *method;
	char *path;
	char *query;
	bool begun;
	bool ended;
	bool whole;
	/* A piece is with h2o, which will call proceed. */
	bool sending;
	GString *queue;
	GString *in_flight;
	void (*on_close)(void *ctx, bool sent);
	void *on_close_ctx;
	void (*on_taken)(void *ctx);
	void *on_taken_ctx;
};

/* Lives in h2o's pool of the request and tells when that is freed. */
struct request_guard {
	struct web_request *request;
};

/* A connection that was accepted, until its handle is closed. */
struct connection {
	struct list link;
	uv_tcp_t tcp;
};

struct route_handler {
	h2o_handler_t super;
	struct web *web;
};

static void request_free(struct web_request *request)
{
	list_remove(&request->link);
	request->web->running--;
	g_string_free(request->queue, TRUE);
	g_string_free(request->in_flight, TRUE);
	g_free(request->method);
	g_free(request->path);
	g_free(request->query);
	g_free(request);
}

static void on_guard_dispose(void *data)
{
	struct request_guard *guard = data;
	struct web_request *request = guard->request;
	bool sent = request->ended && request->whole && !request->sending;

	request->req = NULL;
	if (!sent)
		counter_add(request->web->callers_left, 1);
	if (request->on_close)
		request->on_close(request->on_close_ctx, sent);
	request_free(request);
}

static void stream_push(struct web_request *request)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t buf;
	GString *spare;

	if (!request->req || request->sending)
		return;
	if (!request->queue->len && !request->ended)
		return;
	spare = request->in_flight;
	request->in_flight = request->queue;
	request->queue = spare;
	g_string_truncate(request->queue, 0);
	if (request->ended)
		state = request->whole ? H2O_SEND_STATE_FINAL :
					 H2O_SEND_STATE_ERROR;
	buf = h2o_iovec_init(request->in_flight->str, request->in_flight->len);
	request->sending = state == H2O_SEND_STATE_IN_PROGRESS;
	h2o_send(request->req, &buf, buf.len ? 1 : 0, state);
}

static void on_proceed(h2o_generator_t *generator, h2o_req_t *req)
{
	struct web_request *request =
		list_entry(generator, struct web_request, generator);

	(void)req;
	request->sending = false;
	g_string_truncate(request->in_flight, 0);
	if (request->on_taken)
		request->on_taken(request->on_taken_ctx);
	stream_push(request);
}

static void on_stop(h2o_generator_t *generator, h2o_req_t *req)
{
	(void)generator;
	(void)req;
}

static void split_path(struct web_request *request, h2o_req_t *req)
{
	size_t query_at = req->query_at;

	if (query_at == SIZE_MAX) {
		request->path = g_strndup(req->path.base, req->path.len);
		request->query = g_strdup("");
		return;
	}
	request->path = g_strndup(req->path.base, query_at);
	request->query = g_strndup(req->path.base + query_at + 1,
				   req->path.len - query_at - 1);
}

static struct web_request *request_create(struct web *web, h2o_req_t *req)
{
	struct web_request *request = g_new0(struct web_request, 1);
	struct request_guard *guard;

	request->web = web;
	request->req = req;
	request->generator.proceed = on_proceed;
	request->generator.stop = on_stop;
	request->method = g_strndup(req->method.base, req->method.len);
	split_path(request, req);
	request->queue = g_string_new(NULL);
	request->in_flight = g_string_new(NULL);
	list_append(&web->requests, &request->link);
	web->running++;
	guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard),
				     on_guard_dispose);
	guard->request = request;
	return request;
}

static struct route *route_find(struct web *web, const char *path)
{
	struct route *best = NULL;
	size_t best_len = 0;
	struct list *pos;

	list_for_each (pos, &web->routes) {
		struct route *route = list_entry(pos, struct route, link);
		size_t len = strlen(route->prefix);

		if (strncmp(path, route->prefix, len) || len < best_len)
			continue;
		best = route;
		best_len = len;
	}
	return best;
}

static int on_request(h2o_handler_t *self, h2o_req_t *req)
{
	struct web *web = ((struct route_handler *)self)->web;
	struct web_request *request = request_create(web, req);
	struct route *route = route_find(web, request->path);

	counter_add(web->requests_total, 1);
	if (route)
		route->fn(route->ctx, request);
	else
		web_problem(request, 404, "Not found", "nothing is at %s",
			    request->path);
	return 0;
}

/* A caller that has sent a FIN or a reset before its answer has left. */
static bool caller_left(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	char byte;
	ssize_t nr;

	if (!sock || req->version >= 0x200)
		return false;
	nr = recv(h2o_socket_get_fd(sock), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	return nr == 0 || (nr < 0 && errno != EAGAIN && errno != EINTR);
}

static void on_caller_timer(uv_timer_t *timer)
{
	struct web *web = timer->data;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &web->requests) {
		struct web_request *request =
			list_entry(pos, struct web_request, link);

		if (!request->on_close || !request->req || request->ended)
			continue;
		if (!caller_left(request->req))
			continue;
		request->on_close(request->on_close_ctx, false);
		request->on_close = NULL;
		web_stream_end(request, false);
	}
}

static void on_connection_closed(uv_handle_t *handle)
{
	struct connection *conn = list_entry(handle, struct connection, tcp);

	list_remove(&conn->link);
	g_free(conn);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct web *web = listener->data;
	struct connection *conn;
	h2o_socket_t *sock;

	if (status != 0)
		return;
	conn = g_new0(struct connection, 1);
	list_append(&web->connections, &conn->link);
	uv_tcp_init(web->loop, &conn->tcp);
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) != 0) {
		uv_close((uv_handle_t *)&conn->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	sock = h2o_uv_socket_create((uv_stream_t *)&conn->tcp,
				    on_connection_closed);
	h2o_accept(&web->accept, sock);
}

static bool parse_address(const char *text, struct sockaddr_storage *addr)
{
	const char *colon = strrchr(text, ':');
	char *host;
	int port;
	bool ok;

	if (!colon)
		return false;
	port = (int)g_ascii_strtoll(colon + 1, NULL, 10);
	if (*text == '[')
		host = g_strndup(text + 1, colon - text - 2);
	else
		host = g_strndup(text, colon - text);
	ok = !uv_ip4_addr(host, port, (struct sockaddr_in *)addr) ||
	     !uv_ip6_addr(host, port, (struct sockaddr_in6 *)addr);
	g_free(host);
	return ok;
}

static char *bound_address(uv_tcp_t *listener)
{
	struct sockaddr_storage addr;
	int len = sizeof(addr);
	char host[64];

	uv_tcp_getsockname(listener, (struct sockaddr *)&addr, &len);
	if (addr.ss_family == AF_INET6) {
		struct sockaddr_in6 *in6 = (struct sockaddr_in6 *)&addr;

		uv_ip6_name(in6, host, sizeof(host));
		return g_strdup_printf("[%s]:%d", host, ntohs(in6->sin6_port));
	}
	uv_ip4_name((struct sockaddr_in *)&addr, host, sizeof(host));
	return g_strdup_printf("%s:%d", host,
			       ntohs(((struct sockaddr_in *)&addr)->sin_port));
}

static bool listen_on(struct web *web, const char *address)
{
	struct sockaddr_storage addr;
	int rc;

	if (!parse_address(address, &addr)) {
		error_set("%s is no address", address);
		return false;
	}
	uv_tcp_init(web->loop, &web->listener);
	web->listener.data = web;
	rc = uv_tcp_bind(&web->listener, (struct sockaddr *)&addr, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&web->listener, LISTEN_BACKLOG,
			       on_connection);
	web->listening = true;
	if (rc) {
		error_set("can't listen on %s: %s", address, uv_strerror(rc));
		return false;
	}
	web->address = bound_address(&web->listener);
	return true;
}

static void set_up_h2o(struct web *web, const struct web_options *options)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct route_handler *handler;

	h2o_config_init(&web->config);
	web->config.max_request_entity_size = options->max_body_bytes;
	web->config.server_name = h2o_iovec_init(H2O_STRLIT("briarplank"));
	web->config.http1.req_timeout = options->request_timeout_ms;
	host = h2o_config_register_host(
		&web->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	handler = (struct route_handler *)h2o_create_handler(path,
							     sizeof(*handler));
	handler->super.on_req = on_request;
	handler->web = web;
	h2o_context_init(&web->context, web->loop, &web->config);
	web->accept.ctx = &web->context;
	web->accept.hosts = web->config.hosts;
	web->accept.ssl_ctx = options->tls;
}

struct web *web_create(const struct web_options *options)
{
	struct web *web = g_new0(struct web, 1);

	/* A write to a caller that left is an error, not the end. */
	signal(SIGPIPE, SIG_IGN);
	web->loop = options->loop;
	list_init(&web->routes);
	list_init(&web->requests);
	list_init(&web->connections);
	web->requests_total = metrics_counter(
		options->metrics, "briarplank_http_requests_total", "");
	web->callers_left = metrics_counter(
		options->metrics, "briarplank_http_callers_left_total", "");
	set_up_h2o(web, options);
	uv_timer_init(web->loop, &web->caller_timer);
	web->caller_timer.data = web;
	uv_timer_start(&web->caller_timer, on_caller_timer,
		       CALLER_CHECK_INTERVAL_MS, CALLER_CHECK_INTERVAL_MS);
	if (listen_on(web, options->address))
		return web;
	web_destroy(web);
	return NULL;
}

void web_stop_listening(struct web *web)
{
	if (!web->listening)
		return;
	web->listening = false;
	uv_close((uv_handle_t *)&web->listener, NULL);
	h2o_context_request_shutdown(&web->context);
}

unsigned web_running(const struct web *web)
{
	return web->running;
}

static void routes_free(struct web *web)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &web->routes) {
		struct route *route = list_entry(pos, struct route, link);

		g_free(route->prefix);
		g_free(route);
	}
}

/* Ends the connections the way a lost peer would, so that h2o frees them. */
static void cut_connections(struct web *web)
{
	unsigned turns;
	struct list *pos;
	uv_os_fd_t fd;

	list_for_each (pos, &web->connections) {
		struct connection *conn =
			list_entry(pos, struct connection, link);

		if (!uv_fileno((uv_handle_t *)&conn->tcp, &fd))
			shutdown(fd, SHUT_RDWR);
	}
	for (turns = 0; turns < CLOSE_TURNS; turns++) {
		if (list_empty(&web->connections))
			return;
		uv_run(web->loop, UV_RUN_NOWAIT);
	}
}

void web_destroy(struct web *web)
{
	web_stop_listening(web);
	cut_connections(web);
	uv_timer_stop(&web->caller_timer);
	uv_close((uv_handle_t *)&web->caller_timer, NULL);
	uv_run(web->loop, UV_RUN_NOWAIT);
	h2o_timeout_unlink(&web->context.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&web->context);
	h2o_config_dispose(&web->config);
	if (web->accept.ssl_ctx)
		SSL_CTX_free(web->accept.ssl_ctx);
	uv_run(web->loop, UV_RUN_NOWAIT);
	routes_free(web);
	g_free(web->address);
	g_free(web);
}

const char *web_address(const struct web *web)
{
	return web->address;
}

void web_route(struct web *web, const char *prefix, web_handler_fn fn,
	       void *ctx)
{
	struct route *route = g_new0(struct route, 1);

	route->prefix = g_strdup(prefix);
	route->fn = fn;
	route->ctx = ctx;
	list_append(&web->routes, &route->link);
}

const char *web_method(const struct web_request *request)
{
	return request->method;
}

const char *web_path(const struct web_request *request)
{
	return request->path;
}

const char *web_query(const struct web_request *request)
{
	return request->query;
}

/* Header strings of h2o have no end mark; copies live in its pool. */
static const char *pool_text(const struct web_request *request,
			     h2o_iovec_t text)
{
	return h2o_strdup(&request->req->pool, text.base, text.len).base;
}

const char *web_field(const struct web_request *request, const char *name)
{
	ssize_t at;

	if (!request->req)
		return NULL;
	if (!strcmp(name, "host"))
		return pool_text(request, request->req->authority);
	at = h2o_find_header_by_str(&request->req->headers, name, strlen(name),
				    -1);
	if (at < 0)
		return NULL;
	return pool_text(request, request->req->headers.entries[at].value);
}

size_t web_fields_nr(const struct web_request *request)
{
	return request->req ? request->req->headers.size : 0;
}

void web_field_at(const struct web_request *request, size_t i,
		  const char **name, const char **value)
{
	const h2o_header_t *field = &request->req->headers.entries[i];

	*name = pool_text(request, *field->name);
	*value = pool_text(request, field->value);
}

const char *web_body(const struct web_request *request, size_t *len)
{
	*len = request->req ? request->req->entity.len : 0;
	return request->req ? request->req->entity.base : NULL;
}

void web_on_close(struct web_request *request, void (*fn)(void *ctx, bool sent),
		  void *ctx)
{
	request->on_close = fn;
	request->on_close_ctx = ctx;
}

void web_on_taken(struct web_request *request, void (*fn)(void *ctx), void *ctx)
{
	request->on_taken = fn;
	request->on_taken_ctx = ctx;
}

void web_add_field(struct web_request *request, const char *name,
		   const char *value)
{
	h2o_mem_pool_t *pool;
	h2o_iovec_t lower, copy;

	if (!request->req || request->begun)
		return;
	pool = &request->req->pool;
	lower = h2o_strdup(pool, name, strlen(name));
	h2o_strtolower(lower.base, lower.len);
	copy = h2o_strdup(pool, value, strlen(value));
	h2o_add_header_by_str(pool, &request->req->res.headers, lower.base,
			      lower.len, 1, name, copy.base, copy.len);
}

static void begin(struct web_request *request, int status, const char *type)
{
	request->begun = true;
	request->req->res.status = status;
	request->req->res.reason = "";
	if (type)
		h2o_add_header(&request->req->pool, &request->req->res.headers,
			       H2O_TOKEN_CONTENT_TYPE, NULL, type,
			       strlen(type));
}

void web_answer(struct web_request *request, int status, const char *type,
		const void *body, size_t len)
{
	h2o_iovec_t copy;

	if (!request->req || request->begun)
		return;
	begin(request, status, type);
	request->req->res.content_length = len;
	request->ended = true;
	request->whole = true;
	copy = h2o_strdup(&request->req->pool, body ? body : "", len);
	h2o_start_response(request->req, &request->generator);
	h2o_send(request->req, &copy, len ? 1 : 0, H2O_SEND_STATE_FINAL);
}

void web_problem(struct web_request *request, int status, const char *title,
		 const char *fmt, ...)
{
	struct json_object *root = json_object_new_object();
	const char *text;
	char *detail;
	va_list args;

	va_start(args, fmt);
	detail = g_strdup_vprintf(fmt, args);
	va_end(args);
	json_object_object_add(root, "type",
			       json_object_new_string("about:blank"));
	json_object_object_add(root, "title", json_object_new_string(title));
	json_object_object_add(root, "status", json_object_new_int(status));
	json_object_object_add(root, "detail", json_object_new_string(detail));
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	web_answer(request, status, "application/problem+json", text,
		   strlen(text));
	json_object_put(root);
	g_free(detail);
}

void web_stream_begin(struct web_request *request, int status, const char *type)
{
	if (!request->req || request->begun)
		return;
	begin(request, status, type);
	h2o_start_response(request->req, &request->generator);
}

void web_stream_write(struct web_request *request, const void *data, size_t len)
{
	if (!request->req || request->ended)
		return;
	g_string_append_len(request->queue, data, (gssize)len);
	stream_push(request);
}

size_t web_stream_queued(const struct web_request *request)
{
	return request->queue->len + request->in_flight->len;
}

/*
 * HTTP/1.0 marks the end of a body by closing the connection; only a reset
 * tells a broken one from a whole one.
 */
static void break_visibly(struct web_request *request)
{
	struct linger linger = { .l_onoff = 1, .l_linger = 0 };
	h2o_socket_t *sock;

	if (request->req->version >= HTTP_1_1)
		return;
	sock = request->req->conn->callbacks->get_socket(request->req->conn);
	if (sock)
		setsockopt(h2o_socket_get_fd(sock), SOL_SOCKET, SO_LINGER,
			   &linger, sizeof(linger));
}

void web_stream_end(struct web_request *request, bool whole)
{
	if (!request->req || request->ended)
		return;
	if (!whole)
		break_visibly(request);
	if (!request->begun) {
		/* Nothing was sent: a bare end would look like an answer. */
		begin(request, 502, NULL);
		h2o_start_response(request->req, &request->generator);
		whole = false;
	}
	request->ended = true;
	request->whole = whole;
	stream_push(request);
}

void web_cut(struct web_request *request)
{
	h2o_socket_t *sock;

	if (!request->req)
		return;
	sock = request->req->conn->callbacks->get_socket(request->req->conn);
	if (sock)
		shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
	web_stream_end(request, false);
}
