/*
 * Tests the table of members in virtual time: states, pings, reported losses,
 * relays and owners of shards.
 */
#include <inttypes.h>
#include <string.h>

#include "core/members.h"
#include "core/relays.h"
#include "core/shard_map.h"
#include "script.h"

struct state {
	struct members *members;
	struct shard_map *map;
	uint64_t now_ms;
	/*
	 * Names or data centres of members that don't answer; "all" for all,
	 * and "unsent" when pings find no connection.
	 */
	GHashTable *mute;
};

static struct members_options options_from(int argc, char **argv)
{
	struct members_options options = {
		.self = script_arg(argc, argv, "self", "me"),
		.data_centre = "a",
		.region = "r",
		.ping_interval_ms = 500,
		.ping_interval_large_ms = 1000,
		.suspect_after_ms = 1500,
		.down_after_ms = 3000,
		.isolation_percent = 50,
		.isolation_limit_ms = 15000,
		.remove_after_ms = 60000,
		.watch_all_max =
			(uint32_t)script_arg_int(argc, argv, "all", 48),
		.watch_near = (uint32_t)script_arg_int(argc, argv, "near", 16),
		.watch_far = (uint32_t)script_arg_int(argc, argv, "far", 8),
		.round_robin_pings =
			(uint32_t)script_arg_int(argc, argv, "sample", 4),
		.report_losses_ms = 10000,
		.report_losses_max = 4,
	};

	return options;
}

static void make_members(struct state *state, int argc, char **argv)
{
	struct members_options options = options_from(argc, argv);

	if (state->members)
		members_destroy(state->members);
	state->members = members_create(&options);
}

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->mute =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	state->map = shard_map_create(4);
	make_members(state, 0, NULL);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	members_destroy(state->members);
	shard_map_destroy(state->map);
	g_hash_table_destroy(state->mute);
	g_free(state);
}

static void print_changes(struct state *state, GString *out)
{
	static const char *const texts[] = { "up", "down", "leaving",
					     "removed" };
	struct members_change change;

	while (members_next_change(state->members, &change))
		g_string_append_printf(out, "%s %s\n", change.name,
				       texts[change.kind]);
}

static struct member_info info_from(int argc, char **argv, const char *name)
{
	struct member_info info = {
		.name = name,
		.role = script_arg_int(argc, argv, "agent", 0) ? MEMBER_AGENT :
								 MEMBER_ENTRY,
		.address = script_arg(argc, argv, "at", "1"),
		.data_centre = script_arg(argc, argv, "dc", "a"),
		.region = "r",
		.service = "",
		.leaving = script_arg_int(argc, argv, "leaving", 0),
		.configured = script_arg_int(argc, argv, "fixed", 0),
	};

	return info;
}

/*
 * "list NAME...": passes in rows of the VM list; "NAME*5" stands for NAME0 to
 * NAME4.
 */
static void cmd_list(struct state *state, int argc, char **argv, GString *out)
{
	int i, j;

	for (i = 1; i < argc; i++) {
		char **parts;
		int nr;

		if (strchr(argv[i], '='))
			continue;
		parts = g_strsplit(argv[i], "*", 2);
		nr = parts[1] ? atoi(parts[1]) : 0;
		for (j = 0; j < MAX(nr, 1); j++) {
			char *name = nr ? g_strdup_printf("%s%d", parts[0], j) :
					  g_strdup(parts[0]);
			struct member_info info = info_from(argc, argv, name);

			members_update_listed(state->members, &info,
					      state->now_ms);
			g_free(name);
		}
		g_strfreev(parts);
	}
	print_changes(state, out);
}

static void cmd_introduce(struct state *state, int argc, char **argv,
			  GString *out)
{
	struct member_info info = info_from(argc, argv, argv[1]);
	uint64_t incarnation = script_arg_int(argc, argv, "inc", 1);

	members_update_introduced(state->members, &info, incarnation);
	if (script_arg_int(argc, argv, "heard", 1))
		members_note_message(state->members, argv[1], incarnation,
				     state->now_ms);
	print_changes(state, out);
}

