/*
 * Tests of the lookup of a request's route and of its service.
 */
#include <string.h>

#include "core/route_table.h"
#include "script.h"

static void *state_create(void)
{
	return route_table_create();
}

static void state_destroy(void *state)
{
	route_table_destroy(state);
}

static enum route_kind kind_of(const char *text)
{
	static const char *const names[] = { "safe", "unsafe", "stream",
					     "batch" };
	int i;

	for (i = 0; i < 4; i++) {
		if (!strcmp(names[i], text))
			return (enum route_kind)i;
	}
	return ROUTE_UNSAFE;
}

/* Parses SERVICE:WEIGHT,... */
static void add_targets(struct route *route, const char *text)
{
	char **parts = g_strsplit(text, ",", -1);
	guint i, nr = g_strv_length(parts);

	route->targets = g_new0(struct route_target, nr);
	route->targets_nr = nr;
	for (i = 0; i < nr; i++) {
		char **pair = g_strsplit(parts[i], ":", 2);

		route->targets[i].service = g_strdup(pair[0]);
		route->targets[i].weight =
			(unsigned)g_ascii_strtoull(pair[1], NULL, 10);
		g_strfreev(pair);
	}
	g_strfreev(parts);
}

static void add_route(struct route_table *table, int argc, char **argv)
{
	struct route *route = g_new0(struct route, 1);

	route->name = g_strdup(argv[1]);
	route->host = g_strdup(script_arg(argc, argv, "host", "h"));
	route->prefix = g_strdup(script_arg(argc, argv, "prefix", "/"));
	route->kind = kind_of(script_arg(argc, argv, "kind", "safe"));
	route->can_resume = script_arg_int(argc, argv, "resume", 0);
	add_targets(route, script_arg(argc, argv, "targets", "s:1"));
	route_table_add(table, route);
}

/* route NAME ..., find HOST PATH, pick HOST PATH hashes=N, has HOST PATH SERVICE,
 * sole HOST PATH, same HOST PATH PATH: whether two routes pick alike */
static void command(void *state, int argc, char **argv, GString *out)
{
	const struct route *route;
	GHashTable *counts;
	int64_t hash;

	if (!strcmp(argv[0], "route")) {
		add_route(state, argc, argv);
		return;
	}
	route = route_table_find(state, argv[1], argv[2]);
	if (!route) {
		g_string_append(out, "none\n");
	} else if (!strcmp(argv[0], "find")) {
		g_string_append_printf(out, "%s%s\n", route->name,
				       route_repeatable(route) ? " repeatable" :
								 "");
	} else if (!strcmp(argv[0], "has")) {
		g_string_append(out, route_has_service(route, argv[3]) ?
					     "yes\n" :
					     "no\n");
	} else if (!strcmp(argv[0], "sole")) {
		const char *service = route_sole_service(route);

		g_string_append_printf(out, "%s\n",
				       service ? service : "several");
	} else if (!strcmp(argv[0], "same")) {
		g_string_append(
			out, route_picks_hash(route) ==
					     route_picks_hash(route_table_find(
						     state, argv[1], argv[3])) ?
				     "yes\n" :
				     "no\n");
	} else if (!strcmp(argv[0], "pick")) {
		int64_t to = script_arg_int(argc, argv, "hashes", 1);

		counts = g_hash_table_new(g_str_hash, g_str_equal);
		for (hash = 0; hash < to; hash++) {
			const char *service =
				route_pick_service(route, (uint64_t)hash);
			gpointer key = (gpointer)(service ? service : "none");
			guint nr = GPOINTER_TO_UINT(
				g_hash_table_lookup(counts, key));

			g_hash_table_insert(counts, key,
					    GUINT_TO_POINTER(nr + 1));
		}
		g_string_append_printf(
			out, "a=%u b=%u none=%u\n",
			GPOINTER_TO_UINT(g_hash_table_lookup(counts, "a")),
			GPOINTER_TO_UINT(g_hash_table_lookup(counts, "b")),
			GPOINTER_TO_UINT(g_hash_table_lookup(counts, "none")));
		g_hash_table_destroy(counts);
	}
}

static const struct script_driver driver = {
	.name = "route_table",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
