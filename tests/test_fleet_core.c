/*
 * Tests of server selection: waits, distances, faults, and preemption of batch
 * items.
 */
#include <string.h>

#include "common/hash.h"
#include "core/fleet.h"
#include "script.h"

struct state {
	struct fleet *fleet;
	GHashTable *regions;
	/* Set of the ids of servers to which a connection is idle; NULL if
	 * connections are not considered. */
	GHashTable *connected;
	uint64_t now_ms;
	uint64_t random;
};

static bool has_connection(void *ctx, const struct server *server)
{
	const struct state *state = ctx;

	return !state->connected ||
	       g_hash_table_contains(state->connected, server->id);
}

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);
	struct fleet_options options = {
		.data_centre = "a1",
		.region = "a",
		.has_connection = has_connection,
		.ctx = state,
	};

	state->regions = g_hash_table_new(g_str_hash, g_str_equal);
	g_hash_table_insert(state->regions, "a1", "a");
	g_hash_table_insert(state->regions, "a2", "a");
	g_hash_table_insert(state->regions, "b1", "b");
	options.regions = state->regions;
	state->fleet = fleet_create(&options);
	state->now_ms = 100000;
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	fleet_destroy(state->fleet);
	g_hash_table_destroy(state->regions);
	if (state->connected)
		g_hash_table_destroy(state->connected);
	g_free(state);
}

static void learn(struct state *state, int argc, char **argv)
{
	struct server_info facts = {
		.id = argv[1],
		.service = script_arg(argc, argv, "service", "s"),
		.address = script_arg(argc, argv, "address", "1.1.1.1:1"),
		.data_centre = script_arg(argc, argv, "dc", "a1"),
		.slots = (unsigned)script_arg_int(argc, argv, "slots", 8),
		.draining = script_arg_int(argc, argv, "draining", 0),
		.started_ms = (uint64_t)script_arg_int(argc, argv, "born", 1),
		.software = script_arg(argc, argv, "software", "v1"),
	};

	fleet_update_server(state->fleet, &facts);
}

/* connected [SERVER...]: the servers to which a connection is idle */
static void connected(struct state *state, int argc, char **argv)
{
	int i;

	if (!state->connected)
		state->connected = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free, NULL);
	g_hash_table_remove_all(state->connected);
	for (i = 1; i < argc; i++)
		g_hash_table_add(state->connected, g_strdup(argv[i]));
}

static enum work_class class_of(int argc, char **argv)
{
	return script_arg_int(argc, argv, "batch", 0) ? WORK_BATCH :
							WORK_ONLINE;
}

static void send_some(struct state *state, int argc, char **argv)
{
	struct server *server = fleet_find(state->fleet, argv[1]);
	int64_t nr = script_arg_int(argc, argv, "nr", 1);

	while (nr-- > 0)
		fleet_request_sent(server, class_of(argc, argv), state->now_ms);
}

static void end_some(struct state *state, int argc, char **argv)
{
	static const char *const names[] = { "good", "failed", "refused",
					     "unreached", "cancelled" };
	struct server *server = fleet_find(state->fleet, argv[1]);
	int64_t nr = script_arg_int(argc, argv, "nr", 1);
	const char *how = script_arg(argc, argv, "how", "good");
	int i;

	for (i = 0; strcmp(names[i], how) != 0; i++)
		;
	while (nr-- > 0)
		fleet_request_ended(
			server, class_of(argc, argv), (enum fleet_result)i,
			(double)script_arg_int(argc, argv, "ms", 500),
			state->now_ms);
}

/* peer NAME SERVER online=N batch=N; without a server the peer is removed */
static void peer(struct state *state, int argc, char **argv)
{
	struct peer_load load = { 0 };

	if (argc > 2) {
		load.server_hash = hash_string(argv[2], 0);
		load.counts[WORK_ONLINE] =
			(unsigned)script_arg_int(argc, argv, "online", 0);
		load.counts[WORK_BATCH] =
			(unsigned)script_arg_int(argc, argv, "batch", 0);
	}
	fleet_set_peer_load(state->fleet, hash_string(argv[1], 0), &load,
			    argc > 2);
}

/* Returns the hash of the version in an argument, or 0 without one. */
static uint64_t software_arg(int argc, char **argv)
{
	const char *software = script_arg(argc, argv, "software", NULL);

	return software ? fleet_software_hash("s", software) : 0;
}

/* sole since=MS: the only version listed since that time, of v1, v2 and v3 */
static void sole(struct state *state, int argc, char **argv, GString *out)
{
	static const char *const names[] = { "v1", "v2", "v3" };
	uint64_t software = fleet_sole_software(
		state->fleet, "s",
		(uint64_t)script_arg_int(argc, argv, "since", 0));
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (software == fleet_software_hash("s", names[i])) {
			g_string_append_printf(out, "%s\n", names[i]);
			return;
		}
	}
	g_string_append(out, software ? "unknown\n" : "none\n");
}

/* service-of SERVICE VERSION: the service that the hash of a version leads to, and whether
 * the version takes requests */
static void service_of(struct state *state, char **argv, GString *out)
{
	uint64_t software = fleet_software_hash(argv[1], argv[2]);
	const char *service = fleet_software_service(state->fleet, software);

	g_string_append_printf(
		out, "%s%s\n", service ? service : "unknown",
		fleet_software_serves(state->fleet, software) ? " serves" : "");
}

