/**
 * Chooses whether this node's store calls go directly to the store or through
 * the relay of another entry. core/store_path.h makes the decision.
 */
#ifndef BRIARPLANKD_GATEWAY_STORE_ROUTE_H
#define BRIARPLANKD_GATEWAY_STORE_ROUTE_H

#include "gateway.h"

struct store_route_state;

struct store_route_state *store_route_create(struct gateway *gateway);
void store_route_destroy(struct store_route_state *route);

/** Tells whether the node can reach the store directly. */
bool store_route_is_direct(const struct store_route_state *route);

/** Callbacks for the store's client; their context is a store_route_state. */
extern const struct store_route store_route;

#endif
