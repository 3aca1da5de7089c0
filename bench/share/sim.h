/**
 * A backend server with online arrivals and an endless backlog of batch work,
 * in virtual time, under one of several policies.
 */
#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include <stdint.h>
#include <stdio.h>

#include <glib.h>

#include "sim_engine.h"

enum sim_policy {
	/** No batch work. */
	SIM_NO_BATCH,
	/** All batch work goes to the engine, which does as it likes. */
	SIM_ENGINE_ALONE,
	/** A fixed number of batch streams. */
	SIM_FIXED,
	/** The project's own modules. */
	SIM_OURS,
	/** Knows the engine's curve and the arrivals beforehand. */
	SIM_ORACLE,
};

/** Online load: bursts between quiet times. */
struct sim_load {
	const char *name;
	/** Load as a share of the engine's most tokens a second. */
	double quiet;
	double burst;
	double quiet_s;
	double burst_s;
};

/** What the oracle does; the best of many is taken. */
struct sim_oracle {
	/** Streams in all while online streams run. */
	unsigned busy_level;
	/** Streams in all while none run. */
	unsigned idle_level;
	/** Time before an arrival in which no prompt of a batch item begins. */
	uint32_t clear_us;
	/** Batch prompts computed at once while online streams run. */
	unsigned busy_starting;
};

struct sim_options {
	const struct sim_curve *curve;
	const struct sim_load *load;
	enum sim_policy policy;
	uint64_t duration_us;
	uint32_t seed;
	/** Largest delay of a token on its way to the agent, in us. */
	uint32_t jitter_us;
	/** Batch streams of the fixed split. */
	unsigned fixed;
	/** Weight of the project's policy. */
	unsigned weight;
	uint64_t gap_target_us;
	struct sim_oracle oracle;
};

/** What came of it. Times in us, sorted. */
struct sim_result {
	GArray *first_tokens;
	GArray *gaps;
	double batch_tokens_per_s;
	double gaps_within;
	uint64_t preemptions;
	unsigned level;
};

void sim_run(const struct sim_options *options, struct sim_result *result);

/** Prints the run's online arrivals: "AT_US PROMPT_TOKENS TOKENS" a line. */
void sim_print_trace(const struct sim_options *options, FILE *out);

void sim_result_clear(struct sim_result *result);

/** A quantile of sorted times. */
uint64_t sim_quantile(const GArray *sorted, double q);

#endif
