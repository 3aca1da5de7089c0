/**
 * Which batch items can still be done by their due time.
 *
 * When slots are short, items that run in the order of their due times make
 * each other late, one after the other. So the plan gives up the due time of
 * some, which then run behind the others: as few as possible, and those first
 * that have done the least of their work.
 */
#ifndef BRIARPLANK_CORE_BATCH_PLAN_H
#define BRIARPLANK_CORE_BATCH_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** How long items of a kind are; learned from those that ran. */
struct item_length {
	/** Smoothed number of events of a whole item; 0 when none is known. */
	double events;
	/** Smoothed time of an event, in ms; 0 when none is known. */
	double event_ms;
};

/** An item was done whole. */
void item_length_done(struct item_length *length, uint64_t events);

/** A run of an item took so long for so many events. */
void item_length_ran(struct item_length *length, uint64_t events, double ms);

/** Time at a server that an item still needs, in ms; 0 when it isn't known. */
double item_length_left_ms(const struct item_length *length,
			   uint64_t events_done);

struct batch_plan_item {
	uint64_t due_ms;
	/** Time at a server that it has had, and that it still needs, in ms. */
	double done_ms;
	double left_ms;
	/** Set by batch_plan(): it won't be done by its due time. */
	bool late;
};

/**
 * Plans items that are sorted by their due time for an average number of
 * slots.
 */
void batch_plan(struct batch_plan_item *items, size_t nr, double slots,
		uint64_t now_ms);

#endif
