#include <string.h>

#include "common/error.h"
#include "common/log.h"
#include "directory.h"
#include "platform/codec.h"

/* Longest wait of the store for a new configuration, in ms. It is answered as
 * soon as there is one; the wait bounds how long a silent connection hides. */
#define CONFIG_WAIT_MS 1000
/* Pause between two reads of the servers, in ms: a server that leaves gets
 * nothing new for three seconds after it said so, and heartbeats need no read
 * of their own. */
#define SERVERS_PAUSE_MS 500
/* Pause after a read that failed, in ms. */
#define RETRY_MS 150
/* Time beyond the wait after which a read counts as unanswered, in ms. */
#define READ_TIMEOUT_MS 900
#define READ_MAX_KB 1024
/* An entry that vanishes so soon after the store was away may have expired
 * there; its server has this long to write again, in ms. */
#define STORE_TROUBLE_MS 4000
#define LAPSED_GRACE_MS 2000
/* Period of the look at all servers, in ms. */
#define SWEEP_MS 100

struct topic {
	struct directory *directory;
	const char *name;
	unsigned wait_ms;
	uint64_t pause_ms;
	uint64_t next_offset;
	uint64_t snapshot_offset;
	/* The newest values were read; the records behind them follow. */
	bool following;
	char *page_key;
	uv_timer_t timer;
	void (*take)(struct directory *directory,
		     const struct store_record *record);
};

enum { TOPIC_CONFIG, TOPIC_SERVERS, TOPICS };

struct directory {
	struct gateway *gateway;
	struct topic topics[TOPICS];
	/* Servers of the page set that is being read: id to nothing. */
	GHashTable *seen;
	/* Servers whose entry vanished in trouble: id to uint64_t * time. */
	GHashTable *lapsed;
	uint64_t trouble_ms;
	uv_timer_t sweep_timer;
	int handles;
};

static void take_config(struct directory *directory,
			const struct store_record *record)
{
	struct gateway *gateway = directory->gateway;
	struct route_table *table;

	if (strcmp(record->key, store_key_config) != 0 || !record->len)
		return;
	table = platform_config_decode(record->data, record->len);
	if (!table) {
		log_event("config", LOG_LEVEL_ERROR,
			  "offset=%" PRIu64 " unreadable: %s", record->offset,
			  error_last());
		return;
	}
	if (gateway->config && table->version <= gateway->config->version) {
		route_table_destroy(table);
		return;
	}
	log_event("config", LOG_LEVEL_INFO,
		  "version=%" PRIu64 " before=%" PRIu64 " offset=%" PRIu64
		  " routes=%u services=%u in force",
		  table->version,
		  gateway->config ? gateway->config->version : 0,
		  record->offset, table->routes->len, table->services->len);
	route_table_destroy(gateway->config);
	gateway->config = table;
	gateway_config_changed(gateway);
}

static void server_vanished(struct directory *directory, const char *id)
{
	struct gateway *gateway = directory->gateway;
	uint64_t now = uv_now(gateway->loop), *since;
	struct server *server = fleet_find(gateway->fleet, id);

	if (!server || !server->listed)
		return;
	if (!directory->trouble_ms ||
	    now - directory->trouble_ms > STORE_TROUBLE_MS ||
	    server->draining) {
		log_event("server", LOG_LEVEL_INFO, "id=%s unlisted", id);
		fleet_unlist(gateway->fleet, id);
		return;
	}
	if (g_hash_table_contains(directory->lapsed, id))
		return;
	log_event("server", LOG_LEVEL_WARN,
		  "id=%s entry lapsed while the store was away", id);
	since = g_new(uint64_t, 1);
	*since = now;
	g_hash_table_insert(directory->lapsed, g_strdup(id), since);
}

