/**
 * Issues the permits of servers that name a limit, and exchanges the limits and
 * the demand with the other entries in load reports.
 */
#ifndef BRIARPLANKD_GATEWAY_LIMITS_H
#define BRIARPLANKD_GATEWAY_LIMITS_H

#include "core/peer_table.h"
#include "gateway.h"
#include "nodeload.pb-c.h"

struct limits;

struct limits *limits_create(struct gateway *gateway);
void limits_destroy(struct limits *limits);

/**
 * Records the limit that a server named at heard_ms, in requests a second; 0 for
 * none. "source" tells for the log who said so, and in which answer.
 */
void limits_note(struct limits *limits, struct server *server, double rate,
		 uint64_t heard_ms, const char *source);

/** Adds this node's demand, and limits in turn, to a load report. */
void limits_add_to_report(struct limits *limits, NodeLoad *load);

/** Frees what limits_add_to_report() added. */
void limits_free_report(NodeLoad *load);

/** Applies the demand and the limits of another entry's load report. */
void limits_apply_report(struct limits *limits, const struct peer *peer,
			 const NodeLoad *load);

#endif
