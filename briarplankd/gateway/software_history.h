/**
 * Keeps in the store since when each service has had one software version only, so that
 * entries which have just started know it too.
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

#endif
