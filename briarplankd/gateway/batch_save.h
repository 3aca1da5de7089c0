/**
 * Saves how far items came, so that another node goes on behind it.
 */
#ifndef BRIARPLANKD_GATEWAY_BATCH_SAVE_H
#define BRIARPLANKD_GATEWAY_BATCH_SAVE_H

#include "batch_run.h"

/** Saves the runs that came on by some events; false when there is none. */
bool batch_save_runs(struct batch *batch, int64_t events);

/** Forgets a save under way, after the store's client has gone. */
void batch_save_free(struct batch_save *save);

/** Called by a save that ended while the node stops (batch.c). */
void batch_handed_over(struct batch *batch, const char *how);

#endif
