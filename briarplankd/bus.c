#include <errno.h>
#include <string.h>

#include <glib.h>
#include <zmq.h>

#include "briarplankd/bus.h"
#include "bus_auth.h"
#include "bus_private.h"
#include "common/error.h"
#include "common/list.h"
#include "common/log.h"

#define PART "bus"

/* Idle time after which bus_peer_close_idle() closes a connection, in ms. */
#define PEER_IDLE_MS 60000
/* Time without a connection after which the other key is tried, in ms. */
#define KEY_RETRY_MS 1000

struct peer {
	char *name;
	char *address;
	struct bus_socket *socket;
	/* Routing id and incarnation of the connection that the peer opened. */
	uint8_t route[256];
	size_t route_len;
	uint64_t route_incarnation;
	/* Time of the last message to or from it, except pings and pongs. */
	uint64_t last_work_ms;
	/* The peer is expected to use the other key pair. */
	bool uses_other_key;
	/*
	 * Time at which the current key was set or a message was last sent with
	 * it.
	 */
	uint64_t key_ms;
};

/* A message from this node to itself. */
struct local_message {
	struct list link;
	size_t len;
	uint8_t bytes[];
};

static void peer_free(void *data)
{
	struct peer *peer = data;

	g_free(peer->name);
	g_free(peer->address);
	g_free(peer);
}

static void deliver_local(struct bus *bus)
{
	struct list batch, *pos, *tmp;

	list_init(&batch);
	while ((pos = list_first(&bus->local)) != NULL) {
		list_remove(pos);
		list_append(&batch, pos);
	}
	list_for_each_safe (pos, tmp, &batch) {
		struct local_message *message =
			list_entry(pos, struct local_message, link);

		list_remove(pos);
		bus_deliver(bus, message->bytes, message->len, NULL, 0);
		g_free(message);
	}
}

static void on_prepare(uv_prepare_t *prepare)
{
	struct bus *bus = prepare->data;

	bus_sockets_drain(bus);
	deliver_local(bus);
}

static void on_idle(uv_idle_t *idle)
{
	struct bus *bus = idle->data;

	uv_idle_stop(idle);
	bus->wake_pending = false;
}

/* An active idle handle keeps the loop from blocking, so on_prepare() runs. */
void bus_wake_loop(struct bus *bus)
{
	if (bus->wake_pending)
		return;
	uv_idle_start(&bus->idle, on_idle);
	bus->wake_pending = true;
}

static bool bind_socket(struct bus *bus, const char *address)
{
	char *endpoint = g_strdup_printf("tcp://%s", address);
	char bound[128];
	size_t len = sizeof(bound);
	int rc;

	bus->listener = bus_socket_create(bus, ZMQ_ROUTER);
	bus_socket_set_int(bus->listener->zmq, ZMQ_ROUTER_MANDATORY, 1);
	bus_socket_set_int(bus->listener->zmq, ZMQ_ROUTER_HANDOVER, 1);
	if (bus->auth) {
		bus_socket_set_int(bus->listener->zmq, ZMQ_CURVE_SERVER, 1);
		zmq_setsockopt(bus->listener->zmq, ZMQ_ZAP_DOMAIN,
			       BUS_AUTH_DOMAIN, strlen(BUS_AUTH_DOMAIN));
	}
	rc = zmq_bind(bus->listener->zmq, endpoint);
	g_free(endpoint);
	if (rc != 0) {
		error_set("can't bind %s: %s", address, zmq_strerror(errno));
		return false;
	}
	zmq_getsockopt(bus->listener->zmq, ZMQ_LAST_ENDPOINT, bound, &len);
	bus->address = g_strdup(bound + strlen("tcp://"));
	return true;
}

static void start_handles(struct bus *bus)
{
	uv_prepare_init(bus->loop, &bus->prepare);
	bus->prepare.data = bus;
	uv_prepare_start(&bus->prepare, on_prepare);
	uv_unref((uv_handle_t *)&bus->prepare);
	uv_idle_init(bus->loop, &bus->idle);
	bus->idle.data = bus;
}

