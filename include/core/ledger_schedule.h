/**
 * Which job's item an agent gets next, over all shards of an owner.
 *
 * Fair over callers by the items they were granted; within a caller the job
 * with the least slack to its due time first. A caller whose job is about to be
 * late counts with a higher weight, up to a bound. Pure.
 */
#ifndef BRIARPLANK_CORE_LEDGER_SCHEDULE_H
#define BRIARPLANK_CORE_LEDGER_SCHEDULE_H

#include <stdint.h>

#include "core/ledger.h"

struct ledger_schedule;

struct ledger_schedule_options {
	/** Largest weight of a caller with a late job, in percent of the usual. */
	uint32_t late_weight_percent;
	/** Slack below which a job counts as about to be late, in ms. */
	uint64_t late_slack_ms;
};

struct ledger_schedule *ledger_schedule_create(
	const struct ledger_schedule_options *options);
void ledger_schedule_destroy(struct ledger_schedule *schedule);

/**
 * Chooses a job of the service that has an item to grant; NULL without one.
 * alone asks for jobs with an item that must run alone.
 */
struct ledger_job *ledger_schedule_choose(struct ledger_schedule *schedule,
					  struct ledger **ledgers,
					  uint32_t ledgers_nr,
					  const char *service, bool alone,
					  uint64_t now_ms, uint64_t wall_ms);

/** At most so many items of the service can be granted now; 0 for none. */
uint32_t ledger_schedule_free_nr(struct ledger **ledgers, uint32_t ledgers_nr,
				 const char *service, uint64_t now_ms);

/** Charges an item of the chosen job to its caller. */
void ledger_schedule_charge(struct ledger_schedule *schedule,
			    const struct ledger_job *job, uint64_t wall_ms);

/** Time to the due time beyond what the rest of the job needs, in ms. */
int64_t ledger_job_slack_ms(const struct ledger_job *job, uint64_t wall_ms);

#endif