static void choose(struct state *state, int argc, char **argv, GString *out)
{
	struct fleet_query query = {
		.service = script_arg(argc, argv, "service", "s"),
		.now_ms = state->now_ms,
		.prefix_hash =
			(uint64_t)script_arg_int(argc, argv, "prefix", 0),
		.software = software_arg(argc, argv),
	};
	uint64_t tried;
	struct fleet_choice choice;
	const char *excluded = script_arg(argc, argv, "exclude", NULL);

	if (excluded) {
		tried = fleet_find(state->fleet, excluded)->hash;
		query.tried = &tried;
		query.tried_nr = 1;
	}
	choice = fleet_choose(state->fleet, &query);
	if (!choice.server)
		g_string_append(out, "none\n");
	else
		g_string_append_printf(out, "%s wait=%.0f first=%.0f\n",
				       choice.server->id, choice.wait_ms,
				       choice.first_ms);
}

/* Sends a burst of requests to the chosen servers; prints their numbers. */
static void burst(struct state *state, int argc, char **argv, GString *out)
{
	int64_t nr = script_arg_int(argc, argv, "nr", 1);
	struct fleet_query query = { .service = "s", .now_ms = state->now_ms };
	struct list *pos;

	while (nr-- > 0) {
		struct fleet_choice choice = fleet_choose(state->fleet, &query);

		if (choice.server)
			fleet_request_sent(choice.server, WORK_ONLINE,
					   state->now_ms);
	}
	list_for_each (pos, fleet_servers(state->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		fleet_data_received(server, state->now_ms);
		g_string_append_printf(out, "%s %u\n", server->id,
				       server->own[WORK_ONLINE]);
	}
}

/* Starts batch items as long as slots are available. */
static void fill(struct state *state, int argc, char **argv, GString *out)
{
	struct batch_query query = {
		.service = "s",
		.now_ms = state->now_ms,
		.other_region = script_arg_int(argc, argv, "far", 0),
	};
	uint64_t software = software_arg(argc, argv);
	int started = 0;

	while (fleet_batch_capacity(state->fleet, &query) >= 1) {
		struct server *server;

		query.random = hash_combine(state->random++, 1);
		query.software = software;
		server = fleet_choose_batch(state->fleet, &query);
		query.software = 0;
		if (!server)
			break;
		fleet_request_sent(server, WORK_BATCH, state->now_ms);
		fleet_data_received(server, state->now_ms);
		started++;
	}
	g_string_append_printf(out, "%d started\n", started);
}

static void show(struct state *state, const char *id, GString *out)
{
	struct server *server = fleet_find(state->fleet, id);

	if (!server) {
		g_string_append(out, "unknown\n");
		return;
	}
	g_string_append_printf(
		out, "online=%u+%u batch=%u+%u failures=%.2f%s%s\n",
		server->own[WORK_ONLINE], server->others[WORK_ONLINE],
		server->own[WORK_BATCH], server->others[WORK_BATCH],
		server->failures, server->listed ? "" : " unlisted",
		server->draining ? " draining" : "");
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	if (!strcmp(argv[0], "server"))
		learn(state, argc, argv);
	else if (!strcmp(argv[0], "connected"))
		connected(state, argc, argv);
	else if (!strcmp(argv[0], "leaving"))
		fleet_mark_leaving(state->fleet,
				   fleet_find(state->fleet, argv[1]));
	else if (!strcmp(argv[0], "unlist"))
		fleet_mark_unlisted(state->fleet, argv[1]);
	else if (!strcmp(argv[0], "pass"))
		state->now_ms += g_ascii_strtoull(argv[1], NULL, 10);
	else if (!strcmp(argv[0], "sweep"))
		fleet_sweep(state->fleet, state->now_ms);
	else if (!strcmp(argv[0], "send"))
		send_some(state, argc, argv);
	else if (!strcmp(argv[0], "end"))
		end_some(state, argc, argv);
	else if (!strcmp(argv[0], "heard"))
		fleet_data_received(fleet_find(state->fleet, argv[1]),
				    state->now_ms);
	else if (!strcmp(argv[0], "answered"))
		fleet_first_byte_received(
			fleet_find(state->fleet, argv[1]),
			(double)script_arg_int(argc, argv, "ms", 0),
			state->now_ms);
	else if (!strcmp(argv[0], "slowdown"))
		fleet_slowdown_reported(
			fleet_find(state->fleet, argv[1]),
			(double)script_arg_int(argc, argv, "percent", 100) /
				100,
			state->now_ms);
	else if (!strcmp(argv[0], "pace"))
		fleet_begin_pacing(state->fleet);
	else if (!strcmp(argv[0], "reported"))
		fleet_load_reported(
			fleet_find(state->fleet, argv[1]),
			(unsigned)script_arg_int(argc, argv, "running", 0),
			(unsigned)script_arg_int(argc, argv, "waiting", 0),
			state->now_ms);
	else if (!strcmp(argv[0], "peer"))
		peer(state, argc, argv);
	else if (!strcmp(argv[0], "sole"))
		sole(state, argc, argv, out);
	else if (!strcmp(argv[0], "gone"))
		g_string_append_printf(
			out, "%s\n",
			fleet_software_gone(state->fleet, "s",
					    fleet_software_hash("s", argv[1])) ?
				"gone" :
				"not gone");
	else if (!strcmp(argv[0], "service-of"))
		service_of(state, argv, out);
	else if (!strcmp(argv[0], "choose"))
		choose(state, argc, argv, out);
	else if (!strcmp(argv[0], "burst"))
		burst(state, argc, argv, out);
	else if (!strcmp(argv[0], "fill"))
		fill(state, argc, argv, out);
	else if (!strcmp(argv[0], "yield"))
		g_string_append_printf(
			out, "%u\n",
			fleet_excess_batch(
				state->fleet, fleet_find(state->fleet, argv[1]),
				hash_string(script_arg(argc, argv, "as", "me"),
					    0)));
	else if (!strcmp(argv[0], "show"))
		show(state, argv[1], out);
}

static const struct script_driver driver = {
	.name = "fleet_core",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
