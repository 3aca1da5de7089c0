/*
 * Tests subsets of agents: size, balance over agents, stability, and agreement
 * between entries and agents.
 */
#include <string.h>

#include "core/subset.h"
#include "script.h"

/* Nodes in the data centres d0, d1, ..., which belong to two regions. */
struct fleet {
	struct subset_node *nodes;
	size_t nr;
};

static struct fleet make_fleet(const char *kind, size_t nr, int data_centres,
			       int64_t without)
{
	struct fleet fleet = { g_new0(struct subset_node, nr), 0 };
	size_t i;

	for (i = 0; i < nr; i++) {
		struct subset_node *node = &fleet.nodes[fleet.nr];
		int data_centre = (int)(i % data_centres);

		if ((int64_t)i == without)
			continue;
		node->name = g_strdup_printf("%s-%zu", kind, i);
		node->data_centre = g_strdup_printf("d%d", data_centre);
		node->region =
			data_centre * 2 < data_centres ? "north" : "south";
		fleet.nr++;
	}
	return fleet;
}

static void free_fleet(struct fleet *fleet)
{
	size_t i;

	for (i = 0; i < fleet->nr; i++) {
		g_free((char *)fleet->nodes[i].name);
		g_free((char *)fleet->nodes[i].data_centre);
	}
	g_free(fleet->nodes);
}

struct shape {
	struct fleet entries;
	struct fleet agents;
	unsigned size;
};

static struct shape make_shape(int argc, char **argv)
{
	int data_centres = (int)script_arg_int(argc, argv, "centres", 8);
	struct shape shape = {
		make_fleet("entry", script_arg_int(argc, argv, "entries", 370),
			   data_centres,
			   script_arg_int(argc, argv, "no_entry", -1)),
		make_fleet("agent", script_arg_int(argc, argv, "agents", 600),
			   data_centres,
			   script_arg_int(argc, argv, "no_agent", -1)),
		(unsigned)script_arg_int(argc, argv, "size", 40),
	};

	return shape;
}

static void free_shape(struct shape *shape)
{
	free_fleet(&shape->entries);
	free_fleet(&shape->agents);
}

static unsigned pick(struct shape *shape, const char *self)
{
	size_t i;

	for (i = 0; i < shape->agents.nr; i++)
		shape->agents.nodes[i].picked = false;
	return subset_pick(shape->entries.nodes, shape->entries.nr, self,
			   shape->agents.nodes, shape->agents.nr, shape->size);
}

/* Prints the range of subset sizes and of the number of subsets per agent. */
static void print_balance(struct shape *shape, GString *out)
{
	unsigned *counts = g_new0(unsigned, shape->agents.nr + 1);
	unsigned min = UINT_MAX, max = 0, low = UINT_MAX, high = 0;
	size_t i, k;

	for (i = 0; i < shape->entries.nr; i++) {
		unsigned nr = pick(shape, shape->entries.nodes[i].name);

		low = MIN(low, nr);
		high = MAX(high, nr);
		for (k = 0; k < shape->agents.nr; k++)
			counts[k] += shape->agents.nodes[k].picked;
	}
	for (k = 0; k < shape->agents.nr; k++) {
		min = MIN(min, counts[k]);
		max = MAX(max, counts[k]);
	}
	g_string_append_printf(out, "sizes %u to %u, agents in %u to %u\n", low,
			       high, min, max);
	g_free(counts);
}

/* Counts the agents that are picked in a but not in b. */
static unsigned count_lost(const struct shape *a, const struct shape *b)
{
	unsigned lost = 0;
	size_t i, k;

	for (i = 0; i < a->agents.nr; i++) {
		const struct subset_node *node = &a->agents.nodes[i];
		bool found = false;

		if (!node->picked)
			continue;
		for (k = 0; k < b->agents.nr; k++)
			found |= b->agents.nodes[k].picked &&
				 !strcmp(b->agents.nodes[k].name, node->name);
		lost += !found;
	}
	return lost;
}

