/**
 * What the parts of the bus share: bus.c knows peers and handlers,
 * bus_socket.c brings ZeroMQ's sockets onto the loop.
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
	/* Must be looked at again: its edge may have been taken. */
	bool dirty;
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
	struct bus_socket *bound;
	struct list sockets;
	GHashTable *peers;
	struct handler handlers[BODY_KINDS];
	struct handler observer;
	uint64_t (*revision)(void *ctx);
	void *revision_ctx;
	struct list local;
	uv_prepare_t prepare;
	uv_idle_t idle;
	bool idling;
	bool silent;
	uint64_t bytes_sent;
	uint64_t bytes_received;
	struct counter *garbage;
	struct counter *unhandled;
	struct counter *refused;
	struct counter *sent;
	struct counter *received;
};

/** Makes a socket of the bus that is drained from the loop. */
struct bus_socket *bus_socket_create(struct bus *bus, int type);

/** Closes the socket in the loop's next turn. */
void bus_socket_destroy(struct bus_socket *socket);

/** Sets an option of a ZeroMQ socket that is a number. */
void bus_socket_set_int(void *zmq, int option, int value);

/** Drains each socket whose edge may have been taken. */
void bus_sockets_drain(struct bus *bus);

/** Keeps the loop from sleeping once, so that dirty sockets are drained. */
void bus_stay_awake(struct bus *bus);

/** Takes in one message; a route is the identity of the peer's connection. */
void bus_deliver(struct bus *bus, const uint8_t *bytes, size_t len,
		 const uint8_t *route, size_t route_len);

#endif
