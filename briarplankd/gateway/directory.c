/*
 * Reads the configuration and the list of servers from the platform's store:
 * first a snapshot of the newest values, then the records after it.
 */
#include <string.h>

#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"
#include "directory_private.h"
#include "peers.h"
#include "platform/codec.h"

/* Interval at which changes are fetched from another entry, in ms, and the same
 * while this node has not loaded the directory yet. */
#define FETCH_INTERVAL_MS 500
#define FETCH_COLD_INTERVAL_MS 100
/* Backoff after a failed read, in ms. It grows linearly with consecutive
 * failures up to RETRY_GROWTH_MAX times that, with random jitter of 25% either
 * way, so that hundreds of nodes that start together don't retry at once. */
#define RETRY_BASE_MS 150
#define RETRY_GROWTH_MAX 4
/* Timeout of a read in addition to the store's wait, in ms. */
#define READ_TIMEOUT_MS 900
#define READ_MAX_KB 1024
/* A record that vanishes within STORE_FAILURE_RECENT_MS of a failed read may
 * have expired because its server couldn't renew it. The server then has
 * UNLIST_GRACE_MS to write it again. */
#define STORE_FAILURE_RECENT_MS 4000
#define UNLIST_GRACE_MS 2000
/* Age of the configuration, in addition to the store's wait, up to which it counts as
 * the newest one, in ms: a failed read and the next. */
#define CONFIG_AGE_MAX_MS 1500
/* Interval of the check of all servers, in ms. */
#define SWEEP_INTERVAL_MS 100
/* Time for which the list of servers has been known from which on a new one has just
 * started, in ms. */
#define PACE_AFTER_MS 1000
/* Age up to which the list of servers counts as up to date, in ms: a few reads. */
#define SERVERS_AGE_MAX_MS 3000

