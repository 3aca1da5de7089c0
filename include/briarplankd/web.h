/**
 * The HTTP server for callers, operators and metrics, over h2o.
 *
 * A handler answers at once or later, whole or as a stream. After the caller
 * has left, every call on the request is without effect.
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
struct web_request;

struct web_options {
	uv_loop_t *loop;
	/** IP:PORT to listen on; port 0 takes a free one. */
	const char *address;
	size_t max_body_bytes;
	/** Time in which a caller must have sent a whole request, in ms. */
	uint32_t request_timeout_ms;
	/** TLS towards callers; NULL for plain HTTP. Owned by the server. */
	SSL_CTX *tls;
	struct metrics *metrics;
};

typedef void (*web_handler_fn)(void *ctx, struct web_request *request);

/** Listens; NULL with an error message when that fails. */
struct web *web_create(const struct web_options *options);

/** Stops listening; requests that run go on. */
void web_stop_listening(struct web *web);

/** Goes on accepting, but each connection closes after its next answer. */
void web_drain(struct web *web);

/** Changes the time for which a connection may stay idle, in ms. */
void web_set_idle_timeout(struct web *web, uint32_t ms);

/** Tells whether new connections are accepted. */
bool web_listening(const struct web *web);

/** Number of requests without a complete answer. */
unsigned web_running(const struct web *web);

/** Closes all connections and frees the server. */
void web_destroy(struct web *web);

/** Returns the bound IP:PORT. */
const char *web_address(const struct web *web);

/** Handles all paths that start with prefix; the longest prefix wins. */
void web_route(struct web *web, const char *prefix, web_handler_fn fn,
	       void *ctx);

const char *web_method(const struct web_request *request);
/** Path and query as the caller sent them. */
const char *web_target(const struct web_request *request);
/** Path without the query. */
const char *web_path(const struct web_request *request);
/** Query without the question mark; empty when there is none. */
const char *web_query(const struct web_request *request);
/** Returns a field's value by lower-case name, or NULL. */
const char *web_field(const struct web_request *request, const char *name);
size_t web_fields_nr(const struct web_request *request);
void web_field_at(const struct web_request *request, size_t i,
		  const char **name, const char **value);
const char *web_body(const struct web_request *request, size_t *len);

/** Tells the handler's owner once that the caller left or all was sent. */
void web_on_close(struct web_request *request, void (*fn)(void *ctx, bool sent),
		  void *ctx);

/** Adds a field to the answer, before it begins. */
void web_add_field(struct web_request *request, const char *name,
		   const char *value);

/** Sends a whole answer. */
void web_answer(struct web_request *request, int status, const char *type,
		const void *body, size_t len);

/** Sends an RFC 9457 problem. */
__attribute__((format(printf, 4, 5))) void web_problem(
	struct web_request *request, int status, const char *title,
	const char *fmt, ...);

/** Begins a streamed answer; a NULL type leaves the field to web_add_field. */
void web_stream_begin(struct web_request *request, int status,
		      const char *type);

/** Queues a piece of the body; it is copied. */
void web_stream_write(struct web_request *request, const void *data,
		      size_t len);

/** Bytes queued and not yet taken by the connection. */
size_t web_stream_queued(const struct web_request *request);

/** Asks to be told each time the queue has been taken. */
void web_on_taken(struct web_request *request, void (*fn)(void *ctx),
		  void *ctx);

/** Ends the stream, whole or visibly broken. */
void web_stream_end(struct web_request *request, bool whole);

/** Tells whether the answer has begun. */
bool web_begun(const struct web_request *request);

/** Closes the caller's connection without an answer, or in the midst of one. */
void web_cut(struct web_request *request);

#endif
