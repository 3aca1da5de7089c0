/*
 * Applies configuration records, and exchanges them as snapshots and updates.
 */
#include <string.h>

#include "common/hash.h"
#include "core/config_keys.h"
#include "core/config_store.h"

/* Maximum number of keys with a value; records that exceed it are invalid. */
#define KEYS_MAX 16384
/*
 * Maximum number of removed keys, and of commands, that are kept; the oldest
 * are evicted first.
 */
#define REMOVED_MAX 1024
#define COMMANDS_MAX 256
/* Maximum number of records kept to update peers that are behind. */
#define HISTORY_MAX 256

#define COMMAND_ID_MAX_BYTES 64
#define OPERATOR_MAX_BYTES 64

struct value {
	char *key;
	/* Value as JSON text; empty if the key was removed. */
	char *text;
	uint64_t revision;
	char *command_id;
};

struct command {
	char *operator_name;
	char *id;
	struct config_command result;
};

struct logged_record {
	uint64_t offset;
	Briarplank__ConfigRecord *record;
};

struct config_store {
	uint64_t revision;
	uint64_t published_ms;
	uint64_t next_offset;
	/* Highest revision of a removed key that was evicted. */
	uint64_t forgotten_revision;
	/* Maps a key to its struct value *; includes removed keys. */
	GHashTable *values;
	unsigned removed_nr;
	/* Latest commands (struct command), oldest first. */
	GQueue commands;
	/* Latest records (struct logged_record), oldest first. */
	GQueue history;
	/* Every record from this offset on is in the history. */
	uint64_t history_from;
};

static void value_free(void *data)
{
	struct value *value = data;

	g_free(value->key);
	g_free(value->text);
	g_free(value->command_id);
	g_free(value);
}

static void command_free(void *data)
{
	struct command *command = data;

	g_free(command->operator_name);
	g_free(command->id);
	g_free(command);
}

static void logged_record_free(void *data)
{
	struct logged_record *logged = data;

	briarplank__config_record__free_unpacked(logged->record, NULL);
	g_free(logged);
}

struct config_store *config_store_create(void)
{
	struct config_store *store = g_new0(struct config_store, 1);

	store->values = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					      value_free);
	g_queue_init(&store->commands);
	g_queue_init(&store->history);
	return store;
}

void config_store_destroy(struct config_store *store)
{
	g_hash_table_destroy(store->values);
	g_queue_clear_full(&store->commands, command_free);
	g_queue_clear_full(&store->history, logged_record_free);
	g_free(store);
}

void config_store_begin(struct config_store *store)
{
	config_store_advance(store, 1);
	store->history_from = 1;
}

uint64_t config_store_revision(const struct config_store *store)
{
	return store->revision;
}

uint64_t config_store_published_ms(const struct config_store *store)
{
	return store->published_ms;
}

uint64_t config_store_next_offset(const struct config_store *store)
{
	return store->next_offset;
}

void config_store_advance(struct config_store *store, uint64_t next_offset)
{
	if (next_offset > store->next_offset)
		store->next_offset = next_offset;
}

uint64_t config_content_hash(const char *key, const char *value)
{
	return hash_combine(hash_string(key, 0), hash_string(value, 1));
}

static const struct value *find_value(const struct config_store *store,
				      const char *key)
{
	return g_hash_table_lookup(store->values, key);
}

const char *config_store_value(const struct config_store *store,
			       const char *key)
{
	const struct value *value = find_value(store, key);

	return value && *value->text ? value->text : NULL;
}

uint64_t config_store_key_revision(const struct config_store *store,
				   const char *key)
{
	const struct value *value = find_value(store, key);

	return value ? value->revision : store->forgotten_revision;
}

static struct command *find_command(const struct config_store *store,
				    const char *operator_name, const char *id)
{
	GList *pos;

	for (pos = store->commands.tail; pos; pos = pos->prev) {
		struct command *command = pos->data;

		if (!strcmp(command->id, id) &&
		    !strcmp(command->operator_name, operator_name))
			return command;
	}
	return NULL;
}

