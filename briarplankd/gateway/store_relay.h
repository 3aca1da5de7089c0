/**
 * Passes connections of other entries on to the store, for those that the
 * store turns away or that are cut off from it.
 *
 * Bytes go on as they come: what the store answers, and how a call ends, stays
 * what it is. Only entries that this node knows are let in.
 */
#ifndef BRIARPLANKD_GATEWAY_STORE_RELAY_H
#define BRIARPLANKD_GATEWAY_STORE_RELAY_H

#include "gateway.h"

struct store_relay;

/**
 * Listens at the node's address; port 0 takes a free one. NULL with an error
 * message when that fails.
 */
struct store_relay *store_relay_create(struct gateway *gateway, int port);
void store_relay_destroy(struct store_relay *relay);

/** The port that was bound. */
int store_relay_port(const struct store_relay *relay);

#endif
