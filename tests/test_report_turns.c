/*
 * Choice of the entries that an agent sends its load reports to.
 *
 *   fleet N [recent=M]      N entries, the first M of which dispatched recently
 *   rounds N                N rounds of reports, one every half second
 */
#include <inttypes.h>
#include <string.h>

#include "core/report_turns.h"
#include "script.h"

#define ROUND_MS 500

struct state {
	struct report_target *targets;
	size_t nr;
	uint64_t now_ms;
	unsigned rounds;
};

static void *state_create(void)
{
	return g_new0(struct state, 1);
}

static void free_targets(struct state *state)
{
	size_t i;

	for (i = 0; i < state->nr; i++)
		g_free((char *)state->targets[i].name);
	g_free(state->targets);
}

static void state_destroy(void *state)
{
	free_targets(state);
	g_free(state);
}

static void make_fleet(struct state *state, int argc, char **argv)
{
	size_t recent = script_arg_int(argc, argv, "recent", 0);
	size_t i;

	free_targets(state);
	state->nr = g_ascii_strtoull(argv[1], NULL, 10);
	state->targets = g_new0(struct report_target, state->nr);
	for (i = 0; i < state->nr; i++) {
		state->targets[i].name = g_strdup_printf("entry-%zu", i);
		state->targets[i].recent = i < recent;
	}
}

/* Returns the longest time since the last report to any one target, in ms. Only
 * targets whose recent flag has the given value count. */
static uint64_t oldest_ms(const struct state *state, bool recent)
{
	uint64_t oldest = 0;
	size_t i;

	for (i = 0; i < state->nr; i++) {
		const struct report_target *target = &state->targets[i];

		if (target->recent == recent)
			oldest = MAX(oldest, state->now_ms - target->sent_ms);
	}
	return oldest;
}

static void run_rounds(struct state *state, unsigned rounds, GString *out)
{
	size_t max_nr = 0, nr, i;

	while (rounds--) {
		state->now_ms += ROUND_MS;
		nr = report_turns_pick(state->targets, state->nr);
		max_nr = MAX(max_nr, nr);
		for (i = 0; i < nr; i++)
			state->targets[i].sent_ms = state->now_ms;
	}
	g_string_append_printf(out,
			       "at most %zu a round; oldest report %" PRIu64
			       " ms where it is used, else %" PRIu64 " ms\n",
			       max_nr, oldest_ms(state, true),
			       oldest_ms(state, false));
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	if (!strcmp(argv[0], "fleet"))
		make_fleet(state, argc, argv);
	else
		run_rounds(state, g_ascii_strtoull(argv[1], NULL, 10), out);
}

static const struct script_driver driver = {
	.name = "report_turns",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