bool config_store_command(const struct config_store *store,
			  const char *operator_name, const char *command_id,
			  struct config_command *command)
{
	const struct command *found =
		find_command(store, operator_name, command_id);

	if (found)
		*command = found->result;
	return found != NULL;
}

static void store_command(struct config_store *store, const char *operator_name,
			  const char *id, const struct config_command *result)
{
	struct command *command = g_new0(struct command, 1);

	command->operator_name = g_strdup(operator_name);
	command->id = g_strdup(id);
	command->result = *result;
	g_queue_push_tail(&store->commands, command);
	if (store->commands.length > COMMANDS_MAX)
		command_free(g_queue_pop_head(&store->commands));
}

static void put_value(struct config_store *store, const char *key,
		      const char *text, uint64_t revision,
		      const char *command_id)
{
	const struct value *old = find_value(store, key);
	struct value *value = g_new0(struct value, 1);

	if (old && !*old->text)
		store->removed_nr--;
	value->key = g_strdup(key);
	value->text = g_strdup(text);
	value->revision = revision;
	value->command_id = g_strdup(command_id);
	store->removed_nr += !*text;
	g_hash_table_replace(store->values, value->key, value);
}

/*
 * Evicts the oldest removed key. Every node does so at the same record, so that
 * all decide later conflicts alike.
 */
static void evict_removed(struct config_store *store)
{
	struct value *value, *oldest = NULL;
	GHashTableIter iter;

	if (store->removed_nr <= REMOVED_MAX)
		return;
	g_hash_table_iter_init(&iter, store->values);
	while (g_hash_table_iter_next(&iter, NULL, (void **)&value)) {
		if (*value->text)
			continue;
		if (!oldest || value->revision < oldest->revision)
			oldest = value;
	}
	if (!oldest)
		return;
	store->forgotten_revision =
		MAX(store->forgotten_revision, oldest->revision);
	store->removed_nr--;
	g_hash_table_remove(store->values, oldest->key);
}

static bool has_capacity(const struct config_store *store,
			 const Briarplank__ConfigRecord *record)
{
	unsigned used = g_hash_table_size(store->values) - store->removed_nr;

	return used < KEYS_MAX || !*record->value ||
	       config_store_value(store, record->key);
}

static bool record_valid(const struct config_store *store,
			 const Briarplank__ConfigRecord *record)
{
	if (!*record->command_id ||
	    strlen(record->command_id) > COMMAND_ID_MAX_BYTES ||
	    strlen(record->operator_name) > OPERATOR_MAX_BYTES)
		return false;
	return config_key_check(record->key, record->value) !=
		       CONFIG_CHECK_INVALID &&
	       has_capacity(store, record);
}

static bool base_matches(const struct config_store *store, uint64_t offset,
			 const Briarplank__ConfigRecord *record)
{
	if (record->unconditional)
		return true;
	return record->base_revision < offset &&
	       config_store_key_revision(store, record->key) <=
		       record->base_revision;
}

static enum config_outcome decide(const struct config_store *store,
				  uint64_t offset,
				  const Briarplank__ConfigRecord *record)
{
	if (!record_valid(store, record))
		return CONFIG_VOID;
	if (!base_matches(store, offset, record))
		return CONFIG_CONFLICT;
	return CONFIG_APPLIED;
}

static Briarplank__ConfigRecord *copy_record(
	const Briarplank__ConfigRecord *record)
{
	size_t len = briarplank__config_record__get_packed_size(record);
	uint8_t *bytes = g_malloc(len);
	Briarplank__ConfigRecord *copy;

	briarplank__config_record__pack(record, bytes);
	copy = briarplank__config_record__unpack(NULL, len, bytes);
	g_free(bytes);
	return copy;
}

