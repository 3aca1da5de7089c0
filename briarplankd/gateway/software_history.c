#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "directory.h"
#include "peers.h"
#include "software.pb-c.h"
#include "software_history.h"

#define SOFTWARE_TOPIC "keyed.software"
/* Timeout of a call for the topic, in ms. */
#define CALL_TIMEOUT_MS 900
/* Interval at which versions are compared with what is stored, in ms. */
#define CHECK_INTERVAL_MS 300
/* Pause after an append that failed, in ms. */
#define RETRY_MS 1000
/* Times after which an entry that isn't responsible for a service looks whether a change
 * was stored, and stores it itself, in ms. */
#define READ_AGAIN_MS 1500
#define STORE_INSTEAD_MS 3000

/* Time after which what the configuration no longer has is forgotten, in ms: longer than
 * any stream is remembered. */
#define FORGET_MS (20 * 60 * 1000)
/* Space for a record, in bytes. */
#define RECORD_BYTES 64

/* What is known of a service or a route. */
struct span {
	/* Hash of the version of a service, 0 for several, or of the services and weights
	 * of a route. */
	uint64_t value;
	/* Unix time since which there was no other, in ms. */
	uint64_t since_ms;
	/* The value in the store, as far as this entry knows. */
	uint64_t stored_value;
	bool is_stored;
	/* Loop time at which the stored value was first seen to differ; 0 while it
	 * doesn't. */
	uint64_t differs_ms;
	/* Loop time at which the configuration had it last, in ms. */
	uint64_t seen_ms;
};

struct software_history {
	struct gateway *gateway;
	uv_timer_t timer;
	/* Maps the name of a service, or route_key(), to its struct span *. */
	GHashTable *spans;
	/* The store was read since the list of servers is up to date. */
	bool loaded;
	bool reading;
	bool storing;
	/* Loop time before which nothing is stored after a failure, in ms. */
	uint64_t retry_ms;
	char *page_key;
};

/* Returns the key of a route, which the caller frees. The names of services have no
 * spaces. */
static char *route_key(const char *route)
{
	return g_strdup_printf("route %016" PRIx64, hash_string(route, 0));
}

static struct span *span_get(struct software_history *history, const char *key)
{
	struct span *span = g_hash_table_lookup(history->spans, key);

	if (span)
		return span;
	span = g_new0(struct span, 1);
	span->seen_ms = uv_now(history->gateway->loop);
	g_hash_table_insert(history->spans, g_strdup(key), span);
	return span;
}

static void read_spans(struct software_history *history);

static void apply_record(struct software_history *history,
			 const struct store_record *record)
{
	SoftwareSpan *message;
	struct span *span;

	if (!record->len)
		return;
	message = software_span__unpack(NULL, record->len,
					(const uint8_t *)record->data);
	if (!message) {
		log_event("software", LOG_LEVEL_WARN, "key=%s malformed record",
			  record->key);
		return;
	}
	span = span_get(history, record->key);
	span->is_stored = true;
	span->stored_value = message->software;
	/* Until the list of servers is compared with it, the record counts. */
	if (!history->loaded) {
		span->value = message->software;
		span->since_ms = message->since_ms;
	}
	software_span__free_unpacked(message, NULL);
}

static void on_read(void *ctx, const struct store_read_result *result)
{
	struct software_history *history = ctx;
	size_t i;

	history->reading = false;
	if (result->status != STORE_OK) {
		g_free(history->page_key);
		history->page_key = NULL;
		return;
	}
	for (i = 0; i < result->records_nr; i++)
		apply_record(history, &result->records[i]);
	g_free(history->page_key);
	history->page_key = NULL;
	if (result->more && result->records_nr) {
		history->page_key =
			g_strdup(result->records[result->records_nr - 1].key);
		read_spans(history);
		return;
	}
	if (!history->loaded)
		log_event("software", LOG_LEVEL_INFO,
			  "versions read services_and_routes=%u",
			  g_hash_table_size(history->spans));
	history->loaded = true;
}

static void read_spans(struct software_history *history)
{
	struct store_read read = {
		.topic = SOFTWARE_TOPIC,
		.timeout_ms = CALL_TIMEOUT_MS,
		.after_key = history->page_key,
		.done = on_read,
		.ctx = history,
	};

	if (history->reading)
		return;
	history->reading = true;
	store_read_newest(history->gateway->store, &read);
}

static void on_stored(void *ctx, const struct store_append_result *result)
{
	struct software_history *history = ctx;
	GHashTableIter iter;
	gpointer value;

	history->storing = false;
	if (result->status == STORE_OK)
		return;
	g_hash_table_iter_init(&iter, history->spans);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct span *)value)->is_stored = false;
	history->retry_ms = uv_now(history->gateway->loop) + RETRY_MS;
	log_event("software", LOG_LEVEL_WARN, "versions not stored: %s",
		  store_status_name(result->status));
	/* Reads what is stored now. */
	read_spans(history);
}

/* Adds the record of a span to those that are stored next. */
static void add_record(GString *records, const char *key, struct span *span)
{
	SoftwareSpan message = SOFTWARE_SPAN__INIT;
	uint8_t bytes[RECORD_BYTES];

	message.software = span->value;
	message.since_ms = span->since_ms;
	store_add_keyed_record(records, key, bytes,
			       software_span__pack(&message, bytes));
	span->is_stored = true;
	span->stored_value = span->value;
	span->differs_ms = 0;
}

static void store_records(struct software_history *history, GString *records)
{
	struct store_append append = {
		.topic = SOFTWARE_TOPIC,
		.records = records,
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_stored,
		.ctx = history,
	};

	history->storing = true;
	store_append(history->gateway->store, &append);
}

