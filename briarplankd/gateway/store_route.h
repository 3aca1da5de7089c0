/**
 * Which way this node's calls to the store take; core/store_path.h decides.
 */
#ifndef BRIARPLANKD_GATEWAY_STORE_ROUTE_H
#define BRIARPLANKD_GATEWAY_STORE_ROUTE_H

#include "gateway.h"

struct store_route_state;

struct store_route_state *store_route_create(struct gateway *gateway);
void store_route_destroy(struct store_route_state *route);

/** Tells whether the node reaches the store itself. */
bool store_route_direct(const struct store_route_state *route);

/** What the store's client asks; its context is the state. */
extern const struct store_route store_route;

#endif
