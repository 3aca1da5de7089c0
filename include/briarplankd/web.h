/**
 * HTTP server for callers, operators and metrics, based on h2o.
 *
 * A handler may answer immediately or later, in one piece or as a stream. Once
 * the caller has disconnected, calls on the request have no effect.
 */
#ifndef BRIARPLANKD_WEB_H
#define BRIARPLANKD_WEB_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>
#include <openssl/ssl.h>

#include "common/metrics.h"

struct web;
struct web_budget;
struct web_request;

struct web_options {
	uv_loop_t *loop;
	/** Address to listen on as IP:PORT; port 0 selects a free one. */
	const char *address;
	size_t max_body_bytes;
	/** Timeout for receiving a complete request, in ms. */
	uint32_t request_timeout_ms;
	/** TLS context; NULL for plain HTTP. The server takes ownership. */
	SSL_CTX *tls;
	struct metrics *metrics;
	/** Maximum number of connections, 0 for no limit: beyond it, the one that has been
	 * idle for longest is closed, or else the new one. */
	unsigned connections_max;
	/** Bound over the memory that callers take up; NULL for none. */
	struct web_budget *budget;
};

typedef void (*web_handler_fn)(void *ctx, struct web_request *request);

/** Starts listening; returns NULL and sets the error on failure. */
struct web *web_create(const struct web_options *options);

/** Stops listening; running requests continue. */
void web_stop_listening(struct web *web);

/** Keeps accepting connections, but closes each after its next answer. */
void web_drain(struct web *web);

/**
 * Closes the connections of plain HTTP that were accepted age_ms ago or earlier and
 * on which no request is in progress or has begun to arrive. Callers may repeat a
 * request that crosses the close, as it was not read.
 */
void web_close_idle(struct web *web, uint64_t age_ms);

/** Sets the idle timeout of connections, in ms. */
void web_set_idle_timeout(struct web *web, uint32_t ms);

/** Returns true while new connections are accepted. */
bool web_listening(const struct web *web);

/** Returns the number of requests without a complete answer. */
unsigned web_running_requests(const struct web *web);

/** Closes all connections and frees the server. */
void web_destroy(struct web *web);

/** Returns the bound IP:PORT. */
const char *web_address(const struct web *web);

/** Sets the handler for paths with this prefix; the longest prefix wins. */
void web_route(struct web *web, const char *prefix, web_handler_fn fn,
	       void *ctx);

const char *web_method(const struct web_request *request);
/** Returns path and query as received. */
const char *web_target(const struct web_request *request);
/** Returns the path without the query. */
const char *web_path(const struct web_request *request);
/** Returns the query without the question mark; may be empty. */
const char *web_query(const struct web_request *request);
/** Returns the value of a header by its lower-case name, or NULL. */
const char *web_header(const struct web_request *request, const char *name);
size_t web_headers_nr(const struct web_request *request);
void web_header_at(const struct web_request *request, size_t i,
		   const char **name, const char **value);
const char *web_body(const struct web_request *request, size_t *len);

/** Sets a function called once, when all is sent or the caller disconnects. */
void web_on_close(struct web_request *request, void (*fn)(void *ctx, bool sent),
		  void *ctx);

/**
 * Reserves memory for what a handler holds for a request beyond its body, until its answer
 * is sent. Returns false if there is none, see web_budget.h.
 */
bool web_reserve(struct web_request *request, size_t bytes);

/** Adds a header to an answer that has not begun. */
void web_add_header(struct web_request *request, const char *name,
		    const char *value);

/** Sends a complete answer. */
void web_answer(struct web_request *request, int status, const char *type,
		const void *body, size_t len);

/** Sends an RFC 9457 problem as the answer. */
__attribute__((format(printf, 4, 5))) void web_problem(
	struct web_request *request, int status, const char *title,
	const char *fmt, ...);

/**
 * Begins a streamed answer. With a NULL type the caller of this function sets
 * the content type with web_add_header().
 */
void web_stream_begin(struct web_request *request, int status,
		      const char *type);

/** Queues a copy of a piece of the body. */
void web_stream_write(struct web_request *request, const void *data,
		      size_t len);

/** Returns the bytes queued that the connection has not yet accepted. */
size_t web_stream_queued(const struct web_request *request);

/** Returns that of all streams, also of those that have ended. */
size_t web_queued(const struct web *web);

/**
 * Sets a function called each time the connection has accepted all queued
 * bytes.
 */
void web_on_flushed(struct web_request *request, void (*fn)(void *ctx),
		    void *ctx);

/**
 * Ends the stream. If it is not complete, the connection is broken so that the
 * caller notices.
 */
void web_stream_end(struct web_request *request, bool complete);

/** Returns true if the answer has begun. */
bool web_answer_started(const struct web_request *request);

/** Closes the caller's connection without completing the answer. */
void web_abort(struct web_request *request);

#endif
