/*
 * Tests of the pull intervals of idle agents, and of the order in which they are
 * woken.
 */
#include <string.h>

#include "core/pull_pace.h"
#include "script.h"

#define MIN_WAIT_MS 500
#define MAX_WAIT_MS 30000
#define PULLS_PER_S 20

static void *state_create(void)
{
	struct pull_pace_options options = {
		.min_wait_ms = MIN_WAIT_MS,
		.max_wait_ms = MAX_WAIT_MS,
		.pulls_per_s = PULLS_PER_S,
	};

	return pull_pace_create(&options);
}

static void state_destroy(void *state)
{
	pull_pace_destroy(state);
}

static void print_service(void *ctx, const char *service)
{
	g_string_append_printf(ctx, "%s\n", service);
}

static void add_many(struct pull_pace *pace, unsigned nr)
{
	unsigned i;

	for (i = 0; i < nr; i++) {
		char *name = g_strdup_printf("many-%u", i);

		pull_pace_empty(pace, name, "s", 0);
		g_free(name);
	}
}

/* empty AGENT SERVICE at=MS, served AGENT, wake SERVICE, expire at=MS ... */
static void command(void *state, int argc, char **argv, GString *out)
{
	uint64_t at = script_arg_int(argc, argv, "at", 0);
	char *agent;

	if (!strcmp(argv[0], "empty")) {
		g_string_append_printf(
			out, "wait %u ms\n",
			pull_pace_empty(state, argv[1], argv[2], at));
	} else if (!strcmp(argv[0], "many")) {
		add_many(state, script_arg_int(argc, argv, "nr", 0));
	} else if (!strcmp(argv[0], "served")) {
		pull_pace_served(state, argv[1]);
	} else if (!strcmp(argv[0], "expire")) {
		pull_pace_expire(state, at);
	} else if (!strcmp(argv[0], "services")) {
		pull_pace_each_service(state, print_service, out);
	} else if (!strcmp(argv[0], "wake")) {
		agent = pull_pace_wake(state, argv[1]);
		g_string_append_printf(out, "%s\n", agent ? agent : "none");
		g_free(agent);
	} else if (!strcmp(argv[0], "idle")) {
		g_string_append_printf(out, "%u\n", pull_pace_idle_nr(state));
	}
}

static const struct script_driver driver = {
	.name = "pull_pace",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
