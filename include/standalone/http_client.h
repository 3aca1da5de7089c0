/**
 * HTTP/1.1 calls over h2o's client on the process's uv loop.
 *
 * The end of a call says what is known of its fate: only HTTP_NOT_SENT proves
 * that the other side saw no byte of the request.
 */
#ifndef BRIARPLANK_STANDALONE_HTTP_CLIENT_H
#define BRIARPLANK_STANDALONE_HTTP_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

struct http_client;
struct http_call;

enum http_end {
	/** The whole answer arrived. */
	HTTP_WHOLE,
	/** No byte of the request left this process. */
	HTTP_NOT_SENT,
	/** The connection broke before the head of the answer. */
	HTTP_NO_ANSWER,
	/** The connection broke in the answer's body. */
	HTTP_BROKEN,
	/** A time limit passed; the request may have been carried out. */
	HTTP_TIMEOUT,
};

/** One header field; both strings end with a zero byte. */
struct http_field {
	const char *name;
	const char *value;
};

/** What a call sends and whom it tells. Strings and body are copied. */
struct http_call_options {
	/** IP:PORT. */
	const char *address;
	const char *method;
	const char *path;
	const struct http_field *fields;
	size_t fields_nr;
	const void *body;
	size_t body_len;
	/** Takes no pooled connection, so that a stale one can't eat it. */
	bool fresh_connection;
	/** Limits in ms; 0 means none. */
	uint32_t connect_timeout_ms;
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms;
	/** Any callback but on_end may be NULL. */
	void (*on_sent)(void *ctx);
	void (*on_head)(void *ctx, int status, const struct http_field *fields,
			size_t fields_nr);
	void (*on_body)(void *ctx, const char *data, size_t len);
	/** Called once, last, unless the call was cancelled. */
	void (*on_end)(void *ctx, enum http_end end);
	/** Called after all else, also when the call was cancelled. */
	void (*on_free)(void *ctx);
	void *ctx;
};

/** Makes a client; pooled connections live until it is destroyed. */
struct http_client *http_client_create(uv_loop_t *loop);

/**
 * No callback but on_free comes from now on, so that their owners may be freed.
 * Calls may still be cancelled.
 */
void http_client_silence(struct http_client *client);

/**
 * Cancels what runs and frees the client. Runs the loop meanwhile: a call that
 * is started then never connects, and is cancelled before the return.
 */
void http_client_destroy(struct http_client *client);

/**
 * Starts a call; no callback comes before this returns. Fields that belong to
 * one connection (such as Host or Transfer-Encoding) are left out. A method,
 * path or field that would break the request's form ends it as HTTP_NOT_SENT.
 */
struct http_call *http_call_start(struct http_client *client,
				  const struct http_call_options *options);

/** Ends a call without on_end; the connection is closed. */
void http_call_cancel(struct http_call *call);

/** Pauses or goes on reading the answer's body; a piece may still come. */
void http_call_pause(struct http_call *call, bool pause);

#endif