static void make_metrics(struct bus *bus, struct metrics *metrics)
{
	bus->malformed =
		metrics_counter(metrics, "briarplank_bus_garbage_total", "");
	bus->unhandled =
		metrics_counter(metrics, "briarplank_bus_unhandled_total", "");
	bus->not_sent =
		metrics_counter(metrics, "briarplank_bus_not_sent_total", "");
	bus->sent = metrics_counter(metrics, "briarplank_bus_sent_total", "");
	bus->received =
		metrics_counter(metrics, "briarplank_bus_received_total", "");
}

static bool start_auth(struct bus *bus, const struct bus_options *options)
{
	if (!bus->keys.public_key && !bus->keys.secret_key)
		return true;
	if (!bus->keys.public_key || !bus->keys.secret_key) {
		error_set("the bus needs both keys, or none");
		return false;
	}
	if (!bus_auth_check_keys(bus->keys.public_key, bus->keys.secret_key))
		return false;
	if (bus->keys.other_public_key &&
	    !bus_auth_check_public(bus->keys.other_public_key))
		return false;
	bus->auth =
		bus_auth_create(bus->zmq, bus->loop, bus->keys.public_key,
				bus->keys.other_public_key, options->metrics);
	return true;
}

struct bus *bus_create(const struct bus_options *options)
{
	struct bus *bus = g_new0(struct bus, 1);

	bus->loop = options->loop;
	bus->name = g_strdup(options->name);
	bus->incarnation = options->incarnation;
	bus->keys = options->keys;
	bus->revision = options->revision;
	bus->revision_ctx = options->revision_ctx;
	bus->zmq = zmq_ctx_new();
	bus->peers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, peer_free);
	list_init(&bus->sockets);
	list_init(&bus->local);
	make_metrics(bus, options->metrics);
	start_handles(bus);
	if (start_auth(bus, options) && bind_socket(bus, options->address))
		return bus;
	bus_destroy(bus);
	return NULL;
}

static void close_handles(struct bus *bus)
{
	uv_close((uv_handle_t *)&bus->prepare, NULL);
	uv_close((uv_handle_t *)&bus->idle, NULL);
}

void bus_destroy(struct bus *bus)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &bus->sockets)
		bus_socket_destroy(list_entry(pos, struct bus_socket, link));
	if (bus->auth)
		bus_auth_destroy(bus->auth);
	close_handles(bus);
	uv_run(bus->loop, UV_RUN_NOWAIT);
	list_for_each_safe (pos, tmp, &bus->local)
		g_free(list_entry(pos, struct local_message, link));
	g_hash_table_destroy(bus->peers);
	zmq_ctx_term(bus->zmq);
	g_free(bus->address);
	g_free(bus->name);
	g_free(bus);
}

void bus_discard_incoming(struct bus *bus)
{
	bus->discarding = true;
}

const char *bus_address(const struct bus *bus)
{
	return bus->address;
}

void bus_set_handler(struct bus *bus, Briarplank__Envelope__BodyCase kind,
		     bus_handler_fn fn, void *ctx)
{
	bus->handlers[kind].fn = fn;
	bus->handlers[kind].ctx = ctx;
}

void bus_set_observer(struct bus *bus, bus_handler_fn fn, void *ctx)
{
	bus->observer.fn = fn;
	bus->observer.ctx = ctx;
}

static struct peer *peer_find(struct bus *bus, const char *name, bool make)
{
	struct peer *peer = g_hash_table_lookup(bus->peers, name);

	if (peer || !make)
		return peer;
	peer = g_new0(struct peer, 1);
	peer->name = g_strdup(name);
	g_hash_table_insert(bus->peers, peer->name, peer);
	return peer;
}

enum bus_status bus_peer_set(struct bus *bus, const char *name,
			     const char *address)
{
	struct peer *peer = peer_find(bus, name, true);

	if (peer->address && !strcmp(peer->address, address))
		return BUS_OK;
	if (peer->socket)
		bus_socket_destroy(peer->socket);
	peer->socket = NULL;
	g_free(peer->address);
	peer->address = g_strdup(address);
	return BUS_OK;
}

void bus_peer_remove(struct bus *bus, const char *name)
{
	struct peer *peer = peer_find(bus, name, false);

	if (!peer)
		return;
	if (peer->socket)
		bus_socket_destroy(peer->socket);
	g_hash_table_remove(bus->peers, name);
}

