/*
 * Serves POST /v1/operator: runs operators' commands and answers in JSON.
 */
#include <string.h>

#include <glib.h>

#include "briarplankd/tasks.h"
#include "common/error.h"
#include "common/log.h"
#include "gather.h"
#include "operator.h"

#define PART OPERATOR_PART
#define COMMAND_ID_MAX_BYTES 48

/* Handlers of all commands, sorted by verb. */
static const struct command_handler *const handlers[] = {
	&cancel_command, &create_command, &drain_command,   &set_command,
	&show_command,	 &submit_command, &undrain_command, &unset_command,
};

static const struct {
	const char *text;
	int http_status;
	const char *title;
} statuses[] = {
	[COMMAND_DONE] = { "done", 200, NULL },
	[COMMAND_PARTIAL] = { "partial", 200, NULL },
	[COMMAND_REFUSED] = { "refused", 409, "Refused" },
	[COMMAND_USAGE] = { "usage", 400, "Not understood" },
	[COMMAND_NOT_DONE] = { "not_done", 503, "Not done" },
	[COMMAND_UNKNOWN] = { "unknown", 504, "In doubt" },
};

void operator_set_result(struct operator_call *call, enum command_status status,
			 const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	g_free(call->result.message);
	call->result.message = g_strdup_vprintf(fmt, args);
	va_end(args);
	call->result.status = status;
}

static struct json_object *build_covers(struct operator_call *call)
{
	struct node *node = call->task->super.node;
	struct json_object *covers = json_object_new_object();

	json_object_object_add(
		covers, "config_revision",
		json_object_new_int64((int64_t)config_revision(node)));
	json_object_object_add(covers, "answered_by",
			       json_object_new_string(node->settings->name));
	json_object_object_add(covers, "nodes_asked",
			       json_object_new_int64(call->result.nodes_asked));
	json_object_object_add(covers, "nodes_silent",
			       json_object_get(call->result.nodes_silent));
	if (call->result.shards_missing)
		json_object_object_add(
			covers, "shards_missing",
			json_object_get(call->result.shards_missing));
	return covers;
}

