/**
 * Decides which batch items can still be completed by their due time.
 *
 * In an overload, running items in the order of their due times makes one item
 * after the other late. So the plan marks some items as late, which then run
 * after the others: as few as possible, preferring those with the smallest part
 * of their work done.
 */
#ifndef BRIARPLANK_CORE_BATCH_PLAN_H
#define BRIARPLANK_CORE_BATCH_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Estimated length of one kind of item, learned from completed runs. */
struct item_length {
	/** Moving average of the events of a complete item; 0 if unknown. */
	double events;
	/** Moving average of the time for an event, in ms; 0 if unknown. */
	double event_ms;
};

/** Records the total number of events of a completed item. */
void item_length_record_item(struct item_length *length, uint64_t events);

/** Records the duration and the number of events of one run of an item. */
void item_length_record_run(struct item_length *length, uint64_t events,
			    double ms);

/** Returns the server time that an item still needs, in ms; 0 if unknown. */
double item_length_left_ms(const struct item_length *length,
			   uint64_t events_done);

struct batch_plan_item {
	uint64_t due_ms;
	/** Server time that the item has used, and that it still needs, in
	 * ms. */
	double done_ms;
	double left_ms;
	/** Set by batch_plan() if the item won't be done by its due time. */
	bool late;
};

/**
 * Sets the late flag of each item. Items must be sorted by due time; slots is
 * the average number of available slots.
 */
void batch_plan(struct batch_plan_item *items, size_t nr, double slots,
		uint64_t now_ms);

#endif