static void cmd_pong(struct state *state, int argc, char **argv, GString *out)
{
	struct members_pong pong = {
		.incarnation = script_arg_int(argc, argv, "inc", 1),
		.leaving = script_arg_int(argc, argv, "leaving", 0),
	};

	members_note_pong(state->members, argv[1], &pong, state->now_ms);
	print_changes(state, out);
}

static void cmd_load(struct state *state, int argc, char **argv, GString *out)
{
	struct member *member = members_find(state->members, argv[1]);
	struct member_load load = {
		.sequence = script_arg_int(argc, argv, "seq", 1),
		.running_online = script_arg_int(argc, argv, "running", 0),
	};

	members_update_load(state->members, argv[1], &load);
	g_string_append_printf(out, "running %u\n",
			       member->load.running_online);
}

static void cmd_mute(struct state *state, int argc, char **argv, GString *out)
{
	int i;

	for (i = 1; i < argc; i++)
		g_hash_table_add(state->mute, g_strdup(argv[i]));
}

static void cmd_unmute(struct state *state, int argc, char **argv, GString *out)
{
	g_hash_table_remove_all(state->mute);
}

static bool is_mute(struct state *state, const struct member *member)
{
	return g_hash_table_contains(state->mute, member->name) ||
	       g_hash_table_contains(state->mute, member->data_centre) ||
	       g_hash_table_contains(state->mute, "all");
}

/* Runs one tick; members that aren't mute answer their pings at once. */
static unsigned tick(struct state *state, GString *out)
{
	GPtrArray *pings = g_ptr_array_new();
	unsigned nr;
	guint i;

	members_tick(state->members, state->now_ms, pings);
	for (i = 0; i < pings->len; i++) {
		const struct member *member = pings->pdata[i];
		struct members_pong pong = {
			.incarnation = MAX(member->incarnation, 1),
		};

		if (g_hash_table_contains(state->mute, "unsent"))
			members_note_unsent_ping(state->members,
						 pings->pdata[i]);
		else if (!is_mute(state, member))
			members_note_pong(state->members, member->name, &pong,
					  state->now_ms);
	}
	nr = pings->len;
	g_ptr_array_free(pings, TRUE);
	print_changes(state, out);
	return nr;
}

/*
 * "run MS [quiet=1]": ticks every 500 ms and prints the number of pings of the
 * last tick.
 */
static void cmd_run(struct state *state, int argc, char **argv, GString *out)
{
	uint64_t end_ms = state->now_ms + strtoull(argv[1], NULL, 10);
	GString *changes = g_string_new(NULL);
	unsigned pings = 0;

	while (state->now_ms < end_ms) {
		state->now_ms += 500;
		pings = tick(state, changes);
	}
	if (!script_arg_int(argc, argv, "quiet", 0))
		g_string_append(out, changes->str);
	g_string_append_printf(out, "%u pings%s\n", pings,
			       members_isolated(state->members) ? ", isolated" :
								  "");
	g_string_free(changes, TRUE);
}

/* "pause MS": time passes while this process doesn't run. */
static void cmd_pause(struct state *state, int argc, char **argv, GString *out)
{
	state->now_ms += strtoull(argv[1], NULL, 10);
}

static void cmd_show(struct state *state, int argc, char **argv, GString *out)
{
	static const char *const texts[] = { "unknown", "up", "suspect",
					     "down" };
	int i;

	for (i = 1; i < argc; i++) {
		struct member *member = members_find(state->members, argv[i]);

		if (!member) {
			g_string_append_printf(out, "%s is not known\n",
					       argv[i]);
			continue;
		}
		g_string_append_printf(out, "%s %s at %s%s%s\n", member->name,
				       texts[member->state], member->address,
				       member->leaving ? " leaving" : "",
				       member_usable(member) ? " usable" : "");
	}
}

static void cmd_count(struct state *state, int argc, char **argv, GString *out)
{
	unsigned up = 0, suspect = 0, down = 0, watched = 0;
	struct list *pos;

	list_for_each (pos, members_all(state->members)) {
		struct member *member = list_entry(pos, struct member, link);

		up += member->state == MEMBER_UP;
		suspect += member->state == MEMBER_SUSPECT;
		down += member->state == MEMBER_DOWN;
		watched += member->watched;
	}
	g_string_append_printf(out, "%u up, %u suspect, %u down, %u watched\n",
			       up, suspect, down, watched);
}

