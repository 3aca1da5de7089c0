/*
 * Tests of the path of calls to the store while it serves only some of the
 * nodes.
 */
#include <string.h>
#include <glib.h>

#include "core/peer_table.h"
#include "core/store_path.h"
#include "script.h"

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
	state->path = store_path_create(state->now_ms - 100);
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

	if (!strcmp(argv[0], "peer"))
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
