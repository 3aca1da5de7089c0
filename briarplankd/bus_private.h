/**
 * Declarations shared by the sources of the bus: bus.c manages peers and
 * handlers, bus_socket.c polls ZeroMQ sockets from the event loop.
 */
#ifndef BRIARPLANKD_BUS_PRIVATE_H
#define BRIARPLANKD_BUS_PRIVATE_H

#include <glib.h>

#include "briarplankd/bus.h"
#include "common/list.h"

#define BODY_KINDS 80

struct bus_socket {
	struct list link;
	struct bus *bus;
	void *zmq;
	uv_poll_t poll;
	bool router;
	/*
	 * Messages may be waiting without a further event: ZeroMQ's descriptor
	 * is edge-triggered, and a call may have consumed the edge.
	 */
	bool needs_drain;
};

struct handler {
	bus_handler_fn fn;
	void *ctx;
};

struct bus {
	uv_loop_t *loop;
	void *zmq;
	char *name;
	char *address;
	uint64_t incarnation;
	struct bus_keys keys;
	struct bus_auth *auth;
	struct bus_socket *listener;
	struct list sockets;
	GHashTable *peers;
	struct handler handlers[BODY_KINDS];
	struct handler observer;
	uint64_t (*revision)(void *ctx);
	void *revision_ctx;
	struct list local;
	uv_prepare_t prepare;
	uv_idle_t idle;
	bool wake_pending;
	bool discarding;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	struct counter *malformed;
	struct counter *unhandled;
	struct counter *not_sent;
	struct counter *sent;
	struct counter *received;
};

/** Creates a socket whose messages are received by the event loop. */
struct bus_socket *bus_socket_create(struct bus *bus, int type);

/** Closes the socket in the loop's next iteration. */
void bus_socket_destroy(struct bus_socket *socket);

/** Sets an integer option of a ZeroMQ socket. */
void bus_socket_set_int(void *zmq, int option, int value);

/** Receives from each socket whose needs_drain is set. */
void bus_sockets_drain(struct bus *bus);

/** Keeps the loop from blocking once, so that it reads all sockets. */
void bus_wake_loop(struct bus *bus);

/**
 * Processes one received message. The route is the routing id of the peer's
 * connection; its length is 0 if this node opened the connection.
 */
void bus_deliver(struct bus *bus, const uint8_t *bytes, size_t len,
		 const uint8_t *route, size_t route_len);

#endif
