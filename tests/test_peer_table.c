/*
 * Tests the table of the other entries: the live ones, the one that runs a
 * job's items, and the readers of the directory.
 */
#include <string.h>
#include <glib.h>

#include "common/hash.h"
#include "core/peer_table.h"
#include "script.h"

/* Several nodes, each with its own table. */
struct state {
	/* Maps the name of a node to its struct peer_table *. */
	GHashTable *tables;
	GString *events;
	uint64_t now_ms;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->tables =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
				      (GDestroyNotify)peer_table_destroy);
	state->events = g_string_new(NULL);
	state->now_ms = 100000;
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	g_hash_table_destroy(state->tables);
	g_string_free(state->events, TRUE);
	g_free(state);
}

static void on_alive(void *ctx, const struct peer *peer)
{
	struct state *state = ctx;

	g_string_append_printf(state->events, "%s alive\n", peer->identity);
}

static void on_lost(void *ctx, const struct peer *peer, const char *why)
{
	struct state *state = ctx;

	g_string_append_printf(state->events, "%s lost: %s\n", peer->identity,
			       why);
}

static void on_removed(void *ctx, const struct peer *peer)
{
	struct state *state = ctx;

	g_string_append_printf(state->events, "%s removed\n", peer->identity);
}

static void start(struct state *state, const char *name, uint64_t address,
		  unsigned capacity)
{
	struct peer_table_options options = {
		.self = name,
		.address = address,
		.capacity = capacity,
		.now_ms = state->now_ms,
		.on_alive = on_alive,
		.on_lost = on_lost,
		.on_removed = on_removed,
		.ctx = state,
	};

	g_hash_table_insert(state->tables, g_strdup(name),
			    peer_table_create(&options));
}

/* announced AT IDENTITY address=N [far=1] [old=1] [capacity=N] */
static void announced(struct state *state, struct peer_table *table, int argc,
		      char **argv)
{
	struct peer_announcement announcement = {
		.identity = argv[2],
		.address = (uint64_t)script_arg_int(argc, argv, "address", 0),
		.same_region = !script_arg_int(argc, argv, "far", 0),
		.capacity = (unsigned)script_arg_int(argc, argv, "capacity", 0),
		.replayed = script_arg_int(argc, argv, "old", 0),
	};

	peer_table_note_announcement(table, &announcement, state->now_ms);
}

/*
 * report AT IDENTITY address=N sequence=N [leaving=1] [waits=N] [late=N]
 * [far=1] [loaded=1] [capacity=N]
 */
static void report(struct state *state, struct peer_table *table, int argc,
		   char **argv)
{
	struct peer *peer = peer_table_note_report(
		table, argv[2],
		(uint64_t)script_arg_int(argc, argv, "address", 0),
		(uint64_t)script_arg_int(argc, argv, "sequence", 1),
		state->now_ms);

	if (!peer) {
		g_string_append(state->events, "ignored\n");
		return;
	}
	peer->leaving = script_arg_int(argc, argv, "leaving", 0);
	peer->index_offset = (uint64_t)script_arg_int(argc, argv, "wrote", 0);
	peer->reaches_store = script_arg_int(argc, argv, "reaches", 1);
	peer->loaded = script_arg_int(argc, argv, "loaded", 0);
	peer->capacity = (unsigned)script_arg_int(argc, argv, "capacity", 0);
	if (script_arg(argc, argv, "far", NULL))
		peer->same_region = !script_arg_int(argc, argv, "far", 0);
	peer->directory =
		(uint64_t)script_arg_int(argc, argv, "address", 0) + 1000;
	peer->backlog.in_time =
		(unsigned)script_arg_int(argc, argv, "waits", 0);
	peer->backlog.late = (unsigned)script_arg_int(argc, argv, "late", 0);
}

