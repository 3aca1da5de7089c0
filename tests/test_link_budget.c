/*
 * Tests of the bandwidth budget of the link between regions.
 */
#include <inttypes.h>
#include <string.h>

#include "core/link_budget.h"
#include "script.h"

#define US_PER_MS 1000

static void *state_create(void)
{
	struct link_budget *budget = g_new0(struct link_budget, 1);

	link_budget_init(budget, 1000, 500, 0);
	return budget;
}

/*
 * Prints the bandwidth used by a region whose entries all use their full budget
 * for some seconds. The last "unaware" entries know only "known" entries.
 */
static void print_region(int argc, char **argv, GString *out)
{
	int64_t entries = script_arg_int(argc, argv, "entries", 1);
	int64_t unaware = script_arg_int(argc, argv, "unaware", 0);
	int64_t known = script_arg_int(argc, argv, "known", entries);
	uint64_t seconds = script_arg_int(argc, argv, "seconds", 60);
	uint64_t bytes = 0;
	int64_t i;

	for (i = 0; i < entries; i++) {
		uint64_t share = link_budget_share(
			i < entries - unaware ? entries : known);

		bytes += share * (seconds + LINK_BUDGET_BURST_S);
	}
	g_string_append_printf(out,
			       "%" PRIu64 " kB/s, %" PRIu64 " %% of the link\n",
			       bytes / seconds / 1000,
			       bytes * 100 / seconds / LINK_BYTES_PER_S);
}

static void command(void *state, int argc, char **argv, GString *out)
{
	struct link_budget *budget = state;
	uint64_t now_us = script_arg_int(argc, argv, "at", 0) * US_PER_MS;
	uint64_t bytes = script_arg_int(argc, argv, "bytes", 0);

	if (!strcmp(argv[0], "region")) {
		print_region(argc, argv, out);
		return;
	}
	if (!strcmp(argv[0], "take"))
		link_budget_charge(budget, bytes, now_us);
	else if (!strcmp(argv[0], "set"))
		link_budget_set(budget, script_arg_int(argc, argv, "rate", 0),
				script_arg_int(argc, argv, "burst", 0), now_us);
	else
		g_string_append(out, link_budget_allows(budget, bytes, now_us) ?
					     "allowed " :
					     "refused ");
	g_string_append_printf(out, "%" PRId64 "\n", budget->bytes);
}

static const struct script_driver driver = {
	.name = "link_budget",
	.create = state_create,
	.destroy = g_free,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
