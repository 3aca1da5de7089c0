/*
 * Whom an agent's load reports go to.
 *
 *   fleet N [recent=M]      so many entries, the first of which dispatched
 *   rounds N                sends rounds of reports, one each half second
 */
#include <inttypes.h>
#include <string.h>

#include "core/report_turns.h"
#include "script.h"

#define ROUND_MS 500

struct world {
	struct report_target *targets;
	size_t nr;
	uint64_t now_ms;
	unsigned rounds;
};

static void *state_create(void)
{
	return g_new0(struct world, 1);
}

static void clear(struct world *world)
{
	size_t i;

	for (i = 0; i < world->nr; i++)
		g_free((char *)world->targets[i].name);
	g_free(world->targets);
}

static void state_destroy(void *state)
{
	clear(state);
	g_free(state);
}

static void make_fleet(struct world *world, int argc, char **argv)
{
	size_t recent = script_arg_int(argc, argv, "recent", 0);
	size_t i;

	clear(world);
	world->nr = g_ascii_strtoull(argv[1], NULL, 10);
	world->targets = g_new0(struct report_target, world->nr);
	for (i = 0; i < world->nr; i++) {
		world->targets[i].name = g_strdup_printf("entry-%zu", i);
		world->targets[i].recent = i < recent;
	}
}

/* Longest time since the last report, over the recent or the other targets. */
static uint64_t oldest_ms(const struct world *world, bool recent)
{
	uint64_t oldest = 0;
	size_t i;

	for (i = 0; i < world->nr; i++) {
		const struct report_target *target = &world->targets[i];

		if (target->recent == recent)
			oldest = MAX(oldest, world->now_ms - target->sent_ms);
	}
	return oldest;
}

static void run_rounds(struct world *world, unsigned rounds, GString *out)
{
	size_t most = 0, nr, i;

	while (rounds--) {
		world->now_ms += ROUND_MS;
		nr = report_turns_pick(world->targets, world->nr);
		most = MAX(most, nr);
		for (i = 0; i < nr; i++)
			world->targets[i].sent_ms = world->now_ms;
	}
	g_string_append_printf(out,
			       "at most %zu a round; oldest report %" PRIu64
			       " ms where it is used, else %" PRIu64 " ms\n",
			       most, oldest_ms(world, true),
			       oldest_ms(world, false));
}

static void command(void *state, int argc, char **argv, GString *out)
{
	struct world *world = state;

	if (!strcmp(argv[0], "fleet"))
		make_fleet(world, argc, argv);
	else
		run_rounds(world, g_ascii_strtoull(argv[1], NULL, 10), out);
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
