#include <math.h>
#include <string.h>

#include "common/hash.h"
#include "fleet_private.h"

/* Network latency added to the time to the first byte, in ms: one round trip
 * within a data centre, between data centres, between regions. */
static const double distance_ms[SERVER_DISTANCES] = { 0.5, 3, 62 };

/* Time that a server takes to accept a connection, in ms, in addition to a round
 * trip. */
#define ACCEPT_MS 1

/* Initial estimates before a server has answered, in ms. */
#define FIRST_MS_GUESS 40
#define HOLD_MS_GUESS 500
/* Weight of a new sample in the moving averages of a server's measurements. */
#define SMOOTHING 0.15
/* Delay of an online request that preempts a batch item, in ms: the item must
 * be cancelled first. */
#define PREEMPT_MS 12
/* Penalty of a server whose requests all fail, in ms; scaled by its failure
 * rate. */
#define FAILURE_MS 1500
/* Largest penalty of a server that is less likely to have the prompt's shared
 * prefix in its cache, in ms: about the time to process a few hundred prompt
 * tokens. */
#define PREFIX_MS 6
/* A server with outstanding requests that has sent nothing for this long is
 * avoided, in ms. */
#define SILENCE_MS 900
/* Penalty of a server whose pace lets it get no further request, in ms: it is chosen only
 * if there is no other. */
#define PACED_MS 10000
/* Initial and maximum backoff of an unreachable server, in ms. */
#define AVOID_MS 250
#define AVOID_MAX_MS 4000
/* Time for which a server that refused a request counts as full, in ms. */
#define REFUSED_MS 120
/* Time over which unattributed load from a report decays to 0, in ms. */
#define REPORT_DECAY_MS 400.0

/* Maximum number of leaving servers that are remembered; far more than leave
 * while a node runs. */
#define LEAVING_MAX 20000

static void peer_free(gpointer data)
{
	struct peer_report *peer = data;

	g_free(peer->loads);
	g_free(peer);
}

struct fleet *fleet_create(const struct fleet_options *options)
{
	struct fleet *fleet = g_new0(struct fleet, 1);

	fleet->options = *options;
	fleet->data_centre = g_strdup(options->data_centre);
	fleet->region = g_strdup(options->region);
	list_init(&fleet->servers);
	fleet->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	fleet->leaving = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       g_free, g_free);
	g_queue_init(&fleet->leaving_order);
	fleet->peers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					     g_free, peer_free);
	fleet->peaks =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet->batch_slots =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	fleet_limits_init(fleet);
	fleet_software_init(fleet);
	return fleet;
}

static void server_remove(struct fleet *fleet, struct server *server)
{
	if (fleet->options.on_forget)
		fleet->options.on_forget(fleet->options.ctx, server);
	list_remove(&server->link);
	g_hash_table_remove(fleet->by_hash, &server->hash);
	g_free(server->id);
	g_free(server->service);
	g_free(server->address);
	g_free(server->data_centre);
	g_free(server->software);
	g_free(server);
}

void fleet_destroy(struct fleet *fleet)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &fleet->servers)
		server_remove(fleet, list_entry(pos, struct server, link));
	g_hash_table_destroy(fleet->by_hash);
	g_queue_clear(&fleet->leaving_order);
	g_hash_table_destroy(fleet->leaving);
	g_hash_table_destroy(fleet->peers);
	g_hash_table_destroy(fleet->peaks);
	g_hash_table_destroy(fleet->batch_slots);
	fleet_limits_clear(fleet);
	fleet_software_clear(fleet);
	g_free(fleet->data_centre);
	g_free(fleet->region);
	g_free(fleet);
}

static enum server_distance distance_of(const struct fleet *fleet,
					const char *data_centre)
{
	const char *region;

	if (!strcmp(data_centre, fleet->data_centre))
		return SERVER_SAME_DATA_CENTRE;
	region = g_hash_table_lookup(fleet->options.regions, data_centre);
	if (region && !strcmp(region, fleet->region))
		return SERVER_SAME_REGION;
	return SERVER_OTHER_REGION;
}

struct server *fleet_find_hash(struct fleet *fleet, uint64_t hash)
{
	return g_hash_table_lookup(fleet->by_hash, &hash);
}

struct server *fleet_find(struct fleet *fleet, const char *id)
{
	return fleet_find_hash(fleet, hash_string(id, 0));
}

