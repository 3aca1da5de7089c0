/**
 * Exchanges the pace of servers that have just started or recovered with the other
 * entries, in load reports.
 */
#ifndef BRIARPLANKD_GATEWAY_PACE_SHARE_H
#define BRIARPLANKD_GATEWAY_PACE_SHARE_H

#include "gateway.h"
#include "nodeload.pb-c.h"

/** Adds the pace of servers to a load report, and logs what has changed. */
void pace_share_add_to_report(struct gateway *gateway, NodeLoad *load);

/** Frees what pace_share_add_to_report() added. */
void pace_share_free_report(NodeLoad *load);

/** Applies the pace of servers in another entry's load report. */
void pace_share_apply_report(struct gateway *gateway, const NodeLoad *load);

#endif