static void store_record(struct config_store *store, uint64_t offset,
			 const Briarplank__ConfigRecord *record)
{
	struct logged_record *logged = g_new0(struct logged_record, 1);

	logged->offset = offset;
	logged->record = copy_record(record);
	g_queue_push_tail(&store->history, logged);
	if (store->history.length <= HISTORY_MAX)
		return;
	logged = g_queue_pop_head(&store->history);
	store->history_from = logged->offset + 1;
	logged_record_free(logged);
}

static const enum config_record_result record_results[] = {
	[CONFIG_APPLIED] = CONFIG_RECORD_APPLIED,
	[CONFIG_CONFLICT] = CONFIG_RECORD_CONFLICT,
	[CONFIG_VOID] = CONFIG_RECORD_VOID,
};

static enum config_record_result apply_record(
	struct config_store *store, uint64_t offset,
	const Briarplank__ConfigRecord *record)
{
	struct config_command result = { .offset = offset };

	store_record(store, offset, record);
	if (*record->command_id &&
	    find_command(store, record->operator_name, record->command_id))
		return CONFIG_RECORD_REPEATED;
	result.outcome = decide(store, offset, record);
	result.content = config_content_hash(record->key, record->value);
	if (result.outcome == CONFIG_CONFLICT)
		result.revision = config_store_key_revision(store, record->key);
	if (*record->command_id)
		store_command(store, record->operator_name, record->command_id,
			      &result);
	if (result.outcome == CONFIG_APPLIED) {
		put_value(store, record->key, record->value, offset,
			  record->command_id);
		evict_removed(store);
		store->revision = offset;
		store->published_ms = record->published_ms;
	}
	return record_results[result.outcome];
}

enum config_record_result config_store_apply_record(
	struct config_store *store, uint64_t offset,
	const Briarplank__ConfigAppend *append)
{
	if (offset < store->next_offset)
		return CONFIG_RECORD_OLD;
	store->next_offset = offset + 1;
	if (!append || !append->record)
		return CONFIG_RECORD_SKIPPED;
	return apply_record(store, offset, append->record);
}

static int compare_keys(const void *a, const void *b)
{
	return strcmp(*(const char *const *)a, *(const char *const *)b);
}

static const char **sorted_keys(const struct config_store *store, guint *nr)
{
	const char **keys = (const char **)g_hash_table_get_keys_as_array(
		store->values, nr);

	qsort(keys, *nr, sizeof(*keys), compare_keys);
	return keys;
}

void config_store_for_each(const struct config_store *store,
			   void (*fn)(void *ctx,
				      const struct config_entry *entry),
			   void *ctx)
{
	guint i, nr;
	const char **keys = sorted_keys(store, &nr);

	for (i = 0; i < nr; i++) {
		const struct value *value = find_value(store, keys[i]);
		struct config_entry entry = {
			.key = value->key,
			.value = value->text,
			.revision = value->revision,
			.command_id = value->command_id,
		};

		if (*value->text)
			fn(ctx, &entry);
	}
	g_free(keys);
}

static Briarplank__ConfigValue *value_to_wire(const struct value *value)
{
	Briarplank__ConfigValue *wire = g_new0(Briarplank__ConfigValue, 1);

	briarplank__config_value__init(wire);
	wire->key = g_strdup(value->key);
	wire->value = g_strdup(value->text);
	wire->revision = value->revision;
	wire->command_id = g_strdup(value->command_id);
	return wire;
}

static Briarplank__ConfigCommand *command_to_wire(const struct command *command)
{
	Briarplank__ConfigCommand *wire = g_new0(Briarplank__ConfigCommand, 1);

	briarplank__config_command__init(wire);
	wire->operator_name = g_strdup(command->operator_name);
	wire->command_id = g_strdup(command->id);
	wire->offset = command->result.offset;
	wire->outcome = command->result.outcome;
	wire->revision = command->result.revision;
	wire->content = command->result.content;
	return wire;
}

/*
 * g_new0() is safe here although free_unpacked() calls free(): GLib allocates
 * by the malloc() of the C library.
 */
