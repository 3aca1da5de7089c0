/**
 * The kept connections to one address: those that no exchange uses now.
 */
#ifndef BRIARPLANK_NET_HTTP_POOL_H
#define BRIARPLANK_NET_HTTP_POOL_H

#include <stdint.h>

#include "net/http_link.h"

struct http_pool;

struct http_pool_options {
	uv_loop_t *loop;
	/** IP:PORT, numeric; copied. */
	const char *address;
	/** As for a link, in ms. */
	uint32_t connect_timeout_ms;
	uint32_t unacked_timeout_ms;
	/** Idle connections that are kept. */
	unsigned idle_max;
	/** Idle time after which a connection isn't used any more, in ms. */
	uint64_t reuse_limit_ms;
};

/** Makes a pool with one reference to it. */
struct http_pool *http_pool_create(const struct http_pool_options *options);

/** Whoever gives a connection back later holds a reference until then. */
struct http_pool *http_pool_ref(struct http_pool *pool);
void http_pool_unref(struct http_pool *pool);

/** Closes the idle connections; those given back later are closed, too. */
void http_pool_close(struct http_pool *pool);

/**
 * Takes the connection that was used last, or opens one. One that was idle for
 * longer than limit_ms, or than half of the time that the server named, isn't
 * taken: its end may cross the request.
 */
struct http_link *http_pool_take(struct http_pool *pool, uint64_t limit_ms);

/** Keeps a connection whose exchange is over, or closes it. */
void http_pool_give(struct http_pool *pool, struct http_link *http);

#endif
