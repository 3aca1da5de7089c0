/*
 * Tests the outcomes of requests as reported to the caller, and which requests
 * may be retried.
 */
#include <string.h>

#include "core/outcome.h"
#include "script.h"

static void *state_create(void)
{
	struct outcome *outcome = g_new0(struct outcome, 1);

	outcome_init(outcome, false);
	return outcome;
}

static void print_state(const struct outcome *outcome, GString *out)
{
	g_string_append_printf(
		out, "%s says %s%s\n", outcome_state_text(outcome->state),
		outcome_statement_text(outcome_statement(outcome)),
		outcome_may_dispatch(outcome) ? ", may dispatch" : "");
}

static void command(void *state, int argc, char **argv, GString *out)
{
	struct outcome *outcome = state;
	uint64_t incarnation = script_arg_int(argc, argv, "incarnation", 1);
	uint32_t attempt = script_arg_int(argc, argv, "attempt", 1);

	if (!strcmp(argv[0], "idempotent"))
		outcome_init(outcome, true);
	else if (!strcmp(argv[0], "dispatch"))
		g_string_append_printf(out, "attempt %u\n",
				       outcome_dispatch(outcome, incarnation));
	else if (!strcmp(argv[0], "admitted"))
		outcome_admitted(outcome);
	else if (!strcmp(argv[0], "first_byte"))
		outcome_first_byte(outcome);
	else if (!strcmp(argv[0], "not-run"))
		g_string_append(out, outcome_proven_not_run(outcome) ?
					     "proven\n" :
					     "ignored\n");
	else if (!strcmp(argv[0], "lost"))
		outcome_lost(outcome);
	else if (!strcmp(argv[0], "complete"))
		outcome_ended(outcome, true);
	else if (!strcmp(argv[0], "truncated"))
		outcome_ended(outcome, false);
	else if (!strcmp(argv[0], "accepts"))
		g_string_append(out,
				outcome_accepts(outcome, attempt, incarnation) ?
					"yes\n" :
					"no\n");
	print_state(outcome, out);
}

static const struct script_driver driver = {
	.name = "outcome",
	.create = state_create,
	.destroy = g_free,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
