/**
 * Pool of idle HTTP connections to one address.
 */
#ifndef BRIARPLANK_NET_HTTP_POOL_H
#define BRIARPLANK_NET_HTTP_POOL_H

#include <stdint.h>

#include "net/http_link.h"

struct http_pool;

struct http_pool_options {
	uv_loop_t *loop;
	/** Address of the server, as numeric IP:PORT; copied. */
	const char *address;
	/** As in struct http_link_options. */
	uint32_t connect_timeout_ms;
	uint32_t unacked_timeout_ms;
	bool framed_only;
	/** Maximum number of idle connections that the pool keeps. */
	unsigned idle_max;
	/** Idle time after which a connection isn't reused, in ms. */
	uint64_t reuse_limit_ms;
};

/** Creates a pool with one reference, which the caller owns. */
struct http_pool *http_pool_create(const struct http_pool_options *options);

/**
 * Adds a reference to the pool. The user of a connection holds one until the
 * connection is given back.
 */
struct http_pool *http_pool_ref(struct http_pool *pool);

/** Drops a reference; the last one closes and frees the pool. */
void http_pool_unref(struct http_pool *pool);

/**
 * Closes the idle connections of the pool, and the others once they are given
 * back.
 */
void http_pool_close(struct http_pool *pool);

/**
 * Returns the most recently used idle connection, or opens a new one.
 * Connections that were idle for limit_ms, or for half of the server's
 * announced idle timeout, aren't reused, because the server may close them
 * while the request is sent, nor are those that carried a request with the same key,
 * as an answer to it may come late; key is 0 for a request without one.
 */
struct http_link *http_pool_acquire(struct http_pool *pool, uint64_t limit_ms,
				    uint64_t key);

/** Tells whether the pool has an idle connection that may be reused. */
bool http_pool_idle(const struct http_pool *pool);

/**
 * Gives back a connection after its exchange; closes it if it can't be kept.
 */
void http_pool_release(struct http_pool *pool, struct http_link *http);

/**
 * Gives back a connection in the body of an answer that nobody needs. It is kept
 * if that answer ends soon.
 */
void http_pool_discard(struct http_pool *pool, struct http_link *http);

#endif
