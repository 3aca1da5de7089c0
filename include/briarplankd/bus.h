/**
 * Message bus between nodes, and between the tasks of one node.
 *
 * A message is sent over the connection that this node opened to the peer, or
 * over the one that the peer opened. Messages to the node's own name stay in
 * the process. Delivery is at most once and not guaranteed: a sender that needs
 * an answer waits for it with a timeout.
 */
#ifndef BRIARPLANKD_BUS_H
#define BRIARPLANKD_BUS_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/metrics.h"
#include "envelope.pb-c.h"

/** Maximum message size; a peer that sends a larger one is disconnected. */
#define BUS_MESSAGE_MAX_BYTES (8 << 20)

struct bus;

enum bus_status {
	BUS_OK,
	/** The peer's address is unknown. */
	BUS_UNKNOWN_PEER,
	/** No connection, a full send queue or too large a message. */
	BUS_NOT_SENT,
	BUS_BAD_ADDRESS,
};

/**
 * The CURVE key pair that all nodes of a fleet share, as Z85 text; both NULL
 * for unencrypted connections. Peers without the pair are refused.
 */
struct bus_keys {
	const char *public_key;
	const char *secret_key;
	/**
	 * Public key of the next or previous pair, which peers may use during
	 * a key rotation; NULL for none.
	 */
	const char *other_public_key;
};

struct bus_options {
	uv_loop_t *loop;
	const char *name;
	uint64_t incarnation;
	/** Address to bind as IP:PORT; port 0 selects a free one. */
	const char *address;
	struct bus_keys keys;
	struct metrics *metrics;
	/** Returns the configuration revision to send; may be NULL. */
	uint64_t (*revision)(void *ctx);
	void *revision_ctx;
};

typedef void (*bus_handler_fn)(void *ctx, const Briarplank__Envelope *env);

/** Creates and binds the bus; returns NULL and sets the error on failure. */
struct bus *bus_create(const struct bus_options *options);

/** Discards incoming messages from now on, so that handlers may be freed. */
void bus_discard_incoming(struct bus *bus);

/** Closes all connections and frees the bus. */
void bus_destroy(struct bus *bus);

/** Returns the bound IP:PORT. */
const char *bus_address(const struct bus *bus);

/** Sets the handler for a kind of message; there is one per kind. */
void bus_set_handler(struct bus *bus, Briarplank__Envelope__BodyCase kind,
		     bus_handler_fn fn, void *ctx);

/**
 * Sets a function that is called with each message before its handler, to track
 * liveness and configuration revisions.
 */
void bus_set_observer(struct bus *bus, bus_handler_fn fn, void *ctx);

/** Sets a peer's address; the first message to the peer connects to it. */
enum bus_status bus_peer_set(struct bus *bus, const char *name,
			     const char *address);

/** Forgets a peer and closes the connection made to it. */
void bus_peer_remove(struct bus *bus, const char *name);

/**
 * Closes the connection made to a peer if it carried nothing but pings and
 * pongs for a minute; the next message opens a new one.
 */
void bus_peer_close_idle(struct bus *bus, const char *name);

/** Sends a message; fills in its sender, incarnation and revision. */
enum bus_status bus_send(struct bus *bus, const char *peer,
			 Briarplank__Envelope *env);

/**
 * Return the bytes sent and received since the start, which are compared with
 * the budget for control traffic.
 */
uint64_t bus_bytes_sent(const struct bus *bus);
uint64_t bus_bytes_received(const struct bus *bus);

#endif
