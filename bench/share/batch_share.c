/*
 * Simulates, in virtual time, the batch throughput and its effect on online
 * latency under several policies: (a) no batch work, (b) no limit on batch work,
 * (c) fixed numbers of batch streams, (d) the batch share of the agent over the
 * whole range of its weight, and an oracle that knows the engine's performance
 * curve and the arrivals.
 *
 * usage: batch_share [SEED] [SECONDS] [CURVE] [LOAD]
 *        batch_share trace SEED SECONDS CURVE LOAD
 *
 * The second form prints the online arrivals, for bench/load --trace.
 */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "sim.h"

#define GAP_TARGET_US 32000
#define JITTER_US 1000
#define WEIGHT_STEP 10
#define DEFAULT_SECONDS 300

static const struct sim_curve curves[] = {
	{ "small", 10000, 8, 2000, 32, 50, 65536 },
	{ "large", 15000, 16, 500, 64, 20, 131072 },
	{ "slow", 24000, 4, 1500, 16, 60, 32768 },
};

static const struct sim_load loads[] = {
	{ "bursts", 0.05, 0.6, 4, 1 },
	{ "busy", 0.25, 0.6, 4, 2 },
	{ "overload", 0.1, 1.2, 6, 2 },
};

/* Result of one run of a policy. */
struct point {
	uint64_t first[3];
	uint64_t gap[3];
	double within;
	double batch;
	uint64_t preemptions;
	unsigned level;
};

static const double quantiles[] = { 0.5, 0.95, 0.99 };

static struct point run(const struct sim_options *options)
{
	struct sim_result result;
	struct point point;
	unsigned i;

	sim_run(options, &result);
	for (i = 0; i < G_N_ELEMENTS(quantiles); i++) {
		point.first[i] =
			sim_quantile(result.first_tokens, quantiles[i]);
		point.gap[i] = sim_quantile(result.gaps, quantiles[i]);
	}
	point.within = result.gaps_within;
	point.batch = result.batch_tokens_per_s;
	point.preemptions = result.preemptions;
	point.level = result.level;
	sim_result_clear(&result);
	return point;
}

static void print_point(const struct sim_options *options, const char *policy,
			const struct point *point)
{
	printf("%s-%s-%s first_ms_p50=%.1f first_ms_p95=%.1f "
	       "first_ms_p99=%.1f gap_ms_p50=%.1f gap_ms_p95=%.1f "
	       "gap_ms_p99=%.1f within_32ms=%.4f batch_tokens_s=%.1f "
	       "preemptions=%" PRIu64 " level=%u\n",
	       options->curve->name, options->load->name, policy,
	       (double)point->first[0] / 1e3, (double)point->first[1] / 1e3,
	       (double)point->first[2] / 1e3, (double)point->gap[0] / 1e3,
	       (double)point->gap[1] / 1e3, (double)point->gap[2] / 1e3,
	       point->within, point->batch, point->preemptions, point->level);
}

static GArray *run_oracles(struct sim_options options)
{
	static const uint32_t clear_us[] = { 0, 30000 };
	GArray *points = g_array_new(FALSE, FALSE, sizeof(struct point));
	unsigned max = options.curve->max_running;
	unsigned step = MAX(1, max / 16);
	struct point point;
	unsigned busy, idle, i, starting;

	options.policy = SIM_ORACLE;
	for (idle = 2 * step; idle <= max; idle += 2 * step)
		for (busy = 0; busy <= idle; busy += step)
			for (i = 0; i < G_N_ELEMENTS(clear_us); i++)
				for (starting = 1; starting <= 2; starting++) {
					options.oracle = (struct sim_oracle){
						busy, idle, clear_us[i],
						starting
					};
					point = run(&options);
					g_array_append_val(points, point);
				}
	return points;
}

/*
 * Returns the best batch throughput, in tokens per second, among the oracles
 * whose online latency is no worse than that of the baseline.
 */
static double oracle_at(const GArray *oracles, const struct point *baseline)
{
	double best = 0;
	guint i;

	for (i = 0; i < oracles->len; i++) {
		const struct point *point =
			&g_array_index(oracles, struct point, i);

		if (point->first[2] <= baseline->first[2] &&
		    point->within >= baseline->within)
			best = MAX(best, point->batch);
	}
	return best;
}

static void run_ours(struct sim_options options, const struct point *no_batch,
		     const GArray *oracles)
{
	unsigned weight;
	struct point point;
	char name[32];

	options.policy = SIM_OURS;
	for (weight = 0; weight <= 100; weight += WEIGHT_STEP) {
		double oracle;

		options.weight = weight;
		point = run(&options);
		g_snprintf(name, sizeof(name), "ours-%03u", weight);
		print_point(&options, name, &point);
		oracle = oracle_at(oracles, &point);
		printf("%s-%s-%s first_p99_ratio=%.3f oracle_tokens_s=%.1f "
		       "oracle_share=%.3f\n",
		       options.curve->name, options.load->name, name,
		       (double)point.first[2] / (double)no_batch->first[2],
		       oracle, oracle > 0 ? point.batch / oracle : 0);
	}
}

static void run_all(struct sim_options options)
{
	static const unsigned fixed[] = { 4, 8, 16 };
	struct point no_batch, point;
	GArray *oracles;
	char name[32];
	unsigned i;

	options.policy = SIM_NO_BATCH;
	no_batch = run(&options);
	print_point(&options, "no-batch", &no_batch);
	options.policy = SIM_ENGINE_ALONE;
	point = run(&options);
	print_point(&options, "engine-alone", &point);
	options.policy = SIM_FIXED;
	for (i = 0; i < G_N_ELEMENTS(fixed); i++) {
		options.fixed = fixed[i];
		point = run(&options);
		g_snprintf(name, sizeof(name), "fixed-%02u", fixed[i]);
		print_point(&options, name, &point);
	}
	oracles = run_oracles(options);
	run_ours(options, &no_batch, oracles);
	g_array_free(oracles, TRUE);
}

static bool is_wanted(const char *name, const char *wanted)
{
	return !wanted || !strcmp(name, wanted);
}

int main(int argc, char **argv)
{
	bool trace = argc > 1 && !strcmp(argv[1], "trace");
	struct sim_options options = {
		.seed = 1,
		.duration_us = DEFAULT_SECONDS * 1000000ULL,
		.jitter_us = JITTER_US,
		.gap_target_us = GAP_TARGET_US,
	};
	const char *curve, *load;
	unsigned i, j;

	argv += trace;
	argc -= trace;
	if (argc > 1)
		options.seed = (uint32_t)strtoul(argv[1], NULL, 10);
	if (argc > 2)
		options.duration_us = strtoull(argv[2], NULL, 10) * 1000000;
	curve = argc > 3 ? argv[3] : NULL;
	load = argc > 4 ? argv[4] : NULL;
	if (!trace)
		printf("# latencies of online callers in ms, %u us of jitter\n",
		       JITTER_US);
	for (i = 0; i < G_N_ELEMENTS(curves); i++) {
		for (j = 0; j < G_N_ELEMENTS(loads); j++) {
			if (!is_wanted(curves[i].name, curve) ||
			    !is_wanted(loads[j].name, load))
				continue;
			options.curve = &curves[i];
			options.load = &loads[j];
			if (trace)
				sim_print_trace(&options, stdout);
			else
				run_all(options);
			fflush(stdout);
		}
	}
	return 0;
}
