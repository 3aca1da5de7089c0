#include <glib.h>

#include "core/batch_share.h"

#define WEIGHT_FULL 100
/* Growth of the gap, as a share, that counts as no harm. */
#define HARM_FREE 0.05
/*
 * While no online stream runs, harm comes only from the step that an arrival
 * finds under way; so it counts less, and tokens count at any weight.
 */
#define IDLE_HARM 0.1
#define IDLE_RATE 0.3
/* Least room between the gap of a lone stream and the target, as a share. */
#define ROOM_MIN 0.25
/* Time without online requests after which the engine counts as idle, in us. */
#define QUIET_US 200000
/* Gaps, and least time in us, between two steps up. */
#define SETTLE_GAPS 10
#define SETTLE_MIN_US 50000
/* Weight of the rate that settles between equally harmless numbers. */
#define RATE_TIE 0.05
/* Weight of one gap in the mean share of gaps that miss the target. */
#define MISS_WEIGHT 0.005
/* Misses that starting batch streams may cause, as a share of online gaps. */
#define MISS_SHARE_MIN 0.03
/* Batch streams that compute their prompt at once. */
#define STARTING_BUSY 1
#define STARTING_IDLE 2
/* Time for which a further stream is tried, and between two tries, in us. */
#define PROBE_US 1000000
#define PROBE_PAUSE_US 30000000

struct batch_share {
	struct batch_share_options options;
	unsigned level;
	uint64_t raised_us;
	/* When the last try of a further stream began. */
	uint64_t probe_us;
	uint64_t busy_until_us;
	/* Share of online gaps that missed while a batch prompt was computed. */
	double miss_share;
};

struct batch_share *batch_share_create(
	const struct batch_share_options *options)
{
	struct batch_share *share = g_new0(struct batch_share, 1);

	share->options = *options;
	share->level = 1;
	return share;
}

void batch_share_destroy(struct batch_share *share)
{
	g_free(share);
}

void batch_share_set(struct batch_share *share,
		     const struct batch_share_options *options)
{
	share->options = *options;
}

static double weight(const struct batch_share *share)
{
	return (double)MIN(share->options.weight, WEIGHT_FULL) / WEIGHT_FULL;
}

/*
 * How far the gap of an online stream has moved from that of a lone one to
 * the target, squared: the last part of the way hurts most.
 */
static double harm_at(const struct batch_share *share,
		      const struct concurrency *concurrency, unsigned n)
{
	double alone = (double)concurrency_gap_at(concurrency, 1);
	double gap = (double)concurrency_gap_at(concurrency, n);
	double room = MAX((double)share->options.gap_target_us - alone,
			  ROOM_MIN * alone);
	double moved = MAX(0, gap - (1 + HARM_FREE) * alone) / room;

	return moved * moved;
}

static bool allowed_at(const struct batch_share *share,
		       const struct concurrency *concurrency, unsigned n,
		       bool busy)
{
	if (!busy || share->options.weight >= WEIGHT_FULL)
		return true;
	return concurrency_gap_at(concurrency, n) <=
	       share->options.gap_target_us;
}

static double best_rate(const struct concurrency *concurrency, unsigned max)
{
	double best = 0;
	unsigned n;

	for (n = 1; n <= max; n++)
		best = MAX(best, concurrency_rate_at(concurrency, n));
	return best;
}

/* The number of streams that is worth most by the weight. */
static unsigned best_level(const struct batch_share *share,
			   const struct concurrency *concurrency, bool busy)
{
	unsigned max =
		MIN(concurrency_explored(concurrency) + 1, CONCURRENCY_MAX);
	double rate_max = best_rate(concurrency, max);
	double throughput = weight(share) + (busy ? RATE_TIE : IDLE_RATE);
	double tail = (1 - weight(share)) * (busy ? 1 : IDLE_HARM);
	double best = 0;
	unsigned level = 1, n;

	if (rate_max <= 0)
		return 1;
	for (n = 1; n <= max; n++) {
		double rate = concurrency_rate_at(concurrency, n) / rate_max;
		double worth = throughput * rate -
			       tail * harm_at(share, concurrency, n);

		if (!allowed_at(share, concurrency, n, busy))
			break;
		if (n == 1 || worth > best) {
			best = worth;
			level = n;
		}
	}
	return level;
}

