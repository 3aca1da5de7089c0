/**
 * Common base of the HTTP adapters for engines and plain services.
 */
#ifndef BRIARPLANK_STANDALONE_BACKEND_HTTP_H
#define BRIARPLANK_STANDALONE_BACKEND_HTTP_H

#include <glib.h>

#include "standalone/backend.h"

struct backend_http {
	struct backend super;
	struct http_client *http;
	char *address;
};

struct backend_call {
	struct backend_http *backend;
	struct http_call *http;
	struct backend_call_options options;
	/** Copy of the call_id, or NULL. */
	char *id;
	bool sent;
};

/** Creates the base of an adapter. */
struct backend_http *backend_http_create(const struct backend_ops *ops,
					 struct http_client *http,
					 const char *address);
void backend_http_destroy(struct backend *base);

/** Starts a call with extra header fields ahead of those in the options. */
struct backend_call *backend_http_call(
	struct backend *base, const struct backend_call_options *options,
	const struct http_field *extra, size_t extra_nr);

/** Closes the connection of a call and frees the call. */
void backend_http_cancel(struct backend_call *call);
void backend_http_pause(struct backend_call *call, bool pause);

/** Returns the options of a request that the adapter itself makes. */
struct http_call_options backend_http_options(struct backend_http *backend,
					      const char *method,
					      const char *path);

#endif
