/**
 * Reads the results of a job from the log.
 */
#ifndef BRIARPLANKD_ENTRY_LEDGER_RESULTS_H
#define BRIARPLANKD_ENTRY_LEDGER_RESULTS_H

#include "briarplankd/entry/ledger_task.h"
#include "core/ledger.h"

/**
 * Answers a QueryResults message once the records with the results are read.
 */
void ledger_results_read(struct ledger_task *task,
			 const Briarplank__Envelope *env,
			 const struct ledger_job *job);

#endif
