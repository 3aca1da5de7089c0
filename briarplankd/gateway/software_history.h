/**
 * Keeps in the store since when each service has had one software version only, and each
 * route of streams the same services and weights, so that entries which have just started
 * know it too.
 */
#ifndef BRIARPLANKD_GATEWAY_SOFTWARE_HISTORY_H
#define BRIARPLANKD_GATEWAY_SOFTWARE_HISTORY_H

#include "gateway.h"

struct software_history *software_history_create(struct gateway *gateway);
void software_history_destroy(struct software_history *history);

/**
 * Returns the hash of the only version that a service's servers have been listed with
 * for this long, in ms, or 0 if there were several or this isn't known.
 */
uint64_t software_history_sole(struct software_history *history,
			       const char *service, uint64_t for_ms);

/**
 * Tells whether a route has picked services as picks says (route_picks_hash()) for this
 * long, in ms; false if this isn't known.
 */
bool software_history_route_steady(const struct software_history *history,
				   const char *route, uint64_t picks,
				   uint64_t for_ms);

#endif
