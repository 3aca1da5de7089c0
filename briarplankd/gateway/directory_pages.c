/*
 * Pages of the directory that entries of a region exchange: the configuration
 * and the servers that changed since an offset.
 */
#include "common/hash.h"
#include "common/log.h"
#include "directory_private.h"

/* Maximum age of another entry's list of servers that is accepted, in ms. It
 * allows for the pause between two reads and one failed read. */
#define PAGE_AGE_MAX_MS 2500

/* A page for another entry while it is built. */
struct page_builder {
	GPtrArray *servers;
	/* Hashes of all listed servers. */
	GArray *live;
	/* Offset up to which the other entry has all changes; unused without
	 * has_known_offset. */
	uint64_t known_offset;
	bool has_known_offset;
};

static void add_change(void *ctx, const struct change *change)
{
	struct page_builder *builder = ctx;
	uint64_t hash = hash_string(change->key, 0);
	DirectoryServer *server;
	gsize len = 0;
	const void *data =
		change->value ? g_bytes_get_data(change->value, &len) : NULL;

	if (change->value)
		g_array_append_val(builder->live, hash);
	if (builder->has_known_offset &&
	    change->offset <= builder->known_offset)
		return;
	server = g_new(DirectoryServer, 1);
	directory_server__init(server);
	server->id = g_strdup(change->key);
	/* In a whole page a record that only repeats a value counts, as it shows
	 * a node that noted a removal that the server is back. */
	server->offset = builder->has_known_offset ? change->offset :
						     change->seen_offset;
	server->value.data = len ? g_memdup2(data, len) : NULL;
	server->value.len = len;
	g_ptr_array_add(builder->servers, server);
}

void directory_fill_page(void *ctx, DirectoryPage *page, uint64_t servers_from,
			 uint64_t config_from)
{
	struct directory *directory = ctx;
	const struct topic *servers = &directory->topics[TOPIC_SERVERS];
	struct page_builder builder = {
		.servers = g_ptr_array_new(),
		.live = g_array_new(FALSE, FALSE, sizeof(uint64_t)),
		.known_offset = servers_from ? servers_from - 1 : 0,
		.has_known_offset = servers_from != 0,
	};
	gsize len;
	const void *data;

	change_list_for_each(directory->changes, add_change, &builder);
	page->n_servers = builder.servers->len;
	page->servers =
		(DirectoryServer **)g_ptr_array_free(builder.servers, FALSE);
	page->servers_offset = servers->next_offset;
	page->whole = !builder.has_known_offset ||
		      !change_list_complete_since(directory->changes,
						  builder.known_offset);
	if (page->whole)
		page->n_live = builder.live->len;
	page->live = (uint64_t *)g_array_free(builder.live, FALSE);
	page->config_offset = directory->config_offset;
	if (directory->config && directory->config_offset >= config_from) {
		data = g_bytes_get_data(directory->config, &len);
		page->config.data = g_memdup2(data, len);
		page->config.len = len;
	}
	page->age_ms = directory_loaded(directory) ?
			       (uint32_t)MIN(uv_now(directory->gateway->loop) -
						     servers->as_of_ms,
					     UINT32_MAX) :
			       UINT32_MAX;
}

/* Removes the servers whose hashes are missing from a complete page. */
static void unlist_missing(struct directory *directory,
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
			directory_server_removed(
				directory, server->id,
				directory_next_offset(directory));
	}
	g_hash_table_destroy(live);
}

static void apply_page_servers(struct directory *directory,
			       const DirectoryPage *page)
{
	struct topic *servers = &directory->topics[TOPIC_SERVERS];
	size_t i;

	if (page->whole)
		change_list_incomplete_until(directory->changes,
					     page->servers_offset);
	directory->page_had_removed = false;
	for (i = 0; i < page->n_servers; i++) {
		const DirectoryServer *server = page->servers[i];
		struct store_record record = {
			.key = server->id,
			.data = (const char *)server->value.data,
			.len = server->value.len,
			.offset = server->offset,
		};

		/* The other entry may keep a server listed for a while after
		 * its removal; see directory_server_removed(). */
		if (record.len &&
		    change_list_removed_after(directory->changes, record.key,
					      record.offset)) {
			log_event("server", LOG_LEVEL_INFO,
				  "id=%s listed by another entry, but removed "
				  "after offset=%" PRIu64,
				  record.key, record.offset);
			directory->page_had_removed = true;
			continue;
		}
		directory_apply_server(directory, &record);
	}
	servers->next_offset = MAX(servers->next_offset, page->servers_offset);
	if (page->whole)
		unlist_missing(directory, page);
	servers->following |= page->whole;
}

bool directory_apply_page(void *ctx, const DirectoryPage *page)
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

	/* A starting node waits for a reader that is starting, too. */
	if (page->age_ms == UINT32_MAX && !directory_loaded(directory))
		return true;
	if (page->age_ms > PAGE_AGE_MAX_MS)
		return false;
	servers->as_of_ms = uv_now(directory->gateway->loop) - page->age_ms;
	if (record.len)
		directory_apply_config(directory, &record);
	config->next_offset = MAX(config->next_offset, page->config_offset + 1);
	config->following = true;
	config->as_of_ms = servers->as_of_ms;
	config->failures = 0;
	/* The page may be older than the records that this node has read from
	 * the store itself. */
	if (page->servers_offset >= servers->next_offset)
		apply_page_servers(directory, page);
	return true;
}
