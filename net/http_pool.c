#include "common/list.h"
#include "net/http_pool.h"

/* Maximum number of connections that wait for the end of an answer that nobody
 * needs, and maximum number of bytes read of such an answer. */
#define DISCARDED_MAX 4
#define DISCARDED_BYTES_MAX 16384

/* A connection that waits for the end of an answer that nobody needs. */
struct discarded_link {
	struct list link;
	struct http_pool *pool;
	struct http_link *http;
	size_t bytes;
};

/* An idle connection. */
struct idle_link {
	struct list link;
	struct http_link *http;
};

struct http_pool {
	struct http_pool_options options;
	char *address;
	unsigned refs;
	bool closed;
	/* List of idle connections, the most recently used first. */
	struct list idle;
	unsigned idle_nr;
	/* Connections in an answer that nobody needs, oldest first. */
	struct list discarded;
	unsigned discarded_nr;
};

struct http_pool *http_pool_create(const struct http_pool_options *options)
{
	struct http_pool *pool = g_new0(struct http_pool, 1);

	pool->options = *options;
	pool->address = g_strdup(options->address);
	pool->refs = 1;
	list_init(&pool->idle);
	list_init(&pool->discarded);
	return pool;
}

static void idle_link_free(struct http_pool *pool, struct idle_link *entry)
{
	list_remove(&entry->link);
	pool->idle_nr--;
	g_free(entry);
}

static void discarded_link_free(struct discarded_link *entry)
{
	list_remove(&entry->link);
	entry->pool->discarded_nr--;
	g_free(entry);
}

struct http_pool *http_pool_ref(struct http_pool *pool)
{
	pool->refs++;
	return pool;
}

void http_pool_close(struct http_pool *pool)
{
	struct list *pos, *tmp;

	pool->closed = true;

	list_for_each_safe (pos, tmp, &pool->idle) {
		struct idle_link *entry =
			list_entry(pos, struct idle_link, link);

		http_link_close(entry->http);
		idle_link_free(pool, entry);
	}
	list_for_each_safe (pos, tmp, &pool->discarded) {
		struct discarded_link *entry =
			list_entry(pos, struct discarded_link, link);

		http_link_close(entry->http);
		discarded_link_free(entry);
	}
}

void http_pool_unref(struct http_pool *pool)
{
	if (--pool->refs)
		return;
	http_pool_close(pool);
	g_free(pool->address);
	g_free(pool);
}

static void on_idle_close(void *ctx, struct http_link *http)
{
	struct http_pool *pool = ctx;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &pool->idle) {
		struct idle_link *entry =
			list_entry(pos, struct idle_link, link);

		if (entry->http == http)
			idle_link_free(pool, entry);
	}
	http_link_close(http);
}

/* Returns the idle time up to which a connection is reused, in ms. */
static uint64_t reuse_limit_for(const struct http_link *http, uint64_t limit_ms)
{
	uint64_t announced_ms = http_link_idle_timeout_ms(http);

	return announced_ms ? MIN(limit_ms, announced_ms / 2) : limit_ms;
}

struct http_link *http_pool_acquire(struct http_pool *pool, uint64_t limit_ms,
				    uint64_t key)
{
	struct http_link_options options = {
		.loop = pool->options.loop,
		.address = pool->address,
		.connect_timeout_ms = pool->options.connect_timeout_ms,
		.unacked_timeout_ms = pool->options.unacked_timeout_ms,
		.framed_only = pool->options.framed_only,
		.on_idle_close = on_idle_close,
		.ctx = pool,
	};
	uint64_t now = uv_now(pool->options.loop);
	struct list *pos, *tmp;

	/* The list has the most recently used connection first, which is the
	 * most likely one to be still open. */
	list_for_each_safe (pos, tmp, &pool->idle) {
		struct idle_link *entry =
			list_entry(pos, struct idle_link, link);
		struct http_link *http = entry->http;
		uint64_t age = now - http_link_idle_since_ms(http);
		uint64_t reuse_ms = pool->options.reuse_limit_ms;

		/* This connection is too old for this request but not for the
		 * pool. All further ones are older. */
		if (http_link_reusable(http) &&
		    age >= reuse_limit_for(http, limit_ms) &&
		    age < reuse_limit_for(http, reuse_ms))
			break;
		if (http_link_reusable(http) && key &&
		    http_link_has_key(http, key))
			continue;
		idle_link_free(pool, entry);
		if (http_link_reusable(http) &&
		    age < reuse_limit_for(http, limit_ms))
			return http;
		http_link_close(http);
	}
	return http_link_open(&options);
}

bool http_pool_idle(const struct http_pool *pool)
{
	const struct idle_link *newest;

	if (list_empty(&pool->idle))
		return false;
	newest = list_entry(pool->idle.next, struct idle_link, link);
	return http_link_reusable(newest->http) &&
	       uv_now(pool->options.loop) -
			       http_link_idle_since_ms(newest->http) <
		       reuse_limit_for(newest->http,
				       pool->options.reuse_limit_ms);
}

void http_pool_release(struct http_pool *pool, struct http_link *http)
{
	struct idle_link *entry;

	if (pool->closed || !http_link_reusable(http) ||
	    pool->idle_nr >= pool->options.idle_max) {
		http_link_close(http);
		return;
	}
	entry = g_new0(struct idle_link, 1);
	entry->http = http;
	list_insert(&pool->idle, &entry->link);
	pool->idle_nr++;
}

static bool on_discarded_head(void *ctx, const struct http_link_head *head)
{
	(void)ctx;
	(void)head;
	return true;
}

static void on_discarded_body(void *ctx, const char *data, size_t len)
{
	struct discarded_link *entry = ctx;

	(void)data;
	entry->bytes += len;
	if (entry->bytes <= DISCARDED_BYTES_MAX)
		return;
	http_link_close(entry->http);
	discarded_link_free(entry);
}

static void on_discarded_end(void *ctx, enum http_link_end end)
{
	struct discarded_link *entry = ctx;

	if (end == HTTP_LINK_COMPLETE)
		http_pool_release(entry->pool, entry->http);
	else
		http_link_close(entry->http);
	discarded_link_free(entry);
}

static const struct http_link_handlers discarded_handlers = {
	.on_head = on_discarded_head,
	.on_body = on_discarded_body,
	.on_end = on_discarded_end,
};

void http_pool_discard(struct http_pool *pool, struct http_link *http)
{
	struct discarded_link *entry;

	if (pool->closed) {
		http_link_close(http);
		return;
	}
	if (pool->discarded_nr == DISCARDED_MAX) {
		entry = list_entry(pool->discarded.next, struct discarded_link,
				   link);
		http_link_close(entry->http);
		discarded_link_free(entry);
	}
	entry = g_new0(struct discarded_link, 1);
	entry->pool = pool;
	entry->http = http;
	list_append(&pool->discarded, &entry->link);
	pool->discarded_nr++;
	http_link_hand_over(http, &discarded_handlers, entry);
}
