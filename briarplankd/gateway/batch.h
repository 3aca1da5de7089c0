/**
 * Runs the items of the jobs that this node owns, in the slots that online
 * requests leave, and gives way when they need them.
 */
#ifndef BRIARPLANKD_GATEWAY_BATCH_H
#define BRIARPLANKD_GATEWAY_BATCH_H

#include "core/peer_table.h"
#include "gateway.h"

struct batch *batch_create(struct gateway *gateway);
void batch_destroy(struct batch *batch);

/** A job was accepted here; its encoded items, in order, are at hand. */
void batch_adopt(struct batch *batch, struct job *job, GPtrArray *items);

/** What the fold of the job log tells. */
void batch_result(struct batch *batch, struct job_item *item);
void batch_job_ended(struct batch *batch, struct job *job);

/** The load of a server changed: items may have to yield. */
void batch_load_changed(struct batch *batch);

/** Items of this node that wait for a slot. */
struct batch_backlog batch_backlog(const struct batch *batch);

/**
 * Ends all runs and saves how far they came. Once that is in the log, or takes
 * too long, the node counts as handed over and others go on.
 */
void batch_stop(struct batch *batch);

#endif
