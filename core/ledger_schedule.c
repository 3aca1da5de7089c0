/*
 * Stride scheduling of callers: each granted item advances its caller's virtual
 * time, and the caller with the lowest virtual time is next.
 */
#include <string.h>

#include "core/ledger_schedule.h"
#include "core/ledger_state.h"

/* Virtual time that an item costs at the normal weight. */
#define ITEM_COST 1000ull
#define NORMAL_PERCENT 100u

struct caller {
	char *name;
	/** Virtual time of the caller; each item granted to it advances it. */
	uint64_t pass;
};

struct ledger_schedule {
	struct ledger_schedule_options options;
	GHashTable *callers;
	/** Virtual time at which the last item was granted. */
	uint64_t pass;
};

static void caller_free(gpointer data)
{
	struct caller *caller = data;

	g_free(caller->name);
	g_free(caller);
}

struct ledger_schedule *ledger_schedule_create(
	const struct ledger_schedule_options *options)
{
	struct ledger_schedule *schedule = g_new0(struct ledger_schedule, 1);

	schedule->options = *options;
	schedule->callers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						  caller_free);
	return schedule;
}

void ledger_schedule_destroy(struct ledger_schedule *schedule)
{
	g_hash_table_destroy(schedule->callers);
	g_free(schedule);
}

static struct caller *caller_get(struct ledger_schedule *schedule,
				 const char *name)
{
	struct caller *caller = g_hash_table_lookup(schedule->callers, name);

	if (caller)
		return caller;
	caller = g_new0(struct caller, 1);
	caller->name = g_strdup(name);
	g_hash_table_insert(schedule->callers, caller->name, caller);
	return caller;
}

int64_t ledger_job_slack_ms(const struct ledger_job *job, uint64_t wall_ms)
{
	double remaining_ms = 0;

	if (!job->due_ms)
		return INT64_MAX;
	if (job->rate_per_s > 0)
		remaining_ms = ledger_job_open_nr(job) * 1000 / job->rate_per_s;
	return (int64_t)job->due_ms - (int64_t)wall_ms - (int64_t)remaining_ms;
}

/*
 * Returns the weight of the job's caller in percent. It rises from the normal
 * weight to the limit as the job's slack falls from late_slack_ms to 0.
 */
static uint64_t job_weight(const struct ledger_schedule *schedule,
			   const struct ledger_job *job, uint64_t wall_ms)
{
	const struct ledger_schedule_options *options = &schedule->options;
	int64_t slack = ledger_job_slack_ms(job, wall_ms);
	uint64_t rise = options->late_weight_percent - NORMAL_PERCENT;

	if (slack >= (int64_t)options->late_slack_ms)
		return NORMAL_PERCENT;
	if (slack <= 0)
		return options->late_weight_percent;
	return NORMAL_PERCENT +
	       rise * (options->late_slack_ms - slack) / options->late_slack_ms;
}

/*
 * Returns a caller's virtual time. A caller gets no credit for the time in
 * which it was idle: it starts at the current virtual time.
 */
static uint64_t caller_pass(struct ledger_schedule *schedule, const char *name)
{
	struct caller *caller = caller_get(schedule, name);

	return MAX(caller->pass, schedule->pass);
}

static bool goes_before(struct ledger_schedule *schedule,
			const struct ledger_job *a, const struct ledger_job *b,
			uint64_t wall_ms)
{
	uint64_t pass_a = caller_get(schedule, a->caller)->pass;
	uint64_t pass_b = caller_get(schedule, b->caller)->pass;
	int64_t slack_a, slack_b;

	pass_a = MAX(pass_a, schedule->pass);
	pass_b = MAX(pass_b, schedule->pass);
	if (strcmp(a->caller, b->caller) && pass_a != pass_b)
		return pass_a < pass_b;
	slack_a = ledger_job_slack_ms(a, wall_ms);
	slack_b = ledger_job_slack_ms(b, wall_ms);
	if (slack_a != slack_b)
		return slack_a < slack_b;
	return a->sealed_ms < b->sealed_ms;
}

struct ledger_job *ledger_schedule_choose(struct ledger_schedule *schedule,
					  struct ledger **ledgers,
					  uint32_t ledgers_nr,
					  const char *service, bool alone,
					  uint64_t now_ms, uint64_t wall_ms)
{
	struct ledger_job *best = NULL;
	struct list *pos;
	uint32_t i;

	for (i = 0; i < ledgers_nr; i++) {
		list_for_each (pos, &ledgers[i]->open_jobs) {
			struct ledger_job *job =
				list_entry(pos, struct ledger_job, open_link);

			if (strcmp(job->service, service) ||
			    (best &&
			     !goes_before(schedule, job, best, wall_ms)))
				continue;
			if (ledger_grantable(job, alone, now_ms))
				best = job;
		}
	}
	return best;
}

/* Returns the number of open items that are neither granted nor ending. */
static uint32_t available_nr(const struct ledger_job *job)
{
	uint32_t open = job->counts[ITEM_WAITING] + job->counts[ITEM_INTENT];
	uint32_t held = job->granted + job->ending;

	return open > held ? open - held : 0;
}

uint32_t ledger_schedule_available_nr(struct ledger **ledgers,
				      uint32_t ledgers_nr, const char *service,
				      uint64_t now_ms)
{
	struct list *pos;
	uint32_t nr = 0;
	uint32_t i;

	for (i = 0; i < ledgers_nr; i++) {
		list_for_each (pos, &ledgers[i]->open_jobs) {
			struct ledger_job *job =
				list_entry(pos, struct ledger_job, open_link);

			if (strcmp(job->service, service) != 0)
				continue;
			if (ledger_grantable(job, false, now_ms) ||
			    ledger_grantable(job, true, now_ms))
				nr += MAX(available_nr(job), 1);
		}
	}
	return nr;
}

void ledger_schedule_charge(struct ledger_schedule *schedule,
			    const struct ledger_job *job, uint64_t wall_ms)
{
	struct caller *caller = caller_get(schedule, job->caller);
	uint64_t start = caller_pass(schedule, job->caller);

	schedule->pass = start;
	caller->pass = start + ITEM_COST * NORMAL_PERCENT /
				       job_weight(schedule, job, wall_ms);
}
