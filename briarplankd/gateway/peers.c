/*
 * Sends and receives load reports over UDP, and announces this entry through
 * the job log.
 */
#include <arpa/inet.h>
#include <string.h>

#include "accounts.h"
#include "batch.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/peer_table.h"
#include "directory.h"
#include "evidence_share.h"
#include "job_store.h"
#include "joblog.pb-c.h"
#include "limits.h"
#include "net/address.h"
#include "nodeload.pb-c.h"
#include "pace_share.h"
#include "peers.h"
#include "store_route.h"
#include "stream_share.h"

/* Shortest time between two reports, in ms. Batch items yield to online
 * requests of other nodes within this time plus the network latency. Reports to
 * other regions are rarer, as those links have little bandwidth and high
 * latency anyway. */
#define REPORT_INTERVAL_MS 15
#define REPORT_INTERVAL_OTHER_REGION_MS 90
/* Number of entries up to which these intervals hold. With more entries they
 * grow in proportion, so that a node sends and receives at most about 800
 * reports a second. */
#define REPORT_INTERVAL_PEERS 12
/* Interval of the check for due reports, in ms. */
#define CHECK_INTERVAL_MS 300
/* Maximum size of a datagram, in bytes: below the MTU of common links. */
#define REPORT_BYTES_MAX 1400
/* Topic of the store with the newest announcement of each address. Unlike the
 * job log it is short enough for each entry to read when it starts. */
#define ENTRIES_TOPIC "keyed.entries"
/* Timeout of a call for the list of entries, and pause before it is repeated,
 * in ms. */
#define ENTRIES_TIMEOUT_MS 900
#define ENTRIES_RETRY_MS 300
/* Time after the list of entries was read in which their reports arrive, in ms:
 * two round trips between regions, and the pace of reports. */
#define SETTLE_MS 400
/* Time after the start for which the list of entries is waited for, in ms. */
#define SETTLE_MAX_MS 1500
/* Time after the start for which a node waits for a reader to load the store's
 * data, in ms. */
#define COLD_WAIT_MS 3000

struct peers {
	struct gateway *gateway;
	uv_udp_t udp;
	uv_timer_t report_timer;
	uv_timer_t check_timer;
	uv_timer_t entries_timer;
	uint64_t started_ms;
	/* Loop time at which the list of entries was read; 0 before. */
	uint64_t entries_read_ms;
	/* This node's announcement is in the list of entries. */
	bool listed;
	/* Key of the last entry of the page that was read last, or NULL. */
	char *entries_page;
	/* Number of handles that are still to be closed. */
	int open_handles;
	struct peer_table *table;
	uint64_t sequence;
	/* True if this node's load changed since its last report: the first for
	 * reports to entries of this region, the second for reports to other
	 * regions. */
	bool unreported;
	bool unreported_far;
	/* Another entry may have dropped this one from its list, so this entry
	 * must announce its address again. */
	bool must_announce;
	uint64_t sent_ms;
	uint64_t sent_far_ms;
	/* Number of entries that get reports, in this region and in others. */
	unsigned near_nr;
	unsigned far_nr;
	char *address;
};

static void on_alive(void *ctx, const struct peer *peer)
{
	struct peers *peers = ctx;

	log_event("peer", LOG_LEVEL_INFO, "entry=%s alive", peer->identity);
	evidence_share_peer_alive(peers->gateway->evidence);
	/* The entry may have started and wait for reports. */
	peers_load_changed(peers);
}

static void on_lost(void *ctx, const struct peer *peer, const char *reason)
{
	struct peers *peers = ctx;

	fleet_set_peer_load(peers->gateway->fleet, peer->hash, NULL, 0);
	log_event("peer", LOG_LEVEL_WARN, "entry=%s lost: %s", peer->identity,
		  reason);
}

static void on_removed(void *ctx, const struct peer *peer)
{
	struct peers *peers = ctx;

	log_event("peer", LOG_LEVEL_INFO, "entry=%s removed", peer->identity);
	accounts_forget(peers->gateway->accounts, peer->address);
	peers->must_announce = true;
}