static bool is_work(const Briarplank__Envelope *env)
{
	return env->body_case != BRIARPLANK__ENVELOPE__BODY_PING &&
	       env->body_case != BRIARPLANK__ENVELOPE__BODY_PONG;
}

void bus_peer_close_idle(struct bus *bus, const char *name)
{
	struct peer *peer = peer_find(bus, name, false);

	if (!peer || !peer->socket ||
	    (peer->last_work_ms &&
	     uv_now(bus->loop) < peer->last_work_ms + PEER_IDLE_MS))
		return;
	bus_socket_destroy(peer->socket);
	peer->socket = NULL;
}

static char *make_identity(const char *name, uint64_t incarnation)
{
	return g_strdup_printf("%s#%" G_GINT64_MODIFIER "x", name, incarnation);
}

static void set_server_key(const struct bus *bus, struct peer *peer,
			   struct bus_socket *socket)
{
	const char *key = peer->uses_other_key ? bus->keys.other_public_key :
						 bus->keys.public_key;

	peer->key_ms = uv_now(bus->loop);
	zmq_setsockopt(socket->zmq, ZMQ_CURVE_SERVERKEY, key, strlen(key) + 1);
}

/* During a key rotation a peer may use either key pair. */
static void try_other_key(struct bus *bus, struct peer *peer)
{
	if (!bus->auth || !bus->keys.other_public_key ||
	    uv_now(bus->loop) < peer->key_ms + KEY_RETRY_MS)
		return;
	peer->uses_other_key = !peer->uses_other_key;
	bus_socket_destroy(peer->socket);
	peer->socket = NULL;
}

/* Opens a connection whose routing id names this node and incarnation. */
static bool peer_connect(struct bus *bus, struct peer *peer)
{
	char *endpoint = g_strdup_printf("tcp://%s", peer->address);
	char *identity = make_identity(bus->name, bus->incarnation);
	struct bus_socket *socket = bus_socket_create(bus, ZMQ_DEALER);
	int rc;

	zmq_setsockopt(socket->zmq, ZMQ_ROUTING_ID, identity, strlen(identity));
	bus_socket_set_int(socket->zmq, ZMQ_IMMEDIATE, 1);
	if (bus->auth)
		set_server_key(bus, peer, socket);
	rc = zmq_connect(socket->zmq, endpoint);
	g_free(endpoint);
	g_free(identity);
	if (rc == 0) {
		peer->socket = socket;
		return true;
	}
	error_set("can't connect to %s: %s", peer->address,
		  zmq_strerror(errno));
	bus_socket_destroy(socket);
	return false;
}

static enum bus_status send_local(struct bus *bus,
				  const Briarplank__Envelope *env)
{
	size_t len = briarplank__envelope__get_packed_size(env);
	struct local_message *message = g_malloc(sizeof(*message) + len);

	message->len = len;
	briarplank__envelope__pack(env, message->bytes);
	list_append(&bus->local, &message->link);
	bus_wake_loop(bus);
	return BUS_OK;
}

/* Sends over a socket; a ROUTER socket needs the routing id as first frame. */
static bool send_frames(struct bus_socket *socket, const struct peer *peer,
			const Briarplank__Envelope *env, size_t len)
{
	zmq_msg_t body;

	socket->needs_drain = true;
	bus_wake_loop(socket->bus);
	if (socket->router &&
	    zmq_send(socket->zmq, peer->route, peer->route_len,
		     ZMQ_SNDMORE | ZMQ_DONTWAIT) < 0)
		return false;
	zmq_msg_init_size(&body, len);
	briarplank__envelope__pack(env, zmq_msg_data(&body));
	if (zmq_msg_send(&body, socket->zmq, ZMQ_DONTWAIT) >= 0)
		return true;
	zmq_msg_close(&body);
	return false;
}

/* Sends over the connection that the peer opened; false if there is none. */
static bool send_route(struct bus *bus, struct peer *peer,
		       const Briarplank__Envelope *env, size_t len)
{
	if (!peer->route_len)
		return false;
	if (send_frames(bus->listener, peer, env, len))
		return true;
	/*
	 * The connection is lost, so a route of any incarnation may replace it.
	 */
	if (errno == EHOSTUNREACH)
		peer->route_len = 0;
	return false;
}

/*
 * Sends over the connection that this node opened, or else over the one that
 * the peer opened. If there is neither, opens one but refuses this message.
 */