static uint64_t settle_us(const struct concurrency *concurrency, unsigned level)
{
	return MAX(SETTLE_GAPS * concurrency_gap_at(concurrency, level),
		   SETTLE_MIN_US);
}

/* Measures the next number of streams again when that was long ago. */
static unsigned with_probe(struct batch_share *share,
			   const struct concurrency *concurrency, unsigned goal,
			   bool busy, uint64_t now_us)
{
	if (busy || goal >= CONCURRENCY_MAX ||
	    concurrency_known(concurrency, goal + 1, now_us))
		return goal;
	if (now_us >= share->probe_us + PROBE_PAUSE_US)
		share->probe_us = now_us;
	return now_us < share->probe_us + PROBE_US ? goal + 1 : goal;
}

static void move_level(struct batch_share *share,
		       const struct concurrency *concurrency,
		       const struct batch_share_load *load, bool busy,
		       uint64_t now_us)
{
	unsigned goal = best_level(share, concurrency, busy);
	unsigned explored = concurrency_explored(concurrency);
	bool full;

	goal = with_probe(share, concurrency, goal, busy, now_us);
	if (goal <= share->level) {
		share->level = goal;
		return;
	}
	if (goal <= explored) {
		share->level = goal;
		share->raised_us = now_us;
		return;
	}
	/* Beyond what is known, one step each time the last one has settled. */
	full = load->online_running + load->batch_running >= share->level;
	if (share->level < explored)
		share->level = explored;
	else if (full && now_us >= share->raised_us +
					   settle_us(concurrency, share->level))
		share->level++;
	else
		return;
	share->raised_us = now_us;
}

static unsigned starting_limit(const struct batch_share *share, bool busy)
{
	bool guard = busy && share->options.weight < WEIGHT_FULL;

	return guard ? STARTING_BUSY : STARTING_IDLE;
}

/* Starting batch streams lengthen steps; online callers see some of it. */
static bool may_start(const struct batch_share *share,
		      const struct batch_share_load *load)
{
	double limit = MISS_SHARE_MIN + weight(share) * (1 - MISS_SHARE_MIN);

	if (share->options.weight >= WEIGHT_FULL)
		return true;
	if (load->online_waiting || load->online_starting)
		return false;
	return !load->online_running || share->miss_share < limit;
}

struct batch_share_plan batch_share_plan(struct batch_share *share,
					 const struct concurrency *concurrency,
					 const struct batch_share_load *load,
					 uint64_t now_us)
{
	unsigned online = load->online_running + load->online_waiting;
	unsigned limit, free_nr, room;
	struct batch_share_plan plan;
	bool busy;

	if (online)
		share->busy_until_us = now_us + QUIET_US;
	busy = online || now_us < share->busy_until_us;
	move_level(share, concurrency, load, busy, now_us);
	plan.keep = share->level > online ? share->level - online : 0;
	if (load->online_starting && share->options.weight < WEIGHT_FULL)
		plan.keep = MIN(plan.keep,
				load->batch_running - load->batch_starting);
	limit = starting_limit(share, busy);
	room = limit > load->batch_starting ? limit - load->batch_starting : 0;
	free_nr = plan.keep > load->batch_running ?
			  plan.keep - load->batch_running :
			  0;
	plan.start = may_start(share, load) ?
			     MIN(MIN(free_nr, room), load->batch_waiting) :
			     0;
	return plan;
}

void batch_share_online_gap(struct batch_share *share, uint64_t gap_us,
			    bool batch_starting)
{
	bool miss = batch_starting && gap_us > share->options.gap_target_us;

	share->miss_share += MISS_WEIGHT * ((miss ? 1 : 0) - share->miss_share);
}

unsigned batch_share_level(const struct batch_share *share)
{
	return share->level;
}
