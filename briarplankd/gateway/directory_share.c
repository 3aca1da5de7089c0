/*
 * Serves directory pages to other entries over HTTP, and fetches them from a
 * reader.
 */
#include <string.h>

#include "common/error.h"
#include "common/log.h"
#include "core/peer_table.h"
#include "directory_share.h"
#include "net/address.h"
#include "net/http_pool.h"
#include "peers.h"
#include "store_route.h"

#define PAGE_PATH "/directory"
/* Timeouts for connecting to another entry and for its response, in ms. They
 * allow for round trips within a region and for a busy entry. */
#define CONNECT_TIMEOUT_MS 300
#define ANSWER_TIMEOUT_MS 800
#define UNACKED_TIMEOUT_MS 1000
#define REUSE_LIMIT_MS 4000
/* Time for which a reader isn't chosen after a failed fetch, in ms. */
#define AVOID_MS 2000
/* Maximum size of another entry's request, in bytes: the request line and some
 * header fields. */
#define REQUEST_BYTES 4096
/* Time in which another entry must send its request, in ms. */
#define REQUEST_TIMEOUT_MS 5000

struct directory_share {
	struct gateway *gateway;
	struct directory_share_hooks hooks;
	struct web *web;
	unsigned port;
	/* Packed address of the reader from which pages are fetched; 0 for
	 * none. */
	uint64_t reader;
	struct http_pool *pool;
	/* Connection of the fetch in progress; NULL for none. */
	struct http_link *http;
	int status;
	GByteArray *body;
	uv_timer_t timer;
	/* Packed address of the reader from which a fetch failed last, and the
	 * loop time until which it isn't chosen. */
	uint64_t avoided_reader;
	uint64_t avoid_until_ms;
};

/* Functions that serve directory pages to other entries. */

static uint64_t query_number(const char *query, const char *name)
{
	char **pairs = g_strsplit(query, "&", -1);
	size_t len = strlen(name);
	uint64_t number = 0;
	char **pair;

	for (pair = pairs; *pair; pair++) {
		if (!strncmp(*pair, name, len) && (*pair)[len] == '=')
			number = g_ascii_strtoull(*pair + len + 1, NULL, 10);
	}
	g_strfreev(pairs);
	return number;
}

static void page_clear(DirectoryPage *page)
{
	size_t i;

	for (i = 0; i < page->n_servers; i++) {
		g_free(page->servers[i]->id);
		g_free(page->servers[i]->value.data);
		g_free(page->servers[i]);
	}
	g_free(page->servers);
	g_free(page->config.data);
	g_free(page->live);
}

static void on_page_request(void *ctx, struct web_request *web)
{
	struct directory_share *share = ctx;
	DirectoryPage page = DIRECTORY_PAGE__INIT;
	size_t len;
	uint8_t *bytes;

	share->hooks.fill_page(share->hooks.ctx, &page,
			       query_number(web_query(web), "servers"),
			       query_number(web_query(web), "config"));
	len = directory_page__get_packed_size(&page);
	bytes = g_malloc(len);
	directory_page__pack(&page, bytes);
	web_answer(web, 200, "application/x-protobuf", bytes, len);
	g_free(bytes);
	page_clear(&page);
}

/* Functions that fetch directory pages from a reader. */

static void fetch_end(struct directory_share *share, bool success)
{
	uint64_t now = uv_now(share->gateway->loop);

	uv_timer_stop(&share->timer);
	if (share->http)
		http_link_close(share->http);
	share->http = NULL;
	g_byte_array_set_size(share->body, 0);
	if (success)
		return;
	share->avoided_reader = share->reader;
	share->avoid_until_ms = now + AVOID_MS;
}

static bool on_head(void *ctx, const struct http_link_head *head)
{
	struct directory_share *share = ctx;

	share->status = head->status;
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct directory_share *share = ctx;

	g_byte_array_append(share->body, (const guint8 *)data, (guint)len);
}

static bool apply_page_body(struct directory_share *share)
{
	DirectoryPage *page = directory_page__unpack(NULL, share->body->len,
						     share->body->data);
	bool success = page && share->hooks.apply_page(share->hooks.ctx, page);

	if (page)
		directory_page__free_unpacked(page, NULL);
	return success;
}

