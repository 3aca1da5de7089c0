/*
 * The operators' command show, which lists rows of one kind.
 */
#include <string.h>

#include "../gather.h"
#include "../operator.h"
#include "briarplankd/members_task.h"
#include "briarplankd/rows.h"

/* A kind of rows, listed by this entry or by all nodes of a role. */
struct show_kind {
	const char *name;
	/*
	 * Lists the rows at this entry; NULL if other nodes are asked for them.
	 */
	void (*list_local)(struct operator_call *call,
			   struct json_object *rows);
	/* Role of the nodes that are asked. */
	enum member_role role;
	/* Called to complete the rows gathered from the nodes; may be NULL. */
	void (*complete_rows)(struct operator_call *call);
};

static void add_config_row(void *ctx, const struct config_entry *entry)
{
	struct json_object *row = json_object_new_object();

	row_add_text(row, "key", entry->key);
	json_object_object_add(row, "value", json_tokener_parse(entry->value));
	row_add_number(row, "revision", entry->revision);
	row_add_text(row, "command_id", entry->command_id);
	json_object_array_add(ctx, row);
}

static void config_rows(struct operator_call *call, struct json_object *rows)
{
	config_store_for_each(node_config_store(call->task->super.node),
			      add_config_row, rows);
}

static const char *state_text(const struct member *member)
{
	static const char *const texts[] = { "unknown", "up", "suspect",
					     "down" };

	if (member->state == MEMBER_UP && member->leaving)
		return "leaving";
	return texts[member->state];
}

static void add_self(struct operator_call *call, struct json_object *rows)
{
	struct node *node = call->task->super.node;
	struct json_object *row = json_object_new_object();

	row_add_text(row, "node", node->settings->name);
	row_add_text(row, "role", "entry");
	row_add_text(row, "state", node->stopping ? "leaving" : "up");
	row_add_text(row, "data_centre", node->settings->data_centre);
	row_add_text(row, "region", node->settings->region);
	row_add_text(row, "address", bus_address(node->bus));
	row_add_number(row, "config_revision", config_revision(node));
	row_add_number(row, "round_trip_us", 0);
	json_object_array_add(rows, row);
}

static void node_rows(struct operator_call *call, struct json_object *rows)
{
	struct members *members = node_members(call->task->super.node);
	struct list *pos;

	add_self(call, rows);
	list_for_each (pos, members_all(members)) {
		struct member *member = list_entry(pos, struct member, link);
		struct json_object *row = json_object_new_object();

		row_add_text(row, "node", member->name);
		row_add_text(row, "role",
			     member->role == MEMBER_AGENT ? "agent" : "entry");
		row_add_text(row, "state", state_text(member));
		row_add_text(row, "data_centre", member->data_centre);
		row_add_text(row, "region", member->region);
		row_add_text(row, "address", member->address);
		row_add_number(row, "config_revision", member->config_revision);
		row_add_number(row, "round_trip_us", member->round_trip_us);
		json_object_array_add(rows, row);
	}
}

/* Returns NAME from a key "service.NAME.FIELD", or NULL for other keys. */
static char *parse_service_key(const char *key)
{
	const char *name = key + strlen("service.");

	if (!g_str_has_prefix(key, "service."))
		return NULL;
	return g_strndup(name, strcspn(name, "."));
}

static void add_config_service(void *ctx, const struct config_entry *entry)
{
	char *name = parse_service_key(entry->key);

	if (name && g_str_has_suffix(entry->key, ".created"))
		g_hash_table_add(ctx, name);
	else
		g_free(name);
}

static GList *service_names(struct node *node)
{
	GHashTable *names =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	struct list *pos;
	GList *sorted;

	config_store_for_each(node_config_store(node), add_config_service,
			      names);
	list_for_each (pos, members_all(node_members(node))) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->role == MEMBER_AGENT && *member->service)
			g_hash_table_add(names, g_strdup(member->service));
	}
	sorted =
		g_list_sort(g_hash_table_get_keys(names), (GCompareFunc)strcmp);
	g_hash_table_steal_all(names);
	g_hash_table_destroy(names);
	return sorted;
}

