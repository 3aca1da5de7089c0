#include <glib.h>

#include "core/send_window.h"

/* Least window: one request to learn from, and one beside it. */
#define WINDOW_MIN 2.0
/* Factor of a reduction; there is one at most in each objective. */
#define REDUCTION 0.8

static double start_size(const struct send_window_fleet *fleet)
{
	return MAX((double)fleet->slots / MAX(fleet->entries, 1), WINDOW_MIN);
}

bool send_window_is_open(struct send_window *window,
			 const struct send_window_fleet *fleet,
			 unsigned outstanding)
{
	if (window->size <= 0)
		window->size = start_size(fleet);
	return outstanding < window->size;
}

void send_window_answered(struct send_window *window,
			  const struct send_window_fleet *fleet,
			  unsigned outstanding, double first_ms,
			  double objective_ms, uint64_t now_ms)
{
	if (window->size <= 0)
		window->size = start_size(fleet);
	if (first_ms <= objective_ms) {
		/* A window that isn't used says nothing about a larger one. */
		if (outstanding >= window->size / 2)
			window->size += 1;
		window->size = MIN(window->size, MAX(fleet->slots, WINDOW_MIN));
		return;
	}
	if (now_ms - window->reduced_ms < objective_ms)
		return;
	window->reduced_ms = now_ms;
	window->size = MAX(window->size * REDUCTION, WINDOW_MIN);
}