void directory_apply_config(struct directory *directory,
			    const struct store_record *record)
{
	struct gateway *gateway = directory->gateway;
	struct route_table *table;

	if (strcmp(record->key, store_key_config) != 0 || !record->len)
		return;
	table = platform_config_decode(record->data, record->len);
	if (!table) {
		log_event("config", LOG_LEVEL_ERROR,
			  "offset=%" PRIu64 " malformed configuration: %s",
			  record->offset, error_last());
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
	if (directory->config)
		g_bytes_unref(directory->config);
	directory->config = g_bytes_new(record->data, record->len);
	directory->config_offset = record->offset;
	gateway_apply_config(gateway);
}

/* Removes a server from the list, and records that for other entries at the
 * offset of the removal. */
static void server_unlist(struct directory *directory, const char *id,
			  uint64_t offset, const char *suffix)
{
	log_event("server", LOG_LEVEL_INFO,
		  "id=%s unlisted offset=%" PRIu64 "%s", id, offset, suffix);
	fleet_mark_unlisted(directory->gateway->fleet, id);
	change_list_put(directory->changes, id, NULL, 0, offset);
}

uint64_t directory_next_offset(const struct directory *directory)
{
	return directory->topics[TOPIC_SERVERS].next_offset;
}

void directory_server_removed(struct directory *directory, const char *id,
			      uint64_t offset)
{
	struct gateway *gateway = directory->gateway;
	uint64_t now = uv_now(gateway->loop), *grace_start;
	struct server *server = fleet_find(gateway->fleet, id);

	if (!server || !server->listed)
		return;
	if (!directory->store_failed_ms ||
	    now - directory->store_failed_ms > STORE_FAILURE_RECENT_MS ||
	    server->draining) {
		server_unlist(directory, id, offset, "");
		return;
	}
	if (g_hash_table_contains(directory->unlist_pending, id))
		return;
	log_event("server", LOG_LEVEL_WARN,
		  "id=%s record vanished soon after a store failure", id);
	grace_start = g_new(uint64_t, 1);
	*grace_start = now;
	g_hash_table_insert(directory->unlist_pending, g_strdup(id),
			    grace_start);
}

/* Tells whether a record is only a heartbeat, which changes none of the
 * server's facts. */
static bool is_heartbeat(const struct server *server,
			 const struct server_info *facts)
{
	return server->listed && server->draining == facts->draining &&
	       server->started_ms == facts->started_ms &&
	       server->slots == facts->slots &&
	       !strcmp(server->service, facts->service) &&
	       !strcmp(server->address, facts->address) &&
	       !strcmp(server->software, facts->software) &&
	       !strcmp(server->data_centre, facts->data_centre);
}

void directory_apply_server(struct directory *directory,
			    const struct store_record *record)
{
	struct gateway *gateway = directory->gateway;
	struct server_info facts = { 0 };
	struct server *server;
	void *decoded;
	bool changed;

	if (directory->seen)
		g_hash_table_add(directory->seen, g_strdup(record->key));
	if (!record->len) {
		directory_server_removed(directory, record->key,
					 record->offset);
		return;
	}
	if (!platform_server_decode(record->key, record->data, record->len,
				    &facts, &decoded)) {
		log_event("server", LOG_LEVEL_WARN,
			  "id=%s malformed record: %s", record->key,
			  error_last());
		server_unlist(directory, record->key, record->offset,
			      ", its record is malformed");
		return;
	}
	server = fleet_find(gateway->fleet, record->key);
	changed = !server || !is_heartbeat(server, &facts) ||
		  g_hash_table_contains(directory->unlist_pending, record->key);
	/* After a snapshot began, the list lacks servers that did not change. */
	if (changed || !change_list_has(directory->changes, record->key))
		change_list_put(directory->changes, record->key, record->data,
				record->len, record->offset);
	else
		change_list_repeat(directory->changes, record->key,
				   record->offset);
	if (changed)
		log_event("server", LOG_LEVEL_INFO,
			  "id=%s service=%s address=%s data_centre=%s "
			  "software=%s slots=%u %s offset=%" PRIu64,
			  record->key, facts.service, facts.address,
			  facts.data_centre, facts.software, facts.slots,
			  facts.draining ? "draining" : "ready",
			  record->offset);
	fleet_update_server(gateway->fleet, &facts);
	g_hash_table_remove(directory->unlist_pending, record->key);
	platform_server_free(decoded);
}

static void topic_schedule(struct topic *topic, uint64_t pause_ms);

static void on_snapshot_page(void *ctx, const struct store_read_result *result);
static void on_records(void *ctx, const struct store_read_result *result);

/* Returns how long the store may hold a read. Reads of the configuration wait
 * for a change (long polling). Reads of the servers don't wait; they are
 * repeated after read_pause_ms(). */
static unsigned read_wait_ms(const struct topic *topic)
{
	struct directory *directory = topic->directory;

	return topic == &directory->topics[TOPIC_CONFIG] ?
		       peers_poll_pace(directory->gateway->peers)
			       .config_wait_ms :
		       0;
}

static uint64_t read_pause_ms(const struct topic *topic)
{
	struct directory *directory = topic->directory;

	return topic == &directory->topics[TOPIC_SERVERS] ?
		       peers_poll_pace(directory->gateway->peers)
			       .servers_pause_ms :
		       0;
}

/* Tells whether a reader provides the directory, so that the store isn't
 * read. */
static bool fetches_pages(const struct directory *directory)
{
	return directory_share_has_reader(directory->share) &&
	       (directory_loaded(directory) ||
		peers_may_wait(directory->gateway->peers));
}

static uint64_t fetch_interval(const struct directory *directory)
{
	return directory_loaded(directory) ? FETCH_INTERVAL_MS :
					     FETCH_COLD_INTERVAL_MS;
}

static void topic_read(struct topic *topic)
{
	struct directory *directory = topic->directory;
	struct store *store = directory->gateway->store;
	struct store_read read = {
		.topic = topic->name,
		.from = topic->next_offset,
		.max_kb = READ_MAX_KB,
		.wait_ms = read_wait_ms(topic),
		.timeout_ms = READ_TIMEOUT_MS,
		.after_key = topic->page_key,
		.ctx = topic,
	};

	if (fetches_pages(directory) && !topic->refresh) {
		topic_schedule(topic, fetch_interval(directory));
		return;
	}
	if (!topic->following && !peers_settled(directory->gateway->peers)) {
		topic_schedule(topic, PEERS_SETTLE_CHECK_MS);
		return;
	}
	topic->reading = true;
	topic->refresh = false;
	if (topic->following) {
		read.done = on_records;
		store_read(store, &read);
		return;
	}
	read.wait_ms = 0;
	read.done = on_snapshot_page;
	store_read_newest(store, &read);
}

static void on_topic_timer(uv_timer_t *timer)
{
	topic_read(timer->data);
}

static void topic_schedule(struct topic *topic, uint64_t pause_ms)
{
	uv_timer_start(&topic->timer, on_topic_timer,
		       topic->refresh ? 0 : pause_ms, 0);
}

/* Retries the same read after a backoff. */
static void topic_retry(struct topic *topic)
{
	double pause;

	topic->failures++;
	pause = RETRY_BASE_MS * MIN(topic->failures, RETRY_GROWTH_MAX);
	topic_schedule(topic,
		       (uint64_t)(pause * (0.75 + g_random_double() / 2)));
}

static void topic_restart(struct topic *topic)
{
	struct directory *directory = topic->directory;

	topic->following = false;
	topic->refresh = false;
	/* Servers that were listed only meanwhile stay unknown. */
	if (topic == &directory->topics[TOPIC_SERVERS])
		directory->known_since_ms = 0;
	g_free(topic->page_key);
	topic->page_key = NULL;
}

/* Removes the servers that a complete snapshot doesn't hold. */
static void unlist_unseen(struct directory *directory)
{
	struct list *pos;

	list_for_each (pos, fleet_servers(directory->gateway->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		if (!g_hash_table_contains(directory->seen, server->id))
			directory_server_removed(
				directory, server->id,
				directory_next_offset(directory));
	}
	g_hash_table_destroy(directory->seen);
	directory->seen = NULL;
}

/* Starts a snapshot of all servers. unlist_unseen() ends it. */
static void begin_snapshot(struct directory *directory, uint64_t end_offset)
{
	if (directory->seen)
		g_hash_table_destroy(directory->seen);
	directory->seen =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	change_list_reset(directory->changes, end_offset ? end_offset - 1 : 0);
}

static void on_snapshot_page(void *ctx, const struct store_read_result *result)
{
	struct topic *topic = ctx;
	struct directory *directory = topic->directory;
	bool servers = topic == &directory->topics[TOPIC_SERVERS];
	size_t i;

	topic->reading = false;
	if (result->status != STORE_OK) {
		directory->store_failed_ms = uv_now(directory->gateway->loop);
		topic_retry(topic);
		return;
	}
	topic->failures = 0;
	if (!topic->page_key) {
		/* Pages aren't read atomically: records written meanwhile are
		 * read afterwards, from the end offset of the first page. */
		topic->snapshot_offset = result->end_offset;
		if (servers)
			begin_snapshot(directory, result->end_offset);
	}
	for (i = 0; i < result->records_nr; i++)
		topic->apply(directory, &result->records[i]);
	if (result->more && result->records_nr) {
		g_free(topic->page_key);
		topic->page_key =
			g_strdup(result->records[result->records_nr - 1].key);
		topic_schedule(topic, 0);
		return;
	}
	g_free(topic->page_key);
	topic->page_key = NULL;
	if (servers)
		unlist_unseen(directory);
	topic->following = true;
	topic->as_of_ms = result->sent_ms;
	topic->next_offset = topic->snapshot_offset;
	topic_schedule(topic, read_pause_ms(topic));
}

static void on_records(void *ctx, const struct store_read_result *result)
{
	struct topic *topic = ctx;
	struct directory *directory = topic->directory;
	size_t i;

	topic->reading = false;
	if (result->status == STORE_EXPIRED) {
		log_event("store", LOG_LEVEL_WARN,
			  "topic=%s records are no longer kept from=%" PRIu64
			  " first=%" PRIu64 "; reading the newest values",
			  topic->name, topic->next_offset,
			  result->first_offset);
		topic_restart(topic);
		topic_schedule(topic, 0);
		return;
	}
	if (result->status != STORE_OK) {
		directory->store_failed_ms = uv_now(directory->gateway->loop);
		topic_retry(topic);
		return;
	}
	topic->failures = 0;
	/* A page of another entry may have been applied since the read was sent. */
	for (i = 0; i < result->records_nr; i++) {
		if (result->records[i].offset >= topic->next_offset)
			topic->apply(directory, &result->records[i]);
	}
	topic->next_offset = MAX(topic->next_offset, result->next_offset);
	if (topic->next_offset < result->end_offset) {
		topic_schedule(topic, 0);
		return;
	}
	topic->as_of_ms = result->sent_ms;
	topic_schedule(topic, read_pause_ms(topic));
}

static void on_fetch_timer(uv_timer_t *timer)
{
	struct directory *directory = timer->data;
	const struct topic *servers = &directory->topics[TOPIC_SERVERS];

	if (!directory_loaded(directory) &&
	    !peers_settled(directory->gateway->peers)) {
		uv_timer_start(timer, on_fetch_timer, PEERS_SETTLE_CHECK_MS, 0);
		return;
	}
	/* Without a complete list of servers, the whole list is fetched. */
	directory_share_fetch(
		directory->share,
		servers->following && !directory->page_had_removed ?
			servers->next_offset :
			0,
		directory->config ? directory->config_offset + 1 : 0);
	uv_timer_start(timer, on_fetch_timer, fetch_interval(directory), 0);
}

static bool servers_up_to_date(const struct directory *directory, uint64_t now)
{
	const struct topic *servers = &directory->topics[TOPIC_SERVERS];

	return servers->following &&
	       now - servers->as_of_ms <= SERVERS_AGE_MAX_MS;
}

static void on_sweep(uv_timer_t *timer)
{
	struct directory *directory = timer->data;
	struct gateway *gateway = directory->gateway;
	uint64_t now = uv_now(gateway->loop);
	GHashTableIter iter;
	gpointer id, grace_start;

	g_hash_table_iter_init(&iter, directory->unlist_pending);
	while (g_hash_table_iter_next(&iter, &id, &grace_start)) {
		if (!store_reachable(gateway->store))
			*(uint64_t *)grace_start = now;
		if (now - *(uint64_t *)grace_start < UNLIST_GRACE_MS)
			continue;
		server_unlist(directory, id, directory_next_offset(directory),
			      ", its record was not written again");
		g_hash_table_iter_remove(&iter);
	}
	fleet_sweep(gateway->fleet, now);
	/* Servers that are listed from the start have been running. */
	if (gateway->config && gateway->config->accounts &&
	    directory_known_for_ms(directory) >= PACE_AFTER_MS)
		fleet_begin_pacing(gateway->fleet);
	if (!servers_up_to_date(directory, now))
		directory->known_since_ms = 0;
	else if (!directory->known_since_ms)
		directory->known_since_ms = now;
}

uint64_t directory_known_for_ms(const struct directory *directory)
{
	uint64_t now = uv_now(directory->gateway->loop);

	if (!directory->known_since_ms || !servers_up_to_date(directory, now))
		return 0;
	return now - directory->known_since_ms;
}

struct directory *directory_create(struct gateway *gateway)
{
	struct directory *directory = g_new0(struct directory, 1);
	struct topic *config = &directory->topics[TOPIC_CONFIG];
	struct topic *servers = &directory->topics[TOPIC_SERVERS];
	struct directory_share_hooks hooks = {
		.fill_page = directory_fill_page,
		.apply_page = directory_apply_page,
		.ctx = directory,
	};
	int i;

	directory->gateway = gateway;
	directory->share = directory_share_create(gateway, &hooks);
	directory->changes = change_list_create();
	directory->unlist_pending =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	config->name = store_topic_operator;
	config->apply = directory_apply_config;
	servers->name = store_topic_servers;
	servers->apply = directory_apply_server;
	uv_timer_init(gateway->loop, &directory->fetch_timer);
	directory->fetch_timer.data = directory;
	uv_timer_start(&directory->fetch_timer, on_fetch_timer, 0, 0);
	for (i = 0; i < TOPICS; i++) {
		struct topic *topic = &directory->topics[i];

		topic->directory = directory;
		uv_timer_init(gateway->loop, &topic->timer);
		topic->timer.data = topic;
		topic_schedule(topic, 0);
	}
	uv_timer_init(gateway->loop, &directory->sweep_timer);
	directory->sweep_timer.data = directory;
	uv_timer_start(&directory->sweep_timer, on_sweep, SWEEP_INTERVAL_MS,
		       SWEEP_INTERVAL_MS);
	return directory;
}

static void on_topic_timer_closed(uv_handle_t *handle)
{
	struct topic *topic = handle->data;

	if (--topic->directory->open_handles == 0)
		g_free(topic->directory);
}

static void on_directory_timer_closed(uv_handle_t *handle)
{
	struct directory *directory = handle->data;

	if (--directory->open_handles == 0)
		g_free(directory);
}

void directory_destroy(struct directory *directory)
{
	int i;

	directory->open_handles = TOPICS + 2;
	directory_share_destroy(directory->share);
	for (i = 0; i < TOPICS; i++) {
		g_free(directory->topics[i].page_key);
		uv_close((uv_handle_t *)&directory->topics[i].timer,
			 on_topic_timer_closed);
	}
	uv_close((uv_handle_t *)&directory->fetch_timer,
		 on_directory_timer_closed);
	uv_close((uv_handle_t *)&directory->sweep_timer,
		 on_directory_timer_closed);
	change_list_destroy(directory->changes);
	if (directory->config)
		g_bytes_unref(directory->config);
	if (directory->seen)
		g_hash_table_destroy(directory->seen);
	g_hash_table_destroy(directory->unlist_pending);
}

uint64_t directory_config_age_ms(const struct directory *directory)
{
	return uv_now(directory->gateway->loop) -
	       directory->topics[TOPIC_CONFIG].as_of_ms;
}

bool directory_config_is_current(const struct directory *directory)
{
	const struct topic *topic = &directory->topics[TOPIC_CONFIG];

	return !topic->failures &&
	       directory_config_age_ms(directory) <=
		       read_wait_ms(topic) + CONFIG_AGE_MAX_MS;
}

uint64_t directory_servers_as_of_ms(const struct directory *directory)
{
	const struct topic *servers = &directory->topics[TOPIC_SERVERS];

	return servers->following ? servers->as_of_ms : 0;
}

void directory_refresh_servers(struct directory *directory)
{
	struct topic *servers = &directory->topics[TOPIC_SERVERS];

	/* After a failed read, the backoff holds. */
	if (!servers->following || servers->refresh || servers->failures)
		return;
	servers->refresh = true;
	if (!servers->reading)
		topic_schedule(servers, 0);
}

bool directory_loaded(const struct directory *directory)
{
	return directory->gateway->config &&
	       directory->topics[TOPIC_SERVERS].following;
}
