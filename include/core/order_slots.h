/**
 * Who may change its server now, as a fold of the stream "orders".
 *
 * A change takes a server away from its service and loads from the weight
 * store, whose rate the fleet shares. So at most a few servers change at a
 * time, and at most one of each service. Claims are granted in the order of
 * their offsets; every reader of the same records sees the same grants. A
 * claim ends by its release or its limit; a further claim of the same agent
 * extends the limit and keeps the place.
 */
#ifndef BRIARPLANK_CORE_ORDER_SLOTS_H
#define BRIARPLANK_CORE_ORDER_SLOTS_H

#include <stdbool.h>
#include <stdint.h>

#include "core/orders.h"
#include "orders.pb-c.h"

struct order_slots;

struct order_slots *order_slots_create(void);
void order_slots_destroy(struct order_slots *slots);

/** First offset that was not folded yet. */
uint64_t order_slots_next_offset(const struct order_slots *slots);

/** Folds the record at an offset; stored_ms is the log's time of it. */
void order_slots_fold(struct order_slots *slots, uint64_t offset,
		      uint64_t stored_ms, const Briarplank__OrderSlot *record);

/** Declares that no record is left below an offset. */
void order_slots_advance(struct order_slots *slots, uint64_t next_offset);

/**
 * Tells the state of an agent's claim, when at most max servers may change at
 * a time. wall_ms is the time since the epoch.
 */
enum orders_slot order_slots_state(const struct order_slots *slots,
				   const char *agent, unsigned max,
				   uint64_t wall_ms);

/**
 * Tells whether an agent's server can be counted on: its last release didn't
 * say otherwise, and it holds no granted claim.
 */
bool order_slots_serves(const struct order_slots *slots, const char *agent,
			unsigned max, uint64_t wall_ms);

#endif
