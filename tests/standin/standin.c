/*
 * Common part of the simulated services: options, web server and faults.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include "common/list.h"
#include "standin.h"

#define MAX_OPTIONS 16
#define MAX_BODY_BYTES (64 << 20)
#define REQUEST_TIMEOUT_MS 10000
#define DEFAULT_REJECT_STATUS 429

/* A request whose handler runs after the delay of FAULT_SLOW. */
struct delayed {
	struct list link;
	struct route *route;
	struct web_request *request;
	uv_timer_t timer;
};

struct route {
	struct list link;
	struct standin *standin;
	web_handler_fn fn;
	void *ctx;
};

struct standin {
	uv_loop_t *loop;
	const struct standin_command *command;
	void *settings;
	void *state;
	struct web *web;
	struct metrics *metrics;
	struct fault fault;
	struct list routes;
	struct list delayed;
};

static const char *const fault_names[FAULT_KINDS] = {
	"none",	       "outage",  "slow",      "reject", "lose_answer",
	"half_answer", "garbage", "duplicate", "stall",	 "kill_streams",
	"cut",	       "reset",	  "narrow",
};

static const struct standin_command *const commands[] = {
	&crowd_command,	  &engine_command, &log_command,   &plain_command,
	&proxy_command,	  &raw_command,	   &store_command, &vms_command,
	&weights_command, &worker_command,
};

const struct standin_command *standin_find(const char *name)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(commands); i++) {
		if (!strcmp(commands[i]->name, name))
			return commands[i];
	}
	return NULL;
}

uint64_t standin_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

uint64_t standin_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

bool standin_fault_active(struct standin *standin, enum fault_kind kind)
{
	struct fault *fault = &standin->fault;
	uint64_t age_ms = standin_wall_ms() - fault->set_ms;

	if (fault->kind != kind)
		return false;
	if (fault->count && fault->affected >= fault->count)
		return false;
	return kind == FAULT_SLOW || !fault->ms || age_ms < fault->ms;
}

const struct fault *standin_fault(const struct standin *standin)
{
	return &standin->fault;
}

bool standin_consume_fault(struct standin *standin, enum fault_kind kind)
{
	if (!standin_fault_active(standin, kind))
		return false;
	standin->fault.affected++;
	return true;
}

static void on_delay_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void delayed_request_free(struct delayed *delayed)
{
	list_remove(&delayed->link);
	uv_timer_stop(&delayed->timer);
	uv_close((uv_handle_t *)&delayed->timer, on_delay_closed);
}

static void on_delay(uv_timer_t *timer)
{
	struct delayed *delayed = timer->data;
	struct route *route = delayed->route;
	struct web_request *request = delayed->request;

	web_on_close(request, NULL, NULL);
	delayed_request_free(delayed);
	route->fn(route->ctx, request);
}

static void on_delayed_closed(void *ctx, bool sent)
{
	(void)sent;
	delayed_request_free(ctx);
}

static void delay_request(struct route *route, struct web_request *request)
{
	struct standin *standin = route->standin;
	struct delayed *delayed = g_new0(struct delayed, 1);

	delayed->route = route;
	delayed->request = request;
	list_append(&standin->delayed, &delayed->link);
	uv_timer_init(standin->loop, &delayed->timer);
	delayed->timer.data = delayed;
	uv_timer_start(&delayed->timer, on_delay, standin->fault.ms, 0);
	web_on_close(request, on_delayed_closed, delayed);
}

/* Returns whether the query contains the text that the fault is limited to. */
static bool fault_matches(const struct fault *fault,
			  const struct web_request *request)
{
	return !*fault->only || strstr(web_query(request), fault->only);
}

static void on_request(void *ctx, struct web_request *request)
{
	struct route *route = ctx;
	struct standin *standin = route->standin;

	if (standin_consume_fault(standin, FAULT_OUTAGE)) {
		if (standin->fault.affected % 2)
			web_problem(request, 503, "Outage", "out of service");
		else
			web_abort(request);
		return;
	}
	if (fault_matches(&standin->fault, request) &&
	    standin_consume_fault(standin, FAULT_REJECT)) {
		web_problem(request, standin->fault.status, "Rejected",
			    "rejected on purpose");
		return;
	}
	if (standin_consume_fault(standin, FAULT_SLOW))
		delay_request(route, request);
	else
		route->fn(route->ctx, request);
}