static enum bus_status send_remote(struct bus *bus, struct peer *peer,
				   const Briarplank__Envelope *env)
{
	size_t len = briarplank__envelope__get_packed_size(env);
	bool sent = false;

	if (len > BUS_MESSAGE_MAX_BYTES) {
		counter_add(bus->not_sent, 1);
		error_set("a message of %zu bytes is too large", len);
		return BUS_NOT_SENT;
	}
	if (is_work(env))
		peer->last_work_ms = uv_now(bus->loop);
	if (peer->socket)
		sent = send_frames(peer->socket, peer, env, len);
	if (sent)
		peer->key_ms = uv_now(bus->loop);
	else if (peer->socket)
		try_other_key(bus, peer);
	if (!sent)
		sent = send_route(bus, peer, env, len);
	if (!sent && !peer->socket && peer->address && !peer_connect(bus, peer))
		return BUS_BAD_ADDRESS;
	if (!sent) {
		counter_add(bus->not_sent, 1);
		error_set("no connection to %s", peer->name);
		return BUS_NOT_SENT;
	}
	bus->bytes_sent += len;
	counter_add(bus->sent, 1);
	return BUS_OK;
}

enum bus_status bus_send(struct bus *bus, const char *name,
			 Briarplank__Envelope *env)
{
	struct peer *peer;

	env->sender = bus->name;
	env->incarnation = bus->incarnation;
	if (bus->revision)
		env->config_revision = bus->revision(bus->revision_ctx);
	if (!strcmp(name, bus->name))
		return send_local(bus, env);
	peer = peer_find(bus, name, false);
	if (!peer || (!peer->address && !peer->route_len)) {
		error_set("the address of %s is not known", name);
		return BUS_UNKNOWN_PEER;
	}
	return send_remote(bus, peer, env);
}

/* A delayed message of an earlier incarnation must not restore its route. */
static void remember_route(struct bus *bus, const Briarplank__Envelope *env,
			   const uint8_t *route, size_t route_len)
{
	struct peer *peer = peer_find(bus, env->sender, true);

	if (route_len > sizeof(peer->route) ||
	    (peer->route_len && env->incarnation < peer->route_incarnation))
		return;
	memcpy(peer->route, route, route_len);
	peer->route_len = route_len;
	peer->route_incarnation = env->incarnation;
}

/* The routing id must name the sender, so that no peer impersonates another. */
static bool route_matches(const Briarplank__Envelope *env, const uint8_t *route,
			  size_t route_len)
{
	char *identity = make_identity(env->sender, env->incarnation);
	bool same = route_len == strlen(identity) &&
		    !memcmp(route, identity, route_len);

	g_free(identity);
	return same;
}

static void dispatch(struct bus *bus, const Briarplank__Envelope *env)
{
	struct handler *handler = &bus->handlers[env->body_case];
	struct peer *peer =
		is_work(env) ? peer_find(bus, env->sender, false) : NULL;

	if (peer)
		peer->last_work_ms = uv_now(bus->loop);
	if (bus->observer.fn)
		bus->observer.fn(bus->observer.ctx, env);
	if (handler->fn)
		handler->fn(handler->ctx, env);
	else
		counter_add(bus->unhandled, 1);
}

void bus_deliver(struct bus *bus, const uint8_t *bytes, size_t len,
		 const uint8_t *route, size_t route_len)
{
	Briarplank__Envelope *env =
		briarplank__envelope__unpack(NULL, len, bytes);

	if (bus->discarding) {
		log_debug(PART, "dropped %zu bytes received during shutdown",
			  len);
	} else if (!env || !*env->sender || env->body_case >= BODY_KINDS ||
		   (route_len && !route_matches(env, route, route_len))) {
		counter_add(bus->malformed, 1);
		log_debug(PART, "dropped a malformed message of %zu bytes",
			  len);
	} else {
		if (route_len)
			remember_route(bus, env, route, route_len);
		counter_add(bus->received, 1);
		dispatch(bus, env);
	}
	if (env)
		briarplank__envelope__free_unpacked(env, NULL);
}

uint64_t bus_bytes_sent(const struct bus *bus)
{
	return bus->bytes_sent;
}

uint64_t bus_bytes_received(const struct bus *bus)
{
	return bus->bytes_received;
}
