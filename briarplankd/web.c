#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <string.h>
#include <sys/socket.h>

#include <glib.h>
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>

#include "briarplankd/web.h"
#include "common/error.h"
#include "common/list.h"
#include "common/log.h"
#include "briarplankd/web_budget.h"
#include "web_private.h"
#include "web_problem.h"

#define PART "web"

/* Retry-After of a request for which there is no memory, in s. */
#define FULL_RETRY_AFTER_S "1.000"

/* Interval of checks for callers that disconnected early, in ms. */
#define CALLER_CHECK_INTERVAL_MS 50
#define LISTEN_BACKLOG 1024
/* Maximum loop iterations on shutdown in which aborted connections close. */
#define CLOSE_ITERATIONS 100
/*
 * Number of iterations in a row during shutdown that must have found a
 * connection stale before it is closed.
 */
#define CLOSE_STALE_ITERATIONS 10
/* Interval of checks for stale connections, in ms. */
#define STALE_CHECK_INTERVAL_MS 1000
/*
 * Number of earlier checks in a row that must have found a connection stale
 * before a check closes it.
 */
#define STALE_CHECKS 1

struct route {
	struct list link;
	char *prefix;
	web_handler_fn fn;
	void *ctx;
};

struct route_handler {
	h2o_handler_t super;
	struct web *web;
};

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
	struct web_request *request = web_request_create(web, req);
	struct route *route = route_find(web, request->path);

	counter_add(web->requests_total, 1);
	if (web->budget && req->entity.len &&
	    !web_budget_admits(web->budget, req->entity.len)) {
		web_add_header(request, "Retry-After", FULL_RETRY_AFTER_S);
		web_problem(request, 503, "Not run",
			    "no memory for the request now");
		return 0;
	}
	if (route)
		route->fn(route->ctx, request);
	else
		web_problem(request, 404, "Not found", "no resource at %s",
			    request->path);
	return 0;
}

/*
 * A caller that sent a FIN or a reset before its answer has disconnected.
 * Unread bytes may precede the FIN: a pipelined request, or the end of a TLS
 * session.
 */
static bool caller_disconnected(h2o_req_t *req)
{
	h2o_socket_t *sock = req->conn->callbacks->get_socket(req->conn);
	struct pollfd fd = { .events = POLLRDHUP };

	if (!sock || req->version >= 0x200)
		return false;
	fd.fd = h2o_socket_get_fd(sock);
	return poll(&fd, 1, 0) > 0;
}

static void on_caller_timer(uv_timer_t *timer)
{
	struct web *web = timer->data;
	struct list *pos, *tmp;

	if (list_empty(&web->requests))
		uv_timer_stop(timer);
	list_for_each_safe (pos, tmp, &web->requests) {
		struct web_request *request =
			list_entry(pos, struct web_request, link);

		if (!request->on_close || !request->req || request->ended)
			continue;
		if (!caller_disconnected(request->req))
			continue;
		request->on_close(request->on_close_ctx, false);
		request->on_close = NULL;
		web_stream_end(request, false);
	}
}

void web_poll_callers(struct web *web)
{
	if (!uv_is_active((uv_handle_t *)&web->caller_timer))
		uv_timer_start(&web->caller_timer, on_caller_timer,
			       CALLER_CHECK_INTERVAL_MS,
			       CALLER_CHECK_INTERVAL_MS);
}

static void accept_connection(struct web *web);

static void on_connection_closed(uv_handle_t *handle)
{
	struct web_connection *conn =
		list_entry(handle, struct web_connection, tcp);
	struct web *web = conn->web;
	struct list *pos;

	/* h2o disposes of a request before its connection, or just after. */
	for (pos = web->requests.next;
	     conn->requests_nr && pos != &web->requests; pos = pos->next) {
		struct web_request *request =
			list_entry(pos, struct web_request, link);

		if (request->conn == conn)
			request->conn = NULL;
	}
	g_hash_table_remove(web->by_socket, conn->sock);
	list_remove(&conn->link);
	web->connections_nr--;
	g_free(conn);
	if (web->accept_waits && web->listening)
		accept_connection(web);
}

bool web_connection_look(struct web_connection *conn, uint64_t now_ms)
{
	if (conn->shed || !conn->sock ||
	    uv_is_closing((const uv_handle_t *)&conn->tcp))
		return false;
	if (conn->sock->bytes_read != conn->received) {
		conn->received = conn->sock->bytes_read;
		conn->received_ms = now_ms;
	}
	if (!conn->sock->input->size)
		conn->holds_ms = 0;
	else if (!conn->holds_ms)
		conn->holds_ms = now_ms;
	return true;
}

void web_connection_shed(struct web_connection *conn)
{
	uv_os_fd_t fd;

	conn->shed = true;
	if (!uv_fileno((const uv_handle_t *)&conn->tcp, &fd))
		shutdown(fd, SHUT_RDWR);
}

/* Tells which of two connections whose request hasn't arrived in full is closed first: one
 * that never sent anything, then the one that has been idle for longest, then the one whose
 * request began first. */
