/*
 * Tests that nodes that read the configuration log, exchange updates and
 * restart reach the same state.
 */
#include <inttypes.h>
#include <string.h>

#include "common/error.h"
#include "core/config_keys.h"
#include "core/config_reader.h"
#include "script.h"

struct log_record {
	uint64_t offset;
	uint8_t *bytes;
	size_t len;
};

struct node {
	struct config_store *store;
	struct config_reader *reader;
};

/* A log with its records, the nodes, and updates in flight between nodes. */
struct state {
	GPtrArray *log;
	uint64_t first_offset;
	GHashTable *nodes;
	GHashTable *updates;
};

static void log_record_free(void *data)
{
	struct log_record *log_record = data;

	g_free(log_record->bytes);
	g_free(log_record);
}

static void node_free(void *data)
{
	struct node *node = data;

	config_reader_destroy(node->reader);
	config_store_destroy(node->store);
	g_free(node);
}

static void update_free(void *data)
{
	briarplank__config_update__free_unpacked(data, NULL);
}

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->log = g_ptr_array_new_with_free_func(log_record_free);
	state->first_offset = 1;
	state->nodes = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     node_free);
	state->updates = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       update_free);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	g_hash_table_destroy(state->updates);
	g_hash_table_destroy(state->nodes);
	g_ptr_array_free(state->log, TRUE);
	g_free(state);
}

static struct node *find_node(struct state *state, const char *name)
{
	struct node *node = g_hash_table_lookup(state->nodes, name);

	if (node)
		return node;
	node = g_new0(struct node, 1);
	node->store = config_store_create();
	node->reader = config_reader_create(node->store);
	g_hash_table_insert(state->nodes, g_strdup(name), node);
	return node;
}

static void append_bytes(struct state *state, const uint8_t *bytes, size_t len)
{
	struct log_record *log_record = g_new0(struct log_record, 1);

	log_record->offset = state->log->len + 1;
	log_record->bytes = g_memdup2(bytes, len);
	log_record->len = len;
	g_ptr_array_add(state->log, log_record);
}

static void append(struct state *state, const Briarplank__ConfigAppend *message)
{
	size_t len = briarplank__config_append__get_packed_size(message);
	uint8_t *bytes = g_malloc(len);

	briarplank__config_append__pack(message, bytes);
	append_bytes(state, bytes, len);
	g_free(bytes);
}

static void cmd_set(struct state *state, int argc, char **argv, GString *out)
{
	Briarplank__ConfigAppend message = BRIARPLANK__CONFIG_APPEND__INIT;
	Briarplank__ConfigRecord record = BRIARPLANK__CONFIG_RECORD__INIT;

	record.key = (char *)script_arg(argc, argv, "key", "");
	record.value = (char *)script_arg(argc, argv, "value", "");
	record.command_id = (char *)script_arg(argc, argv, "id", "");
	record.operator_name = (char *)script_arg(argc, argv, "op", "ann");
	record.base_revision = script_arg_int(argc, argv, "base", 0);
	record.unconditional = script_arg_int(argc, argv, "force", 0);
	message.record = &record;
	append(state, &message);
}

/* "fill nr=N": appends N records with the keys server.sI.drained. */
static void cmd_fill(struct state *state, int argc, char **argv, GString *out)
{
	int64_t i, nr = script_arg_int(argc, argv, "nr", 1);

	for (i = 0; i < nr; i++) {
		Briarplank__ConfigAppend message =
			BRIARPLANK__CONFIG_APPEND__INIT;
		Briarplank__ConfigRecord record =
			BRIARPLANK__CONFIG_RECORD__INIT;

		record.key = g_strdup_printf("server.s%" PRId64 ".drained", i);
		record.command_id = g_strdup_printf(
			"%s%" PRId64, script_arg(argc, argv, "id", "f"), i);
		record.value = (char *)script_arg(argc, argv, "value", "");
		record.unconditional = true;
		message.record = &record;
		append(state, &message);
		g_free(record.key);
		g_free(record.command_id);
	}
}

static void cmd_garbage(struct state *state, int argc, char **argv,
			GString *out)
{
	append_bytes(state, (const uint8_t *)"\xff\xff\xff", 3);
}

static void cmd_snapshot(struct state *state, int argc, char **argv,
			 GString *out)
{
	struct node *node = find_node(state, script_arg(argc, argv, "by", "a"));
	Briarplank__ConfigAppend message = BRIARPLANK__CONFIG_APPEND__INIT;

	message.snapshot = config_store_snapshot(node->store);
	append(state, &message);
	briarplank__config_snapshot__free_unpacked(message.snapshot, NULL);
}

static void cmd_trim(struct state *state, int argc, char **argv, GString *out)
{
	state->first_offset = script_arg_int(argc, argv, "before", 1);
}

/* The platform lost its records: the next one gets offset 1 again. */
static void cmd_wipe(struct state *state, int argc, char **argv, GString *out)
{
	g_ptr_array_set_size(state->log, 0);
	state->first_offset = 1;
}

static void print_node(const struct node *node, GString *out)
{
	const char *error = config_reader_error(node->reader);

	g_string_append_printf(
		out, "revision %" PRIu64 " next %" PRIu64 "%s\n",
		config_store_revision(node->store),
		config_store_next_offset(node->store),
		config_reader_is_current(node->reader) ? " current" : "");
	if (error)
		g_string_append_printf(out, "error: %s\n", error);
}

