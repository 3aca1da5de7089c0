/*
 * Tests of the retry budget, the backoff, and the retry delay in outages.
 */
#include <inttypes.h>
#include <string.h>

#include "core/retry.h"
#include "script.h"

#define SEED 3

struct state {
	struct retry retry;
	GRand *random;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	retry_init(&state->retry, &retry_defaults);
	state->random = g_rand_new_with_seed(SEED);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	g_rand_free(state->random);
	g_free(state);
}

static void ask(struct state *state, int argc, char **argv, GString *out)
{
	uint64_t now_ms = script_arg_int(argc, argv, "at", 1000);
	uint64_t at_ms = 0;
	enum retry_decision verdict = retry_decide(
		&state->retry, script_arg_int(argc, argv, "after", 1), now_ms,
		script_arg_int(argc, argv, "deadline", 9000), state->random,
		&at_ms);

	g_string_append_printf(out, "%s", retry_decision_text(verdict));
	if (verdict == RETRY_LATER)
		g_string_append_printf(out, " in %" PRIu64 " ms",
				       at_ms - now_ms);
	g_string_append_printf(out, ", budget %" PRIu64 "\n",
			       state->retry.budget_milli);
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	int64_t nr = script_arg_int(argc, argv, "nr", 1);

	if (!strcmp(argv[0], "succeed")) {
		while (nr--)
			retry_succeeded(&state->retry);
	} else if (!strcmp(argv[0], "spend")) {
		state->retry.budget_milli = 0;
	} else if (!strcmp(argv[0], "outage")) {
		g_string_append_printf(out, "%u\n",
				       retry_after_outage_ms(g_ascii_strtoull(
					       argv[1], NULL, 10)));
	} else {
		ask(state, argc, argv, out);
	}
}

static const struct script_driver driver = {
	.name = "retry",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