Briarplank__ConfigSnapshot *config_store_snapshot(
	const struct config_store *store)
{
	Briarplank__ConfigSnapshot *wire =
		g_new0(Briarplank__ConfigSnapshot, 1);
	guint i, nr;
	const char **keys = sorted_keys(store, &nr);
	GList *pos;

	briarplank__config_snapshot__init(wire);
	wire->revision = store->revision;
	wire->next_offset = store->next_offset;
	wire->forgotten_revision = store->forgotten_revision;
	wire->values = g_new0(Briarplank__ConfigValue *, nr + 1);
	for (i = 0; i < nr; i++)
		wire->values[wire->n_values++] =
			value_to_wire(find_value(store, keys[i]));
	wire->commands =
		g_new0(Briarplank__ConfigCommand *, store->commands.length + 1);
	for (pos = store->commands.head; pos; pos = pos->next)
		wire->commands[wire->n_commands++] = command_to_wire(pos->data);
	g_free(keys);
	return wire;
}

static void load_command(struct config_store *store,
			 const Briarplank__ConfigCommand *wire)
{
	struct config_command result = {
		.offset = wire->offset,
		.outcome = MIN(wire->outcome, CONFIG_VOID),
		.revision = wire->revision,
		.content = wire->content,
	};

	store_command(store, wire->operator_name, wire->command_id, &result);
}

bool config_store_load(struct config_store *store,
		       const Briarplank__ConfigSnapshot *snapshot)
{
	size_t i;

	if (snapshot->next_offset <= store->next_offset ||
	    snapshot->revision < store->revision)
		return false;
	g_hash_table_remove_all(store->values);
	g_queue_clear_full(&store->commands, command_free);
	g_queue_clear_full(&store->history, logged_record_free);
	store->removed_nr = 0;
	store->revision = snapshot->revision;
	store->published_ms = 0;
	store->next_offset = snapshot->next_offset;
	store->history_from = snapshot->next_offset;
	store->forgotten_revision = snapshot->forgotten_revision;
	for (i = 0; i < snapshot->n_values; i++) {
		const Briarplank__ConfigValue *value = snapshot->values[i];

		put_value(store, value->key, value->value, value->revision,
			  value->command_id);
	}
	for (i = 0; i < snapshot->n_commands; i++)
		load_command(store, snapshot->commands[i]);
	return true;
}

static void add_history(const struct config_store *store, uint64_t from,
			Briarplank__ConfigUpdate *update)
{
	size_t max = store->history.length + 1;
	GList *pos;

	update->records = g_new0(Briarplank__ConfigRecord *, max);
	update->offsets = g_new0(uint64_t, max);
	for (pos = store->history.head; pos; pos = pos->next) {
		const struct logged_record *logged = pos->data;

		if (logged->offset < from)
			continue;
		update->offsets[update->n_offsets++] = logged->offset;
		update->records[update->n_records++] =
			copy_record(logged->record);
	}
}

Briarplank__ConfigUpdate *config_store_update(const struct config_store *store,
					      uint64_t from_offset)
{
	Briarplank__ConfigUpdate *update;

	if (from_offset >= store->next_offset)
		return NULL;
	update = g_new0(Briarplank__ConfigUpdate, 1);
	briarplank__config_update__init(update);
	update->from_offset = from_offset;
	update->next_offset = store->next_offset;
	if (from_offset && from_offset >= store->history_from)
		add_history(store, from_offset, update);
	else
		update->snapshot = config_store_snapshot(store);
	return update;
}

bool config_store_apply_update(struct config_store *store,
			       const Briarplank__ConfigUpdate *update)
{
	size_t i, nr = MIN(update->n_records, update->n_offsets);

	if (update->snapshot)
		return config_store_load(store, update->snapshot);
	if (!store->next_offset || update->from_offset > store->next_offset)
		return false;
	for (i = 0; i < nr; i++) {
		Briarplank__ConfigAppend append =
			BRIARPLANK__CONFIG_APPEND__INIT;

		append.record = update->records[i];
		config_store_apply_record(store, update->offsets[i], &append);
	}
	config_store_advance(store, update->next_offset);
	return true;
}
