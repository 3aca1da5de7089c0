#include <stdarg.h>
#include <string.h>
#include <sys/socket.h>

#include "briarplankd/web_budget.h"
#include "web_private.h"
#include "web_problem.h"

/* HTTP/1.1 as represented by h2o. */
#define HTTP_1_1 0x101

/*
 * A guard is allocated in the pool of h2o's request, so that its destructor
 * runs when the request is freed.
 */
struct request_guard {
	struct web_request *request;
};

static void request_free(struct web_request *request)
{
	list_remove(&request->link);
	request->web->running--;
	if (request->conn) {
		request->conn->requests_nr--;
		if (request->conn->request == request)
			request->conn->request = NULL;
	}
	g_string_free(request->queue, TRUE);
	g_string_free(request->in_flight, TRUE);
	g_free(request->method);
	g_free(request->target);
	g_free(request->path);
	g_free(request->query);
	g_free(request);
}

static void on_guard_dispose(void *data)
{
	struct request_guard *guard = data;
	struct web_request *request = guard->request;
	bool sent = request->ended && request->complete && !request->sending;

	request->req = NULL;
	if (!sent)
		counter_add(request->web->callers_left, 1);
	if (request->on_close)
		request->on_close(request->on_close_ctx, sent);
	request_free(request);
}

/* Shuts the connection down; data that was already sent still arrives. */
static void shutdown_socket(struct web_request *request)
{
	h2o_socket_t *sock =
		request->req->conn->callbacks->get_socket(request->req->conn);

	if (sock)
		shutdown(h2o_socket_get_fd(sock), SHUT_RDWR);
}

static void stream_push(struct web_request *request)
{
	h2o_send_state_t state = H2O_SEND_STATE_IN_PROGRESS;
	h2o_iovec_t buf;
	GString *flushed;

	if (!request->req || request->sending)
		return;
	if (!request->queue->len && !request->ended)
		return;
	flushed = request->in_flight;
	request->in_flight = request->queue;
	request->queue = flushed;
	g_string_truncate(request->queue, 0);
	if (request->ended && request->complete)
		state = H2O_SEND_STATE_FINAL;
	else if (request->ended && !request->in_flight->len)
		state = H2O_SEND_STATE_ERROR;
	/*
	 * h2o ends a broken body with bytes that are not a valid chunk, which a
	 * caller can't tell from a corrupt answer, so the socket is shut down
	 * first. This is not done for TLS, which must be closed by an alert of
	 * its own, nor for HTTP/1.0, where only a reset marks a broken body.
	 */
	if (state == H2O_SEND_STATE_ERROR && !request->web->accept.ssl_ctx &&
	    request->req->version >= HTTP_1_1)
		shutdown_socket(request);
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
	if (request->on_flushed)
		request->on_flushed(request->on_flushed_ctx);
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

	request->target = g_strndup(req->input.path.base, req->input.path.len);
	if (query_at == SIZE_MAX) {
		request->path = g_strndup(req->path.base, req->path.len);
		request->query = g_strdup("");
		return;
	}
	request->path = g_strndup(req->path.base, query_at);
	request->query = g_strndup(req->path.base + query_at + 1,
				   req->path.len - query_at - 1);
}

struct web_request *web_request_create(struct web *web, h2o_req_t *req)
{
	struct web_request *request = g_new0(struct web_request, 1);
	struct request_guard *guard;

	request->web = web;
	request->req = req;
	request->created_ms = uv_now(web->loop);
	request->generator.proceed = on_proceed;
	request->generator.stop = on_stop;
	request->method = g_strndup(req->method.base, req->method.len);
	split_path(request, req);
	request->queue = g_string_new(NULL);
	request->in_flight = g_string_new(NULL);
	list_append(&web->requests, &request->link);
	web->running++;
	request->conn = g_hash_table_lookup(
		web->by_socket, req->conn->callbacks->get_socket(req->conn));
	if (request->conn) {
		request->conn->request = request;
		request->conn->requests_nr++;
	}
	guard = h2o_mem_alloc_shared(&req->pool, sizeof(*guard),
				     on_guard_dispose);
	guard->request = request;
	return request;
}

const char *web_method(const struct web_request *request)
{
	return request->method;
}

