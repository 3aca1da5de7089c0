/**
 * Interface to the platform's rate-limited store of model weights.
 */
#ifndef BRIARPLANK_STANDALONE_WEIGHT_STORE_H
#define BRIARPLANK_STANDALONE_WEIGHT_STORE_H

#include <stdbool.h>
#include <stdint.h>

#include "standalone/http_client.h"

struct weight_store;

/** Receives the size of a model version and the store's transfer rate; ok is
 * false when they are unknown. */
typedef void (*weight_store_fn)(void *ctx, bool ok, uint64_t bytes,
				uint64_t bytes_per_s);

struct weight_store_ops {
	void (*describe)(struct weight_store *store, const char *model,
			 const char *version, weight_store_fn done, void *ctx);
	void (*destroy)(struct weight_store *store);
};

/** Base of all adapters for weight stores. */
struct weight_store {
	const struct weight_store_ops *ops;
};

/** Creates the adapter for the HTTP store at IP:PORT. */
struct weight_store *weight_store_http_create(struct http_client *http,
					      const char *address);

#endif
