#include <math.h>
#include <string.h>

#include <glib.h>

#include "core/concurrency.h"

/* Quantile of the gaps that is estimated: the median. */
#define GAP_QUANTILE 0.5
/* Relative step size of the quantile estimate: its initial and its final
 * value. */
#define STEP_FIRST 0.25
#define STEP_LAST 0.03
/* Samples after which a number of streams counts as measured. */
#define MEASURED_SAMPLES 24
/* Minimum number of samples that a point needs to be used when the curve is
 * fitted, because the first may be outliers. */
#define FIT_SAMPLES 8
/* Upper bound of a point's weight in the fit, in samples. */
#define WEIGHT_MAX 200.0
/* Time in which the weight of a point decays to 1/e, in us. */
#define DECAY_US 60e6
/* Time after which a number of streams should be measured again, in us. */
#define REMEASURE_US 120000000
/* Weight below which a point is left out when the curve is fitted, in
 * samples. */
#define WEIGHT_MIN 0.5
/* Share of the first-token target that a call may spend at the engine. */
#define FIRST_TOKEN_SHARE 0.5
/* On an engine whose single stream misses the gap target, gaps up to this
 * multiple of the single stream's gap are accepted. */
#define GAP_SLACK 1.5
/* Minimum time between two fits once a curve exists, in us. */
#define FIT_INTERVAL_US 50000
/* A token rate below this share of the best one counts as a decrease. */
#define RATE_SHARE_MIN 0.9
/* Minimum limit of online streams. */
#define ONLINE_LIMIT_MIN 4

/* Measurements of the engine at one number of concurrent streams. */
struct point {
	double gap_us;
	double first_token_us;
	uint32_t gaps;
	uint32_t first_tokens;
	uint64_t seen_us;
};

/* A range of stream counts for which the fitted curve is constant. */
struct block {
	double gap_us;
	double weight;
	unsigned first;
	unsigned last;
};

struct concurrency {
	struct concurrency_options options;
	struct point points[CONCURRENCY_MAX + 1];
	/* Largest number of streams that was measured. */
	unsigned highest;
	uint64_t now_us;
	/* Fitted gap for each number of streams, in us. */
	double fit[CONCURRENCY_MAX + 1];
	unsigned fit_highest;
	unsigned online_limit;
	/* Samples were added since the curve was last fitted. */
	bool stale;
	/* Time at which the curve was last fitted, in us. */
	uint64_t fitted_us;
};

struct concurrency *concurrency_create(
	const struct concurrency_options *options)
{
	struct concurrency *concurrency = g_new0(struct concurrency, 1);

	concurrency->options = *options;
	concurrency->online_limit = CONCURRENCY_MAX;
	return concurrency;
}

void concurrency_destroy(struct concurrency *concurrency)
{
	g_free(concurrency);
}

void concurrency_set(struct concurrency *concurrency,
		     const struct concurrency_options *options)
{
	concurrency->options = *options;
	concurrency->stale = true;
	concurrency->fitted_us = 0;
}

static struct point *point_at(struct concurrency *concurrency, unsigned streams,
			      uint64_t now_us)
{
	struct point *point;

	streams = CLAMP(streams, 1, CONCURRENCY_MAX);
	concurrency->highest = MAX(concurrency->highest, streams);
	concurrency->now_us = MAX(concurrency->now_us, now_us);
	concurrency->stale = true;
	point = &concurrency->points[streams];
	point->seen_us = now_us;
	return point;
}

/* Updates a quantile estimate by a step proportional to the estimate, so that
 * an outlier moves it no further than any other sample. */
static double update_quantile(double estimate, double sample, uint32_t seen)
{
	double step = MAX(STEP_LAST, STEP_FIRST / (1 + seen / 4.0));

	if (!seen)
		return sample;
	if (sample > estimate)
		return estimate * (1 + step * GAP_QUANTILE);
	if (sample < estimate)
		return estimate * (1 - step * (1 - GAP_QUANTILE));
	return estimate;
}

static double point_weight(const struct concurrency *concurrency,
			   const struct point *point)
{
	double age = (double)(concurrency->now_us - point->seen_us);

	return MIN(point->gaps, WEIGHT_MAX) * exp(-age / DECAY_US);
}

/* Merges blocks from the end until the curve no longer decreases. */
static unsigned merge_blocks(struct block *blocks, unsigned nr)
{
	while (nr > 1 && blocks[nr - 2].gap_us > blocks[nr - 1].gap_us) {
		struct block *a = &blocks[nr - 2];
		const struct block *b = &blocks[nr - 1];
		double weight = a->weight + b->weight;

		a->gap_us = (a->gap_us * a->weight + b->gap_us * b->weight) /
			    weight;
		a->weight = weight;
		a->last = b->last;
		nr--;
	}
	return nr;
}

static void interpolate(double *fit, const struct block *blocks, unsigned nr)
{
	unsigned i, n, end;

	for (i = 0; i < nr; i++) {
		const struct block *next = i + 1 < nr ? &blocks[i + 1] : NULL;

		for (n = blocks[i].first; n <= blocks[i].last; n++)
			fit[n] = blocks[i].gap_us;
		end = next ? next->first : blocks[i].last;
		for (; next && n < end; n++)
			fit[n] = blocks[i].gap_us +
				 (next->gap_us - blocks[i].gap_us) *
					 (n - blocks[i].last) /
					 (end - blocks[i].last);
	}
	for (n = 0; nr && n < blocks[0].first; n++)
		fit[n] = blocks[0].gap_us;
}