static void read_page(struct state *state, struct node *node, int64_t max)
{
	struct config_page_entry *entries =
		g_new0(struct config_page_entry, state->log->len + 1);
	uint64_t from =
		MAX(config_reader_next(node->reader), state->first_offset);
	struct config_page page = {
		.from = config_reader_next(node->reader),
		.first_offset = state->first_offset,
		.end_offset = state->log->len + 1,
		.entries = entries,
	};
	uint64_t i;

	for (i = from; i <= state->log->len && page.nr < (size_t)max; i++) {
		const struct log_record *log_record = state->log->pdata[i - 1];

		entries[page.nr].offset = log_record->offset;
		entries[page.nr].stored_ms = log_record->offset * 1000;
		entries[page.nr].payload = log_record->bytes;
		entries[page.nr].len = log_record->len;
		page.nr++;
	}
	config_reader_add_page(node->reader, &page);
	g_free(entries);
}

static void cmd_read(struct state *state, int argc, char **argv, GString *out)
{
	struct node *node = find_node(state, argv[1]);

	read_page(state, node, script_arg_int(argc, argv, "max", 100000));
	print_node(node, out);
}

static void print_entry(void *ctx, const struct config_entry *entry)
{
	g_string_append_printf(ctx, "%s = %s at %" PRIu64 " by %s\n",
			       entry->key, entry->value, entry->revision,
			       entry->command_id);
}

static void cmd_show(struct state *state, int argc, char **argv, GString *out)
{
	struct node *node = find_node(state, argv[1]);

	print_node(node, out);
	config_store_for_each(node->store, print_entry, out);
}

static void cmd_key(struct state *state, int argc, char **argv, GString *out)
{
	struct node *node = find_node(state, argv[1]);
	const char *value = config_store_value(node->store, argv[2]);

	g_string_append_printf(out, "%s at %" PRIu64 "\n",
			       value ? value : "none",
			       config_store_key_revision(node->store, argv[2]));
}

static void cmd_command(struct state *state, int argc, char **argv,
			GString *out)
{
	static const char *const texts[] = { "applied", "conflict", "void" };
	struct node *node = find_node(state, argv[1]);
	struct config_command command;

	if (!config_store_command(node->store,
				  script_arg(argc, argv, "op", "ann"),
				  script_arg(argc, argv, "id", ""), &command)) {
		g_string_append(out, "not known\n");
		return;
	}
	g_string_append_printf(out, "%s at %" PRIu64, texts[command.outcome],
			       command.offset);
	if (command.revision)
		g_string_append_printf(out, " against %" PRIu64,
				       command.revision);
	g_string_append_c(out, '\n');
}

/* "export NAME from=NODE for=NODE": creates an update for a node. */
static void cmd_export(struct state *state, int argc, char **argv, GString *out)
{
	struct node *from =
		find_node(state, script_arg(argc, argv, "from", "a"));
	struct node *to = find_node(state, script_arg(argc, argv, "for", "b"));
	Briarplank__ConfigUpdate *update = config_store_update(
		from->store, config_store_next_offset(to->store));

	if (!update) {
		g_string_append(out, "nothing newer\n");
		return;
	}
	g_string_append_printf(out, "%s, %zu records\n",
			       update->snapshot ? "snapshot" : "history",
			       update->n_records);
	g_hash_table_insert(state->updates, g_strdup(argv[1]), update);
}

static void cmd_apply(struct state *state, int argc, char **argv, GString *out)
{
	struct node *to = find_node(state, script_arg(argc, argv, "to", "b"));
	Briarplank__ConfigUpdate *update =
		g_hash_table_lookup(state->updates, argv[1]);

	if (!config_store_apply_update(to->store, update))
		g_string_append(out, "rejected\n");
	print_node(to, out);
}

static void cmd_restart(struct state *state, int argc, char **argv,
			GString *out)
{
	g_hash_table_remove(state->nodes, argv[1]);
}

static void cmd_check(struct state *state, int argc, char **argv, GString *out)
{
	enum config_check check = config_key_check(argv[1], argv[2]);

	if (check == CONFIG_CHECK_VALID)
		g_string_append(out, "valid\n");
	else
		g_string_append_printf(out, "%s\n", error_last());
}

static void cmd_same(struct state *state, int argc, char **argv, GString *out)
{
	GString *first = g_string_new(NULL), *other = g_string_new(NULL);
	int i;

	cmd_show(state, 2, argv, first);
	for (i = 2; i < argc; i++) {
		char *args[] = { NULL, argv[i] };

		g_string_truncate(other, 0);
		cmd_show(state, 2, args, other);
		if (strcmp(first->str, other->str))
			g_string_append_printf(out, "%s differs\n", argv[i]);
	}
	g_string_append(out, "compared\n");
	g_string_free(first, TRUE);
	g_string_free(other, TRUE);
}

static const struct {
	const char *name;
	void (*fn)(struct state *state, int argc, char **argv, GString *out);
} commands[] = {
	{ "check", cmd_check },	  { "command", cmd_command },
	{ "fill", cmd_fill },	  { "garbage", cmd_garbage },
	{ "apply", cmd_apply },	  { "key", cmd_key },
	{ "read", cmd_read },	  { "restart", cmd_restart },
	{ "same", cmd_same },	  { "set", cmd_set },
	{ "show", cmd_show },	  { "snapshot", cmd_snapshot },
	{ "export", cmd_export }, { "trim", cmd_trim },
	{ "wipe", cmd_wipe },
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
	.name = "config_store",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