static void cmd_watch(struct state *state, int argc, char **argv, GString *out)
{
	members_request_watch(state->members, argv[1], true);
}

/* "report-loss NAME [inc=N]": another node reports a member as lost. */
static void cmd_report_loss(struct state *state, int argc, char **argv,
			    GString *out)
{
	members_note_reported_loss(state->members, argv[1],
				   script_arg_int(argc, argv, "inc", 1),
				   state->now_ms);
}

static void cmd_losses(struct state *state, int argc, char **argv, GString *out)
{
	const struct member *losses[MEMBERS_LOSSES_MAX];
	unsigned i, nr = members_pick_losses(state->members, losses);

	for (i = 0; i < nr; i++)
		g_string_append_printf(out, "%s %" PRIu64 "\n", losses[i]->name,
				       losses[i]->incarnation);
	if (!nr)
		g_string_append(out, "none\n");
}

/* Adds the members that one node of the fleet watches to the counts. */
static void count_watched(int argc, char **argv, const char *self_dc, int self,
			  GHashTable *watchers)
{
	struct members_options options = options_from(0, NULL);
	GPtrArray *pings = g_ptr_array_new();
	struct members *members;
	char name[32], own_name[32];
	struct list *pos;
	int i, j;

	g_snprintf(own_name, sizeof(own_name), "%s-%d", self_dc, self);
	options.self = own_name;
	options.data_centre = self_dc;
	members = members_create(&options);
	for (i = 1; i < argc; i++) {
		char **parts = g_strsplit(argv[i], "*", 2);
		struct member_info info = { .name = name,
					    .address = "1",
					    .data_centre = parts[0],
					    .region = "r",
					    .service = "" };

		for (j = 0; j < atoi(parts[1]); j++) {
			g_snprintf(name, sizeof(name), "%s-%d", parts[0], j);
			members_update_listed(members, &info, 1);
		}
		g_strfreev(parts);
	}
	members_tick(members, 500, pings);
	list_for_each (pos, members_all(members)) {
		struct member *member = list_entry(pos, struct member, link);
		gpointer nr = g_hash_table_lookup(watchers, member->name);

		g_hash_table_insert(
			watchers, g_strdup(member->name),
			GINT_TO_POINTER(GPOINTER_TO_INT(nr) + member->watched));
	}
	g_ptr_array_free(pings, TRUE);
	members_destroy(members);
}

/*
 * "watchers DC*NR...": the minimum and mean number of nodes that watch a node
 * of this fleet.
 */
static void cmd_watchers(struct state *state, int argc, char **argv,
			 GString *out)
{
	GHashTable *watchers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	int i, j, least = G_MAXINT, sum = 0;
	GHashTableIter iter;
	gpointer nr;

	for (i = 1; i < argc; i++) {
		char **parts = g_strsplit(argv[i], "*", 2);

		for (j = 0; j < atoi(parts[1]); j++)
			count_watched(argc, argv, parts[0], j, watchers);
		g_strfreev(parts);
	}
	g_hash_table_iter_init(&iter, watchers);
	while (g_hash_table_iter_next(&iter, NULL, &nr)) {
		least = MIN(least, GPOINTER_TO_INT(nr));
		sum += GPOINTER_TO_INT(nr);
	}
	g_string_append_printf(out, "%u nodes, at least %d, mean %d\n",
			       g_hash_table_size(watchers), least,
			       sum / (int)g_hash_table_size(watchers));
	g_hash_table_destroy(watchers);
}

static void cmd_new(struct state *state, int argc, char **argv, GString *out)
{
	make_members(state, argc, argv);
}

