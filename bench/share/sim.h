/**
 * Simulates a backend server with online arrivals and an unlimited backlog of
 * batch work in virtual time, under one of several policies.
 */
#ifndef BENCH_SIM_H
#define BENCH_SIM_H

#include <stdint.h>
#include <stdio.h>

#include <glib.h>

#include "sim_engine.h"

enum sim_policy {
	/** The engine gets no batch work. */
	SIM_NO_BATCH,
	/** Batch work is sent to the engine without a limit. */
	SIM_ENGINE_ALONE,
	/** A fixed number of batch streams runs. */
	SIM_FIXED,
	/**
	 * The agent's own modules for admission, concurrency and batch share
	 * decide.
	 */
	SIM_OURS,
	/**
	 * A scheduler that knows the engine's performance curve and all
	 * arrivals in advance.
	 */
	SIM_ORACLE,
};

/** Online load that alternates between quiet periods and bursts. */
struct sim_load {
	const char *name;
	/**
	 * Loads of the two periods as fractions of the engine's peak token
	 * rate.
	 */
	double quiet;
	double burst;
	double quiet_s;
	double burst_s;
};

/** Parameters of the oracle; the best result over many settings is used. */
struct sim_oracle {
	/** Total streams while online streams run. */
	unsigned busy_level;
	/** Total streams while no online stream runs. */
	unsigned idle_level;
	/** Time before an arrival in which no batch stream is started, in us. */
	uint32_t clear_us;
	/** Maximum number of batch prefills while online streams run. */
	unsigned busy_starting;
};

struct sim_options {
	const struct sim_curve *curve;
	const struct sim_load *load;
	enum sim_policy policy;
	uint64_t duration_us;
	uint32_t seed;
	/** Maximum network delay of a token, in us. */
	uint32_t jitter_us;
	/** Number of batch streams of SIM_FIXED. */
	unsigned fixed;
	/** Batch weight of SIM_OURS. */
	unsigned weight;
	uint64_t gap_target_us;
	struct sim_oracle oracle;
};

/** Result of a run. Times are in us and sorted. */
struct sim_result {
	GArray *first_tokens;
	GArray *gaps;
	double batch_tokens_per_s;
	double gaps_within;
	uint64_t preemptions;
	unsigned level;
};

/** Runs the simulation; sim_result_clear() frees the result. */
void sim_run(const struct sim_options *options, struct sim_result *result);

/** Prints a line "AT_US PROMPT_TOKENS TOKENS" per online arrival. */
void sim_print_trace(const struct sim_options *options, FILE *out);

void sim_result_clear(struct sim_result *result);

/** Returns a quantile, from 0 to 1, of sorted times; 0 if there are none. */
uint64_t sim_quantile(const GArray *sorted, double q);

#endif
