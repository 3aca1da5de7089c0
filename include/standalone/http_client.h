/**
 * HTTP/1.1 client on a libuv loop, with a pool of connections for each server.
 *
 * The result of a call states what is known about its effect: only
 * HTTP_NOT_SENT guarantees that the server received no byte of the request.
 */
#ifndef BRIARPLANK_STANDALONE_HTTP_CLIENT_H
#define BRIARPLANK_STANDALONE_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct http_client;
struct http_call;

enum http_result {
	/** The complete response arrived. */
	HTTP_COMPLETE,
	/** No byte of the request was sent. */
	HTTP_NOT_SENT,
	/** The connection failed before the response's head. */
	HTTP_NO_ANSWER,
	/** The connection failed within the response's body. */
	HTTP_TRUNCATED,
	/** A timeout expired; the server may have processed the request. */
	HTTP_TIMEOUT,
};

/** One header field, as NUL-terminated strings. */
struct http_field {
	const char *name;
	const char *value;
};

/** Request and callbacks of a call. Strings and body are copied. */
struct http_call_options {
	/** Address of the server, as IP:PORT. */
	const char *address;
	const char *method;
	const char *path;
	const struct http_field *fields;
	size_t fields_nr;
	const void *body;
	size_t body_len;
	/** Maximum size of a response that http_fetch() collects, in bytes; 0 for
	 * HTTP_FETCH_MAX_BYTES. */
	size_t collect_bytes_max;
	/** Opens a new connection, as a pooled one may be closed already. */
	bool fresh_connection;
	/** Timeouts in ms; 0 disables one. */
	uint32_t connect_timeout_ms;
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms;
	/** Callbacks of the call; each but on_end may be NULL. */
	void (*on_sent)(void *ctx);
	void (*on_head)(void *ctx, int status, const struct http_field *fields,
			size_t fields_nr);
	void (*on_body)(void *ctx, const char *data, size_t len);
	/** Called once, after the callbacks above, unless cancelled. */
	void (*on_end)(void *ctx, enum http_result end);
	/** Called last, also for a cancelled call. */
	void (*on_free)(void *ctx);
	void *ctx;
};

/** Creates a client with its own connection pools. */
struct http_client *http_client_create(uv_loop_t *loop);

/**
 * Disables all callbacks except on_free, so that their owners may be freed.
 * Calls may still be cancelled.
 */
void http_client_disable_callbacks(struct http_client *client);

/**
 * Cancels all calls and frees the client. Runs the loop meanwhile; a call
 * started during that time never connects and is cancelled before the return.
 */
void http_client_destroy(struct http_client *client);

/**
 * Starts a call; no callback runs before this returns. Drops hop-by-hop and
 * framing fields, such as Host or Transfer-Encoding. A call whose method, path
 * or fields would make the request malformed ends with HTTP_NOT_SENT.
 */
struct http_call *http_call_start(struct http_client *client,
				  const struct http_call_options *options);

/** Cancels a call without on_end and closes its connection. */
void http_call_cancel(struct http_call *call);

/** Pauses or resumes the response's body; data already read may follow. */
void http_call_pause(struct http_call *call, bool pause);

#endif
