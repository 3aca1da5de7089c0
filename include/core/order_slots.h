/**
 * Change slots of the fleet, built by applying the records of the stream
 * "orders".
 *
 * While a server changes its model it doesn't serve, and it loads from the
 * weight store, whose bandwidth the fleet shares. So only a few servers may
 * change at a time, and at most one of each service. Claims are granted in the
 * order of their offsets, so that all readers of the log agree. A claim ends by
 * its release or its time limit; a further claim of the same agent extends the
 * limit and keeps its place.
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

/** Returns the first offset not applied yet. */
uint64_t order_slots_next_offset(const struct order_slots *slots);

/**
 * Applies the record at an offset, which the log stored at stored_ms. record is
 * NULL for bytes that can't be unpacked.
 */
void order_slots_apply(struct order_slots *slots, uint64_t offset,
		       uint64_t stored_ms, const Briarplank__OrderSlot *record);

/** Sets the next offset, below which there are no more records to apply. */
void order_slots_advance(struct order_slots *slots, uint64_t next_offset);

/**
 * Returns the state of an agent's claim if at most max servers may change at a
 * time. wall_ms is the time since the epoch, in ms.
 */
enum orders_slot order_slots_state(const struct order_slots *slots,
				   const char *agent, unsigned max,
				   uint64_t wall_ms);

/**
 * Tells whether an agent's server serves: its last release didn't report it as
 * unable to, and it has no granted claim.
 */
bool order_slots_serves(const struct order_slots *slots, const char *agent,
			unsigned max, uint64_t wall_ms);

#endif