static void count_agents(struct node *node, const char *service,
			 unsigned *known, unsigned *usable)
{
	struct list *pos;

	*known = *usable = 0;
	list_for_each (pos, members_all(node_members(node))) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->role != MEMBER_AGENT ||
		    strcmp(member->service, service) != 0)
			continue;
		*known += 1;
		*usable += member_usable(member) &&
			   !config_server_drained(node, member->name);
	}
}

static void add_service(struct node *node, const char *service,
			struct json_object *rows)
{
	struct json_object *row = json_object_new_object();
	struct service_policy policy;
	unsigned known, usable;

	config_service_policy(node, service, &policy);
	count_agents(node, service, &known, &usable);
	row_add_text(row, "service", service);
	row_add_number(row, "servers", known);
	row_add_number(row, "servers_usable", usable);
	row_add_bool(row, "idempotent", policy.idempotent);
	row_add_number(row, "timeout_ms", policy.timeout_ms);
	row_add_number(row, "batch_weight", policy.batch_weight);
	row_add_number(row, "first_byte_target_ms",
		       policy.first_byte_target_ms);
	row_add_number(row, "token_gap_target_ms", policy.token_gap_target_ms);
	row_add_number(row, "item_attempts", policy.item_attempts);
	json_object_array_add(rows, row);
}

static void service_rows(struct operator_call *call, struct json_object *rows)
{
	struct node *node = call->task->super.node;
	GList *names = service_names(node);
	GList *pos;

	for (pos = names; pos; pos = pos->next)
		add_service(node, pos->data, rows);
	g_list_free_full(names, g_free);
}

/* Adds the load that agents reported to the rows of their servers. */
static void add_loads(struct operator_call *call)
{
	struct members *members = node_members(call->task->super.node);
	size_t i, nr = json_object_array_length(call->result.rows);

	for (i = 0; i < nr; i++) {
		struct json_object *row =
			json_object_array_get_idx(call->result.rows, i);
		struct json_object *name =
			json_object_object_get(row, "server");
		struct member *member;

		member = name ? members_find(members,
					     json_object_get_string(name)) :
				NULL;
		if (!member || !member->load.sequence)
			continue;
		row_add_number(row, "running_online",
			       member->load.running_online);
		row_add_number(row, "running_batch",
			       member->load.running_batch);
		row_add_number(row, "queued_online",
			       member->load.queued_online);
		row_add_bool(row, "ready", member->load.ready);
	}
}

static void add_silent_servers(struct operator_call *call)
{
	struct node *node = call->task->super.node;
	size_t i, nr = json_object_array_length(call->result.nodes_silent);

	for (i = 0; i < nr; i++) {
		const char *name =
			json_object_get_string(json_object_array_get_idx(
				call->result.nodes_silent, i));
		struct member *member = members_find(node_members(node), name);
		struct json_object *row = json_object_new_object();

		row_add_text(row, "server", name);
		row_add_text(row, "service", member ? member->service : "");
		row_add_text(row, "data_centre",
			     member ? member->data_centre : "");
		row_add_text(row, "state", "silent");
		row_add_bool(row, "drained", config_server_drained(node, name));
		if (row_matches(call->command, row))
			json_object_array_add(call->result.rows, row);
		else
			json_object_put(row);
	}
}

static void complete_servers(struct operator_call *call)
{
	add_loads(call);
	add_silent_servers(call);
}

static int64_t row_offset(struct json_object *row)
{
	return json_object_get_int64(
		json_object_object_get(row, "as_of_offset"));
}

/*
 * Keeps the newest row of each job: two entries list the same job if the shard
 * changed its owner during the query.
 */