static void on_end(void *ctx, enum http_link_end end)
{
	struct directory_share *share = ctx;
	bool complete = end == HTTP_LINK_COMPLETE && share->status == 200;

	if (complete) {
		http_pool_release(share->pool, share->http);
		share->http = NULL;
	}
	fetch_end(share, complete && apply_page_body(share));
}

static void on_timeout(uv_timer_t *timer)
{
	fetch_end(timer->data, false);
}

static const struct http_link_handlers handlers = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static void pool_close(struct directory_share *share)
{
	if (!share->pool)
		return;
	http_pool_close(share->pool);
	http_pool_unref(share->pool);
	share->pool = NULL;
}

/* Switches to the reader at an address; 0 switches to the store. */
static void set_reader(struct directory_share *share, uint64_t reader)
{
	struct sockaddr_in addr = address_unpack(reader);
	char *text = address_format(&addr);
	struct http_pool_options options = {
		.loop = share->gateway->loop,
		.address = text,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.unacked_timeout_ms = UNACKED_TIMEOUT_MS,
		.idle_max = 1,
		.reuse_limit_ms = REUSE_LIMIT_MS,
	};

	if (reader != share->reader) {
		log_event("directory", LOG_LEVEL_INFO, "follows %s%s",
			  reader ? "the entry at " : "the store itself",
			  reader ? text : "");
		pool_close(share);
		if (reader)
			share->pool = http_pool_create(&options);
		share->reader = reader;
	}
	g_free(text);
}

static uint64_t choose_reader(const struct directory_share *share)
{
	struct gateway *gateway = share->gateway;
	uint64_t now = uv_now(gateway->loop);
	struct peer_reader_query query = {
		.self_reaches_store =
			store_route_is_direct(gateway->store_route),
		.readers_from = (unsigned)gateway->settings->readers_from,
		.avoided =
			now < share->avoid_until_ms ? share->avoided_reader : 0,
	};

	return peers_choose_reader(gateway->peers, &query);
}

bool directory_share_has_reader(const struct directory_share *share)
{
	return share->reader != 0;
}

void directory_share_fetch(struct directory_share *share, uint64_t servers_from,
			   uint64_t config_offset)
{
	GString *request;

	if (share->http)
		return;
	set_reader(share, choose_reader(share));
	if (!share->reader)
		return;
	request = g_string_new(NULL);
	g_string_append_printf(request,
			       "GET " PAGE_PATH "?servers=%" PRIu64
			       "&config=%" PRIu64
			       " HTTP/1.1\r\nHost: directory\r\n\r\n",
			       servers_from, config_offset);
	share->status = 0;
	share->http = http_pool_acquire(share->pool, REUSE_LIMIT_MS);
	uv_timer_start(&share->timer, on_timeout, ANSWER_TIMEOUT_MS, 0);
	http_link_send(share->http, request, &handlers, share);
}

unsigned directory_share_port(const struct directory_share *share)
{
	return share->port;
}

struct directory_share *directory_share_create(
	struct gateway *gateway, const struct directory_share_hooks *hooks)
{
	struct directory_share *share = g_new0(struct directory_share, 1);
	int64_t port = gateway->settings->node_port;
	char *address = g_strdup_printf("%s:%" PRId64, gateway->settings->ip,
					port ? port + 1 : 0);
	struct web_options options = {
		.loop = gateway->loop,
		.address = address,
		.max_body_bytes = REQUEST_BYTES,
		.request_timeout_ms = REQUEST_TIMEOUT_MS,
		.metrics = gateway->metrics,
	};
	struct sockaddr_in addr;

	share->gateway = gateway;
	share->hooks = *hooks;
	share->body = g_byte_array_new();
	uv_timer_init(gateway->loop, &share->timer);
	share->timer.data = share;
	share->web = web_create(&options);
	g_free(address);
	if (!share->web) {
		directory_share_destroy(share);
		return NULL;
	}
	web_route(share->web, PAGE_PATH, on_page_request, share);
	if (address_parse(web_address(share->web), &addr))
		share->port = ntohs(addr.sin_port);
	return share;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void directory_share_destroy(struct directory_share *share)
{
	if (share->web)
		web_destroy(share->web);
	fetch_end(share, true);
	pool_close(share);
	g_byte_array_free(share->body, TRUE);
	uv_close((uv_handle_t *)&share->timer, on_closed);
}