/* Prints the largest number of agents that an entry loses by a change. */
static void print_change(struct shape *before, struct shape *after,
			 GString *out)
{
	unsigned max_nr = 0;
	size_t i;

	for (i = 0; i < after->entries.nr; i++) {
		pick(before, after->entries.nodes[i].name);
		pick(after, after->entries.nodes[i].name);
		max_nr = MAX(max_nr, count_lost(before, after));
	}
	g_string_append_printf(out, "an entry loses at most %u\n", max_nr);
}

/* Returns a row of flags for each entry: the agents in its subset. */
static bool *pick_for_entries(struct shape *shape)
{
	bool *rows = g_new0(bool, shape->entries.nr * shape->agents.nr + 1);
	size_t i, k;

	for (i = 0; i < shape->entries.nr; i++) {
		pick(shape, shape->entries.nodes[i].name);
		for (k = 0; k < shape->agents.nr; k++)
			rows[i * shape->agents.nr + k] =
				shape->agents.nodes[k].picked;
	}
	return rows;
}

static void pick_entries(struct shape *shape, const char *self)
{
	size_t i;

	for (i = 0; i < shape->entries.nr; i++)
		shape->entries.nodes[i].picked = false;
	subset_pick_entries(shape->entries.nodes, shape->entries.nr,
			    shape->agents.nodes, shape->agents.nr, self,
			    shape->size);
}

/* Returns the names of the picked nodes, which the fleet owns. */
static GHashTable *picked_names(const struct fleet *fleet)
{
	GHashTable *names = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i;

	for (i = 0; i < fleet->nr; i++) {
		if (fleet->nodes[i].picked)
			g_hash_table_add(names, (char *)fleet->nodes[i].name);
	}
	return names;
}

/*
 * Compares the agents that entries pick in one view of the fleet with the
 * entries that agents pick in another.
 */
static void print_agreement(struct shape *entry_view, struct shape *agent_view,
			    GString *out)
{
	bool *rows = pick_for_entries(entry_view);
	unsigned pairs = 0, without = 0, unused = 0, max_nr = 0;
	GHashTable *names;
	size_t i, k;

	for (k = 0; k < entry_view->agents.nr; k++) {
		pick_entries(agent_view, entry_view->agents.nodes[k].name);
		names = picked_names(&agent_view->entries);
		for (i = 0; i < entry_view->entries.nr; i++) {
			bool routes = rows[i * entry_view->agents.nr + k];
			bool reports = g_hash_table_contains(
				names, entry_view->entries.nodes[i].name);

			pairs += routes;
			without += routes && !reports;
			unused += reports && !routes;
		}
		max_nr = MAX(max_nr, g_hash_table_size(names));
		g_hash_table_destroy(names);
	}
	g_string_append_printf(out,
			       "%u pairs, %u without reports, %u reports "
			       "unused, at most %u entries an agent\n",
			       pairs, without, unused, max_nr);
	g_free(rows);
}

static void print_tiers(struct shape *shape, const char *self, GString *out)
{
	size_t i;

	pick(shape, self);
	for (i = 0; i < shape->agents.nr; i++) {
		if (shape->agents.nodes[i].picked)
			g_string_append_printf(
				out, "%s ", shape->agents.nodes[i].data_centre);
	}
	g_string_append(out, "\n");
}

static void command(void *state, int argc, char **argv, GString *out)
{
	struct shape shape = make_shape(argc, argv);
	struct shape full;

	(void)state;
	if (!strcmp(argv[0], "balance")) {
		print_balance(&shape, out);
	} else if (!strcmp(argv[0], "tiers")) {
		print_tiers(&shape, "entry-0", out);
	} else if (!strcmp(argv[0], "change")) {
		full = make_shape(1, argv);
		print_change(&full, &shape, out);
		free_shape(&full);
	} else if (!strcmp(argv[0], "agree")) {
		print_agreement(&shape, &shape, out);
	} else if (!strcmp(argv[0], "views")) {
		full = make_shape(1, argv);
		print_agreement(&shape, &full, out);
		free_shape(&full);
	}
	free_shape(&shape);
}

static void *state_create(void)
{
	return NULL;
}

static void state_destroy(void *state)
{
	(void)state;
}

static const struct script_driver driver = {
	.name = "subset",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
