/**
 * Interface to the platform's append-only log service.
 */
#ifndef BRIARPLANK_STANDALONE_LOG_SERVICE_H
#define BRIARPLANK_STANDALONE_LOG_SERVICE_H

#include <stddef.h>
#include <stdint.h>

#include "standalone/http_client.h"

struct log_service;

enum log_service_status {
	LOG_SERVICE_OK,
	/** Rejected; the append certainly had no effect. */
	LOG_SERVICE_REFUSED,
	/** The response was lost; the append may have taken effect. */
	LOG_SERVICE_UNKNOWN,
	/** Reads only: the service returned no valid response. */
	LOG_SERVICE_UNAVAILABLE,
};

/** One record of a stream. */
struct log_service_entry {
	uint64_t offset;
	/** Time at which the service stored it, in ms since the epoch. */
	uint64_t stored_ms;
	const uint8_t *payload;
	size_t len;
};

/** The result of a read; valid during the callback. */
struct log_service_page {
	/** Offset of the oldest retained record; above the requested offset if
	 * the stream was trimmed past it. */
	uint64_t first_offset;
	/** Offset that the next appended record will get. */
	uint64_t end_offset;
	const struct log_service_entry *entries;
	size_t nr;
};

typedef void (*log_append_fn)(void *ctx, enum log_service_status status,
			      uint64_t offset);
typedef void (*log_read_fn)(void *ctx, enum log_service_status status,
			    const struct log_service_page *page);

/** Operations of a log service. Offsets count from 1 within each stream. */
struct log_service_ops {
	void (*append)(struct log_service *service, const char *stream,
		       const void *payload, size_t len, log_append_fn done,
		       void *ctx);
	/**
	 * Reads records from an offset; waits up to wait_ms for a record at it.
	 */
	void (*read)(struct log_service *service, const char *stream,
		     uint64_t from, uint32_t max_bytes, uint32_t wait_ms,
		     log_read_fn done, void *ctx);
	void (*destroy)(struct log_service *service);
};

/** Base of all adapters for log services. */
struct log_service {
	const struct log_service_ops *ops;
};

/** Creates the adapter for the HTTP log service at IP:PORT. */
struct log_service *log_http_create(struct http_client *http,
				    const char *address, uint32_t timeout_ms);

#endif
