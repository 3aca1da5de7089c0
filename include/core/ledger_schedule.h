/**
 * Chooses the job whose item is granted next, across all shards of an owner.
 *
 * Callers get equal shares of the granted items. Within a caller, the job with
 * the least slack until its due time goes first. A caller whose job is about to
 * be late gets a higher weight, up to a limit. This module does no I/O.
 */
#ifndef BRIARPLANK_CORE_LEDGER_SCHEDULE_H
#define BRIARPLANK_CORE_LEDGER_SCHEDULE_H

#include <stdint.h>

#include "core/ledger.h"

struct ledger_schedule;

struct ledger_schedule_options {
	/** Maximum weight of a caller with a late job; 100 is normal. */
	uint32_t late_weight_percent;
	/** Slack in ms below which a job counts as about to be late. */
	uint64_t late_slack_ms;
};

struct ledger_schedule *ledger_schedule_create(
	const struct ledger_schedule_options *options);
void ledger_schedule_destroy(struct ledger_schedule *schedule);

/**
 * Chooses a job of the service that has an item to grant; NULL if there is
 * none. Considers only items that must run alone if alone is true, else only
 * the others.
 */
struct ledger_job *ledger_schedule_choose(struct ledger_schedule *schedule,
					  struct ledger **ledgers,
					  uint32_t ledgers_nr,
					  const char *service, bool alone,
					  uint64_t now_ms, uint64_t wall_ms);

/**
 * Returns an upper bound on how many of the service's items can be granted now.
 */
uint32_t ledger_schedule_available_nr(struct ledger **ledgers,
				      uint32_t ledgers_nr, const char *service,
				      uint64_t now_ms);

/** Charges one item of the job to its caller's share. */
void ledger_schedule_charge(struct ledger_schedule *schedule,
			    const struct ledger_job *job, uint64_t wall_ms);

/**
 * Returns the time in ms between the job's expected end and its due time,
 * negative if it is expected to be late; INT64_MAX without a due time.
 */
int64_t ledger_job_slack_ms(const struct ledger_job *job, uint64_t wall_ms);

#endif
