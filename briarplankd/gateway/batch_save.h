/**
 * Saves the progress of running items to the store, so that another node can
 * resume them.
 */
#ifndef BRIARPLANKD_GATEWAY_BATCH_SAVE_H
#define BRIARPLANKD_GATEWAY_BATCH_SAVE_H

#include "batch_run.h"

/**
 * Starts to save each run that has at least this many events since its last
 * save. Returns false when there is none.
 */
bool batch_save_runs(struct batch *batch, int64_t events);

/**
 * Frees a save, or does nothing for NULL. The store must not call back for the
 * save afterwards.
 */
void batch_save_free(struct batch_save *save);

/**
 * Frees the runs and lets other nodes take the jobs over. Defined in batch.c
 * and called when the last save of a stopping node has ended. Logs reason.
 */
void batch_handed_over(struct batch *batch, const char *reason);

#endif
