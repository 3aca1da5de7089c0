/**
 * Schedules the items of the batch jobs that this node owns onto server slots
 * that online requests leave free, and preempts them when online load rises.
 */
#ifndef BRIARPLANKD_GATEWAY_BATCH_H
#define BRIARPLANKD_GATEWAY_BATCH_H

#include "core/peer_table.h"
#include "gateway.h"

struct batch *batch_create(struct gateway *gateway);
void batch_destroy(struct batch *batch);

/**
 * Queues the open items of a job that this node accepted. items holds their
 * encoded bodies (GByteArray) in the job's order, so that the store need not be
 * read. Does nothing while the gateway stops.
 */
void batch_add_job(struct batch *batch, struct job *job, GPtrArray *items);

/** Frees this node's run of an item whose result was read from the job log. */
void batch_item_ended(struct batch *batch, struct job_item *item);
/** Frees the runs of all items of a job that has ended. */
void batch_job_ended(struct batch *batch, struct job *job);

/**
 * Preempts items on servers whose slots online requests need now. To be called
 * when the reported load of a server changed.
 */
void batch_load_changed(struct batch *batch);

/** Returns the number of this node's items that wait for a slot. */
struct batch_backlog batch_backlog(const struct batch *batch);

/**
 * Stops all runs and saves their progress. Other nodes take the jobs over once
 * the progress is in the job log or a timeout has passed.
 */
void batch_stop(struct batch *batch);

#endif
