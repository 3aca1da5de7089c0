/*
 * Tests of the selection of agents, and of the explanation of each choice.
 */
#include <string.h>

#include "common/hash.h"
#include "core/router.h"
#include "script.h"

#define MAX_CANDIDATES 64
#define SEED 7

struct state {
	struct router_candidate candidates[MAX_CANDIDATES];
	size_t nr;
	GRand *random;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->random = g_rand_new_with_seed(SEED);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;
	size_t i;

	for (i = 0; i < state->nr; i++)
		g_free((char *)state->candidates[i].name);
	g_rand_free(state->random);
	g_free(state);
}

static struct router_candidate *find(struct state *state, const char *name)
{
	size_t i;

	for (i = 0; i < state->nr; i++) {
		if (!strcmp(state->candidates[i].name, name))
			return &state->candidates[i];
	}
	state->candidates[state->nr].name = g_strdup(name);
	state->candidates[state->nr].name_hash = hash_string(name, 0);
	return &state->candidates[state->nr++];
}

/* "agent NAME far=0|1|2 wait=US load=N new=N limit=N"; far is the distance */
static void set_agent(struct state *state, int argc, char **argv)
{
	struct router_candidate *agent = find(state, argv[1]);

	agent->distance = script_arg_int(argc, argv, "far", 0);
	agent->expected_wait_us = script_arg_int(argc, argv, "wait", 0);
	agent->reported = script_arg_int(argc, argv, "load", 0);
	agent->unreported = script_arg_int(argc, argv, "new", 0);
	agent->limit = script_arg_int(argc, argv, "limit", 8);
}

static void choose(struct state *state, int argc, char **argv, GString *out)
{
	struct router_request request = {
		.prefix_hash = script_arg_int(argc, argv, "prefix", 0),
		.link_has_budget = script_arg_int(argc, argv, "link", 1),
	};
	char text[ROUTER_TEXT_BYTES];
	struct router_choice choice;

	router_choose(&request, state->candidates, state->nr, state->random,
		      &choice);
	router_explain(&choice, state->candidates, text, sizeof(text));
	g_string_append_printf(out, "%s\n", text);
}

/* Makes many choices, each of which adds to the load of the chosen agent, and
 * prints the loads. */
static void spread(struct state *state, int argc, char **argv, GString *out)
{
	struct router_request request = {
		.prefix_hash = script_arg_int(argc, argv, "prefix", 0),
		.link_has_budget = script_arg_int(argc, argv, "link", 1),
	};
	int64_t nr = script_arg_int(argc, argv, "nr", 100);
	struct router_choice choice;
	size_t i;

	while (nr--) {
		router_choose(&request, state->candidates, state->nr,
			      state->random, &choice);
		if (choice.index >= 0)
			state->candidates[choice.index].unreported++;
	}
	for (i = 0; i < state->nr; i++)
		g_string_append_printf(out, "%s %u\n",
				       state->candidates[i].name,
				       state->candidates[i].unreported);
}

static void command(void *state, int argc, char **argv, GString *out)
{
	if (!strcmp(argv[0], "agent"))
		set_agent(state, argc, argv);
	else if (!strcmp(argv[0], "choose"))
		choose(state, argc, argv, out);
	else if (!strcmp(argv[0], "spread"))
		spread(state, argc, argv, out);
}

static const struct script_driver driver = {
	.name = "router",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
