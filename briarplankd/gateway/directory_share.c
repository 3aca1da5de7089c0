/*
 * Serves directory pages to other entries over HTTP, and fetches them from a
 * reader.
 */
#include "common/log.h"
#include "directory_share.h"
#include "reader_client.h"

#define PAGE_PATH "/directory"
/* Timeout of a fetch, in ms. A page has at most the whole configuration and all
 * servers. */
#define FETCH_TIMEOUT_MS 800

struct directory_share {
	struct gateway *gateway;
	struct directory_share_hooks hooks;
	struct reader_client *client;
	/* Packed address of the reader of the last page that was applied; 0
	 * after the store was read. */
	uint64_t page_reader;
	/* Offset up to which this node had the servers at the last fetch. */
	uint64_t servers_from;
};

/* Functions that serve directory pages to other entries. */

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
			       reader_query_number(web_query(web), "servers"),
			       reader_query_number(web_query(web), "config"));
	len = directory_page__get_packed_size(&page);
	bytes = g_malloc(len);
	directory_page__pack(&page, bytes);
	web_answer(web, 200, "application/x-protobuf", bytes, len);
	g_free(bytes);
	page_clear(&page);
}

/* Functions that fetch directory pages from a reader. */

static bool on_page(void *ctx, const uint8_t *body, size_t len)
{
	struct directory_share *share = ctx;
	DirectoryPage *page =
		body ? directory_page__unpack(NULL, len, body) : NULL;
	bool success = page && share->hooks.apply_page(share->hooks.ctx, page);

	if (success && page->servers_offset >= share->servers_from)
		share->page_reader = reader_client_reader(share->client);
	if (page)
		directory_page__free_unpacked(page, NULL);
	return success;
}

bool directory_share_has_reader(const struct directory_share *share)
{
	return reader_client_reader(share->client) != 0;
}

void directory_share_fetch(struct directory_share *share, uint64_t servers_from,
			   uint64_t config_from)
{
	char *target;

	if (reader_client_busy(share->client))
		return;
	if (!reader_client_choose(share->client)) {
		share->page_reader = 0;
		return;
	}
	/* Removals without a record have different offsets at different
	 * readers, so the changes since an offset of another one may lack
	 * some. */
	share->servers_from = servers_from;
	if (share->page_reader != reader_client_reader(share->client)) {
		log_event("directory", LOG_LEVEL_INFO,
			  "fetches all servers from=%" PRIu64, servers_from);
		servers_from = 0;
	}
	target = g_strdup_printf(PAGE_PATH "?servers=%" PRIu64
					   "&config=%" PRIu64,
				 servers_from, config_from);
	reader_client_fetch(share->client, target);
	g_free(target);
}

struct directory_share *directory_share_create(
	struct gateway *gateway, const struct directory_share_hooks *hooks)
{
	struct directory_share *share = g_new0(struct directory_share, 1);
	struct reader_client_options client = {
		.gateway = gateway,
		.name = "directory",
		.timeout_ms = FETCH_TIMEOUT_MS,
		.done = on_page,
		.ctx = share,
	};

	share->gateway = gateway;
	share->hooks = *hooks;
	share->client = reader_client_create(&client);
	web_route(gateway->node_web, PAGE_PATH, on_page_request, share);
	return share;
}

void directory_share_destroy(struct directory_share *share)
{
	reader_client_destroy(share->client);
	g_free(share);
}
