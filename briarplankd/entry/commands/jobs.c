#include <string.h>

#include "jobs.h"

#define CONNECT_TIMEOUT_MS 1000
#define ANSWER_TIMEOUT_MS 15000
#define ANSWER_MAX_BYTES (1 << 20)

struct jobs_request {
	struct operator_call *call;
	int status;
	GString *body;
};

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	struct jobs_request *request = ctx;

	request->status = status;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct jobs_request *request = ctx;

	if (request->body->len + len <= ANSWER_MAX_BYTES)
		g_string_append_len(request->body, data, (gssize)len);
}

static const char *detail(struct json_object *root)
{
	struct json_object *text;

	if (json_object_is_type(root, json_type_object) &&
	    json_object_object_get_ex(root, "detail", &text))
		return json_object_get_string(text);
	return "the jobs interface gave no reason";
}

static void take_answer(struct jobs_request *request)
{
	struct operator_call *call = request->call;
	struct json_object *root = json_tokener_parse(request->body->str);
	int status = request->status;

	if (status >= 200 && status < 300) {
		operator_result(call, COMMAND_DONE, "%s",
				status == 201 ? "accepted" : "done");
		if (json_object_is_type(root, json_type_object))
			json_object_array_add(call->result.rows,
					      json_object_get(root));
	} else if (status == 429 || status == 503) {
		operator_result(call, COMMAND_NOT_DONE, "%s", detail(root));
	} else if (status >= 400 && status < 500) {
		operator_result(call, COMMAND_REFUSED, "%s", detail(root));
	} else {
		operator_result(call, COMMAND_UNKNOWN, "%s", detail(root));
	}
	json_object_put(root);
}

static void on_end(void *ctx, enum http_end end)
{
	struct jobs_request *request = ctx;

	if (end == HTTP_WHOLE)
		take_answer(request);
	else if (end == HTTP_NOT_SENT)
		operator_result(request->call, COMMAND_NOT_DONE,
				"the jobs interface can't be reached");
	else
		operator_result(request->call, COMMAND_UNKNOWN,
				"the answer was lost; send the command again");
	operator_finish(request->call);
}

static void on_free(void *ctx)
{
	struct jobs_request *request = ctx;

	g_string_free(request->body, TRUE);
	g_free(request);
}

void jobs_call(struct operator_call *call, const char *method, const char *path,
	       const char *body)
{
	struct node *node = call->task->super.node;
	struct jobs_request *request = g_new0(struct jobs_request, 1);
	struct http_field fields[] = {
		{ "Authorization", call->authorization },
		{ "Idempotency-Key", call->command_id },
	};
	struct http_call_options options = {
		.address = web_address(node->web),
		.method = method,
		.path = path,
		.fields = fields,
		.fields_nr = G_N_ELEMENTS(fields),
		.body = body,
		.body_len = body ? strlen(body) : 0,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.first_byte_timeout_ms = ANSWER_TIMEOUT_MS,
		.idle_timeout_ms = ANSWER_TIMEOUT_MS,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.on_free = on_free,
		.ctx = request,
	};

	request->call = call;
	request->body = g_string_new(NULL);
	http_call_start(node->http, &options);
}