static bool closes_before(const struct web_connection *a,
			  const struct web_connection *b)
{
	if (!a->holds_ms != !b->holds_ms)
		return !a->holds_ms;
	if (a->holds_ms)
		return a->holds_ms < b->holds_ms;
	if (!a->sock->bytes_read != !b->sock->bytes_read)
		return !a->sock->bytes_read;
	return a->received_ms < b->received_ms;
}

/* Closes a connection without a request in progress to make room for a new one; returns
 * whether there was one. */
static bool make_room(struct web *web)
{
	struct web_connection *first = NULL;
	uint64_t now = uv_now(web->loop);
	struct list *pos;

	list_for_each (pos, &web->connections) {
		struct web_connection *conn =
			list_entry(pos, struct web_connection, link);

		if (web_connection_look(conn, now) && !conn->requests_nr &&
		    (!first || closes_before(conn, first)))
			first = conn;
	}
	if (first)
		web_connection_shed(first);
	return first != NULL;
}

/* Closes connections that have stopped within a request for longer than callers may be
 * idle. */
static void close_stalled(struct web *web)
{
	uint64_t now = uv_now(web->loop);
	struct list *pos;

	list_for_each (pos, &web->connections) {
		struct web_connection *conn =
			list_entry(pos, struct web_connection, link);

		if (web_connection_look(conn, now) && conn->holds_ms &&
		    !conn->requests_nr &&
		    now - conn->received_ms >=
			    web->context.http1.req_timeout.timeout)
			web_connection_shed(conn);
	}
}

/* Accepts the connection that libuv has for the server, or closes it at once. */
static void accept_connection(struct web *web)
{
	struct web_connection *conn = g_new0(struct web_connection, 1);
	bool full = web->connections_max &&
		    web->connections_nr >= web->connections_max;

	web->accept_waits = false;
	conn->web = web;
	conn->accepted_ms = uv_now(web->loop);
	conn->received_ms = conn->accepted_ms;
	list_append(&web->connections, &conn->link);
	web->connections_nr++;
	uv_tcp_init(web->loop, &conn->tcp);
	if (uv_accept((uv_stream_t *)&web->listener,
		      (uv_stream_t *)&conn->tcp) != 0 ||
	    full) {
		uv_close((uv_handle_t *)&conn->tcp, on_connection_closed);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->sock = h2o_uv_socket_create((uv_stream_t *)&conn->tcp,
					  on_connection_closed);
	g_hash_table_insert(web->by_socket, conn->sock, conn);
	h2o_accept(&web->accept, conn->sock);
}

/* libuv accepts no further connection until this one has been taken over. */
static void on_connection(uv_stream_t *listener, int status)
{
	struct web *web = listener->data;

	if (status != 0)
		return;
	if (web->connections_max &&
	    web->connections_nr >= web->connections_max && make_room(web))
		web->accept_waits = true;
	else
		accept_connection(web);
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
	int receive_bytes = WEB_RECEIVE_BYTES;
	struct sockaddr_storage addr;
	int rc;

	if (!parse_address(address, &addr)) {
		error_set("%s is not a valid address", address);
		return false;
	}
	uv_tcp_init(web->loop, &web->listener);
	web->listener.data = web;
	rc = uv_tcp_bind(&web->listener, (struct sockaddr *)&addr, 0);
	/* Accepted connections inherit it. */
	if (!rc && web->budget)
		uv_recv_buffer_size((uv_handle_t *)&web->listener,
				    &receive_bytes);
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

static void init_h2o(struct web *web, const struct web_options *options)
{
	h2o_hostconf_t *host;
	h2o_pathconf_t *path;
	struct route_handler *handler;

	h2o_config_init(&web->config);
	web->config.max_request_entity_size = options->max_body_bytes;
	web->config.server_name = h2o_iovec_init(H2O_STRLIT("briarplank"));
	web->config.http1.req_timeout = options->request_timeout_ms;
	/* What HTTP/2 streams hold isn't counted, so that plain HTTP stays HTTP/1.1. */
	web->config.http1.upgrade_to_http2 = options->tls != NULL;
	host = h2o_config_register_host(
		&web->config, h2o_iovec_init(H2O_STRLIT("default")), 65535);
	path = h2o_config_register_path(host, "/", 0);
	web_problem_install(path);
	web_problem_install(&host->fallback_path);
	handler = (struct route_handler *)h2o_create_handler(path,
							     sizeof(*handler));
	handler->super.on_req = on_request;
	handler->web = web;
	h2o_context_init(&web->context, web->loop, &web->config);
	web->accept.ctx = &web->context;
	web->accept.hosts = web->config.hosts;
	web->accept.ssl_ctx = options->tls;
}

/*
 * h2o closes a connection as soon as its peer disconnects, but occasionally
 * fails to close one over TLS: its handle stays open, neither readable nor
 * writable.
 */
static bool is_stale(const struct web_connection *conn)
{
	const uv_stream_t *stream = (const uv_stream_t *)&conn->tcp;

	return !uv_is_closing((const uv_handle_t *)stream) &&
	       !uv_is_active((const uv_handle_t *)stream) &&
	       !uv_is_readable(stream) && !uv_is_writable(stream);
}

/* Closes connections that are stale now and were in "checks" checks before. */
static void close_stale(struct web *web, unsigned checks)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &web->connections) {
		struct web_connection *conn =
			list_entry(pos, struct web_connection, link);

		if (!is_stale(conn))
			conn->stale_checks = 0;
		else if (conn->stale_checks++ >= checks)
			h2o_socket_close(conn->sock);
	}
}

