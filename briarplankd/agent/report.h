/**
 * Load reports of an agent to the entries that work with its server.
 */
#ifndef BRIARPLANKD_AGENT_REPORT_H
#define BRIARPLANKD_AGENT_REPORT_H

#include "gate.h"

struct report_sender;

struct report_sender *report_sender_create(struct gate *gate);
void report_sender_destroy(struct report_sender *sender);

/** Notes that an entry uses this server: it gets reports first. */
void report_sender_note(struct report_sender *sender, const char *entry);

/** The list of nodes has changed. */
void report_sender_changed(struct report_sender *sender);

/** Sends the reports of a round when one is due. */
void report_sender_tick(struct report_sender *sender);

/** Tells all entries at once, as the server's state has changed. */
void report_sender_all(struct report_sender *sender);

#endif
