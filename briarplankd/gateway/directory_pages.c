#include "common/hash.h"
#include "directory_private.h"

/* Age up to which the servers of another entry are taken, in ms: its own pause
 * between two reads, and one that failed. */
#define SHARED_AGE_MS 2500

/* A page for another entry while it is made. */
struct page_maker {
	GPtrArray *servers;
	GArray *live;
	/* What it knows: all up to here, or nothing. */
	uint64_t known;
	bool knows_any;
};

static void add_change(void *ctx, const struct change *change)
{
	struct page_maker *maker = ctx;
	uint64_t hash = hash_string(change->key, 0);
	DirectoryServer *server;
	gsize len = 0;
	const void *data =
		change->value ? g_bytes_get_data(change->value, &len) : NULL;

	if (change->value)
		g_array_append_val(maker->live, hash);
	if (maker->knows_any && change->offset <= maker->known)
		return;
	server = g_new(DirectoryServer, 1);
	directory_server__init(server);
	server->id = g_strdup(change->key);
	server->offset = change->offset;
	server->value.data = len ? g_memdup2(data, len) : NULL;
	server->value.len = len;
	g_ptr_array_add(maker->servers, server);
}

void directory_fill_page(void *ctx, DirectoryPage *page, uint64_t servers_from,
			 uint64_t config_offset)
{
	struct directory *directory = ctx;
	const struct topic *servers = &directory->topics[TOPIC_SERVERS];
	struct page_maker maker = {
		.servers = g_ptr_array_new(),
		.live = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.known = servers_from ? servers_from - 1 : 0,
		.knows_any = servers_from != 0,
	};
	gsize len;
	const void *data;

	change_list_each(directory->changes, add_change, &maker);
	page->n_servers = maker.servers->len;
	page->servers =
		(DirectoryServer **)g_ptr_array_free(maker.servers, FALSE);
	page->servers_offset = servers->next_offset;
	page->whole =
		!maker.knows_any ||
		!change_list_complete_since(directory->changes, maker.known);
	if (page->whole)
		page->n_live = maker.live->len;
	page->live = (uint64_t *)g_array_free(maker.live, FALSE);
	page->config_offset = directory->config_offset;
	if (directory->config && (directory->config_offset > config_offset)) {
		data = g_bytes_get_data(directory->config, &len);
		page->config.data = g_memdup2(data, len);
		page->config.len = len;
	}
	page->age_ms = directory_loaded(directory) ?
			       (uint32_t)MIN(uv_now(directory->gateway->loop) -
						     servers->answered_ms,
					     UINT32_MAX) :
			       UINT32_MAX;
}

/* Servers that a page's hashes don't name are gone. */
static void unlist_others(struct directory *directory,
			  const DirectoryPage *page)
{
	GHashTable *live = g_hash_table_new(g_int64_hash, g_int64_equal);
	struct list *pos;
	size_t i;

	for (i = 0; i < page->n_live; i++)
		g_hash_table_add(live, &page->live[i]);
	list_for_each (pos, fleet_servers(directory->gateway->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		if (!g_hash_table_contains(live, &server->hash))
			directory_server_vanished(directory, server->id);
	}
	g_hash_table_destroy(live);
}

static void take_shared_servers(struct directory *directory,
				const DirectoryPage *page)
{
	struct topic *servers = &directory->topics[TOPIC_SERVERS];
	size_t i;

	if (page->whole)
		change_list_forget_removed(directory->changes,
					   page->servers_offset);
	for (i = 0; i < page->n_servers; i++) {
		const DirectoryServer *server = page->servers[i];
		struct store_record record = {
			.key = server->id,
			.data = (const char *)server->value.data,
			.len = server->value.len,
			.offset = server->offset,
		};

		directory_take_server(directory, &record);
	}
	servers->next_offset = MAX(servers->next_offset, page->servers_offset);
	if (page->whole)
		unlist_others(directory, page);
}

bool directory_take_page(void *ctx, const DirectoryPage *page)
{
	struct directory *directory = ctx;
	struct topic *config = &directory->topics[TOPIC_CONFIG];
	struct topic *servers = &directory->topics[TOPIC_SERVERS];
	struct store_record record = {
		.key = store_key_config,
		.data = (const char *)page->config.data,
		.len = page->config.len,
		.offset = page->config_offset,
	};

	if (page->age_ms > SHARED_AGE_MS)
		return false;
	servers->answered_ms = uv_now(directory->gateway->loop) - page->age_ms;
	if (record.len)
		directory_take_config(directory, &record);
	config->next_offset = MAX(config->next_offset, page->config_offset + 1);
	/* This node may have read further itself. */
	if (page->servers_offset >= servers->next_offset)
		take_shared_servers(directory, page);
	return true;
}
