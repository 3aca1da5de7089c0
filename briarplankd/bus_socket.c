#include <errno.h>
#include <string.h>

#include <zmq.h>

#include "bus_private.h"

/* Maximum number of messages queued for a peer; further sends fail. */
#define PEER_QUEUE_MESSAGES 20000
/* Interval of ZeroMQ's heartbeats, and the timeout for an answer, in ms. */
#define HEARTBEAT_INTERVAL_MS 1000
#define HEARTBEAT_TIMEOUT_MS 3000
/* Bounds of the backoff before a lost connection is reopened, in ms. */
#define RECONNECT_MIN_MS 50
#define RECONNECT_MAX_MS 1000
/* Maximum messages received from one socket in a loop iteration. */
#define DRAIN_MESSAGES 256

void bus_socket_set_int(void *zmq, int option, int value)
{
	zmq_setsockopt(zmq, option, &value, sizeof(value));
}

static void set_common_options(struct bus *bus, void *zmq)
{
	int64_t max = BUS_MESSAGE_MAX_BYTES;

	bus_socket_set_int(zmq, ZMQ_LINGER, 0);
	bus_socket_set_int(zmq, ZMQ_SNDHWM, PEER_QUEUE_MESSAGES);
	bus_socket_set_int(zmq, ZMQ_RCVHWM, PEER_QUEUE_MESSAGES);
	bus_socket_set_int(zmq, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
	bus_socket_set_int(zmq, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
	bus_socket_set_int(zmq, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	bus_socket_set_int(zmq, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	zmq_setsockopt(zmq, ZMQ_MAXMSGSIZE, &max, sizeof(max));
	if (!bus->auth)
		return;
	zmq_setsockopt(zmq, ZMQ_CURVE_PUBLICKEY, bus->keys.public_key,
		       strlen(bus->keys.public_key) + 1);
	zmq_setsockopt(zmq, ZMQ_CURVE_SECRETKEY, bus->keys.secret_key,
		       strlen(bus->keys.secret_key) + 1);
}

/* Receives one frame; returns false if there is none. */
static bool receive_frame(void *zmq, zmq_msg_t *frame)
{
	int rc;

	zmq_msg_init(frame);
	do {
		rc = zmq_msg_recv(frame, zmq, ZMQ_DONTWAIT);
	} while (rc < 0 && errno == EINTR);
	if (rc >= 0)
		return true;
	zmq_msg_close(frame);
	return false;
}

static void discard_frames(void *zmq, zmq_msg_t *frame)
{
	while (zmq_msg_more(frame)) {
		zmq_msg_close(frame);
		if (!receive_frame(zmq, frame)) {
			zmq_msg_init(frame);
			return;
		}
	}
}

/* Receives and delivers one message; returns false if there is none. */
static bool receive_message(struct bus_socket *socket)
{
	zmq_msg_t route, body;
	bool has_route = socket->router;

	if (!receive_frame(socket->zmq, &route))
		return false;
	if (!has_route) {
		body = route;
		zmq_msg_init(&route);
	} else if (!zmq_msg_more(&route) ||
		   !receive_frame(socket->zmq, &body)) {
		zmq_msg_close(&route);
		counter_add(socket->bus->malformed, 1);
		return true;
	}
	if (zmq_msg_more(&body)) {
		discard_frames(socket->zmq, &body);
		counter_add(socket->bus->malformed, 1);
	} else {
		socket->bus->bytes_received += zmq_msg_size(&body);
		bus_deliver(socket->bus, zmq_msg_data(&body),
			    zmq_msg_size(&body), zmq_msg_data(&route),
			    has_route ? zmq_msg_size(&route) : 0);
	}
	zmq_msg_close(&body);
	zmq_msg_close(&route);
	return true;
}

static void drain(struct bus_socket *socket)
{
	unsigned received;

	socket->needs_drain = false;
	for (received = 0; received < DRAIN_MESSAGES; received++) {
		if (!socket->zmq || !receive_message(socket))
			return;
	}
	socket->needs_drain = true;
	bus_wake_loop(socket->bus);
}

static void on_readable(uv_poll_t *poll, int status, int events)
{
	struct bus_socket *socket = poll->data;

	(void)status;
	(void)events;
	drain(socket);
}

struct bus_socket *bus_socket_create(struct bus *bus, int type)
{
	struct bus_socket *socket = g_new0(struct bus_socket, 1);
	size_t len = sizeof(int);
	int fd;

	socket->bus = bus;
	socket->zmq = zmq_socket(bus->zmq, type);
	socket->router = type == ZMQ_ROUTER;
	set_common_options(bus, socket->zmq);
	zmq_getsockopt(socket->zmq, ZMQ_FD, &fd, &len);
	uv_poll_init(bus->loop, &socket->poll, fd);
	socket->poll.data = socket;
	uv_poll_start(&socket->poll, UV_READABLE, on_readable);
	list_append(&bus->sockets, &socket->link);
	return socket;
}

static void on_poll_closed(uv_handle_t *handle)
{
	struct bus_socket *socket = handle->data;

	zmq_close(socket->zmq);
	g_free(socket);
}

void bus_socket_destroy(struct bus_socket *socket)
{
	list_remove(&socket->link);
	uv_poll_stop(&socket->poll);
	uv_close((uv_handle_t *)&socket->poll, on_poll_closed);
}

/*
 * A handler may destroy any socket, so the sockets to visit are kept in a
 * separate list, from which bus_socket_destroy() removes them too.
 */
void bus_sockets_drain(struct bus *bus)
{
	struct list pending, *pos;

	list_init(&pending);
	while ((pos = list_first(&bus->sockets)) != NULL) {
		list_remove(pos);
		list_append(&pending, pos);
	}
	while ((pos = list_first(&pending)) != NULL) {
		struct bus_socket *socket =
			list_entry(pos, struct bus_socket, link);

		list_remove(pos);
		list_append(&bus->sockets, pos);
		if (socket->needs_drain)
			drain(socket);
	}
}
