#include "common/log.h"
#include "core/store_path.h"
#include "job_store.h"
#include "net/address.h"
#include "peers.h"
#include "store_route.h"

/* Interval at which a node whose direct path to the store is down probes that
 * path, in ms. Each probe is a call to the store. */
#define PROBE_MS 700
/* Timeout of a probe, in ms. */
#define PROBE_TIMEOUT_MS 600

struct store_route_state {
	struct gateway *gateway;
	struct store_path *path;
	uv_timer_t timer;
	/* Address of the last call's relay, as IP:PORT and packed; NULL and 0
	 * if the last call was direct. */
	char *via;
	uint64_t relay;
};

/* The store's client reports the outcome to store_route_ended(). */
static void on_probe(uv_timer_t *timer)
{
	struct store_route_state *route = timer->data;

	job_store_probe(route->gateway->job_store, PROBE_TIMEOUT_MS);
}

static const char *store_route_via(void *ctx)
{
	struct store_route_state *route = ctx;
	struct gateway *gateway = route->gateway;
	uint64_t relay = store_path_choose(
		route->path, peers_list(gateway->peers), uv_now(gateway->loop));
	struct sockaddr_in addr;

	if (relay == route->relay)
		return route->via;
	g_free(route->via);
	route->relay = relay;
	addr = address_unpack(relay);
	route->via = relay ? address_format(&addr) : NULL;
	log_event("store_route", LOG_LEVEL_INFO, "calls go %s%s",
		  relay ? "through the relay " : "directly to the store",
		  relay ? route->via : "");
	return route->via;
}

static void store_route_ended(void *ctx, const struct store_call_outcome *end)
{
	struct store_route_state *route = ctx;
	struct gateway *gateway = route->gateway;
	struct sockaddr_in addr;
	struct store_path_call call = {
		.relay = end->via && address_parse(end->via, &addr) ?
				 address_pack(&addr) :
				 0,
		.answered = end->answered,
		.throttled = end->throttled,
		.sent_ms = end->sent_ms,
		.ended_ms = uv_now(gateway->loop),
	};

	if (!store_path_record_call(route->path, &call))
		return;
	log_event("store_route", LOG_LEVEL_WARN,
		  "the direct path to the store is %s",
		  store_path_is_down(route->path) ? "lost" : "restored");
	peers_load_changed(gateway->peers);
	if (!store_path_is_down(route->path)) {
		uv_timer_stop(&route->timer);
		return;
	}
	uv_timer_start(&route->timer, on_probe, PROBE_MS, PROBE_MS);
	if (store_route_via(route))
		store_resend_reads(gateway->store);
}

const struct store_route store_route = {
	.via = store_route_via,
	.ended = store_route_ended,
};

bool store_route_is_direct(const struct store_route_state *route)
{
	return !store_path_is_down(route->path);
}

struct store_route_state *store_route_create(struct gateway *gateway)
{
	struct store_route_state *route = g_new0(struct store_route_state, 1);

	route->gateway = gateway;
	route->path = store_path_create(gateway->identity_hash,
					uv_now(gateway->loop));
	uv_timer_init(gateway->loop, &route->timer);
	route->timer.data = route;
	return route;
}

static void on_closed(uv_handle_t *handle)
{
	struct store_route_state *route = handle->data;

	store_path_destroy(route->path);
	g_free(route->via);
	g_free(route);
}

void store_route_destroy(struct store_route_state *route)
{
	uv_close((uv_handle_t *)&route->timer, on_closed);
}