static void take_server(struct directory *directory,
			const struct store_record *record)
{
	struct gateway *gateway = directory->gateway;
	struct server_facts facts = { 0 };
	struct server *server;
	void *hold;

	if (directory->seen)
		g_hash_table_add(directory->seen, g_strdup(record->key));
	if (!record->len) {
		server_vanished(directory, record->key);
		return;
	}
	if (!platform_server_decode(record->key, record->data, record->len,
				    &facts, &hold)) {
		log_event("server", LOG_LEVEL_WARN, "id=%s not used: %s",
			  record->key, error_last());
		fleet_unlist(gateway->fleet, record->key);
		return;
	}
	server = fleet_find(gateway->fleet, record->key);
	if (!server || !server->listed || server->draining != facts.draining ||
	    server->born_ms != facts.born_ms)
		log_event("server", LOG_LEVEL_INFO,
			  "id=%s service=%s address=%s data_centre=%s slots=%u "
			  "%s offset=%" PRIu64,
			  record->key, facts.service, facts.address,
			  facts.data_centre, facts.slots,
			  facts.draining ? "draining" : "ready",
			  record->offset);
	fleet_learn(gateway->fleet, &facts);
	g_hash_table_remove(directory->lapsed, record->key);
	platform_server_free(hold);
}

static void topic_next(struct topic *topic, uint64_t pause_ms);

static void on_newest(void *ctx, const struct store_read_result *result);
static void on_records(void *ctx, const struct store_read_result *result);

static void topic_read(struct topic *topic)
{
	struct store *store = topic->directory->gateway->store;
	struct store_read read = {
		.topic = topic->name,
		.from = topic->next_offset,
		.max_kb = READ_MAX_KB,
		.wait_ms = topic->wait_ms,
		.timeout_ms = READ_TIMEOUT_MS,
		.after_key = topic->page_key,
		.ctx = topic,
	};

	if (topic->following) {
		read.done = on_records;
		store_read(store, &read);
		return;
	}
	read.wait_ms = 0;
	read.done = on_newest;
	store_read_newest(store, &read);
}

static void on_topic_timer(uv_timer_t *timer)
{
	topic_read(timer->data);
}

static void topic_next(struct topic *topic, uint64_t pause_ms)
{
	uv_timer_start(&topic->timer, on_topic_timer, pause_ms, 0);
}

static void topic_restart(struct topic *topic)
{
	topic->following = false;
	g_free(topic->page_key);
	topic->page_key = NULL;
}