/* Returns the slope at the end of the fitted curve, in us for each stream. */
static double end_slope(const struct concurrency *concurrency)
{
	unsigned last = concurrency->fit_highest;
	unsigned from = last > 4 ? last - 4 : 1;

	if (last <= from)
		return 0;
	return (concurrency->fit[last] - concurrency->fit[from]) /
	       (last - from);
}

uint64_t concurrency_gap_at(const struct concurrency *concurrency,
			    unsigned streams)
{
	unsigned last;

	last = concurrency->fit_highest;
	streams = MIN(streams, CONCURRENCY_MAX);
	if (!last)
		return 0;
	if (streams <= last)
		return (uint64_t)concurrency->fit[streams];
	return (uint64_t)(concurrency->fit[last] +
			  end_slope(concurrency) * (streams - last));
}

double concurrency_rate_at(const struct concurrency *concurrency,
			   unsigned streams)
{
	uint64_t gap = concurrency_gap_at(concurrency, streams);

	return gap ? streams * 1e6 / (double)gap : 0;
}

/* Tells whether first tokens at this number of streams miss their target. */
static bool first_token_late(const struct concurrency *concurrency,
			     unsigned streams)
{
	const struct point *point = &concurrency->points[streams];
	double limit = FIRST_TOKEN_SHARE *
		       (double)concurrency->options.first_token_target_us;

	return point->first_tokens >= MEASURED_SAMPLES &&
	       concurrency->now_us < point->seen_us + REMEASURE_US &&
	       point->first_token_us > limit;
}

/* Returns the longest gap that the online limit accepts, in us. */
static double gap_limit(const struct concurrency *concurrency)
{
	return MAX((double)concurrency->options.gap_target_us,
		   GAP_SLACK * concurrency->fit[1]);
}

static unsigned find_online_limit(const struct concurrency *concurrency)
{
	double best = 0, limit, rate;
	unsigned n;

	limit = gap_limit(concurrency);
	for (n = ONLINE_LIMIT_MIN + 1; n <= CONCURRENCY_MAX; n++) {
		if (first_token_late(concurrency, n))
			return n - 1;
		rate = concurrency_rate_at(concurrency, n);
		best = MAX(best, rate);
		if (rate < RATE_SHARE_MIN * best &&
		    (double)concurrency_gap_at(concurrency, n) > limit)
			return n - 1;
	}
	return CONCURRENCY_MAX;
}

/* Fits a non-decreasing curve to the points by isotonic regression (pool
 * adjacent violators). */
static void fit_curve(struct concurrency *concurrency)
{
	struct block blocks[CONCURRENCY_MAX + 1];
	unsigned nr = 0, n;

	for (n = 1; n <= concurrency->highest; n++) {
		const struct point *point = &concurrency->points[n];
		double weight = point_weight(concurrency, point);

		if (weight < WEIGHT_MIN || point->gaps < FIT_SAMPLES)
			continue;
		blocks[nr].gap_us = point->gap_us;
		blocks[nr].weight = weight;
		blocks[nr].first = n;
		blocks[nr].last = n;
		nr = merge_blocks(blocks, nr + 1);
	}
	memset(concurrency->fit, 0, sizeof(concurrency->fit));
	interpolate(concurrency->fit, blocks, nr);
	concurrency->fit_highest = nr ? blocks[nr - 1].last : 0;
	concurrency->stale = false;
	concurrency->fitted_us = concurrency->now_us;
	concurrency->online_limit = find_online_limit(concurrency);
}

static void refit_if_stale(struct concurrency *concurrency)
{
	if (!concurrency->stale)
		return;
	if (concurrency->fit_highest &&
	    concurrency->now_us < concurrency->fitted_us + FIT_INTERVAL_US)
		return;
	fit_curve(concurrency);
}

void concurrency_record_gap(struct concurrency *concurrency,
			    const struct concurrency_sample *sample,
			    uint64_t now_us)
{
	struct point *point;
	double gap;

	if (!sample->steady || !sample->tokens || !sample->gap_us)
		return;
	gap = (double)sample->gap_us / sample->tokens;
	point = point_at(concurrency, sample->streams, now_us);
	point->gap_us = update_quantile(point->gap_us, gap, point->gaps);
	point->gaps++;
	refit_if_stale(concurrency);
}

void concurrency_record_first_token(struct concurrency *concurrency,
				    unsigned streams, uint64_t us,
				    uint64_t now_us)
{
	struct point *point = point_at(concurrency, streams, now_us);

	point->first_token_us = update_quantile(
		point->first_token_us, (double)us, point->first_tokens);
	point->first_tokens++;
	refit_if_stale(concurrency);
}

unsigned concurrency_max_measured(const struct concurrency *concurrency)
{
	return concurrency->fit_highest;
}

bool concurrency_is_measured(const struct concurrency *concurrency,
			     unsigned streams, uint64_t now_us)
{
	const struct point *point =
		&concurrency->points[MIN(streams, CONCURRENCY_MAX)];

	return point->gaps >= MEASURED_SAMPLES &&
	       now_us < point->seen_us + REMEASURE_US;
}

unsigned concurrency_online_limit(const struct concurrency *concurrency)
{
	return concurrency->online_limit;
}
