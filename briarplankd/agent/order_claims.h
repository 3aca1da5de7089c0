/**
 * This agent's claim to change its server, in the log's stream "orders".
 */
#ifndef BRIARPLANKD_AGENT_ORDER_CLAIMS_H
#define BRIARPLANKD_AGENT_ORDER_CLAIMS_H

#include <stdbool.h>

#include "briarplankd/node.h"
#include "core/order_slots.h"

struct order_claims;

/** changed is called when the claim's state may be another. */
struct order_claims *order_claims_create(struct node *node,
					 void (*changed)(void *ctx), void *ctx);

/** The loop must run once more before the node's calls end. */
void order_claims_destroy(struct order_claims *claims);

/** Appends a claim that holds for limit_ms, unless one is open or on its way. */
void order_claims_claim(struct order_claims *claims, uint64_t limit_ms);

/** Gives the claim back. */
void order_claims_release(struct order_claims *claims, bool ready);

/**
 * Gives the claim back at the end of the node; true when it is gone, or the
 * log did not take the release, in which case it lapses.
 */
bool order_claims_leave(struct order_claims *claims, bool ready);

/**
 * State of the claim. It is NONE once this node's own clock says that it may
 * have lapsed, and WAITING when too little of it is left for an order.
 */
enum orders_slot order_claims_state(struct order_claims *claims);

/** Extends the claim when it is about to lapse; called now and then. */
void order_claims_tick(struct order_claims *claims);

/** Number of other servers of the service that can take the work. */
unsigned order_claims_others_ready(struct order_claims *claims);

/** Servers of the fleet that may change at a time. */
unsigned order_claims_max(struct order_claims *claims);

#endif
