/**
 * A backend server beside an agent, as a table of functions: a model engine
 * or a plain service.
 */
#ifndef BRIARPLANK_STANDALONE_BACKEND_H
#define BRIARPLANK_STANDALONE_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "standalone/http_client.h"

struct backend;
struct backend_call;

/**
 * One call to the server. Strings and body are copied. An engine's call_id
 * must be of letters, digits and "-._~", as it becomes a part of a path.
 */
struct backend_call_options {
	/** Names the call towards engines, for cancel and resume. */
	const char *call_id;
	const char *method;
	const char *path;
	const struct http_field *fields;
	size_t fields_nr;
	const void *body;
	size_t body_len;
	/** Idempotent calls may use a pooled connection. */
	bool idempotent;
	/** Tokens already held from a stream of the same call_id. */
	uint32_t resume_from;
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms;
	void (*on_sent)(void *ctx);
	void (*on_head)(void *ctx, int status, const struct http_field *fields,
			size_t fields_nr);
	void (*on_body)(void *ctx, const char *data, size_t len);
	void (*on_end)(void *ctx, enum http_end end);
	void *ctx;
};

/** Load as the server reports it, which lags. */
struct backend_load {
	uint32_t running;
	uint32_t waiting;
	uint64_t measured_ms;
};

typedef void (*backend_load_fn)(void *ctx, bool ok,
				const struct backend_load *load);

/** An order to the server: load or unload, or change role. */
struct backend_order {
	const char *action;
	const char *model;
	const char *version;
	const char *adapter;
	/** Role to change to. Members that don't matter may be NULL. */
	const char *role;
	uint64_t fencing_number;
};

enum backend_order_status {
	BACKEND_ORDER_DONE,
	/** The server refused it: an order with a newer number came before. */
	BACKEND_ORDER_FENCED,
	/** The server refused it for another reason; it had no effect. */
	BACKEND_ORDER_REFUSED,
	/** The answer was lost. */
	BACKEND_ORDER_UNKNOWN,
};

typedef void (*backend_order_fn)(void *ctx, enum backend_order_status status,
				 const char *message);

/** What the server says it holds; valid during the callback. */
struct backend_held {
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	uint64_t fencing_number;
	bool busy;
};

typedef void (*backend_held_fn)(void *ctx, bool ok,
				const struct backend_held *held);

struct backend_ops {
	struct backend_call *(*call)(
		struct backend *backend,
		const struct backend_call_options *options);
	/** Ends a call without on_end; an engine is told to stop the stream. */
	void (*cancel)(struct backend_call *call);
	void (*pause)(struct backend_call *call, bool pause);
	void (*load)(struct backend *backend, backend_load_fn done, void *ctx);
	void (*order)(struct backend *backend,
		      const struct backend_order *order, backend_order_fn done,
		      void *ctx);
	void (*held)(struct backend *backend, backend_held_fn done, void *ctx);
	void (*destroy)(struct backend *backend);
	/**
	 * Turns a request's body into one that asks for a stream; NULL when it
	 * asks for one already or can't. May be absent.
	 */
	char *(*as_stream)(const char *body, size_t len);
	/**
	 * Makes the whole answer of the stream of a call; NULL when the stream
	 * isn't whole. Present with as_stream.
	 */
	char *(*as_whole)(const char *call_id, const char *events);
};

/** Base of each adapter. */
struct backend {
	const struct backend_ops *ops;
	/** Streams of this server can be cancelled and resumed. */
	bool resumable;
};

/** Makes the adapter for a model engine at IP:PORT. */
struct backend *engine_http_create(struct http_client *http,
				   const char *address);

/** Makes the adapter for a plain service at IP:PORT. */
struct backend *plain_http_create(struct http_client *http,
				  const char *address);

#endif
