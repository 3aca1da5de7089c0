/*
 * Tests of the circuit breaker: when it opens, probes and closes.
 */
#include <string.h>

#include "core/circuit.h"
#include "script.h"

static void *state_create(void)
{
	return g_new0(struct circuit, 1);
}

static void command(void *state, int argc, char **argv, GString *out)
{
	struct circuit *circuit = state;
	uint64_t now_ms = script_arg_int(argc, argv, "at", 0);
	int64_t nr = script_arg_int(argc, argv, "nr", 1);

	if (!strcmp(argv[0], "fail")) {
		while (nr--)
			circuit_failed(circuit, now_ms);
	} else if (!strcmp(argv[0], "succeed")) {
		circuit_succeeded(circuit);
	} else if (!strcmp(argv[0], "dispatch")) {
		circuit_dispatched(circuit, now_ms);
	}
	g_string_append_printf(
		out, "%s, %s\n", circuit_state_text(circuit->state),
		circuit_allows(circuit, now_ms) ? "allows" : "refuses");
}

static const struct script_driver driver = {
	.name = "circuit",
	.create = state_create,
	.destroy = g_free,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