static bool is_same_region(const struct peers *peers, const char *data_centre)
{
	const struct gateway *gateway = peers->gateway;
	const char *region = g_hash_table_lookup(gateway->regions, data_centre);

	return region && !strcmp(region, gateway->settings->region);
}

static void add_entry(struct peers *peers, const char *identity,
		      const char *address, const char *data_centre,
		      unsigned capacity, bool replayed)
{
	struct peer_announcement announcement = {
		.identity = identity,
		.same_region = is_same_region(peers, data_centre),
		.capacity = capacity,
		.replayed = replayed,
	};
	struct sockaddr_in addr;

	if (!address_parse(address, &addr)) {
		log_event("peer", LOG_LEVEL_WARN,
			  "entry=%s announced a malformed address: %s",
			  identity, address);
		return;
	}
	announcement.address = address_pack(&addr);
	if (strcmp(address, peers->address) != 0)
		accounts_expect(peers->gateway->accounts, announcement.address);
	peer_table_note_announcement(peers->table, &announcement,
				     uv_now(peers->gateway->loop));
	peers->unreported = true;
	peers->unreported_far = true;
}

void peers_add_announced(struct peers *peers, const char *identity,
			 const char *address, const char *data_centre)
{
	add_entry(peers, identity, address, data_centre, 0,
		  !job_store_loaded(peers->gateway->job_store));
}

static void apply_load(struct peers *peers, struct peer *peer,
		       const NodeLoad *load)
{
	size_t i, nr = MIN(load->n_servers, MIN(load->n_online, load->n_batch));
	struct peer_load *loads = g_new0(struct peer_load, nr);

	for (i = 0; i < nr; i++) {
		loads[i].server_hash = load->servers[i];
		loads[i].counts[WORK_ONLINE] = load->online[i];
		loads[i].counts[WORK_BATCH] = load->batch[i];
	}
	fleet_set_peer_load(peers->gateway->fleet, peer->hash, loads, nr);
	g_free(loads);
	if (*load->data_centre)
		peer->same_region = is_same_region(peers, load->data_centre);
	peer->loaded = load->loaded;
	peer->capacity = load->capacity;
	peer->leaving = load->leaving;
	peer->index_offset = load->index_offset;
	peer->backlog.in_time = load->backlog;
	peer->backlog.late = load->backlog_late;
	peer->reaches_store = load->reaches_store;
	peer->directory =
		load->directory_port ?
			address_with_port(peer->address, load->directory_port) :
			0;
	batch_load_changed(peers->gateway->batch);
	evidence_share_apply_report(peers->gateway->evidence, load);
	limits_apply_report(peers->gateway->limits, peer, load);
	accounts_apply_report(peers->gateway->accounts, peer, load);
	pace_share_apply_report(peers->gateway, load);
}

