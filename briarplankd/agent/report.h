/**
 * Sends an agent's load reports to the entries that dispatch to its server.
 */
#ifndef BRIARPLANKD_AGENT_REPORT_H
#define BRIARPLANKD_AGENT_REPORT_H

#include "gate.h"

struct report_sender;

/** Creates a sender of the gate's load reports. */
struct report_sender *report_sender_create(struct gate *gate);
void report_sender_destroy(struct report_sender *sender);

/**
 * Records a dispatch by an entry. Reports go first to the entries that have
 * dispatched recently.
 */
void report_sender_note_dispatch(struct report_sender *sender,
				 const char *entry);

/** Marks the subset as outdated, as the list of nodes has changed. */
void report_sender_members_changed(struct report_sender *sender);

/** Sends one round of reports if it is due. */
void report_sender_tick(struct report_sender *sender);

/** Sends a report to all entries at once, after a change of state. */
void report_sender_send_all(struct report_sender *sender);

#endif