void standin_route(struct standin *standin, const char *prefix,
		   web_handler_fn fn, void *ctx)
{
	struct route *route = g_new0(struct route, 1);

	route->standin = standin;
	route->fn = fn;
	route->ctx = ctx;
	list_append(&standin->routes, &route->link);
	web_route(standin->web, prefix, on_request, route);
}

static enum fault_kind fault_kind_find(const char *name)
{
	int i;

	for (i = 0; name && i < FAULT_KINDS; i++) {
		if (!strcmp(name, fault_names[i]))
			return i;
	}
	return FAULT_KINDS;
}

static void on_fault(void *ctx, struct web_request *request)
{
	struct standin *standin = ctx;
	char *name = standin_query(request, "kind");
	char *only = standin_query(request, "only");
	enum fault_kind kind = fault_kind_find(name);

	g_free(name);
	if (kind == FAULT_KINDS) {
		g_free(only);
		web_problem(request, 400, "No such fault",
			    "unknown fault kind");
		return;
	}
	standin->fault = (struct fault){
		.kind = kind,
		.ms = standin_query_int(request, "ms", 0),
		.count = standin_query_int(request, "count", 0),
		.status = (int)standin_query_int(request, "status",
						 DEFAULT_REJECT_STATUS),
		.set_ms = standin_wall_ms(),
	};
	g_strlcpy(standin->fault.only, only ? only : "",
		  sizeof(standin->fault.only));
	g_free(only);
	if (standin->command->on_fault_change)
		standin->command->on_fault_change(standin->state,
						  &standin->fault);
	web_answer(request, 200, "text/plain", "ok\n", 3);
}

void standin_answer(struct standin *standin, struct web_request *request,
		    int status, const char *type, const void *body, size_t len)
{
	if (strcmp(web_method(request), "GET") &&
	    standin_consume_fault(standin, FAULT_LOSE_ANSWER)) {
		web_abort(request);
	} else if (standin_consume_fault(standin, FAULT_GARBAGE)) {
		web_answer(request, status, type, "\xff\xff garbage", 10);
	} else if (standin_consume_fault(standin, FAULT_HALF_ANSWER)) {
		web_stream_begin(request, status, type);
		web_stream_write(request, body, len / 2);
		web_stream_end(request, false);
	} else {
		web_answer(request, status, type, body, len);
	}
}

void standin_answer_json(struct standin *standin, struct web_request *request,
			 int status, struct json_object *root)
{
	const char *text =
		json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);

	standin_answer(standin, request, status, "application/json", text,
		       strlen(text));
	json_object_put(root);
}

char *standin_query(const struct web_request *request, const char *name)
{
	char **pairs = g_strsplit(web_query(request), "&", -1);
	size_t len = strlen(name);
	char *value = NULL;
	char **pair;

	for (pair = pairs; *pair && !value; pair++) {
		if (!strncmp(*pair, name, len) && (*pair)[len] == '=')
			value = g_uri_unescape_string(*pair + len + 1, NULL);
	}
	g_strfreev(pairs);
	return value;
}

int64_t standin_query_int(const struct web_request *request, const char *name,
			  int64_t fallback)
{
	char *text = standin_query(request, name);
	int64_t value = text ? g_ascii_strtoll(text, NULL, 10) : fallback;

	g_free(text);
	return value;
}

struct json_object *standin_body_json(const struct web_request *request)
{
	struct json_object *root;
	size_t len;
	const char *body = web_body(request, &len);
	char *text = g_strndup(body ? body : "", len);

	root = json_tokener_parse(text);
	g_free(text);
	if (!root || json_object_is_type(root, json_type_object))
		return root;
	json_object_put(root);
	return NULL;
}