/* Resets all measurements of a server that restarted: the new process has none
 * of the requests or history of the previous one. */
static void server_reset(struct server *server)
{
	server->first_ms = FIRST_MS_GUESS;
	server->hold_ms = HOLD_MS_GUESS;
	server->failures = 0;
	server->unanswered = 0;
	server->avoid_until_ms = 0;
	server->backoffs = 0;
	server->unattributed = 0;
	server->rate_limit = 0;
	server->rate_heard_ms = 0;
	memset(&server->permits, 0, sizeof(server->permits));
	server->slowdown_ms = 0;
	server->pace.allowed = 0;
	server->pace_ended_ms = 0;
}

static struct server *server_add(struct fleet *fleet, const char *id)
{
	struct server *server = g_new0(struct server, 1);
	GHashTableIter iter;
	gpointer value;
	size_t i;

	server->id = g_strdup(id);
	server->hash = hash_string(id, 0);
	server->fleet = fleet;
	server_reset(server);
	server_begin_pace(server);
	list_append(&fleet->servers, &server->link);
	g_hash_table_insert(fleet->by_hash, &server->hash, server);
	/* Peers may have reported load on this server before it was listed. */
	g_hash_table_iter_init(&iter, fleet->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct peer_report *peer = value;

		for (i = 0; i < peer->nr; i++) {
			if (peer->loads[i].server_hash != server->hash)
				continue;
			server->others[WORK_ONLINE] +=
				peer->loads[i].counts[WORK_ONLINE];
			server->others[WORK_BATCH] +=
				peer->loads[i].counts[WORK_BATCH];
		}
	}
	return server;
}

static bool is_silent(const struct server *server, uint64_t now_ms)
{
	return server->unanswered &&
	       now_ms - server->unanswered_since_ms > SILENCE_MS;
}

static void set_text(char **field, const char *text)
{
	if (*field && !strcmp(*field, text))
		return;
	g_free(*field);
	*field = g_strdup(text);
}

void fleet_mark_leaving(struct fleet *fleet, struct server *server)
{
	uint64_t *hash, *started_ms;

	if (server->leaving)
		return;
	server->leaving = true;
	hash = g_memdup2(&server->hash, sizeof(*hash));
	started_ms = g_memdup2(&server->started_ms, sizeof(*started_ms));
	/* A server that leaves again after a restart has its hash in the table
	 * already, and the table frees the new copy of it. */
	if (g_hash_table_insert(fleet->leaving, hash, started_ms))
		g_queue_push_tail(&fleet->leaving_order, hash);
	if (g_hash_table_size(fleet->leaving) > LEAVING_MAX)
		g_hash_table_remove(fleet->leaving,
				    g_queue_pop_head(&fleet->leaving_order));
}

static bool is_leaving(const struct fleet *fleet, const struct server *server)
{
	const uint64_t *started_ms =
		g_hash_table_lookup(fleet->leaving, &server->hash);

	return started_ms && server->started_ms <= *started_ms;
}

void fleet_update_server(struct fleet *fleet, const struct server_info *facts)
{
	struct server *server = fleet_find(fleet, facts->id);
	const char *region;

	if (!server)
		server = server_add(fleet, facts->id);
	if (server->started_ms != facts->started_ms ||
	    (server->address && strcmp(server->address, facts->address) != 0)) {
		if (server->address && fleet->options.on_forget)
			fleet->options.on_forget(fleet->options.ctx, server);
		server_reset(server);
		server_begin_pace(server);
	}
	set_text(&server->service, facts->service);
	server->service_hash = hash_string(facts->service, 0);
	set_text(&server->address, facts->address);
	set_text(&server->data_centre, facts->data_centre);
	set_text(&server->software, facts->software ? facts->software : "");
	server->software_hash =
		fleet_software_hash(server->service, server->software);
	server->distance = distance_of(fleet, facts->data_centre);
	region =
		g_hash_table_lookup(fleet->options.regions, facts->data_centre);
	server->region = region ? fleet_region_hash(region) : 0;
	server->slots = MAX(facts->slots, 1);
	server->draining = facts->draining;
	server->started_ms = facts->started_ms;
	server->leaving = is_leaving(fleet, server);
	server->listed = true;
}

void fleet_mark_unlisted(struct fleet *fleet, const char *id)
{
	struct server *server = fleet_find(fleet, id);

	if (server)
		server->listed = false;
}

