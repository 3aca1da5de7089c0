/**
 * Number of requests that an entry may have at the servers of a service at once.
 *
 * It answers the load after a restart of many entries: all callers return in the same
 * second, and no entry knows what the others send. The window starts at the entry's part
 * of the slots, grows by one with each request that was answered in time, and shrinks
 * when answers come late.
 */
#ifndef BRIARPLANK_CORE_SEND_WINDOW_H
#define BRIARPLANK_CORE_SEND_WINDOW_H

#include <stdbool.h>
#include <stdint.h>

struct send_window {
	/** Number of requests; 0 before the first use. */
	double size;
	/** Time of the last reduction, in ms. */
	uint64_t reduced_ms;
};

/** Slots of a service, and entries that share them. */
struct send_window_fleet {
	unsigned slots;
	unsigned entries;
};

/** Tells whether a further request may be sent beside those that are outstanding. */
bool send_window_is_open(struct send_window *window,
			 const struct send_window_fleet *fleet,
			 unsigned outstanding);

/**
 * Notes that a request ended whose first byte came first_ms after it was sent; it was
 * wanted within objective_ms.
 */
void send_window_answered(struct send_window *window,
			  const struct send_window_fleet *fleet,
			  unsigned outstanding, double first_ms,
			  double objective_ms, uint64_t now_ms);

#endif
