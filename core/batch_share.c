#include <glib.h>

#include "core/batch_share.h"

#define WEIGHT_FULL 100
/* Relative increase of the gap up to which there is no slowdown cost. */
#define SLOWDOWN_FREE 0.05
/*
 * While no online stream runs, an arriving online request is only slowed by the
 * engine step in progress. So slowdown counts less, and the token rate counts
 * at any weight.
 */
#define IDLE_SLOWDOWN 0.1
#define IDLE_RATE 0.3
/* Minimum headroom between the gap of a single stream and the gap target, as a
 * share of the former. */
#define HEADROOM_MIN 0.25
/* Time without online requests after which the engine counts as idle, in us. */
#define IDLE_AFTER_US 200000
/* Minimum number of gaps, and minimum time in us, between two increases. */
#define SETTLE_GAPS 10
#define SETTLE_MIN_US 50000
/* Added to the weight of the token rate while online streams run, so that the
 * rate decides between numbers of streams with the same slowdown. */
#define RATE_TIE 0.05
/* Weight of one gap in the moving average of gaps that miss the target. */
#define MISS_WEIGHT 0.005
/* Largest share of online gaps that may miss the target because of starting
 * batch streams, at weight 0. */
#define MISS_SHARE_MIN 0.03
/* Maximum number of batch streams that process their prompt concurrently. */
#define STARTING_BUSY 1
#define STARTING_IDLE 2
/* Duration of a probe with one more stream, and minimum time between the starts
 * of two probes, in us. */
#define PROBE_US 1000000
#define PROBE_INTERVAL_US 30000000

struct batch_share {
	struct batch_share_options options;
	/* Target number of streams, online and batch. */
	unsigned level;
	uint64_t raised_us;
	/* Start of the last probe. */
	uint64_t probe_us;
	uint64_t busy_until_us;
	/* Share of online gaps that missed the target while a batch prompt was
	 * processed. */
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
 * Returns the cost of the slowdown of online streams at n streams: 0 at the gap
 * of a single stream, 1 at the gap target. It is squared, because increases
 * close to the target matter most.
 */
static double slowdown_cost(const struct batch_share *share,
			    const struct concurrency *concurrency, unsigned n)
{
	double alone = (double)concurrency_gap_at(concurrency, 1);
	double gap = (double)concurrency_gap_at(concurrency, n);
	double headroom = MAX((double)share->options.gap_target_us - alone,
			      HEADROOM_MIN * alone);
	double increase = MAX(0, gap - (1 + SLOWDOWN_FREE) * alone) / headroom;

	return increase * increase;
}

static bool meets_gap_target(const struct batch_share *share,
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

/* Returns the number of streams with the best trade-off of token rate against
 * slowdown. The weight sets how much each of the two counts. */
static unsigned best_level(const struct batch_share *share,
			   const struct concurrency *concurrency, bool busy)
{
	unsigned max =
		MIN(concurrency_max_measured(concurrency) + 1, CONCURRENCY_MAX);
	double rate_max = best_rate(concurrency, max);
	double rate_weight = weight(share) + (busy ? RATE_TIE : IDLE_RATE);
	double slowdown_weight =
		(1 - weight(share)) * (busy ? 1 : IDLE_SLOWDOWN);
	double best = 0;
	unsigned level = 1, n;

	if (rate_max <= 0)
		return 1;
	for (n = 1; n <= max; n++) {
		double rate = concurrency_rate_at(concurrency, n) / rate_max;
		double value =
			rate_weight * rate -
			slowdown_weight * slowdown_cost(share, concurrency, n);

		if (!meets_gap_target(share, concurrency, n, busy))
			break;
		if (n == 1 || value > best) {
			best = value;
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

/* On an idle engine, raises the target by one stream for PROBE_US, if that
 * number of streams has no recent measurements. */
static unsigned add_probe(struct batch_share *share,
			  const struct concurrency *concurrency,
			  unsigned target, bool busy, uint64_t now_us)
{
	if (busy || target >= CONCURRENCY_MAX ||
	    concurrency_is_measured(concurrency, target + 1, now_us))
		return target;
	if (now_us >= share->probe_us + PROBE_INTERVAL_US)
		share->probe_us = now_us;
	return now_us < share->probe_us + PROBE_US ? target + 1 : target;
}

static void update_level(struct batch_share *share,
			 const struct concurrency *concurrency,
			 const struct batch_share_load *load, bool busy,
			 uint64_t now_us)
{
	unsigned target = best_level(share, concurrency, busy);
	unsigned explored = concurrency_max_measured(concurrency);
	bool full;

	target = add_probe(share, concurrency, target, busy, now_us);
	if (target <= share->level) {
		share->level = target;
		return;
	}
	if (target <= explored) {
		share->level = target;
		share->raised_us = now_us;
		return;
	}
	/* Beyond the measured range, add one stream at a time, each after the
	 * last increase has settled. */
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
	bool protect_online = busy && share->options.weight < WEIGHT_FULL;

	return protect_online ? STARTING_BUSY : STARTING_IDLE;
}

/* Starting batch streams lengthen engine steps, which delays the tokens of
 * online streams. */
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
	unsigned limit, free_nr, start_max;
	struct batch_share_plan plan;
	bool busy;

	if (online)
		share->busy_until_us = now_us + IDLE_AFTER_US;
	busy = online || now_us < share->busy_until_us;
	update_level(share, concurrency, load, busy, now_us);
	plan.keep = share->level > online ? share->level - online : 0;
	if (load->online_starting && share->options.weight < WEIGHT_FULL)
		plan.keep = MIN(plan.keep,
				load->batch_running - load->batch_starting);
	limit = starting_limit(share, busy);
	start_max =
		limit > load->batch_starting ? limit - load->batch_starting : 0;
	free_nr = plan.keep > load->batch_running ?
			  plan.keep - load->batch_running :
			  0;
	plan.start = may_start(share, load) ?
			     MIN(MIN(free_nr, start_max), load->batch_waiting) :
			     0;
	return plan;
}

void batch_share_record_online_gap(struct batch_share *share, uint64_t gap_us,
				   bool batch_starting)
{
	bool miss = batch_starting && gap_us > share->options.gap_target_us;

	share->miss_share += MISS_WEIGHT * ((miss ? 1 : 0) - share->miss_share);
}

unsigned batch_share_target_streams(const struct batch_share *share)
{
	return share->level;
}