static void cmd_relays(struct state *state, int argc, char **argv, GString *out)
{
	struct relay_self self = {
		.name = "me",
		.role = script_arg_int(argc, argv, "agent", 0) ? MEMBER_AGENT :
								 MEMBER_ENTRY,
		.data_centre = "a",
		.leaving = script_arg_int(argc, argv, "leaving", 0),
	};
	struct list *pos;

	if (relays_self_is_relay(state->members, &self))
		g_string_append(out, "me\n");
	list_for_each (pos, members_all(state->members)) {
		struct member *member = list_entry(pos, struct member, link);

		if (relays_is_relay(state->members, &self, member))
			g_string_append_printf(out, "%s\n", member->name);
	}
}

/* "owner SHARD EPOCH NAME": an owner as relayed by another node. */
static void cmd_owner(struct state *state, int argc, char **argv, GString *out)
{
	struct shard_owner owner = {
		.shard = (uint32_t)atoi(argv[1]),
		.epoch = strtoull(argv[2], NULL, 10),
		.owner = argv[3],
		.released = script_arg_int(argc, argv, "released", 0),
		.incarnation = script_arg_int(argc, argv, "inc", 1),
		.version = script_arg_int(argc, argv, "version", 1),
	};
	uint64_t digest = shard_map_digest(state->map);
	bool accepted = shard_map_update(state->map, &owner);

	g_string_append(out, accepted ? "accepted\n" : "ignored\n");
	if (accepted == (digest == shard_map_digest(state->map)))
		g_string_append(out, "digest is wrong\n");
}

/* "states NAME [SHARD:EPOCH...]": the shards that a node reports to own. */
static void cmd_states(struct state *state, int argc, char **argv, GString *out)
{
	uint32_t shards[8];
	uint64_t epochs[8];
	struct shard_statement statement = {
		.owner = argv[1],
		.incarnation = script_arg_int(argc, argv, "inc", 1),
		.version = script_arg_int(argc, argv, "version", 1),
		.shards = shards,
		.epochs = epochs,
	};
	int i;

	for (i = 2; i < argc && statement.nr < 8; i++) {
		const char *colon = strchr(argv[i], ':');

		if (!colon)
			continue;
		shards[statement.nr] = (uint32_t)atoi(argv[i]);
		epochs[statement.nr++] = strtoull(colon + 1, NULL, 10);
	}
	shard_map_apply_statement(state->map, &statement);
}

static void cmd_owners(struct state *state, int argc, char **argv, GString *out)
{
	struct shard_owner owner;
	uint32_t i;

	for (i = 0; shard_map_find(state->map, i, &owner); i++)
		g_string_append_printf(out, "%u %s %" PRIu64 "%s\n", i,
				       owner.owner ? owner.owner : "none",
				       owner.epoch,
				       owner.released ? " released" : "");
}

/* "recent TIME WITHIN": shards whose owner changed in the last WITHIN ms. */
static void cmd_recent(struct state *state, int argc, char **argv, GString *out)
{
	uint32_t i;

	shard_map_set_time(state->map, strtoull(argv[1], NULL, 10));
	for (i = 0; i < shard_map_size(state->map); i++) {
		if (shard_map_changed_within(state->map, i,
					     (uint32_t)atoi(argv[2])))
			g_string_append_printf(out, "%u\n", i);
	}
}

static const struct {
	const char *name;
	void (*fn)(struct state *state, int argc, char **argv, GString *out);
} commands[] = {
	{ "count", cmd_count },	      { "introduce", cmd_introduce },
	{ "losses", cmd_losses },     { "report-loss", cmd_report_loss },
	{ "watchers", cmd_watchers }, { "list", cmd_list },
	{ "load", cmd_load },	      { "mute", cmd_mute },
	{ "new", cmd_new },	      { "owner", cmd_owner },
	{ "owners", cmd_owners },     { "recent", cmd_recent },
	{ "pong", cmd_pong },	      { "relays", cmd_relays },
	{ "run", cmd_run },	      { "show", cmd_show },
	{ "pause", cmd_pause },	      { "unmute", cmd_unmute },
	{ "watch", cmd_watch },	      { "states", cmd_states },
};

static void command(void *state, int argc, char **argv, GString *out)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (strcmp(commands[i].name, argv[0]))
			continue;
		commands[i].fn(state, argc, argv, out);
		return;
	}
	g_string_append_printf(out, "no command %s\n", argv[0]);
}

static const struct script_driver driver = {
	.name = "members",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