/* owners JOB accepted_by=IDENTITY [read=OFFSET]: nodes that run its items */
static void owners(struct state *state, int argc, char **argv)
{
	GList *names = g_list_sort(g_hash_table_get_keys(state->tables),
				   (GCompareFunc)strcmp);
	GList *at;

	for (at = names; at; at = at->next) {
		struct peer_owner_query query = {
			.job = argv[1],
			.accepted_by =
				script_arg(argc, argv, "accepted_by", ""),
			.index_offset =
				(uint64_t)script_arg_int(argc, argv, "read", 0),
			.now_ms = state->now_ms,
		};

		if (peer_table_owns(
			    g_hash_table_lookup(state->tables, at->data),
			    &query))
			g_string_append_printf(state->events, "%s\n",
					       (char *)at->data);
	}
	g_list_free(names);
}

static void backlog(struct state *state, struct peer_table *table, int argc,
		    char **argv)
{
	struct batch_backlog sum =
		peer_table_backlog(table, script_arg_int(argc, argv, "all", 0));

	g_string_append_printf(state->events, "in_time=%u late=%u\n",
			       sum.in_time, sum.late);
}

/*
 * reader AT [from=N] [avoid=ADDRESS] [lost=1] [loaded=1]: the directory address that the
 * node asks, or 0 when it reads the store
 */
static void reader(struct state *state, struct peer_table *table, int argc,
		   char **argv)
{
	struct peer_reader_query query = {
		.self_reaches_store = !script_arg_int(argc, argv, "lost", 0),
		.self_loaded = script_arg_int(argc, argv, "loaded", 0),
		.readers_from = (unsigned)script_arg_int(argc, argv, "from", 4),
		.avoided = (uint64_t)script_arg_int(argc, argv, "avoid", 0),
	};

	const struct peer *peer = peer_table_reader(table, &query);

	g_string_append_printf(state->events, "%" G_GUINT64_FORMAT "\n",
			       peer ? peer->directory : 0);
}

/* chosen AT KEY MAX [far=1]: the addresses that a key selects */
static void chosen(struct state *state, struct peer_table *table, int argc,
		   char **argv)
{
	unsigned max = (unsigned)g_ascii_strtoull(argv[3], NULL, 10), nr, i;
	uint64_t *addresses = g_new0(uint64_t, max);

	nr = peer_table_choose(table, hash_string(argv[2], 0),
			       !script_arg_int(argc, argv, "far", 0), addresses,
			       max);
	g_string_append_printf(state->events, "chosen");
	for (i = 0; i < nr; i++)
		g_string_append_printf(state->events, " %" G_GUINT64_FORMAT,
				       addresses[i]);
	g_string_append(state->events, "\n");
	g_free(addresses);
}

static bool has_address(const uint64_t *addresses, unsigned nr, uint64_t wanted)
{
	unsigned i;

	for (i = 0; i < nr; i++) {
		if (addresses[i] == wanted)
			return true;
	}
	return false;
}

/*
 * kept AT KEYS told=N asked=N killed=N: of so many keys, those that one of the nodes told
 * and asked still has after nodes 2, 3, ... were killed
 */
static void kept(struct state *state, struct peer_table *table, int argc,
		 char **argv)
{
	uint64_t keys = g_ascii_strtoull(argv[2], NULL, 10), key, found = 0;
	unsigned told = (unsigned)script_arg_int(argc, argv, "told", 2);
	unsigned asked = (unsigned)script_arg_int(argc, argv, "asked", 8);
	uint64_t killed = (uint64_t)script_arg_int(argc, argv, "killed", 1);
	uint64_t addresses[16];
	unsigned i, nr;

	for (key = 1; key <= keys; key++) {
		bool has = false;

		nr = peer_table_choose(table, key, true, addresses, asked);
		for (i = 0; i < MIN(told, nr); i++)
			has |= addresses[i] > killed + 1 &&
			       has_address(addresses, nr, addresses[i]);
		found += has;
	}
	g_string_append_printf(state->events, "%s\n",
			       found * 10 >= keys * 9 ? "nine in ten or more" :
			       found * 2 >= keys      ? "half or more" :
							"under half");
}

