/**
 * This agent's claim to a slot for changing its server. Claims are records in
 * the log's stream "orders" and limit how many servers change at a time.
 */
#ifndef BRIARPLANKD_AGENT_ORDER_CLAIMS_H
#define BRIARPLANKD_AGENT_ORDER_CLAIMS_H

#include <stdbool.h>

#include "briarplankd/node.h"
#include "core/order_slots.h"

struct order_claims;

/**
 * Creates the state of the agent's claims; changed is called when the claim may
 * have changed.
 */
struct order_claims *order_claims_create(struct node *node,
					 void (*changed)(void *ctx), void *ctx);

/**
 * Frees the state. The event loop must run once more before the node ends its
 * calls to the log.
 */
void order_claims_destroy(struct order_claims *claims);

/**
 * Appends a claim that is valid for limit_ms. Does nothing while an append is
 * in flight or a failed one waits for its retry.
 */
void order_claims_claim(struct order_claims *claims, uint64_t limit_ms);

/** Releases the claim; ready tells whether the server can serve requests. */
void order_claims_release(struct order_claims *claims, bool ready);

/**
 * Releases the claim when the node stops. Returns true once it is released,
 * or the log has not accepted the release, in which case the claim expires.
 */
bool order_claims_stop(struct order_claims *claims, bool ready);

/**
 * Returns the state of the claim: NONE once it may have expired by this
 * node's clock, and WAITING if too little time is left for an order.
 */
enum orders_slot order_claims_state(struct order_claims *claims);

/** Reads the log and renews a claim once a quarter of it has passed. */
void order_claims_tick(struct order_claims *claims);

/** Returns the number of other servers of the service that can serve. */
unsigned order_claims_others_ready(struct order_claims *claims);

/** Returns how many servers of the fleet may change at a time. */
unsigned order_claims_max(struct order_claims *claims);

#endif