static void on_stale_timer(uv_timer_t *timer)
{
	close_stale(timer->data, STALE_CHECKS);
	close_stalled(timer->data);
}

struct web *web_create(const struct web_options *options)
{
	struct web *web = g_new0(struct web, 1);

	/* A write to a closed connection must fail, not kill the process. */
	signal(SIGPIPE, SIG_IGN);
	web->loop = options->loop;
	list_init(&web->routes);
	list_init(&web->requests);
	list_init(&web->connections);
	web->by_socket = g_hash_table_new(NULL, NULL);
	web->connections_max = options->connections_max;
	if (options->budget)
		web_budget_add(options->budget, web);
	web->requests_total = metrics_counter(
		options->metrics, "briarplank_http_requests_total", "");
	web->callers_left = metrics_counter(
		options->metrics, "briarplank_http_callers_left_total", "");
	init_h2o(web, options);
	uv_timer_init(web->loop, &web->caller_timer);
	web->caller_timer.data = web;
	uv_timer_init(web->loop, &web->stale_timer);
	web->stale_timer.data = web;
	uv_timer_start(&web->stale_timer, on_stale_timer,
		       STALE_CHECK_INTERVAL_MS, STALE_CHECK_INTERVAL_MS);
	if (listen_on(web, options->address))
		return web;
	web_destroy(web);
	return NULL;
}

void web_drain(struct web *web)
{
	h2o_context_request_shutdown(&web->context);
}

void web_stop_listening(struct web *web)
{
	if (!web->listening)
		return;
	web->listening = false;
	uv_close((uv_handle_t *)&web->listener, NULL);
	web_drain(web);
}

/* Tells whether bytes of a request have arrived, read or not. */
static bool has_input(const struct web_connection *conn, uv_os_fd_t fd)
{
	struct pollfd pollfd = { .fd = fd, .events = POLLIN };

	return conn->sock->input->size || poll(&pollfd, 1, 0) > 0;
}

void web_close_idle(struct web *web, uint64_t age_ms)
{
	struct list *pos;
	uv_os_fd_t fd;

	list_for_each (pos, &web->connections) {
		struct web_connection *conn =
			list_entry(pos, struct web_connection, link);

		if (uv_now(web->loop) - conn->accepted_ms < age_ms ||
		    uv_is_closing((const uv_handle_t *)&conn->tcp) ||
		    uv_fileno((const uv_handle_t *)&conn->tcp, &fd) ||
		    has_input(conn, fd))
			continue;
		/* h2o frees the connection when it reads the end. */
		shutdown(fd, SHUT_RDWR);
	}
}

void web_set_idle_timeout(struct web *web, uint32_t ms)
{
	web->context.http1.req_timeout.timeout = ms;
}

bool web_listening(const struct web *web)
{
	return web->listening;
}

unsigned web_running_requests(const struct web *web)
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

/* Shuts down connections as if by their peers, so that h2o frees them. */
static void abort_connections(struct web *web)
{
	unsigned iterations;
	struct list *pos, *tmp;
	uv_os_fd_t fd;

	/*
	 * While h2o sends an answer it doesn't read from the connection, and so
	 * doesn't notice the shutdown.
	 */
	list_for_each_safe (pos, tmp, &web->requests)
		web_abort(list_entry(pos, struct web_request, link));
	list_for_each (pos, &web->connections) {
		struct web_connection *conn =
			list_entry(pos, struct web_connection, link);

		if (!uv_fileno((uv_handle_t *)&conn->tcp, &fd))
			shutdown(fd, SHUT_RDWR);
	}
	for (iterations = 0; iterations < CLOSE_ITERATIONS; iterations++) {
		if (list_empty(&web->connections))
			return;
		uv_run(web->loop, UV_RUN_NOWAIT);
		close_stale(web, CLOSE_STALE_ITERATIONS);
	}
	log_warn(PART, "some connections did not close at shutdown");
}

void web_destroy(struct web *web)
{
	web_stop_listening(web);
	if (web->budget)
		list_remove(&web->budget_link);
	abort_connections(web);
	uv_timer_stop(&web->caller_timer);
	uv_close((uv_handle_t *)&web->caller_timer, NULL);
	uv_timer_stop(&web->stale_timer);
	uv_close((uv_handle_t *)&web->stale_timer, NULL);
	uv_run(web->loop, UV_RUN_NOWAIT);
	h2o_timeout_unlink(&web->context.http2._graceful_shutdown_timeout);
	h2o_context_dispose(&web->context);
	h2o_config_dispose(&web->config);
	if (web->accept.ssl_ctx)
		SSL_CTX_free(web->accept.ssl_ctx);
	uv_run(web->loop, UV_RUN_NOWAIT);
	routes_free(web);
	g_hash_table_destroy(web->by_socket);
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
