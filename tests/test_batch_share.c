/*
 * Tests of the number of batch streams that run with online ones, on an engine
 * with a base gap of 10 ms and 1 ms for each stream beyond the 8th.
 */
#include <string.h>

#include "core/batch_share.h"
#include "script.h"

#define BASE_US 10000
#define KNEE 8
#define SLOPE_US 1000

struct state {
	struct concurrency *concurrency;
	struct batch_share *share;
	uint64_t now_us;
};

static void *state_create(void)
{
	struct concurrency_options options = {
		.gap_target_us = 32000,
		.first_token_target_us = 1400000,
	};
	struct batch_share_options share = { 0, 32000 };
	struct state *state = g_new0(struct state, 1);

	state->concurrency = concurrency_create(&options);
	state->share = batch_share_create(&share);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	concurrency_destroy(state->concurrency);
	batch_share_destroy(state->share);
	g_free(state);
}

static void sample(struct state *state, unsigned n)
{
	unsigned over = n > KNEE ? n - KNEE : 0;
	struct concurrency_sample gap = {
		.streams = n,
		.gap_us = BASE_US + SLOPE_US * over,
		.tokens = 1,
		.steady = true,
	};

	state->now_us += gap.gap_us;
	concurrency_record_gap(state->concurrency, &gap, state->now_us);
}

static struct batch_share_plan plan(struct state *state, int argc, char **argv)
{
	struct batch_share_load load = {
		.online_running =
			(unsigned)script_arg_int(argc, argv, "online", 0),
		.online_waiting =
			(unsigned)script_arg_int(argc, argv, "queued", 0),
		.online_starting = (unsigned)script_arg_int(
			argc, argv, "online_starting", 0),
		.batch_running =
			(unsigned)script_arg_int(argc, argv, "batch", 0),
		.batch_starting =
			(unsigned)script_arg_int(argc, argv, "starting", 0),
		.batch_waiting =
			(unsigned)script_arg_int(argc, argv, "waiting", 100),
	};

	return batch_share_plan(state->share, state->concurrency, &load,
				state->now_us);
}

/* Runs only batch streams for a number of gaps, following the plan. */
static void idle(struct state *state, int64_t gaps)
{
	struct batch_share_load load = { .batch_waiting = 100 };
	struct batch_share_plan next;

	for (; gaps > 0; gaps--) {
		next = batch_share_plan(state->share, state->concurrency, &load,
					state->now_us);
		load.batch_running =
			MIN(load.batch_running, next.keep) + next.start;
		sample(state, load.batch_running);
	}
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	struct batch_share_options options = { 0, 32000 };
	unsigned n, i;

	if (!strcmp(argv[0], "weight")) {
		options.weight = (unsigned)g_ascii_strtoull(argv[1], NULL, 10);
		batch_share_set(state->share, &options);
	} else if (!strcmp(argv[0], "learn")) {
		for (n = 1; n <= g_ascii_strtoull(argv[1], NULL, 10); n++)
			for (i = 0; i < 50; i++)
				sample(state, n);
	} else if (!strcmp(argv[0], "idle")) {
		idle(state, script_arg_int(argc, argv, "gaps", 0));
		g_string_append_printf(
			out, "level %u\n",
			batch_share_target_streams(state->share));
	} else if (!strcmp(argv[0], "plan")) {
		struct batch_share_plan next = plan(state, argc, argv);

		g_string_append_printf(out, "keep %u, start %u\n", next.keep,
				       next.start);
	} else if (!strcmp(argv[0], "wait")) {
		state->now_us += script_arg_int(argc, argv, "ms", 0) * 1000;
	} else if (!strcmp(argv[0], "gaps")) {
		for (i = 0; i < (unsigned)script_arg_int(argc, argv, "nr", 1);
		     i++)
			batch_share_record_online_gap(
				state->share,
				script_arg_int(argc, argv, "ms", 0) * 1000,
				script_arg_int(argc, argv, "starting", 1));
	}
}

static const struct script_driver driver = {
	.name = "batch_share",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