static void on_report(uv_udp_t *udp, ssize_t nread, const uv_buf_t *buf,
		      const struct sockaddr *from, unsigned flags)
{
	struct peers *peers = udp->data;
	struct peer *peer;
	NodeLoad *load;

	(void)flags;
	if (nread <= 0 || !from || from->sa_family != AF_INET)
		return;
	load = node_load__unpack(NULL, (size_t)nread, (uint8_t *)buf->base);
	if (!load) {
		log_event("peer", LOG_LEVEL_WARN,
			  "received a malformed load report");
		return;
	}
	if (!load->sequence) {
		stream_share_receive(
			peers->gateway->streams, load,
			address_pack((const struct sockaddr_in *)from));
		node_load__free_unpacked(load, NULL);
		return;
	}
	peer = peer_table_note_report(
		peers->table, load->node,
		address_pack((const struct sockaddr_in *)from), load->sequence,
		uv_now(peers->gateway->loop));
	if (peer)
		apply_load(peers, peer, load);
	node_load__free_unpacked(load, NULL);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[65536];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static bool is_loaded(const struct gateway *gateway)
{
	return directory_loaded(gateway->directory) &&
	       job_store_loaded(gateway->job_store) &&
	       evidence_share_read(gateway->evidence);
}

/* Returns this node's encoded load report; the caller frees it. */
static uint8_t *report_encode(struct peers *peers,
			      enum account_audience audience, size_t *len)
{
	struct gateway *gateway = peers->gateway;
	struct batch_backlog backlog = batch_backlog(gateway->batch);
	NodeLoad load = NODE_LOAD__INIT;
	GArray *servers = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	GArray *online = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	GArray *batch = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	struct list *pos;
	uint8_t *out;

	list_for_each (pos, fleet_servers(gateway->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		if (!server->own[WORK_ONLINE] && !server->own[WORK_BATCH])
			continue;
		g_array_append_val(servers, server->hash);
		g_array_append_val(online, server->own[WORK_ONLINE]);
		g_array_append_val(batch, server->own[WORK_BATCH]);
	}
	load.node = gateway->identity;
	load.sequence = ++peers->sequence;
	load.leaving = gateway->handed_over;
	load.backlog = backlog.in_time;
	load.backlog_late = backlog.late;
	load.reaches_store = store_route_is_direct(gateway->store_route);
	load.index_offset = job_store_appended_offset(gateway->job_store);
	load.directory_port = gateway->node_web_port;
	load.data_centre = gateway->settings->data_centre;
	load.capacity = (uint32_t)gateway->settings->cpu_permille;
	load.loaded = is_loaded(gateway);
	load.servers = (uint64_t *)servers->data;
	load.n_servers = servers->len;
	load.online = (uint32_t *)online->data;
	load.n_online = online->len;
	load.batch = (uint32_t *)batch->data;
	load.n_batch = batch->len;
	evidence_share_add_to_report(gateway->evidence, &load);
	limits_add_to_report(gateway->limits, &load);
	accounts_add_to_report(gateway->accounts, audience, &load);
	pace_share_add_to_report(gateway, &load);
	*len = node_load__get_packed_size(&load);
	out = g_malloc(*len);
	node_load__pack(&load, out);
	evidence_share_free_report(&load);
	limits_free_report(&load);
	accounts_free_report(&load);
	pace_share_free_report(&load);
	g_array_free(servers, TRUE);
	g_array_free(online, TRUE);
	g_array_free(batch, TRUE);
	return out;
}

void peers_send(struct peers *peers, uint64_t address, NodeLoad *message)
{
	struct sockaddr_in addr = address_unpack(address);
	size_t len;
	uint8_t *bytes;
	uv_buf_t buf;
	int rc;

	message->node = peers->gateway->identity;
	len = node_load__get_packed_size(message);
	bytes = g_malloc(len);
	node_load__pack(message, bytes);
	buf = uv_buf_init((char *)bytes, (unsigned)len);
	rc = uv_udp_try_send(&peers->udp, &buf, 1,
			     (const struct sockaddr *)&addr);
	if (rc < 0)
		log_event("peer", LOG_LEVEL_WARN, "message not sent: %s",
			  uv_strerror(rc));
	g_free(bytes);
}

unsigned peers_choose(const struct peers *peers, uint64_t key, bool same_region,
		      uint64_t *addresses, unsigned max)
{
	return peer_table_choose(peers->table, key, same_region, addresses,
				 max);
}

static void report_send(struct peers *peers, bool near, bool far)
{
	uint64_t now = uv_now(peers->gateway->loop);
	size_t len;
	uint8_t *bytes = report_encode(
		peers, far ? AUDIENCE_ALL : AUDIENCE_REGION, &len);
	uv_buf_t buf = uv_buf_init((char *)bytes, (unsigned)len);
	struct list *pos;

	if (len > REPORT_BYTES_MAX)
		log_event("peer", LOG_LEVEL_WARN,
			  "load report of %zu bytes may be fragmented", len);
	list_for_each (pos, peer_table_peers(peers->table)) {
		struct peer *peer = list_entry(pos, struct peer, link);
		struct sockaddr_in addr = address_unpack(peer->address);

		if (!(peer->same_region ? near : far))
			continue;
		/* A lost report is superseded by the next. */
		uv_udp_try_send(&peers->udp, &buf, 1,
				(const struct sockaddr *)&addr);
	}
	g_free(bytes);
	if (near) {
		peers->unreported = false;
		peers->sent_ms = now;
	}
	if (far) {
		peers->unreported_far = false;
		peers->sent_far_ms = now;
	}
}

/* Returns the shortest time between two reports to nr entries, in ms. */
static uint64_t report_interval(uint64_t base_ms, unsigned nr)
{
	return nr <= REPORT_INTERVAL_PEERS ?
		       base_ms :
		       base_ms * nr / REPORT_INTERVAL_PEERS;
}

static void on_report_timer(uv_timer_t *timer)
{
	struct peers *peers = timer->data;
	uint64_t now = uv_now(peers->gateway->loop);
	uint64_t far_interval =
		report_interval(REPORT_INTERVAL_OTHER_REGION_MS, peers->far_nr);

	report_send(peers, peers->unreported,
		    peers->unreported_far &&
			    now - peers->sent_far_ms >= far_interval);
}

/* Functions that keep the list of entries. */

static void entries_write(struct peers *peers);
static void entries_read(struct peers *peers);

static void on_entries_timer(uv_timer_t *timer)
{
	struct peers *peers = timer->data;

	if (peers->listed)
		entries_read(peers);
	else
		entries_write(peers);
}

static void entries_retry(struct peers *peers)
{
	uv_timer_start(&peers->entries_timer, on_entries_timer,
		       ENTRIES_RETRY_MS, 0);
}

static void on_entries_written(void *ctx,
			       const struct store_append_result *result)
{
	struct peers *peers = ctx;

	if (result->status != STORE_OK) {
		entries_retry(peers);
		return;
	}
	/* Of two entries that start together, the later one in the list finds
	 * the other by this read. */
	peers->listed = true;
	entries_read(peers);
}

/* Writes this node's announcement; its key is the address, so that it replaces
 * that of an earlier process. */
static void entries_write(struct peers *peers)
{
	const struct gateway *gateway = peers->gateway;
	JobNode node = JOB_NODE__INIT;
	struct store_append append = {
		.topic = ENTRIES_TOPIC,
		.records = g_string_new(NULL),
		.timeout_ms = ENTRIES_TIMEOUT_MS,
		.done = on_entries_written,
		.ctx = peers,
	};
	size_t len;
	uint8_t *bytes;

	node.name = gateway->identity;
	node.address = peers->address;
	node.data_centre = gateway->settings->data_centre;
	node.capacity = (uint32_t)gateway->settings->cpu_permille;
	len = job_node__get_packed_size(&node);
	bytes = g_malloc(len);
	job_node__pack(&node, bytes);
	store_add_keyed_record(append.records, peers->address, bytes, len);
	g_free(bytes);
	store_append(gateway->store, &append);
}

static void on_entries_read(void *ctx, const struct store_read_result *result)
{
	struct peers *peers = ctx;
	size_t i;

	if (result->status != STORE_OK) {
		entries_retry(peers);
		return;
	}
	for (i = 0; i < result->records_nr; i++) {
		const struct store_record *record = &result->records[i];
		JobNode *node = job_node__unpack(NULL, record->len,
						 (const uint8_t *)record->data);

		if (!node) {
			log_event("peer", LOG_LEVEL_WARN,
				  "address=%s malformed announcement",
				  record->key);
			continue;
		}
		add_entry(peers, node->name, node->address, node->data_centre,
			  node->capacity, true);
		job_node__free_unpacked(node, NULL);
	}
	g_free(peers->entries_page);
	peers->entries_page = NULL;
	if (result->more && result->records_nr) {
		peers->entries_page =
			g_strdup(result->records[result->records_nr - 1].key);
		entries_read(peers);
		return;
	}
	log_event("peer", LOG_LEVEL_INFO, "list of entries read entries=%u",
		  peer_table_entries(peers->table));
	if (!peers->entries_read_ms)
		peers->entries_read_ms = uv_now(peers->gateway->loop);
	report_send(peers, true, true);
}

static void entries_read(struct peers *peers)
{
	struct store_read read = {
		.topic = ENTRIES_TOPIC,
		.timeout_ms = ENTRIES_TIMEOUT_MS,
		.after_key = peers->entries_page,
		.done = on_entries_read,
		.ctx = peers,
	};

	store_read_newest(peers->gateway->store, &read);
}

bool peers_settled(const struct peers *peers)
{
	const struct gateway *gateway = peers->gateway;
	uint64_t now = uv_now(gateway->loop);

	if (peer_table_has_loaded(peers->table) ||
	    now - peers->started_ms >= SETTLE_MAX_MS)
		return true;
	if (!peers->entries_read_ms)
		return false;
	return peer_table_region_entries(peers->table) <
		       (unsigned)gateway->settings->readers_from ||
	       peer_table_is_designated(peers->table) ||
	       now - peers->entries_read_ms >= SETTLE_MS;
}

bool peers_have_loaded(const struct peers *peers)
{
	return peer_table_has_loaded(peers->table);
}

bool peers_may_wait(const struct peers *peers)
{
	return uv_now(peers->gateway->loop) - peers->started_ms <= COLD_WAIT_MS;
}

void peers_announce(struct peers *peers)
{
	const struct gateway *gateway = peers->gateway;

	peers->must_announce = false;
	if (!peers->entries_read_ms)
		entries_read(peers);
	entries_write(peers);
	job_store_append(gateway->job_store,
			 job_log_encode_node(gateway->identity, peers->address,
					     gateway->settings->data_centre),
			 false, NULL, NULL);
}

static void on_check(uv_timer_t *timer)
{
	struct peers *peers = timer->data;
	uint64_t now = uv_now(peers->gateway->loop);
	uint64_t far_interval =
		report_interval(REPORT_INTERVAL_OTHER_REGION_MS, peers->far_nr);
	uint64_t heartbeat = peer_table_heartbeat_ms(peers->table);
	struct list *pos;

	peers->near_nr = 0;
	peers->far_nr = 0;
	peer_table_sweep(peers->table, now);
	if (peers->must_announce)
		peers_announce(peers);
	list_for_each (pos, peer_table_peers(peers->table)) {
		struct peer *peer = list_entry(pos, struct peer, link);

		peers->near_nr += peer->same_region;
		peers->far_nr += !peer->same_region;
	}
	report_send(peers,
		    now - peers->sent_ms + CHECK_INTERVAL_MS / 2 >= heartbeat,
		    now - peers->sent_far_ms + CHECK_INTERVAL_MS / 2 >=
				    heartbeat ||
			    (peers->unreported_far &&
			     now - peers->sent_far_ms >= far_interval));
}

void peers_load_changed(struct peers *peers)
{
	uint64_t interval = report_interval(REPORT_INTERVAL_MS, peers->near_nr);
	uint64_t now, elapsed;

	peers->unreported = true;
	peers->unreported_far = true;
	if (uv_is_active((uv_handle_t *)&peers->report_timer))
		return;
	now = uv_now(peers->gateway->loop);
	elapsed = now - peers->sent_ms;
	uv_timer_start(&peers->report_timer, on_report_timer,
		       elapsed >= interval ? 0 : interval - elapsed, 0);
}

void peers_hand_over(struct peers *peers)
{
	peer_table_hand_over(peers->table);
	peers_load_changed(peers);
}

bool peers_owns_job(const struct peers *peers, const struct job *job)
{
	struct peer_owner_query query = {
		.job = job->id,
		.accepted_by = job->node,
		.index_offset =
			job_store_read_offset(peers->gateway->job_store),
		.now_ms = uv_now(peers->gateway->loop),
	};

	return peer_table_owns(peers->table, &query);
}

bool peers_owns_hash(const struct peers *peers, uint64_t hash)
{
	return peer_table_owns_hash(peers->table, hash);
}

uint64_t peers_choose_reader(const struct peers *peers, uint64_t avoided)
{
	const struct gateway *gateway = peers->gateway;
	struct peer_reader_query query = {
		.self_reaches_store =
			store_route_is_direct(gateway->store_route),
		.self_loaded = is_loaded(gateway),
		.readers_from = (unsigned)gateway->settings->readers_from,
		.avoided = avoided,
	};
	const struct peer *reader = peer_table_reader(peers->table, &query);

	return reader ? reader->directory : 0;
}

struct poll_pace peers_poll_pace(const struct peers *peers)
{
	return poll_pace_for(
		peer_table_entries(peers->table),
		(unsigned)peers->gateway->settings->store_reads_per_s);
}

unsigned peers_entries(const struct peers *peers)
{
	return peer_table_entries(peers->table);
}

uint64_t peers_heartbeat_ms(const struct peers *peers)
{
	return peer_table_heartbeat_ms(peers->table);
}

uint64_t peers_age_ms(const struct peers *peers)
{
	return peer_table_oldest_report_ms(peers->table,
					   uv_now(peers->gateway->loop));
}

struct batch_backlog peers_backlog(const struct peers *peers, bool all_regions)
{
	struct batch_backlog sum =
		peer_table_backlog(peers->table, all_regions);
	struct batch_backlog own = batch_backlog(peers->gateway->batch);

	sum.in_time += own.in_time;
	sum.late += own.late;
	return sum;
}

struct list *peers_list(struct peers *peers)
{
	return peer_table_peers(peers->table);
}

bool peers_has_address(struct peers *peers, const struct in_addr *ip)
{
	struct list *pos;

	list_for_each (pos, peers_list(peers)) {
		const struct peer *peer = list_entry(pos, struct peer, link);

		if (address_unpack(peer->address).sin_addr.s_addr == ip->s_addr)
			return true;
	}
	return false;
}

const char *peers_address(const struct peers *peers)
{
	return peers->address;
}

struct peers *peers_create(struct gateway *gateway, int port)
{
	struct peers *peers = g_new0(struct peers, 1);
	struct peer_table_options table = {
		.self = gateway->identity,
		.now_ms = uv_now(gateway->loop),
		.capacity = (unsigned)gateway->settings->cpu_permille,
		.on_alive = on_alive,
		.on_lost = on_lost,
		.on_removed = on_removed,
		.ctx = peers,
	};
	struct sockaddr_in addr;
	int rc;

	peers->gateway = gateway;
	peers->started_ms = uv_now(gateway->loop);
	uv_timer_init(gateway->loop, &peers->report_timer);
	peers->report_timer.data = peers;
	uv_timer_init(gateway->loop, &peers->check_timer);
	peers->check_timer.data = peers;
	uv_timer_init(gateway->loop, &peers->entries_timer);
	peers->entries_timer.data = peers;
	uv_udp_init(gateway->loop, &peers->udp);
	peers->udp.data = peers;
	uv_ip4_addr(gateway->settings->ip, port, &addr);
	table.address = address_pack(&addr);
	peers->table = peer_table_create(&table);
	fleet_set_self(gateway->fleet, table.address);
	rc = uv_udp_bind(&peers->udp, (struct sockaddr *)&addr, 0);
	if (!rc)
		rc = uv_udp_recv_start(&peers->udp, on_alloc, on_report);
	if (rc) {
		error_set("can't listen for load reports on %s:%d: %s",
			  gateway->settings->ip, port, uv_strerror(rc));
		peers_destroy(peers);
		return NULL;
	}
	peers->address = address_format(&addr);
	uv_timer_start(&peers->check_timer, on_check, CHECK_INTERVAL_MS,
		       CHECK_INTERVAL_MS);
	return peers;
}

static void on_closed(uv_handle_t *handle)
{
	struct peers *peers = handle->data;

	if (--peers->open_handles == 0)
		g_free(peers);
}

void peers_destroy(struct peers *peers)
{
	peer_table_destroy(peers->table);
	g_free(peers->address);
	g_free(peers->entries_page);
	peers->open_handles = 4;
	uv_close((uv_handle_t *)&peers->entries_timer, on_closed);
	uv_close((uv_handle_t *)&peers->report_timer, on_closed);
	uv_close((uv_handle_t *)&peers->check_timer, on_closed);
	uv_close((uv_handle_t *)&peers->udp, on_closed);
}