static void back_off(struct server *server, uint64_t now_ms)
{
	uint64_t ms = (uint64_t)AVOID_MS << MIN(server->backoffs, 4);

	server->backoffs++;
	server_begin_pace(server);
	server->avoid_until_ms = now_ms + MIN(ms, AVOID_MAX_MS);
}

void fleet_sweep(struct fleet *fleet, uint64_t now_ms)
{
	struct list *pos, *tmp;

	fleet_software_sweep(fleet, now_ms);
	list_for_each_safe (pos, tmp, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		if (is_silent(server, now_ms) &&
		    server->avoid_until_ms <= now_ms)
			back_off(server, now_ms);
		if (!server->listed && !server->own[WORK_ONLINE] &&
		    !server->own[WORK_BATCH])
			server_remove(fleet, server);
	}
}

struct list *fleet_servers(struct fleet *fleet)
{
	return &fleet->servers;
}

double server_unattributed(const struct server *server, uint64_t now_ms)
{
	double age = (double)(now_ms - server->reported_ms);

	if (age >= REPORT_DECAY_MS)
		return 0;
	return server->unattributed * (1 - age / REPORT_DECAY_MS);
}

double server_load(const struct server *server, enum work_class class)
{
	return server->own[class] + server->others[class];
}

bool server_serves(const struct server *server, const char *service)
{
	return server->listed && !server->draining && !server->leaving &&
	       !strcmp(server->service, service);
}

bool server_usable(const struct server *server, uint64_t now_ms)
{
	return server->avoid_until_ms <= now_ms && !is_silent(server, now_ms);
}

static double wait_for_slot(const struct server *server, uint64_t now_ms)
{
	double ahead = server_load(server, WORK_ONLINE) +
		       server_unattributed(server, now_ms) + 1 - server->slots;

	return ahead <= 0 ? 0 :
			    ahead * server->hold_ms / server->slots *
				    server_slowdown(server, now_ms);
}

bool server_has_connection(const struct fleet *fleet,
			   const struct server *server)
{
	const struct fleet_options *options = &fleet->options;

	return !options->has_connection ||
	       options->has_connection(options->ctx, server);
}

static bool was_tried(const struct fleet_query *query,
		      const struct server *server)
{
	size_t i;

	for (i = 0; i < query->tried_nr; i++) {
		if (query->tried[i] == server->hash)
			return true;
	}
	return false;
}

bool server_has_software(const struct server *server, uint64_t software)
{
	return !software || server->software_hash == software;
}

static double expected_ms(const struct fleet *fleet,
			  const struct server *server,
			  const struct fleet_query *query)
{
	double online = server_load(server, WORK_ONLINE);
	double total = online + server_load(server, WORK_BATCH);
	double ms = wait_for_slot(server, query->now_ms);

	ms += distance_ms[server->distance] +
	      server->first_ms * server_slowdown(server, query->now_ms);
	if (server_is_paced(server))
		ms += PACED_MS;
	if (!server_has_connection(fleet, server))
		ms += distance_ms[server->distance] + ACCEPT_MS;
	ms += FAILURE_MS * server->failures;
	/* A server with unanswered requests may have failed, so its silence
	 * adds to its expected time. */
	if (server->unanswered)
		ms += (double)(query->now_ms - server->unanswered_since_ms);
	if (total + 1 > server->slots)
		ms += PREEMPT_MS;
	/* Among servers with equal waits, prefer the least loaded. */
	ms += 2 * total / server->slots;
	if (query->prefix_hash) {
		double rank = (double)(hash_combine(query->prefix_hash,
						    server->hash) >>
				       11) /
			      (double)(1ULL << 53);

		ms += PREFIX_MS * rank;
	}
	return ms;
}

struct fleet_choice fleet_choose(struct fleet *fleet,
				 const struct fleet_query *query)
{
	struct fleet_choice choice = { 0 };
	double best = INFINITY;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);
		double ms;

		if (!server_serves(server, query->service) ||
		    !server_has_software(server, query->software) ||
		    !server_usable(server, query->now_ms) ||
		    !server_permits(server, WORK_ONLINE, query->now_ms) ||
		    was_tried(query, server))
			continue;
		ms = expected_ms(fleet, server, query);
		if (ms >= best)
			continue;
		best = ms;
		choice.server = server;
	}
	if (!choice.server)
		return choice;
	choice.wait_ms = wait_for_slot(choice.server, query->now_ms);
	choice.first_ms =
		choice.wait_ms +
		choice.server->first_ms *
			server_slowdown(choice.server, query->now_ms) +
		distance_ms[choice.server->distance];
	return choice;
}

