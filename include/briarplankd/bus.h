/**
 * Messages between nodes, and between the tasks of one node.
 *
 * A message goes out over the connection that this node made to the peer, or
 * back over the one that the peer made. Messages to the own name stay in the
 * process. Delivery is at most once and not assured: who needs an answer waits
 * for it with a time limit.
 */
#ifndef BRIARPLANKD_BUS_H
#define BRIARPLANKD_BUS_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/metrics.h"
#include "envelope.pb-c.h"

/** Largest message; a peer that sends more is cut off. */
#define BUS_MESSAGE_MAX_BYTES (8 << 20)

struct bus;

enum bus_status {
	BUS_OK,
	/** The peer's address is not known. */
	BUS_UNKNOWN_PEER,
	/** No connection, its queue is full, or the message is too large. */
	BUS_NOT_SENT,
	BUS_BAD_ADDRESS,
};

/**
 * The CURVE key pair that all nodes of a fleet share, in Z85 text; both NULL
 * for plain connections. Who lacks it is refused.
 */
struct bus_keys {
	const char *public_key;
	const char *secret_key;
	/**
	 * Public key of the next or previous pair, which peers may hold while
	 * the pair is being changed; NULL for none.
	 */
	const char *other_public_key;
};

struct bus_options {
	uv_loop_t *loop;
	const char *name;
	uint64_t incarnation;
	/** IP:PORT to bind; port 0 takes a free one. */
	const char *address;
	struct bus_keys keys;
	struct metrics *metrics;
	/** Gives the configuration revision put on each message; may be NULL. */
	uint64_t (*revision)(void *ctx);
	void *revision_ctx;
};

typedef void (*bus_handler_fn)(void *ctx, const Briarplank__Envelope *env);

/** Binds the bus; NULL with an error message when that fails. */
struct bus *bus_create(const struct bus_options *options);

/** Drops what comes in from now on; handlers may be freed. */
void bus_silence(struct bus *bus);

/** Closes all connections and frees the bus. */
void bus_destroy(struct bus *bus);

/** Returns the bound IP:PORT. */
const char *bus_address(const struct bus *bus);

/** Names the handler of a kind of message; one per kind. */
void bus_handle(struct bus *bus, Briarplank__Envelope__BodyCase kind,
		bus_handler_fn fn, void *ctx);

/** Sees each message before its handler, for liveness and revisions. */
void bus_observe(struct bus *bus, bus_handler_fn fn, void *ctx);

/** Tells where a peer is; connects on the first message to it. */
enum bus_status bus_peer_set(struct bus *bus, const char *name,
			     const char *address);

/** Forgets a peer and closes the connection made to it. */
void bus_peer_remove(struct bus *bus, const char *name);

/**
 * Closes the connection made to a peer if it carried only pings for a minute;
 * the next message makes a new one.
 */
void bus_peer_rest(struct bus *bus, const char *name);

/** Sends a message; sender, incarnation and revision are filled in. */
enum bus_status bus_send(struct bus *bus, const char *peer,
			 Briarplank__Envelope *env);

/** Bytes sent and received since the start, for the control budget. */
uint64_t bus_bytes_sent(const struct bus *bus);
uint64_t bus_bytes_received(const struct bus *bus);

#endif
