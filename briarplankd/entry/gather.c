/*
 * Sends an operator's query to all nodes of a role and merges their rows.
 */
#include <string.h>

#include "briarplankd/members_task.h"
#include "briarplankd/rows.h"
#include "common/log.h"
#include "gather.h"

#define PART OPERATOR_PART

/* Timeout of the nodes' replies, in ms. */
#define GATHER_TIMEOUT_MS 1500

/* One collection of rows in progress. */
struct gather {
	struct list link;
	uint64_t id;
	struct operator_call *call;
	/* Names of the nodes that have not replied to the query yet. */
	GHashTable *awaited;
	unsigned failed;
	uv_timer_t timer;
	void (*done)(struct operator_call *call);
};

static void on_closed(uv_handle_t *handle)
{
	struct gather *gather = handle->data;

	g_hash_table_destroy(gather->awaited);
	g_free(gather);
}

static void gather_free(struct gather *gather)
{
	list_remove(&gather->link);
	uv_close((uv_handle_t *)&gather->timer, on_closed);
}

void gather_stop(struct operator_task *task)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &task->gathers)
		gather_free(list_entry(pos, struct gather, link));
}

static void add_silent(struct operator_call *call, const char *name)
{
	json_object_array_add(call->result.nodes_silent,
			      json_object_new_string(name));
}

static void finish(struct gather *gather)
{
	struct operator_call *call = gather->call;
	GHashTableIter iter;
	gpointer name;

	g_hash_table_iter_init(&iter, gather->awaited);
	while (g_hash_table_iter_next(&iter, &name, NULL))
		add_silent(call, name);
	gather_free(gather);
	gather->done(call);
}

static void on_timer(uv_timer_t *timer)
{
	finish(timer->data);
}

static void send_query(struct gather *gather, const struct member *member)
{
	struct operator_call *call = gather->call;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__OperatorQuery query = BRIARPLANK__OPERATOR_QUERY__INIT;

	query.call_id = gather->id;
	query.text = call->line;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_OPERATOR_QUERY;
	env.operator_query = &query;
	call->result.nodes_asked++;
	if (member->state == MEMBER_DOWN || member->state == MEMBER_UNKNOWN ||
	    bus_send(call->task->super.node->bus, member->name, &env) != BUS_OK)
		add_silent(call, member->name);
	else
		g_hash_table_add(gather->awaited, g_strdup(member->name));
}

static void add_rows(struct operator_call *call, const char *node,
		     struct json_object *rows)
{
	size_t i;

	for (i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		json_object_object_add(row, "node",
				       json_object_new_string(node));
		json_object_array_add(call->result.rows, json_object_get(row));
	}
}

static void add_covered_shards(struct operator_call *call,
			       const uint32_t *shards, size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++)
		g_hash_table_add(call->result.shards,
				 GUINT_TO_POINTER(shards[i]));
}

static void add_own_rows(struct operator_call *call)
{
	struct node *node = call->task->super.node;
	struct json_object *rows = json_object_new_array();
	bool truncated = false;
	uint32_t nr;
	const uint32_t *shards = node_owned_shards(node, &nr);

	call->result.nodes_asked++;
	add_covered_shards(call, shards, nr);
	if (!rows_collect(node, call->command, rows, &truncated) || truncated)
		add_silent(call, node->settings->name);
	add_rows(call, node->settings->name, rows);
	json_object_put(rows);
}

static void on_reply(void *ctx, const Briarplank__Envelope *env)
{
	struct operator_task *task = ctx;
	const Briarplank__OperatorReply *reply = env->operator_reply;
	struct json_object *rows;
	struct list *pos;

	list_for_each (pos, &task->gathers) {
		struct gather *gather = list_entry(pos, struct gather, link);

		if (gather->id != reply->call_id ||
		    !g_hash_table_remove(gather->awaited, env->sender))
			continue;
		add_covered_shards(gather->call, reply->shards,
				   reply->n_shards);
		rows = json_tokener_parse(reply->json);
		if (json_object_is_type(rows, json_type_array))
			add_rows(gather->call, env->sender, rows);
		if (!rows || *reply->error || reply->truncated)
			add_silent(gather->call, env->sender);
		json_object_put(rows);
		if (!g_hash_table_size(gather->awaited))
			finish(gather);
		return;
	}
}

void gather_register(struct operator_task *task)
{
	list_init(&task->gathers);
	bus_set_handler(task->super.node->bus,
			BRIARPLANK__ENVELOPE__BODY_OPERATOR_REPLY, on_reply,
			task);
}

void gather_start(struct operator_call *call, enum member_role role,
		  void (*done)(struct operator_call *call))
{
	struct operator_task *task = call->task;
	struct node *node = task->super.node;
	struct gather *gather = g_new0(struct gather, 1);
	struct list *pos;

	gather->id = node->incarnation + ++task->next_gather;
	gather->call = call;
	gather->done = done;
	gather->awaited =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	list_append(&task->gathers, &gather->link);
	uv_timer_init(&node->loop, &gather->timer);
	gather->timer.data = gather;
	if (role == MEMBER_ENTRY)
		add_own_rows(call);
	list_for_each (pos, members_all(node_members(node))) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->role == role)
			send_query(gather, member);
	}
	uv_timer_start(
		&gather->timer, on_timer,
		g_hash_table_size(gather->awaited) ? GATHER_TIMEOUT_MS : 0, 0);
}