/* start-all NR: starts nodes n1, n2, ... with a report of each at all others */
static void start_all(struct state *state, int argc, char **argv)
{
	unsigned nr = (unsigned)g_ascii_strtoull(argv[1], NULL, 10);
	unsigned i, j;

	for (i = 1; i <= nr; i++) {
		char *name = g_strdup_printf("n%u", i);

		start(state, name, i, 0);
		g_free(name);
	}
	for (i = 1; i <= nr * nr; i++) {
		char *at = g_strdup_printf("n%u", (i - 1) / nr + 1);
		char *from = g_strdup_printf("n%u", (j = (i - 1) % nr + 1));
		struct peer *peer = peer_table_note_report(
			g_hash_table_lookup(state->tables, at), from, j, 1,
			state->now_ms);

		if (peer) {
			peer->reaches_store = true;
			peer->directory = j + 1000;
		}
		g_free(at);
		g_free(from);
	}
	g_string_truncate(state->events, 0);
}

/*
 * readers NR [from=N]: how many of n1, n2, ... read the store, and how many are
 * asked by the others
 */
static void readers(struct state *state, int argc, char **argv)
{
	unsigned nr = (unsigned)g_ascii_strtoull(argv[1], NULL, 10);
	GHashTable *asked = g_hash_table_new(NULL, NULL);
	unsigned reading = 0, i;

	for (i = 1; i <= nr; i++) {
		char *name = g_strdup_printf("n%u", i);
		struct peer_reader_query query = {
			.self_reaches_store = true,
			.readers_from =
				(unsigned)script_arg_int(argc, argv, "from", 4),
		};
		const struct peer *peer = peer_table_reader(
			g_hash_table_lookup(state->tables, name), &query);

		reading += !peer;
		if (peer)
			g_hash_table_add(asked,
					 GSIZE_TO_POINTER(peer->directory));
		g_free(name);
	}
	g_string_append_printf(state->events, "read=%u asked=%u\n", reading,
			       g_hash_table_size(asked));
	g_hash_table_destroy(asked);
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	struct peer_table *table =
		argc > 1 ? g_hash_table_lookup(state->tables, argv[1]) : NULL;

	if (!strcmp(argv[0], "start"))
		start(state, argv[1],
		      (uint64_t)script_arg_int(argc, argv, "address", 0),
		      (unsigned)script_arg_int(argc, argv, "capacity", 0));
	else if (!strcmp(argv[0], "announced"))
		announced(state, table, argc, argv);
	else if (!strcmp(argv[0], "report"))
		report(state, table, argc, argv);
	else if (!strcmp(argv[0], "sweep"))
		peer_table_sweep(table, state->now_ms);
	else if (!strcmp(argv[0], "advance"))
		state->now_ms += g_ascii_strtoull(argv[1], NULL, 10);
	else if (!strcmp(argv[0], "hand-over"))
		peer_table_hand_over(table);
	else if (!strcmp(argv[0], "owners"))
		owners(state, argc, argv);
	else if (!strcmp(argv[0], "backlog"))
		backlog(state, table, argc, argv);
	else if (!strcmp(argv[0], "heartbeat"))
		g_string_append_printf(state->events, "%" G_GUINT64_FORMAT "\n",
				       peer_table_heartbeat_ms(table));
	else if (!strcmp(argv[0], "chosen"))
		chosen(state, table, argc, argv);
	else if (!strcmp(argv[0], "kept"))
		kept(state, table, argc, argv);
	else if (!strcmp(argv[0], "reader"))
		reader(state, table, argc, argv);
	else if (!strcmp(argv[0], "designated"))
		g_string_append(state->events, peer_table_is_designated(table) ?
						       "yes\n" :
						       "no\n");
	else if (!strcmp(argv[0], "start-all"))
		start_all(state, argc, argv);
	else if (!strcmp(argv[0], "readers"))
		readers(state, argc, argv);
	else if (!strcmp(argv[0], "age"))
		g_string_append_printf(
			state->events, "%" G_GUINT64_FORMAT "\n",
			peer_table_oldest_report_ms(table, state->now_ms));
	g_string_append_len(out, state->events->str,
			    (gssize)state->events->len);
	g_string_truncate(state->events, 0);
}

static const struct script_driver driver = {
	.name = "peer_table",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