unsigned fleet_usable(struct fleet *fleet, const char *service, uint64_t now_ms)
{
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		nr += server_serves(server, service) &&
		      server_usable(server, now_ms);
	}
	return nr;
}

unsigned fleet_slots(struct fleet *fleet, const char *service, uint64_t now_ms)
{
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, &fleet->servers) {
		struct server *server = list_entry(pos, struct server, link);

		if (server_serves(server, service) &&
		    server_usable(server, now_ms))
			nr += server->slots;
	}
	return nr;
}

void fleet_request_sent(struct server *server, enum work_class class,
			uint64_t now_ms)
{
	server_use_permit(server, now_ms);
	server->own[class]++;
	if (!server->unanswered++)
		server->unanswered_since_ms = now_ms;
}

void fleet_data_received(struct server *server, uint64_t now_ms)
{
	server->unanswered = 0;
	server->backoffs = 0;
	server->unanswered_since_ms = now_ms;
	server->data_ms = now_ms;
}

static void update_average(double *value, double sample)
{
	*value += SMOOTHING * (sample - *value);
}

void fleet_first_byte_received(struct server *server, double first_ms,
			       uint64_t now_ms)
{
	if (first_ms < 0)
		return;
	/* The average is that of the server without its neighbours. */
	first_ms /= server_slowdown(server, now_ms);
	update_average(&server->first_ms, first_ms);
	server_note_pace(server, first_ms, now_ms);
}

void fleet_request_ended(struct server *server, enum work_class class,
			 enum fleet_result result, double hold_ms,
			 uint64_t now_ms)
{
	if (server->own[class])
		server->own[class]--;
	if (server->unanswered)
		server->unanswered--;
	switch (result) {
	case FLEET_SUCCEEDED:
		update_average(&server->failures, 0);
		if (class == WORK_ONLINE)
			update_average(&server->hold_ms, hold_ms);
		break;
	case FLEET_FAILED:
		update_average(&server->failures, 1);
		server_pace_failed(&server->pace);
		break;
	case FLEET_REFUSED:
		server->avoid_until_ms = now_ms + REFUSED_MS;
		break;
	case FLEET_UNREACHABLE:
		back_off(server, now_ms);
		break;
	case FLEET_CANCELLED:
		break;
	}
}

void fleet_load_reported(struct server *server, unsigned running,
			 unsigned waiting, uint64_t now_ms)
{
	double known = server_load(server, WORK_ONLINE) +
		       server_load(server, WORK_BATCH);
	double seen = (double)running + waiting;

	/* Load reports of other entries arrive a few ms late, so one request
	 * more than the known number is ignored. */
	server->unattributed =
		seen > known + 1 ? (unsigned)(seen - known - 1) : 0;
	server->reported_ms = now_ms;
}

static void add_peer_load(struct fleet *fleet, const struct peer_report *peer,
			  int sign)
{
	size_t i;
	int class;

	for (i = 0; i < peer->nr; i++) {
		struct server *server = g_hash_table_lookup(
			fleet->by_hash, &peer->loads[i].server_hash);

		for (class = 0; server && class < WORK_CLASSES; class ++)
			server->others[class] +=
				sign * (int)peer->loads[i].counts[class];
	}
}

void fleet_set_peer_load(struct fleet *fleet, uint64_t id,
			 const struct peer_load *loads, size_t nr)
{
	struct peer_report *peer = g_hash_table_lookup(fleet->peers, &id);
	uint64_t *key;

	if (peer)
		add_peer_load(fleet, peer, -1);
	if (!nr) {
		g_hash_table_remove(fleet->peers, &id);
		return;
	}
	if (!peer) {
		peer = g_new0(struct peer_report, 1);
		key = g_new(uint64_t, 1);
		*key = id;
		g_hash_table_insert(fleet->peers, key, peer);
	}
	g_free(peer->loads);
	peer->loads = g_memdup2(loads, nr * sizeof(*loads));
	peer->nr = nr;
	add_peer_load(fleet, peer, 1);
}
