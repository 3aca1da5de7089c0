/*
 * Tests of the path of calls to the store while it serves only some of the
 * nodes.
 */
#include <string.h>
#include <glib.h>

#include "core/peer_table.h"
#include "core/store_path.h"
#include "script.h"

#define SEED 1

struct state {
	struct store_path *path;
	struct peer_table *peers;
	uint64_t now_ms;
	uint64_t sequence;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);
	struct peer_table_options options = { .self = "me" };

	state->now_ms = 100000;
	state->path = store_path_create(SEED, state->now_ms - 100);
	state->peers = peer_table_create(&options);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	store_path_destroy(state->path);
	peer_table_destroy(state->peers);
	g_free(state);
}

/* peer NAME address=N [reaches=0|1] [far=1] [leaving=1] */
static void peer(struct state *state, int argc, char **argv)
{
	struct peer *peer = peer_table_note_report(
		state->peers, argv[1],
		(uint64_t)script_arg_int(argc, argv, "address", 0),
		++state->sequence, state->now_ms);

	peer->reaches_store = script_arg_int(argc, argv, "reaches", 1);
	peer->same_region = !script_arg_int(argc, argv, "far", 0);
	peer->leaving = script_arg_int(argc, argv, "leaving", 0);
	peer->capacity = (unsigned)script_arg_int(argc, argv, "capacity", 0);
}

/* relays NODES PEERS strong=N: how many of some nodes, all cut off from the
 * store, use a strong one of the entries, which has ten times the capacity, and
 * how many use the most used one of the others */
static void relays(int argc, char **argv, GString *out)
{
	int64_t nodes = g_ascii_strtoll(argv[1], NULL, 10);
	int64_t peers = g_ascii_strtoll(argv[2], NULL, 10);
	int64_t strong_nr = script_arg_int(argc, argv, "strong", 0);
	struct peer_table_options options = { .self = "me" };
	struct peer_table *table = peer_table_create(&options);
	struct store_path_call call = { .sent_ms = 1000, .ended_ms = 3000 };
	int64_t *used = g_new0(int64_t, peers + 1);
	int64_t strong = 0, most = 0, i;

	for (i = 1; i <= peers; i++) {
		char *name = g_strdup_printf("p%" G_GINT64_FORMAT, i);
		struct peer *peer = peer_table_note_report(
			table, name, (uint64_t)i, 1, 3000);

		peer->reaches_store = true;
		peer->capacity = i <= strong_nr ? 500 : 50;
		g_free(name);
	}
	for (i = 0; i < nodes; i++) {
		struct store_path *path =
			store_path_create((uint64_t)i * 7919, 0);

		store_path_record_call(path, &call);
		used[store_path_choose(path, peer_table_peers(table), 3000)]++;
		store_path_destroy(path);
	}
	for (i = 1; i <= peers; i++) {
		if (i <= strong_nr)
			strong += used[i];
		else
			most = MAX(most, used[i]);
	}
	g_string_append_printf(
		out, "strong=%" G_GINT64_FORMAT " most=%" G_GINT64_FORMAT "\n",
		strong, most);
	g_free(used);
	peer_table_destroy(table);
}

/* call answered|failed|throttled [by=RELAY] [ms=N] [nr=N]: calls that end now */
static void call(struct state *state, int argc, char **argv, GString *out)
{
	struct store_path_call call = {
		.relay = (uint64_t)script_arg_int(argc, argv, "by", 0),
		.answered = !strcmp(argv[1], "answered"),
		.throttled = !strcmp(argv[1], "throttled"),
		.ended_ms = state->now_ms,
	};
	int64_t nr = script_arg_int(argc, argv, "nr", 1);

	call.sent_ms =
		state->now_ms - (uint64_t)script_arg_int(argc, argv, "ms", 4);
	while (nr-- > 0) {
		if (store_path_record_call(state->path, &call))
			g_string_append(out, store_path_is_down(state->path) ?
						     "down\n" :
						     "up\n");
	}
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	if (!strcmp(argv[0], "relays"))
		relays(argc, argv, out);
	else if (!strcmp(argv[0], "peer"))
		peer(state, argc, argv);
	else if (!strcmp(argv[0], "call"))
		call(state, argc, argv, out);
	else if (!strcmp(argv[0], "pass"))
		state->now_ms += g_ascii_strtoull(argv[1], NULL, 10);
	else if (!strcmp(argv[0], "path"))
		g_string_append_printf(
			out, "%" G_GUINT64_FORMAT "\n",
			store_path_choose(state->path,
					  peer_table_peers(state->peers),
					  state->now_ms));
}

static const struct script_driver driver = {
	.name = "store_path",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
