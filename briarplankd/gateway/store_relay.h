/**
 * TCP relay to the store for other entries that can't reach the store or that
 * it rejects.
 *
 * Bytes are forwarded unchanged, and the close of one connection closes the
 * other, so that a relayed call has the store's own answer and end. Only
 * entries that this node knows may connect.
 */
#ifndef BRIARPLANKD_GATEWAY_STORE_RELAY_H
#define BRIARPLANKD_GATEWAY_STORE_RELAY_H

#include "gateway.h"

struct store_relay;

/**
 * Listens on a port of the node's address; 0 chooses a free port. Returns NULL
 * with an error message when that fails.
 */
struct store_relay *store_relay_create(struct gateway *gateway, int port);
void store_relay_destroy(struct store_relay *relay);

/** Returns the port on which the relay listens. */
int store_relay_port(const struct store_relay *relay);

#endif