static void send_answer(struct operator_call *call)
{
	struct json_object *root = json_object_new_object();
	const char *status = statuses[call->result.status].text;
	const char *text;

	json_object_object_add(root, "status", json_object_new_string(status));
	json_object_object_add(root, "message",
			       json_object_new_string(call->result.message));
	json_object_object_add(root, "command_id",
			       json_object_new_string(call->command_id));
	json_object_object_add(root, "rows",
			       json_object_get(call->result.rows));
	json_object_object_add(root, "covers", build_covers(call));
	text = json_object_to_json_string_ext(
		root, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
	web_answer(call->web, 200, "application/json", text, strlen(text));
	json_object_put(root);
}

static void call_free(struct operator_call *call)
{
	list_remove(&call->link);
	if (call->web)
		web_on_close(call->web, NULL, NULL);
	if (call->command)
		command_free(call->command);
	g_free(call->line);
	g_free(call->operator_name);
	g_free(call->authorization);
	g_free(call->command_id);
	g_free(call->result.message);
	json_object_put(call->result.rows);
	json_object_put(call->result.nodes_silent);
	json_object_put(call->result.shards_missing);
	g_hash_table_destroy(call->result.shards);
	g_free(call->state);
	g_free(call);
}

void operator_finish(struct operator_call *call)
{
	enum command_status status = call->result.status;
	int http_status = statuses[status].http_status;

	if (json_object_array_length(call->result.nodes_silent) &&
	    !call->result.is_complete && status == COMMAND_DONE)
		call->result.status = status = COMMAND_PARTIAL;
	log_info(PART, "%s: %s: %s (%s)", call->command_id, call->operator_name,
		 call->line, statuses[status].text);
	if (call->web && http_status == 200)
		send_answer(call);
	else if (call->web)
		web_problem(call->web, http_status, statuses[status].title,
			    "%s", call->result.message);
	call_free(call);
}

void operator_publish_change(struct operator_call *call, const char *suffix,
			     const char *key, const char *value, uint64_t base,
			     config_publish_fn done)
{
	char *id = g_strconcat(call->command_id, suffix, NULL);
	struct config_change change = {
		.operator_name = call->operator_name,
		.command_id = id,
		.key = key,
		.value = value,
		.base_revision = base,
	};

	config_publish(call->task->super.node, &change, done, call);
	g_free(id);
}

void operator_set_published(struct operator_call *call,
			    const struct config_publish_result *published)
{
	static const enum command_status results[] = {
		[CONFIG_PUBLISH_APPLIED] = COMMAND_DONE,
		[CONFIG_PUBLISH_CONFLICT] = COMMAND_REFUSED,
		[CONFIG_PUBLISH_INVALID] = COMMAND_REFUSED,
		[CONFIG_PUBLISH_NOT_APPLIED] = COMMAND_NOT_DONE,
		[CONFIG_PUBLISH_UNKNOWN] = COMMAND_UNKNOWN,
	};

	operator_set_result(call, results[published->status], "%s",
			    published->message);
}

void operator_on_published(void *ctx,
			   const struct config_publish_result *published)
{
	struct operator_call *call = ctx;

	operator_set_published(call, published);
	operator_finish(call);
}

static void on_operator_disconnected(void *ctx, bool sent)
{
	struct operator_call *call = ctx;

	call->web = NULL;
}

/* Returns the operator's Idempotency-Key, or a new id if there is none. */
static char *make_command_id(struct web_request *web)
{
	const char *given = web_header(web, "idempotency-key");

	return given && *given ? g_strdup(given) : g_uuid_string_random();
}

static struct operator_call *call_create(struct operator_task *task,
					 struct web_request *web,
					 const struct access_settings *access,
					 const char *text)
{
	struct operator_call *call = g_new0(struct operator_call, 1);

	call->task = task;
	call->web = web;
	call->operator_name = g_strdup(access->name);
	call->authorization = g_strdup(web_header(web, "authorization"));
	call->command_id = make_command_id(web);
	call->line = g_strndup(text, strcspn(text, "\r\n"));
	call->result.nodes_silent = json_object_new_array();
	call->result.rows = json_object_new_array();
	call->result.shards = g_hash_table_new(NULL, NULL);
	list_append(&task->calls, &call->link);
	web_on_close(web, on_operator_disconnected, call);
	return call;
}

static void run_command(struct operator_call *call, const char *text)
{
	unsigned column;
	size_t i;

	call->command = command_parse(text, &column);
	if (!call->command) {
		operator_set_result(call, COMMAND_USAGE, "%s", error_last());
		operator_finish(call);
		return;
	}
	for (i = 0; i < G_N_ELEMENTS(handlers); i++) {
		if (handlers[i]->kind != call->command->kind)
			continue;
		handlers[i]->run(call);
		return;
	}
}

static void reject_key(struct operator_task *task, struct web_request *web)
{
	uint64_t now_ms = node_now_ms(task->super.node);

	if (access_failure_allowed(&task->failures, now_ms)) {
		web_add_header(web, "WWW-Authenticate", "Bearer");
		web_problem(web, 401, "Unauthorized",
			    "the key does not belong to an operator or caller");
		return;
	}
	web_add_header(web, "Retry-After", "1");
	web_problem(web, 429, "Too many failures",
		    "too many recent requests had a wrong key");
}

static bool check_request(struct operator_task *task, struct web_request *web,
			  const struct access_settings *access)
{
	const char *id = web_header(web, "idempotency-key");

	if (!access)
		reject_key(task, web);
	else if (!access->operator)
		web_problem(web, 403, "Forbidden", "%s is not an operator",
			    access->name);
	else if (strcmp(web_method(web), "POST") != 0)
		web_problem(web, 405, "Not allowed",
			    "commands must be sent with POST");
	else if (id && strlen(id) > COMMAND_ID_MAX_BYTES)
		web_problem(web, 400, "Bad id",
			    "Idempotency-Key must have at most %d bytes",
			    COMMAND_ID_MAX_BYTES);
	else
		return true;
	return false;
}

static void on_request(void *ctx, struct web_request *web)
{
	struct operator_task *task = ctx;
	const struct access_settings *access = access_find(
		task->super.node->access, web_header(web, "authorization"));
	const char *body;
	char *text;
	size_t len;

	if (!check_request(task, web, access))
		return;
	body = web_body(web, &len);
	text = g_strndup(body ? body : "", len);
	run_command(call_create(task, web, access, text), text);
	g_free(text);
}

static bool operator_start(struct task *base)
{
	struct operator_task *task = (struct operator_task *)base;

	gather_register(task);
	operator_rows_register(base->node);
	web_route(base->node->web, "/v1/operator", on_request, task);
	return true;
}

static bool operator_stopped(struct task *base)
{
	struct operator_task *task = (struct operator_task *)base;

	return list_empty(&task->calls);
}

static void operator_destroy(struct task *base)
{
	struct operator_task *task = (struct operator_task *)base;
	struct list *pos, *tmp;

	gather_stop(task);
	list_for_each_safe (pos, tmp, &task->calls)
		call_free(list_entry(pos, struct operator_call, link));
	g_free(task);
}

static const struct task_ops operator_ops = {
	.name = "operator",
	.start = operator_start,
	.stopped = operator_stopped,
	.destroy = operator_destroy,
};

struct task *operator_task_create(void)
{
	struct operator_task *task = g_new0(struct operator_task, 1);

	task->super.ops = &operator_ops;
	list_init(&task->calls);
	list_init(&task->gathers);
	return &task->super;
}