static bool may_store(const struct software_history *history, uint64_t now)
{
	return !history->storing && !history->reading &&
	       now >= history->retry_ms;
}

/* The value of a service or a route that holds now. */
struct current_value {
	const char *key;
	const char *name;
	bool is_route;
	uint64_t value;
};

/* Compares it with what is known, and adds a record of what has to be stored. */
static void update_span(struct software_history *history,
			const struct current_value *current, GString *records)
{
	struct gateway *gateway = history->gateway;
	struct span *span = span_get(history, current->key);
	uint64_t now = uv_now(gateway->loop);

	span->seen_ms = now;
	if (current->value != span->value || !span->since_ms) {
		log_event("software", LOG_LEVEL_INFO,
			  "%s=%s %s=%016" PRIx64 " before=%016" PRIx64
			  " stored=%016" PRIx64,
			  current->is_route ? "route" : "service",
			  current->name,
			  current->is_route ? "picks" : "software",
			  current->value, span->value, span->stored_value);
		span->value = current->value;
		span->since_ms = gateway_wall_ms();
	}
	if (span->is_stored && span->stored_value == span->value) {
		span->differs_ms = 0;
		return;
	}
	if (!span->differs_ms)
		span->differs_ms = now;
	if (!may_store(history, now))
		return;
	if (peers_owns_hash(gateway->peers, hash_string(current->key, 0)) ||
	    now - span->differs_ms >= STORE_INSTEAD_MS)
		add_record(records, current->key, span);
	else if (now - span->differs_ms >= READ_AGAIN_MS)
		read_spans(history);
}

static void update_services(struct software_history *history, GString *records)
{
	struct gateway *gateway = history->gateway;
	uint64_t now = uv_now(gateway->loop);
	guint i;

	for (i = 0; i < gateway->config->services->len; i++) {
		const struct service *service =
			g_ptr_array_index(gateway->config->services, i);
		struct current_value current = {
			.key = service->name,
			.name = service->name,
			.value = fleet_sole_software(gateway->fleet,
						     service->name, now),
		};

		if (fleet_sole_software(gateway->fleet, service->name, 0) ||
		    fleet_usable(gateway->fleet, service->name, now))
			update_span(history, &current, records);
	}
}

static void update_routes(struct software_history *history, GString *records)
{
	struct gateway *gateway = history->gateway;
	guint i;

	for (i = 0; i < gateway->config->routes->len; i++) {
		const struct route *route =
			g_ptr_array_index(gateway->config->routes, i);
		struct current_value current = {
			.name = route->name,
			.is_route = true,
		};
		char *key;

		if (route->kind != ROUTE_STREAM)
			continue;
		key = route_key(route->name);
		current.key = key;
		current.value = route_picks_hash(route);
		update_span(history, &current, records);
		g_free(key);
	}
}

/* Forgets routes and services that left the configuration, and has them removed from the
 * store by the entry that is responsible for them. */
static void forget_unseen(struct software_history *history, GString *records)
{
	struct gateway *gateway = history->gateway;
	uint64_t now = uv_now(gateway->loop);
	GHashTableIter iter;
	gpointer key, value;

	if (!may_store(history, now))
		return;
	g_hash_table_iter_init(&iter, history->spans);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		if (now - ((struct span *)value)->seen_ms < FORGET_MS)
			continue;
		if (peers_owns_hash(gateway->peers, hash_string(key, 0)))
			store_add_keyed_record(records, key, NULL, 0);
		g_hash_table_iter_remove(&iter);
	}
}

static void on_check(uv_timer_t *timer)
{
	struct software_history *history = timer->data;
	struct gateway *gateway = history->gateway;
	GString *records;

	/* What was listed meanwhile isn't known; others may have stored it. */
	if (!directory_known_for_ms(gateway->directory)) {
		history->loaded = false;
		return;
	}
	if (!history->loaded) {
		read_spans(history);
		return;
	}
	if (!gateway->config)
		return;
	records = g_string_new(NULL);
	update_services(history, records);
	update_routes(history, records);
	forget_unseen(history, records);
	if (records->len)
		store_records(history, records);
	else
		g_string_free(records, TRUE);
}

uint64_t software_history_sole(struct software_history *history,
			       const char *service, uint64_t for_ms)
{
	struct gateway *gateway = history->gateway;
	const struct span *span = g_hash_table_lookup(history->spans, service);

	if (!history->loaded || !span || !span->value ||
	    span->since_ms + for_ms > gateway_wall_ms() ||
	    fleet_sole_software(gateway->fleet, service,
				uv_now(gateway->loop)) != span->value)
		return 0;
	return span->value;
}

bool software_history_route_steady(const struct software_history *history,
				   const char *route, uint64_t picks,
				   uint64_t for_ms)
{
	char *key = route_key(route);
	const struct span *span = g_hash_table_lookup(history->spans, key);

	g_free(key);
	return history->loaded && span && span->value == picks &&
	       span->since_ms + for_ms <= gateway_wall_ms();
}

struct software_history *software_history_create(struct gateway *gateway)
{
	struct software_history *history = g_new0(struct software_history, 1);

	history->gateway = gateway;
	history->spans =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(gateway->loop, &history->timer);
	history->timer.data = history;
	uv_timer_start(&history->timer, on_check, CHECK_INTERVAL_MS / 3,
		       CHECK_INTERVAL_MS);
	return history;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void software_history_destroy(struct software_history *history)
{
	g_hash_table_destroy(history->spans);
	g_free(history->page_key);
	uv_close((uv_handle_t *)&history->timer, on_closed);
}
