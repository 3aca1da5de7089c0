#include <string.h>

#include "common/log.h"
#include "limits.h"

/* Maximum number of limits in one load report, and the age up to which they are
 * reported, in ms. */
#define REPORT_LIMITS_MAX 6
#define REPORT_AGE_MS 10000

struct limits {
	struct gateway *gateway;
	uv_timer_t timer;
	/* Number of reported limits, for reporting them in turn. */
	unsigned turn;
};

static bool issue_permits(struct limits *limits)
{
	struct gateway *gateway = limits->gateway;

	return fleet_issue_permits(gateway->fleet, uv_now(gateway->loop),
				   gateway_wall_ms());
}

static void on_timer(uv_timer_t *timer)
{
	if (!issue_permits(timer->data))
		uv_timer_stop(timer);
}

/* Starts to issue permits, from now on. */
static void start_timer(struct limits *limits)
{
	if (uv_is_active((uv_handle_t *)&limits->timer))
		return;
	issue_permits(limits);
	uv_timer_start(&limits->timer, on_timer, PERMIT_INTERVAL_MS,
		       PERMIT_INTERVAL_MS);
}

void limits_note(struct limits *limits, struct server *server, double rate,
		 uint64_t heard_ms, const char *source)
{
	struct gateway *gateway = limits->gateway;
	double before = server->rate_limit;
	bool limited;
	char *labels;

	if (rate > 0)
		start_timer(limits);
	server_limit_named(server, rate, heard_ms);
	limited = server->rate_limit > 0;
	if (limited == (before > 0))
		return;
	log_event("server", LOG_LEVEL_INFO,
		  "id=%s %s rate_limit=%.2f before=%.2f %s", server->id,
		  limited ? "names a limit" : "names no limit any more",
		  server->rate_limit, before, source);
	labels = g_strdup_printf("change=\"%s\"", limited ? "begins" : "ends");
	counter_add(metrics_counter(gateway->metrics,
				    "briarplank_limit_changes_total", labels),
		    1);
	g_free(labels);
}

static void add_demand(void *ctx, const struct service_demand *demand)
{
	NodeLoad *load = ctx;
	ServiceDemand *message = g_new(ServiceDemand, 1);

	service_demand__init(message);
	message->service = demand->service_hash;
	message->rate = (float)demand->rate;
	load->demands =
		g_renew(ServiceDemand *, load->demands, load->n_demands + 1);
	load->demands[load->n_demands++] = message;
}

static bool is_reported(const struct server *server, uint64_t now_ms)
{
	return server->rate_heard_ms &&
	       now_ms - server->rate_heard_ms <= REPORT_AGE_MS;
}

static void add_limit(NodeLoad *load, const struct server *server,
		      uint64_t now_ms)
{
	ServerLimit *message = g_new(ServerLimit, 1);

	server_limit__init(message);
	message->server = server->hash;
	message->rate = (float)server->rate_limit;
	message->age_ms = (uint32_t)(now_ms - server->rate_heard_ms);
	load->limits[load->n_limits++] = message;
}

void limits_add_to_report(struct limits *limits, NodeLoad *load)
{
	struct fleet *fleet = limits->gateway->fleet;
	uint64_t now = uv_now(limits->gateway->loop);
	unsigned nr = 0, at = 0, first;
	struct list *pos;

	fleet_each_demand(fleet, now, add_demand, load);
	list_for_each (pos, fleet_servers(fleet))
		nr += is_reported(list_entry(pos, struct server, link), now);
	if (!nr)
		return;
	load->limits = g_new(ServerLimit *, REPORT_LIMITS_MAX);
	first = limits->turn % nr;
	list_for_each (pos, fleet_servers(fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		if (!is_reported(server, now))
			continue;
		if ((at++ + nr - first) % nr < REPORT_LIMITS_MAX)
			add_limit(load, server, now);
	}
	limits->turn = first + REPORT_LIMITS_MAX;
}

void limits_free_report(NodeLoad *load)
{
	size_t i;

	for (i = 0; i < load->n_demands; i++)
		g_free(load->demands[i]);
	g_free(load->demands);
	for (i = 0; i < load->n_limits; i++)
		g_free(load->limits[i]);
	g_free(load->limits);
}

static void apply_limits(struct limits *limits, const struct peer *peer,
			 const NodeLoad *load)
{
	char *source = g_strdup_printf("entry=%s", peer->identity);
	struct fleet *fleet = limits->gateway->fleet;
	uint64_t now = uv_now(limits->gateway->loop);
	size_t i;

	for (i = 0; i < load->n_limits; i++) {
		const ServerLimit *limit = load->limits[i];
		struct server *server = fleet_find_hash(fleet, limit->server);
		double rate = limit->rate >= 0 ? limit->rate : 0;

		if (server && limit->age_ms <= now)
			limits_note(limits, server, rate, now - limit->age_ms,
				    source);
	}
	g_free(source);
}

void limits_apply_report(struct limits *limits, const struct peer *peer,
			 const NodeLoad *load)
{
	const struct gateway *gateway = limits->gateway;
	const char *region =
		g_hash_table_lookup(gateway->regions, load->data_centre);
	struct service_demand *demands =
		g_new0(struct service_demand, load->n_demands);
	struct fleet_sharer sharer = {
		.key = peer->address,
		.region = region ? fleet_region_hash(region) : 0,
		.leaving = peer->leaving,
		.demands = demands,
		.demands_nr = load->n_demands,
	};
	size_t i;

	for (i = 0; i < load->n_demands; i++) {
		double rate = load->demands[i]->rate;

		demands[i].service_hash = load->demands[i]->service;
		demands[i].rate = rate >= 0 ? rate : 0;
	}
	fleet_set_sharer(gateway->fleet, &sharer, uv_now(gateway->loop));
	g_free(demands);
	apply_limits(limits, peer, load);
}

struct limits *limits_create(struct gateway *gateway)
{
	struct limits *limits = g_new0(struct limits, 1);

	limits->gateway = gateway;
	limits->turn = (unsigned)gateway_random();
	uv_timer_init(gateway->loop, &limits->timer);
	limits->timer.data = limits;
	return limits;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void limits_destroy(struct limits *limits)
{
	uv_close((uv_handle_t *)&limits->timer, on_closed);
}
