/**
 * Interface to the backend server next to an agent: a model engine or a plain
 * service.
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
 * Options of one call to the server. Strings and body are copied. An engine's
 * call_id may hold only letters, digits and "-._~", as it becomes part of a
 * path.
 */
struct backend_call_options {
	/** Identifies the call to an engine for cancel and resume, or NULL. */
	const char *call_id;
	const char *method;
	const char *path;
	const struct http_field *fields;
	size_t fields_nr;
	const void *body;
	size_t body_len;
	/** Set if the call is idempotent; it may use a pooled connection. */
	bool idempotent;
	/** Number of tokens already received from a stream of this call_id. */
	uint32_t resume_from;
	uint32_t first_byte_timeout_ms;
	uint32_t idle_timeout_ms;
	void (*on_sent)(void *ctx);
	void (*on_head)(void *ctx, int status, const struct http_field *fields,
			size_t fields_nr);
	void (*on_body)(void *ctx, const char *data, size_t len);
	void (*on_end)(void *ctx, enum http_result end);
	void *ctx;
};

/** Load as reported by the server; it may be stale. */
struct backend_load {
	uint32_t running;
	uint32_t waiting;
	uint64_t measured_ms;
};

typedef void (*backend_load_fn)(void *ctx, bool ok,
				const struct backend_load *load);

/** An order to the server: load or unload a model, or change its role. */
struct backend_order {
	const char *action;
	const char *model;
	const char *version;
	const char *adapter;
	/** Role to change to. Strings that the action does not use are NULL. */
	const char *role;
	uint64_t fencing_number;
};

enum backend_order_status {
	BACKEND_ORDER_DONE,
	/** Rejected: the server has seen a higher fencing number. */
	BACKEND_ORDER_FENCED,
	/** Rejected for another reason; the order had no effect. */
	BACKEND_ORDER_REFUSED,
	/** The response was lost; the order may have taken effect. */
	BACKEND_ORDER_UNKNOWN,
};

typedef void (*backend_order_fn)(void *ctx, enum backend_order_status status,
				 const char *message);

/** Model and role reported by the server; valid during the callback. */
struct backend_model_state {
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	uint64_t fencing_number;
	bool busy;
};

typedef void (*backend_model_state_fn)(void *ctx, bool ok,
				       const struct backend_model_state *held);

struct backend_ops {
	struct backend_call *(*call)(
		struct backend *backend,
		const struct backend_call_options *options);
	/** Cancels a call without on_end; an engine stops the stream. */
	void (*cancel)(struct backend_call *call);
	void (*pause)(struct backend_call *call, bool pause);
	void (*load)(struct backend *backend, backend_load_fn done, void *ctx);
	void (*order)(struct backend *backend,
		      const struct backend_order *order, backend_order_fn done,
		      void *ctx);
	void (*held)(struct backend *backend, backend_model_state_fn done,
		     void *ctx);
	void (*destroy)(struct backend *backend);
	/**
	 * Returns a request body changed to ask for a stream, or NULL when it
	 * already sets "stream" or is not a JSON object. An adapter without
	 * this operation sets the pointer to NULL.
	 */
	char *(*make_stream_request)(const char *body, size_t len);
	/**
	 * Assembles the non-streaming response from the events of a stream;
	 * NULL when the stream is incomplete. Set if make_stream_request is set.
	 */
	char *(*assemble_response)(const char *call_id, const char *events);
	/** Last line of each complete stream, or NULL if there is no such
	 * line. */
	const char *stream_end;
};

/** Base of all adapters for backend servers. */
struct backend {
	const struct backend_ops *ops;
	/** Set if streams of this server can be cancelled and resumed. */
	bool resumable;
};

/** Creates the adapter for a model engine at IP:PORT. */
struct backend *engine_http_create(struct http_client *http,
				   const char *address);

/** Creates the adapter for a plain service at IP:PORT. */
struct backend *plain_http_create(struct http_client *http,
				  const char *address);

#endif
