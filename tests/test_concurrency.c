/*
 * Tests that an engine's latency curve is learned from gaps that are generated
 * by a known curve.
 */
#include <string.h>

#include "core/concurrency.h"
#include "script.h"

struct state {
	struct concurrency *concurrency;
	GRand *rand;
	uint64_t now_us;
};

static void *state_create(void)
{
	struct concurrency_options options = {
		.gap_target_us = 32000,
		.first_token_target_us = 1400000,
	};
	struct state *state = g_new0(struct state, 1);

	state->concurrency = concurrency_create(&options);
	state->rand = g_rand_new_with_seed(1);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	concurrency_destroy(state->concurrency);
	g_rand_free(state->rand);
	g_free(state);
}

/* Returns the gap of an engine with a base gap of 10 ms and a slope beyond the
 * 8th stream. */
static uint64_t gap_of_engine(unsigned streams, uint64_t slope_us)
{
	return 10000 + slope_us * (streams > 8 ? streams - 8 : 0);
}

/* "run from=N to=M samples=S noise=US late=PERCENT factor=PERCENT slope=US
 * unsteady=1" */
static void run(struct state *state, int argc, char **argv)
{
	unsigned from = (unsigned)script_arg_int(argc, argv, "from", 1);
	unsigned to = (unsigned)script_arg_int(argc, argv, "to", from);
	int64_t samples = script_arg_int(argc, argv, "samples", 100);
	int64_t noise = script_arg_int(argc, argv, "noise", 0);
	int64_t late = script_arg_int(argc, argv, "late", 0);
	uint64_t factor = script_arg_int(argc, argv, "factor", 100);
	uint64_t slope = script_arg_int(argc, argv, "slope", 2000);
	unsigned n;
	int64_t i;

	for (n = from; n <= to; n++) {
		for (i = 0; i < samples; i++) {
			struct concurrency_sample sample = {
				.streams = n,
				.gap_us =
					gap_of_engine(n, slope) * factor / 100,
				.tokens = 1,
				.steady = !script_arg_int(argc, argv,
							  "unsteady", 0),
			};

			if (noise)
				sample.gap_us += g_rand_int_range(
					state->rand, (gint32)-noise,
					(gint32)noise);
			if (g_rand_int_range(state->rand, 0, 100) < late)
				sample.gap_us *= 10;
			state->now_us += sample.gap_us;
			concurrency_record_gap(state->concurrency, &sample,
					       state->now_us);
		}
	}
}

static void print_gaps(struct state *state, int argc, char **argv, GString *out)
{
	int i;

	for (i = 1; i < argc; i++) {
		unsigned n = (unsigned)g_ascii_strtoull(argv[i], NULL, 10);
		uint64_t gap = concurrency_gap_at(state->concurrency, n);

		g_string_append_printf(out, "%u: %.1f ms\n", n,
				       (double)gap / 1000);
	}
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	unsigned n;

	if (!strcmp(argv[0], "run")) {
		run(state, argc, argv);
	} else if (!strcmp(argv[0], "gaps")) {
		print_gaps(state, argc, argv, out);
	} else if (!strcmp(argv[0], "wait")) {
		state->now_us += script_arg_int(argc, argv, "s", 0) * 1000000;
	} else if (!strcmp(argv[0], "first")) {
		for (n = 0; n < 100; n++)
			concurrency_record_first_token(
				state->concurrency,
				(unsigned)script_arg_int(argc, argv, "n", 1),
				script_arg_int(argc, argv, "ms", 0) * 1000,
				state->now_us += 1000);
	} else if (!strcmp(argv[0], "limit")) {
		n = concurrency_online_limit(state->concurrency);
		g_string_append_printf(out, "%s%u\n",
				       n == CONCURRENCY_MAX ? "none, " : "", n);
	} else if (!strcmp(argv[0], "known")) {
		n = (unsigned)script_arg_int(argc, argv, "n", 1);
		g_string_append(out, concurrency_is_measured(state->concurrency,
							     n, state->now_us) ?
					     "known\n" :
					     "unknown\n");
	}
}

static const struct script_driver driver = {
	.name = "concurrency",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
