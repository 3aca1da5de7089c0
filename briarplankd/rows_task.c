/*
 * Answers entries' queries for the rows of this node.
 */
#include <string.h>

#include "briarplankd/config_task.h"
#include "briarplankd/members_task.h"
#include "briarplankd/rows.h"
#include "common/error.h"

/* Maximum number of rows in an answer; a longer one is marked truncated. */
#define ROWS_MAX 5000

struct rows_source {
	struct list link;
	char *kind;
	rows_list_fn fn;
	void *ctx;
};

struct rows_task {
	struct task super;
};

void row_add_text(struct json_object *row, const char *name, const char *value)
{
	json_object_object_add(row, name,
			       json_object_new_string(value ? value : ""));
}

void row_add_number(struct json_object *row, const char *name, uint64_t value)
{
	json_object_object_add(row, name, json_object_new_uint64(value));
}

void row_add_bool(struct json_object *row, const char *name, bool value)
{
	json_object_object_add(row, name, json_object_new_boolean(value));
}

void row_add_time(struct json_object *row, const char *name, uint64_t ms)
{
	GDateTime *time = g_date_time_new_from_unix_utc((gint64)(ms / 1000));
	char *text = ms && time ? g_date_time_format_iso8601(time) : NULL;

	row_add_text(row, name, text);
	g_free(text);
	if (time)
		g_date_time_unref(time);
}

void rows_register(struct node *node, const char *kind, rows_list_fn fn,
		   void *ctx)
{
	struct rows_source *source = g_new0(struct rows_source, 1);

	source->kind = g_strdup(kind);
	source->fn = fn;
	source->ctx = ctx;
	list_append(&node->row_sources, &source->link);
}

bool row_matches(const struct command *command, struct json_object *row)
{
	size_t i;

	for (i = 0; i < command->pairs_nr; i++) {
		struct json_object *value;

		if (!json_object_object_get_ex(row, command->pairs[i].name,
					       &value) ||
		    strcmp(value ? json_object_get_string(value) : "null",
			   command->pairs[i].value) != 0)
			return false;
	}
	return true;
}

/* Appends the rows that match, up to ROWS_MAX. */
static void add_matching_rows(const struct command *command,
			      struct json_object *all, struct json_object *rows,
			      bool *truncated)
{
	size_t i;

	for (i = 0; i < json_object_array_length(all); i++) {
		struct json_object *row = json_object_array_get_idx(all, i);

		if (!row_matches(command, row))
			continue;
		if (json_object_array_length(rows) >= ROWS_MAX) {
			*truncated = true;
			return;
		}
		json_object_array_add(rows, json_object_get(row));
	}
}

bool rows_collect(struct node *node, const struct command *command,
		  struct json_object *rows, bool *truncated)
{
	struct json_object *all = json_object_new_array();
	bool known = false;
	struct list *pos;

	list_for_each (pos, &node->row_sources) {
		struct rows_source *source =
			list_entry(pos, struct rows_source, link);

		if (strcmp(source->kind, command->subject) != 0)
			continue;
		known = true;
		source->fn(source->ctx, all);
	}
	add_matching_rows(command, all, rows, truncated);
	json_object_put(all);
	return known;
}

static void reply(struct node *node, const char *peer,
		  Briarplank__OperatorReply *message)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;

	env.body_case = BRIARPLANK__ENVELOPE__BODY_OPERATOR_REPLY;
	env.operator_reply = message;
	bus_send(node->bus, peer, &env);
}

static void on_query(void *ctx, const Briarplank__Envelope *env)
{
	struct node *node = ctx;
	Briarplank__OperatorReply message = BRIARPLANK__OPERATOR_REPLY__INIT;
	struct json_object *rows = json_object_new_array();
	struct command *command;
	bool truncated = false;
	uint32_t shards_nr;
	unsigned column;

	message.call_id = env->operator_query->call_id;
	command = command_parse(env->operator_query->text, &column);
	if (!command || command->kind != COMMAND_SHOW)
		message.error = "the query is not a valid show command";
	else if (!rows_collect(node, command, rows, &truncated))
		message.error = "this node has no rows of this kind";
	message.truncated = truncated;
	message.shards = (uint32_t *)node_owned_shards(node, &shards_nr);
	message.n_shards = shards_nr;
	message.json = (char *)json_object_to_json_string_ext(
		rows, JSON_C_TO_STRING_PLAIN);
	reply(node, env->sender, &message);
	if (command)
		command_free(command);
	json_object_put(rows);
}

static void add_text(struct json_object *row, const char *name,
		     const char *value)
{
	json_object_object_add(row, name,
			       json_object_new_string(value ? value : ""));
}

/* Appends the row of this agent's backend server. */
static void server_rows(void *ctx, struct json_object *rows)
{
	struct node *node = ctx;
	const struct daemon_settings *settings = node->settings;
	struct json_object *row = json_object_new_object();
	bool drained = config_server_drained(node, settings->name);

	add_text(row, "server", settings->name);
	add_text(row, "service", settings->service);
	add_text(row, "address", settings->server);
	add_text(row, "kind",
		 settings->server_kind == SERVER_PLAIN ? "plain" : "engine");
	add_text(row, "data_centre", settings->data_centre);
	add_text(row, "state", node->stopping ? "leaving" : "up");
	json_object_object_add(row, "drained",
			       json_object_new_boolean(drained));
	json_object_object_add(
		row, "config_revision",
		json_object_new_int64((int64_t)config_revision(node)));
	json_object_array_add(rows, row);
}

static bool rows_start(struct task *base)
{
	struct node *node = base->node;

	if (node->settings->role == ROLE_AGENT)
		rows_register(node, "servers", server_rows, node);
	bus_set_handler(node->bus, BRIARPLANK__ENVELOPE__BODY_OPERATOR_QUERY,
			on_query, node);
	return true;
}

static void rows_destroy(struct task *base)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &base->node->row_sources) {
		struct rows_source *source =
			list_entry(pos, struct rows_source, link);

		list_remove(pos);
		g_free(source->kind);
		g_free(source);
	}
	g_free(base);
}

static const struct task_ops rows_ops = {
	.name = "rows",
	.start = rows_start,
	.destroy = rows_destroy,
};

struct task *rows_task_create(void)
{
	struct rows_task *task = g_new0(struct rows_task, 1);

	task->super.ops = &rows_ops;
	return &task->super;
}