const char *web_target(const struct web_request *request)
{
	return request->target;
}

bool web_answer_started(const struct web_request *request)
{
	return request->started;
}

const char *web_path(const struct web_request *request)
{
	return request->path;
}

const char *web_query(const struct web_request *request)
{
	return request->query;
}

/* Makes a NUL-terminated copy of a string in the request's pool. */
static const char *pool_text(const struct web_request *request,
			     h2o_iovec_t text)
{
	return h2o_strdup(&request->req->pool, text.base, text.len).base;
}

const char *web_header(const struct web_request *request, const char *name)
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

size_t web_headers_nr(const struct web_request *request)
{
	return request->req ? request->req->headers.size : 0;
}

void web_header_at(const struct web_request *request, size_t i,
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
	web_poll_callers(request->web);
}

void web_on_flushed(struct web_request *request, void (*fn)(void *ctx),
		    void *ctx)
{
	request->on_flushed = fn;
	request->on_flushed_ctx = ctx;
}

bool web_reserve(struct web_request *request, size_t bytes)
{
	struct web_budget *budget = request->web->budget;

	if (budget && !web_budget_reserve(budget, bytes))
		return false;
	request->held += bytes;
	return true;
}

void web_add_header(struct web_request *request, const char *name,
		    const char *value)
{
	h2o_mem_pool_t *pool;
	h2o_iovec_t lower, copy;

	if (!request->req || request->started)
		return;
	pool = &request->req->pool;
	lower = h2o_strdup(pool, name, strlen(name));
	h2o_strtolower(lower.base, lower.len);
	copy = h2o_strdup(pool, value, strlen(value));
	h2o_add_header_by_str(pool, &request->req->res.headers, lower.base,
			      lower.len, 1, name, copy.base, copy.len);
}

static void set_head(struct web_request *request, int status, const char *type)
{
	request->started = true;
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

	if (!request->req || request->started)
		return;
	set_head(request, status, type);
	request->req->res.content_length = len;
	request->ended = true;
	request->complete = true;
	request->answer_len = len;
	request->held = 0;
	copy = h2o_strdup(&request->req->pool, body ? body : "", len);
	h2o_start_response(request->req, &request->generator);
	h2o_send(request->req, &copy, len ? 1 : 0, H2O_SEND_STATE_FINAL);
}

void web_problem(struct web_request *request, int status, const char *title,
		 const char *fmt, ...)
{
	char *detail, *text;
	va_list args;

	va_start(args, fmt);
	detail = g_strdup_vprintf(fmt, args);
	va_end(args);
	text = web_problem_json(status, title, detail);
	web_answer(request, status, WEB_PROBLEM_TYPE, text, strlen(text));
	g_free(text);
	g_free(detail);
}

/*
 * Sends the headers, either before the first piece of the body or before the
 * connection is broken off.
 */
static void send_head(struct web_request *request, int status, const char *type)
{
	set_head(request, status, type);
	h2o_start_response(request->req, &request->generator);
	request->sending = true;
	h2o_send(request->req, NULL, 0, H2O_SEND_STATE_IN_PROGRESS);
}

void web_stream_begin(struct web_request *request, int status, const char *type)
{
	if (!request->req || request->started)
		return;
	send_head(request, status, type);
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

size_t web_queued(const struct web *web)
{
	size_t queued = 0;
	struct list *pos;

	list_for_each (pos, &web->requests)
		queued += web_stream_queued(
			list_entry(pos, struct web_request, link));
	return queued;
}

/*
 * Makes an HTTP/1.0 connection end with a reset. Its body is ended by closing
 * the connection, so only a reset tells a broken body from a complete one.
 */
static void reset_on_close(struct web_request *request)
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

void web_stream_end(struct web_request *request, bool complete)
{
	if (!request->req || request->ended)
		return;
	if (!complete)
		reset_on_close(request);
	if (!request->started) {
		/*
		 * Without an error status, the caller would take the broken
		 * answer for a complete one.
		 */
		request->ended = true;
		send_head(request, 502, NULL);
		return;
	}
	request->ended = true;
	request->complete = complete;
	stream_push(request);
}

void web_abort(struct web_request *request)
{
	if (!request->req)
		return;
	shutdown_socket(request);
	web_stream_end(request, false);
}