const char *standin_json_text(struct json_object *root, const char *name)
{
	const char *text =
		json_object_get_string(json_object_object_get(root, name));

	return text ? text : "";
}

static void add_option(struct standin *standin,
		       const struct standin_option *option, GOptionEntry *entry,
		       char **on_off)
{
	int64_t *value =
		(int64_t *)((char *)standin->settings + option->offset);

	*value = option->fallback;
	entry->long_name = option->name;
	entry->description = option->help;
	entry->arg = option->on_off ? G_OPTION_ARG_STRING : G_OPTION_ARG_INT64;
	entry->arg_data = option->on_off ? (void *)on_off : (void *)value;
}

static bool parse_on_off(struct standin *standin,
			 const struct standin_option *option, char *text)
{
	int64_t *value =
		(int64_t *)((char *)standin->settings + option->offset);
	bool known = !text || !strcmp(text, "on") || !strcmp(text, "off");

	if (text)
		*value = !strcmp(text, "on");
	g_free(text);
	return known;
}

/* Parses the command's options and the address to listen on. */
static bool parse(struct standin *standin, int argc, char **argv,
		  char **address)
{
	const struct standin_option *options = standin->command->options;
	GOptionEntry entries[MAX_OPTIONS + 2] = {
		{ "listen", 0, 0, G_OPTION_ARG_STRING, address,
		  "Address, 127.0.0.1:0 by default", "IP:PORT" },
	};
	char *on_off[MAX_OPTIONS] = { NULL };
	GOptionContext *context = g_option_context_new(NULL);
	char **args = g_new0(char *, argc + 1);
	char **rest = args;
	size_t i;
	bool ok;

	memcpy(args, argv, argc * sizeof(*args));
	for (i = 0; options && options[i].name; i++)
		add_option(standin, &options[i], &entries[i + 1], &on_off[i]);
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, &argc, &rest, NULL) && argc == 1;
	g_option_context_free(context);
	for (i = 0; options && options[i].name; i++)
		ok &= parse_on_off(standin, &options[i], on_off[i]);
	g_free(args);
	return ok;
}

static bool open_web(struct standin *standin, const char *address)
{
	struct web_options options = {
		.loop = standin->loop,
		.address = address ? address : "127.0.0.1:0",
		.max_body_bytes = MAX_BODY_BYTES,
		.request_timeout_ms = REQUEST_TIMEOUT_MS,
		.metrics = standin->metrics,
	};

	standin->web = web_create(&options);
	return standin->web != NULL;
}

static void standin_free(struct standin *standin)
{
	metrics_destroy(standin->metrics);
	g_free(standin->settings);
	g_free(standin);
}

struct standin *standin_start(uv_loop_t *loop, int argc, char **argv)
{
	const struct standin_command *command = standin_find(argv[0]);
	struct standin *standin;
	char *address = NULL;
	bool ok;

	if (!command)
		return NULL;
	standin = g_new0(struct standin, 1);
	standin->loop = loop;
	standin->command = command;
	standin->settings = g_malloc0(command->settings_size);
	standin->metrics = metrics_create();
	list_init(&standin->routes);
	list_init(&standin->delayed);
	ok = parse(standin, argc, argv, &address) && open_web(standin, address);
	g_free(address);
	if (!ok) {
		standin_free(standin);
		return NULL;
	}
	standin->state = command->create(standin, standin->settings);
	web_route(standin->web, "/fault", on_fault, standin);
	return standin;
}

void standin_stop(struct standin *standin)
{
	struct list *pos, *tmp;

	web_destroy(standin->web);
	standin->command->destroy(standin->state);
	list_for_each_safe (pos, tmp, &standin->routes)
		g_free(list_entry(pos, struct route, link));
	uv_run(standin->loop, UV_RUN_NOWAIT);
	standin_free(standin);
}

const char *standin_address(const struct standin *standin)
{
	return web_address(standin->web);
}

uv_loop_t *standin_loop(const struct standin *standin)
{
	return standin->loop;
}

struct web *standin_web(const struct standin *standin)
{
	return standin->web;
}