/* Servers that a whole set of pages doesn't hold are gone. */
static void unlist_unseen(struct directory *directory)
{
	struct list *pos;

	list_for_each (pos, fleet_servers(directory->gateway->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		if (!g_hash_table_contains(directory->seen, server->id))
			server_vanished(directory, server->id);
	}
	g_hash_table_destroy(directory->seen);
	directory->seen = NULL;
}

static void on_newest(void *ctx, const struct store_read_result *result)
{
	struct topic *topic = ctx;
	struct directory *directory = topic->directory;
	bool servers = topic == &directory->topics[TOPIC_SERVERS];
	size_t i;

	if (result->status != STORE_OK) {
		directory->trouble_ms = uv_now(directory->gateway->loop);
		topic_restart(topic);
		topic_next(topic, RETRY_MS);
		return;
	}
	if (!topic->page_key) {
		/* Pages are no snapshot: what changes meanwhile is read again
		 * from where the first page ended. */
		topic->snapshot_offset = result->end_offset;
		if (servers && directory->seen)
			g_hash_table_destroy(directory->seen);
		if (servers)
			directory->seen = g_hash_table_new_full(
				g_str_hash, g_str_equal, g_free, NULL);
	}
	for (i = 0; i < result->records_nr; i++)
		topic->take(directory, &result->records[i]);
	if (result->more && result->records_nr) {
		g_free(topic->page_key);
		topic->page_key =
			g_strdup(result->records[result->records_nr - 1].key);
		topic_next(topic, 0);
		return;
	}
	g_free(topic->page_key);
	topic->page_key = NULL;
	if (servers)
		unlist_unseen(directory);
	topic->following = true;
	topic->next_offset = topic->snapshot_offset;
	topic_next(topic, topic->pause_ms);
}

static void on_records(void *ctx, const struct store_read_result *result)
{
	struct topic *topic = ctx;
	struct directory *directory = topic->directory;
	size_t i;

	if (result->status == STORE_EXPIRED) {
		log_event("store", LOG_LEVEL_WARN,
			  "topic=%s history dropped from=%" PRIu64
			  " first=%" PRIu64 "; reads the newest values",
			  topic->name, topic->next_offset,
			  result->first_offset);
		topic_restart(topic);
		topic_next(topic, 0);
		return;
	}
	if (result->status != STORE_OK) {
		directory->trouble_ms = uv_now(directory->gateway->loop);
		topic_next(topic, RETRY_MS);
		return;
	}
	for (i = 0; i < result->records_nr; i++)
		topic->take(directory, &result->records[i]);
	topic->next_offset = result->next_offset;
	topic_next(topic, topic->next_offset < result->end_offset ?
				  0 :
				  topic->pause_ms);
}

static void on_sweep(uv_timer_t *timer)
{
	struct directory *directory = timer->data;
	struct gateway *gateway = directory->gateway;
	uint64_t now = uv_now(gateway->loop);
	GHashTableIter iter;
	gpointer id, since;

	g_hash_table_iter_init(&iter, directory->lapsed);
	while (g_hash_table_iter_next(&iter, &id, &since)) {
		if (!store_reachable(gateway->store))
			*(uint64_t *)since = now;
		if (now - *(uint64_t *)since < LAPSED_GRACE_MS)
			continue;
		log_event("server", LOG_LEVEL_INFO,
			  "id=%s unlisted, its entry did not come back",
			  (const char *)id);
		fleet_unlist(gateway->fleet, id);
		g_hash_table_iter_remove(&iter);
	}
	fleet_sweep(gateway->fleet, now);
}

struct directory *directory_create(struct gateway *gateway)
{
	struct directory *directory = g_new0(struct directory, 1);
	struct topic *config = &directory->topics[TOPIC_CONFIG];
	struct topic *servers = &directory->topics[TOPIC_SERVERS];
	int i;

	directory->gateway = gateway;
	directory->lapsed =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	config->name = store_topic_operator;
	config->wait_ms = CONFIG_WAIT_MS;
	config->take = take_config;
	servers->name = store_topic_servers;
	servers->pause_ms = SERVERS_PAUSE_MS;
	servers->take = take_server;
	for (i = 0; i < TOPICS; i++) {
		struct topic *topic = &directory->topics[i];

		topic->directory = directory;
		uv_timer_init(gateway->loop, &topic->timer);
		topic->timer.data = topic;
		topic_next(topic, 0);
	}
	uv_timer_init(gateway->loop, &directory->sweep_timer);
	directory->sweep_timer.data = directory;
	uv_timer_start(&directory->sweep_timer, on_sweep, SWEEP_MS, SWEEP_MS);
	return directory;
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct topic *topic = handle->data;

	if (--topic->directory->handles == 0)
		g_free(topic->directory);
}

static void on_sweep_closed(uv_handle_t *handle)
{
	struct directory *directory = handle->data;

	if (--directory->handles == 0)
		g_free(directory);
}

void directory_destroy(struct directory *directory)
{
	int i;

	directory->handles = TOPICS + 1;
	for (i = 0; i < TOPICS; i++) {
		g_free(directory->topics[i].page_key);
		uv_close((uv_handle_t *)&directory->topics[i].timer,
			 on_timer_closed);
	}
	uv_close((uv_handle_t *)&directory->sweep_timer, on_sweep_closed);
	if (directory->seen)
		g_hash_table_destroy(directory->seen);
	g_hash_table_destroy(directory->lapsed);
}

bool directory_loaded(const struct directory *directory)
{
	return directory->gateway->config &&
	       directory->topics[TOPIC_SERVERS].following;
}