static void drop_older_rows(struct command_result *result)
{
	GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
	size_t i, nr = json_object_array_length(result->rows);
	struct json_object *kept = json_object_new_array();

	for (i = 0; i < nr; i++) {
		struct json_object *row =
			json_object_array_get_idx(result->rows, i);
		const char *id = json_object_get_string(
			json_object_object_get(row, "id"));
		struct json_object *other = g_hash_table_lookup(newest, id);

		if (!other || row_offset(other) < row_offset(row))
			g_hash_table_insert(newest, (char *)id, row);
	}
	for (i = 0; i < nr; i++) {
		struct json_object *row =
			json_object_array_get_idx(result->rows, i);
		const char *id = json_object_get_string(
			json_object_object_get(row, "id"));

		if (g_hash_table_lookup(newest, id) == row)
			json_object_array_add(kept, json_object_get(row));
	}
	g_hash_table_destroy(newest);
	json_object_put(result->rows);
	result->rows = kept;
}

/*
 * Lists the shards that no answer covers, as their jobs are missing from the
 * rows. If all shards are covered, entries that have not replied own none of
 * them and the rows are complete.
 */
static void complete_jobs(struct operator_call *call)
{
	struct command_result *result = &call->result;
	int64_t i, nr = call->task->super.node->settings->ledger_shards;

	drop_older_rows(result);
	result->shards_missing = json_object_new_array();
	for (i = 0; i < nr; i++) {
		if (!g_hash_table_contains(result->shards, GUINT_TO_POINTER(i)))
			json_object_array_add(result->shards_missing,
					      json_object_new_int64(i));
	}
	result->is_complete = !json_object_array_length(result->shards_missing);
}

/* Only gateways quarantine parts of prompts. */
static void no_rows(struct operator_call *call, struct json_object *rows)
{
	(void)call;
	(void)rows;
}

static const struct show_kind kinds[] = {
	{ "config", .list_local = config_rows },
	{ "jobs", .role = MEMBER_ENTRY, .complete_rows = complete_jobs },
	{ "nodes", .list_local = node_rows },
	{ "quarantine", .list_local = no_rows },
	{ "refusals", .role = MEMBER_ENTRY },
	{ "requests", .role = MEMBER_ENTRY },
	{ "servers", .role = MEMBER_AGENT, .complete_rows = complete_servers },
	{ "services", .list_local = service_rows },
};

static const struct show_kind *find_kind(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(kinds); i++) {
		if (!strcmp(kinds[i].name, name))
			return &kinds[i];
	}
	return NULL;
}

static void finish_show(struct operator_call *call)
{
	size_t rows = json_object_array_length(call->result.rows);
	size_t silent = json_object_array_length(call->result.nodes_silent);
	struct json_object *missing = call->result.shards_missing;

	if (missing && json_object_array_length(missing))
		operator_set_result(
			call, COMMAND_PARTIAL,
			"%zu rows; partial, as the jobs of %zu shards "
			"are not covered",
			rows, json_object_array_length(missing));
	else if (silent && !call->result.is_complete)
		operator_set_result(
			call, COMMAND_PARTIAL,
			"%zu rows; partial, as %zu of %u nodes did not "
			"answer in full",
			rows, silent, call->result.nodes_asked);
	else
		operator_set_result(call, COMMAND_DONE, "%zu rows", rows);
	operator_finish(call);
}

static void on_gathered(struct operator_call *call)
{
	const struct show_kind *kind = find_kind(call->command->subject);

	if (kind->complete_rows)
		kind->complete_rows(call);
	finish_show(call);
}

static void show_local(struct operator_call *call, const struct show_kind *kind)
{
	struct json_object *all = json_object_new_array();
	size_t i;

	call->result.nodes_asked = 1;
	kind->list_local(call, all);
	for (i = 0; i < json_object_array_length(all); i++) {
		struct json_object *row = json_object_array_get_idx(all, i);

		if (row_matches(call->command, row))
			json_object_array_add(call->result.rows,
					      json_object_get(row));
	}
	json_object_put(all);
	finish_show(call);
}

static void run(struct operator_call *call)
{
	const struct show_kind *kind = find_kind(call->command->subject);

	if (kind->list_local)
		show_local(call, kind);
	else
		gather_start(call, kind->role, on_gathered);
}

const struct command_handler show_command = { "show", COMMAND_SHOW, run };
