#include "common/list.h"
#include "net/http_pool.h"

struct kept_link {
	struct list link;
	struct http_link *http;
};

struct http_pool {
	struct http_pool_options options;
	char *address;
	unsigned refs;
	bool closed;
	struct list idle;
	unsigned idle_nr;
};

struct http_pool *http_pool_create(const struct http_pool_options *options)
{
	struct http_pool *pool = g_new0(struct http_pool, 1);

	pool->options = *options;
	pool->address = g_strdup(options->address);
	pool->refs = 1;
	list_init(&pool->idle);
	return pool;
}

static void kept_free(struct http_pool *pool, struct kept_link *kept)
{
	list_remove(&kept->link);
	pool->idle_nr--;
	g_free(kept);
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
		struct kept_link *kept =
			list_entry(pos, struct kept_link, link);

		http_link_close(kept->http);
		kept_free(pool, kept);
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

static void on_lost(void *ctx, struct http_link *http)
{
	struct http_pool *pool = ctx;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &pool->idle) {
		struct kept_link *kept =
			list_entry(pos, struct kept_link, link);

		if (kept->http == http)
			kept_free(pool, kept);
	}
	http_link_close(http);
}

/* Longest idle time for which a connection is used, in ms. */
static uint64_t usable_ms(const struct http_link *http, uint64_t limit_ms)
{
	uint64_t named = http_link_idle_limit_ms(http);

	return named ? MIN(limit_ms, named / 2) : limit_ms;
}

struct http_link *http_pool_take(struct http_pool *pool, uint64_t limit_ms)
{
	struct http_link_options options = {
		.loop = pool->options.loop,
		.address = pool->address,
		.connect_timeout_ms = pool->options.connect_timeout_ms,
		.unacked_timeout_ms = pool->options.unacked_timeout_ms,
		.on_lost = on_lost,
		.ctx = pool,
	};
	uint64_t now = uv_now(pool->options.loop);
	struct list *pos, *tmp;

	/* The one used last has the best chance to be alive. */
	list_for_each_safe (pos, tmp, &pool->idle) {
		struct kept_link *kept =
			list_entry(pos, struct kept_link, link);
		struct http_link *http = kept->http;
		uint64_t age = now - http_link_idle_since_ms(http);
		uint64_t reuse_ms = pool->options.reuse_limit_ms;

		/* Too old for this request, but not for others. */
		if (http_link_reusable(http) &&
		    age >= usable_ms(http, limit_ms) &&
		    age < usable_ms(http, reuse_ms))
			break;
		kept_free(pool, kept);
		if (http_link_reusable(http) && age < usable_ms(http, limit_ms))
			return http;
		http_link_close(http);
	}
	return http_link_open(&options);
}

void http_pool_give(struct http_pool *pool, struct http_link *http)
{
	struct kept_link *kept;

	if (pool->closed || !http_link_reusable(http) ||
	    pool->idle_nr >= pool->options.idle_max) {
		http_link_close(http);
		return;
	}
	kept = g_new0(struct kept_link, 1);
	kept->http = http;
	list_insert(&pool->idle, &kept->link);
	pool->idle_nr++;
}
