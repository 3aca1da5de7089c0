/*
 * Tests the rank of candidates for a shard, and the time to claim it.
 *
 *   rank SELF SHARD OTHER...    rank among the candidates
 *   due STATE RANK OWNERLESS_MS [running=MS]
 */
#include <string.h>

#include "core/shard_claims.h"
#include "script.h"

static const char *const states[] = { "none", "up", "down", "released" };

static void *state_create(void)
{
	return g_new0(int, 1);
}

static void print_due(int argc, char **argv, GString *out)
{
	uint64_t running = script_arg_int(argc, argv, "running", 60000);
	unsigned state;

	for (state = 0; strcmp(states[state], argv[1]);)
		state++;
	g_string_append_printf(
		out, "%s\n",
		shard_claim_due(state, g_ascii_strtoull(argv[2], NULL, 10),
				g_ascii_strtoull(argv[3], NULL, 10), running) ?
			"claim" :
			"wait");
}

static void command(void *state, int argc, char **argv, GString *out)
{
	(void)state;
	if (!strcmp(*argv, "due"))
		print_due(argc, argv, out);
	else
		g_string_append_printf(
			out, "%u\n",
			shard_claim_rank(argv[1], (const char *const *)argv + 3,
					 argc - 3,
					 g_ascii_strtoull(argv[2], NULL, 10)));
}

static const struct script_driver driver = {
	.name = "shard_claims",
	.create = state_create,
	.destroy = g_free,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
