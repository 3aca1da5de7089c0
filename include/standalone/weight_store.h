/**
 * The platform's rate-limited weight store, as a table of functions.
 */
#ifndef BRIARPLANK_STANDALONE_WEIGHT_STORE_H
#define BRIARPLANK_STANDALONE_WEIGHT_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "standalone/http_client.h"

struct weight_store;

/** Tells whether a model version exists, its bytes and the store's rate. */
typedef void (*weight_store_fn)(void *ctx, bool ok, uint64_t bytes,
				uint64_t bytes_per_s);

struct weight_store_ops {
	void (*describe)(struct weight_store *store, const char *model,
			 const char *version, weight_store_fn done, void *ctx);
	void (*destroy)(struct weight_store *store);
};

/** Base of each adapter. */
struct weight_store {
	const struct weight_store_ops *ops;
};

/** Makes the adapter for the HTTP store at IP:PORT. */
struct weight_store *weight_store_http_create(struct http_client *http,
					      const char *address);

#endif
