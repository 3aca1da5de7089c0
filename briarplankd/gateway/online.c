#include <stdio.h>
#include <string.h>

#include "batch.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/event_stream.h"
#include "peers.h"
#include "platform/codec.h"
#include "refusals.h"
#include "server_call.h"

/* Servers that one request is offered to, refusals counted. */
#define OFFERS_MAX 4
/* Retry-After while no server can be used, in s: about a heartbeat. */
#define NO_SERVER_RETRY_S 0.6
/* Bounds of the Retry-After under load, in s. */
#define RETRY_MIN_S 0.15
#define RETRY_MAX_S 1.5
/* Time left below which a request isn't sent once more, in ms. */
#define RESEND_LEFT_MS 30
/* Pause in a stream after which a repeatable one goes on elsewhere, in ms. */
#define STALL_MS 1200

/* What the last choice of a server was made from, for the log. */
struct choice_inputs {
	char *server;
	double wait_ms;
	double first_ms;
	unsigned own[WORK_CLASSES];
	unsigned others[WORK_CLASSES];
	unsigned usable;
	/* Age of the oldest report of another entry, in ms. */
	uint64_t peers_age_ms;
};

struct online_request {
	struct list link;
	struct gateway *gateway;
	struct web_request *web;
	/* What the route said when the request came. */
	char *route;
	char *service;
	enum route_kind kind;
	bool repeatable;
	uint32_t objective_ms;
	unsigned runs_max;
	uint64_t prefix_hash;
	char *id;
	char *method;
	char *target;
	char *host;
	char *fields;
	const char *body;
	size_t body_len;
	uint64_t arrived_ms;
	/* When the caller, or the route, has waited long enough. */
	uint64_t deadline_ms;
	/* Version of the configuration that gave the route. */
	uint64_t config_version;
	struct choice_inputs inputs;
	/* Hashes of the servers that it was offered to. */
	uint64_t tried[OFFERS_MAX];
	size_t tried_nr;
	/* Servers that may have run it. */
	unsigned runs;
	struct server_call *call;
	uv_timer_t timer;
	uint64_t heard_ms;
	/* The answer under way. */
	int status;
	bool streaming;
	bool broken;
	bool ended;
	/* Names and values by turns; they wait until the answer is whole. */
	GPtrArray *answer_fields;
	GString *buffer;
	struct event_stream *events;
	int64_t last_event;
	uint64_t first_ms;
};

static void dispatch(struct online_request *request);

static uint64_t now_ms(const struct online_request *request)
{
	return uv_now(request->gateway->loop);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct online_request *request = handle->data;

	g_free(request->route);
	g_free(request->service);
	g_free(request->inputs.server);
	g_free(request->id);
	g_free(request->method);
	g_free(request->target);
	g_free(request->host);
	g_free(request->fields);
	g_ptr_array_free(request->answer_fields, TRUE);
	g_string_free(request->buffer, TRUE);
	event_stream_destroy(request->events);
	g_free(request);
}

static void cancel_call(struct online_request *request)
{
	if (request->call)
		server_call_cancel(request->call);
	request->call = NULL;
}

/* Longest list of the inputs of a choice, in bytes. */
#define INPUTS_BYTES 192

static bool is_success(const struct online_request *request)
{
	return request->status >= 200 && request->status < 300 &&
	       !request->broken;
}

static void log_outcome(const struct online_request *request,
			const char *outcome)
{
	const struct choice_inputs *inputs = &request->inputs;
	uint64_t now = now_ms(request);
	char text[INPUTS_BYTES];
	bool good = is_success(request);

	snprintf(text, sizeof(text),
		 "expected_ms=%.0f wait_ms=%.0f online=%u+%u batch=%u+%u "
		 "usable=%u peers_age_ms=%" PRIu64,
		 inputs->first_ms, inputs->wait_ms, inputs->own[WORK_ONLINE],
		 inputs->others[WORK_ONLINE], inputs->own[WORK_BATCH],
		 inputs->others[WORK_BATCH], inputs->usable,
		 inputs->peers_age_ms);
	log_event(good ? "request" : "request_failed",
		  good ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  "request=%s route=%s version=%" PRIu64
		  " outcome=\"%s\" status=%d offers=%zu runs=%u server=%s "
		  "first_ms=%" PRIu64 " ms=%" PRIu64 " left_ms=%" PRId64
		  " last_event=%" PRId64 " %s",
		  request->id, request->route, request->config_version, outcome,
		  request->status, request->tried_nr, request->runs,
		  inputs->server ? inputs->server : "-",
		  request->first_ms ? request->first_ms - request->arrived_ms :
				      0,
		  now - request->arrived_ms,
		  (int64_t)(request->deadline_ms - now), request->last_event,
		  text);
}

static void count_outcome(const struct online_request *request,
			  const char *outcome)
{
	struct metrics *metrics = request->gateway->metrics;
	char *labels = g_strdup_printf("outcome=\"%s\"", outcome);

	counter_add(
		metrics_counter(metrics, "briarplank_requests_total", labels),
		1);
	g_free(labels);
	if (request->first_ms)
		histogram_record(
			metrics_histogram(metrics,
					  "briarplank_first_byte_seconds", ""),
			(request->first_ms - request->arrived_ms) * 1000);
}

/* Logs the outcome and frees the request; its answer is with the web. */
static void finish(struct online_request *request, const char *outcome)
{
	if (request->ended)
		return;
	request->ended = true;
	log_outcome(request, outcome);
	count_outcome(request, outcome);
	cancel_call(request);
	if (request->web)
		web_on_close(request->web, NULL, NULL);
	list_remove(&request->link);
	uv_timer_stop(&request->timer);
	uv_close((uv_handle_t *)&request->timer, on_timer_closed);
}

static void refuse(struct online_request *request, int status, double retry_s,
		   const char *why)
{
	struct refusal refusal = {
		.wall_ms = gateway_wall_ms(),
		.id = request->id,
		.service = request->service,
		.reason = (char *)why,
		.status = status,
	};

	refusals_note(request->gateway->refusals, &refusal);
	request->status = status;
	gateway_refuse(request->web, status, retry_s, "%s", why);
	finish(request, why);
}

/* Ends a request of which it isn't known that nothing ran. */
static void fail(struct online_request *request, int status, const char *why)
{
	if (web_begun(request->web)) {
		request->broken = true;
		web_stream_end(request->web, false);
	} else {
		request->status = status;
		web_problem(request->web, status, "The request failed", "%s",
			    why);
	}
	finish(request, why);
}

static void on_caller_gone(void *ctx, bool sent)
{
	struct online_request *request = ctx;

	(void)sent;
	request->web = NULL;
	finish(request, "the caller left");
}

static bool may_run_again(const struct online_request *request)
{
	return request->repeatable && request->runs < request->runs_max &&
	       request->tried_nr < OFFERS_MAX &&
	       request->deadline_ms > now_ms(request) + RESEND_LEFT_MS;
}

static void on_timer(uv_timer_t *timer);

static void arm_timer(struct online_request *request)
{
	uint64_t now = now_ms(request);
	uint64_t at = request->deadline_ms;

	/* A stall matters only where something can follow from it: a time that
	 * has passed would come again at once, for ever. */
	if (request->streaming && may_run_again(request))
		at = MIN(at, request->heard_ms + STALL_MS);
	uv_timer_start(&request->timer, on_timer, at > now ? at - now : 0, 0);
}

static void on_timer(uv_timer_t *timer)
{
	struct online_request *request = timer->data;
	uint64_t now = now_ms(request);

	if (now >= request->deadline_ms) {
		if (!request->runs)
			refuse(request, 503, NO_SERVER_RETRY_S,
			       "the time to run it is over");
		else
			fail(request, 504, "the time to run it is over");
		return;
	}
	if (request->streaming && now - request->heard_ms >= STALL_MS &&
	    may_run_again(request)) {
		cancel_call(request);
		event_stream_reset(request->events);
		dispatch(request);
		return;
	}
	arm_timer(request);
}

/* The answer of a server. */

static void keep_answer_fields(struct online_request *request,
			       const struct http_link_head *head)
{
	size_t i;

	/* An answer that broke off leaves nothing in the one that counts. */
	g_ptr_array_set_size(request->answer_fields, 0);
	for (i = 0; i < head->fields_nr; i++) {
		if (server_call_connection_field(head->fields[i].name))
			continue;
		g_ptr_array_add(request->answer_fields,
				g_strdup(head->fields[i].name));
		g_ptr_array_add(request->answer_fields,
				g_strdup(head->fields[i].value));
	}
}

static void add_answer_fields(struct online_request *request)
{
	guint i;

	for (i = 0; i + 1 < request->answer_fields->len; i += 2)
		web_add_field(request->web,
			      g_ptr_array_index(request->answer_fields, i),
			      g_ptr_array_index(request->answer_fields, i + 1));
}

static void on_head(void *ctx, const struct server_answer *answer)
{
	struct online_request *request = ctx;
	bool success = answer->status >= 200 && answer->status < 300;

	request->heard_ms = now_ms(request);
	/* A run that goes on keeps the head of the first. */
	if (web_begun(request->web)) {
		request->broken = !success || !answer->is_signed;
		return;
	}
	request->status = answer->status;
	request->broken = success && !answer->is_signed;
	if (request->broken ||
	    (!success && answer->status >= 500 && may_run_again(request)))
		return;
	keep_answer_fields(request, answer->head);
	if (!success || request->kind != ROUTE_STREAM)
		return;
	request->streaming = true;
	add_answer_fields(request);
	web_stream_begin(request->web, answer->status, NULL);
	arm_timer(request);
}

static void on_event(void *ctx, const struct stream_event *event)
{
	struct online_request *request = ctx;

	if (request->broken || request->ended)
		return;
	if (event->has_id) {
		if (request->last_event >= 0 &&
		    event->id != (uint64_t)request->last_event + 1) {
			request->broken = true;
			return;
		}
		request->last_event = (int64_t)event->id;
	}
	if (!request->first_ms)
		request->first_ms = now_ms(request);
	web_stream_write(request->web, event->raw, event->raw_len);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct online_request *request = ctx;

	request->heard_ms = now_ms(request);
	if (request->streaming)
		event_stream_feed(request->events, data, len, on_event,
				  request);
	else
		g_string_append_len(request->buffer, data, (gssize)len);
}

static void answer_whole(struct online_request *request)
{
	const char *rest;
	size_t rest_len;

	if (!request->first_ms)
		request->first_ms = now_ms(request);
	if (request->streaming) {
		rest = event_stream_rest(request->events, &rest_len);
		if (rest_len)
			web_stream_write(request->web, rest, rest_len);
		/* The write may have found that the caller left. */
		if (request->ended)
			return;
		web_stream_end(request->web, true);
	} else {
		add_answer_fields(request);
		web_answer(request->web, request->status, NULL,
			   request->buffer->str, request->buffer->len);
	}
	finish(request, "completed");
}

static void go_on_elsewhere(struct online_request *request, const char *why)
{
	if (!may_run_again(request)) {
		fail(request, 502, why);
		return;
	}
	event_stream_reset(request->events);
	g_string_truncate(request->buffer, 0);
	request->broken = false;
	dispatch(request);
}

static void on_end(void *ctx, enum server_call_end end)
{
	struct online_request *request = ctx;
	bool success = request->status >= 200 && request->status < 300;

	request->call = NULL;
	switch (end) {
	case SERVER_CALL_NOT_RUN:
		request->runs--;
		dispatch(request);
		return;
	case SERVER_CALL_WHOLE:
		if (request->broken)
			go_on_elsewhere(request, "the answer was spoiled");
		else if (!success && request->status >= 500 &&
			 may_run_again(request))
			go_on_elsewhere(request, "the server failed");
		else
			answer_whole(request);
		return;
	default:
		go_on_elsewhere(request, end == SERVER_CALL_CUT ?
						 "the answer broke off" :
						 "no answer came");
		return;
	}
}

/* The way to a server. */

static void send_to(struct online_request *request, struct server *server)
{
	uint64_t now = now_ms(request);
	struct server_call_options options = {
		.gateway = request->gateway,
		.server = server,
		.class = WORK_ONLINE,
		.method = request->method,
		.target = request->target,
		.host = request->host,
		.request_id = request->id,
		.fields = request->fields,
		.body = request->body,
		.body_len = request->body_len,
		.has_body = request->body_len ||
			    strcmp(request->method, "GET") != 0,
		.deadline_ms = request->deadline_ms - now,
		.last_event = request->last_event,
		.careful = !request->repeatable,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = request,
	};

	request->tried[request->tried_nr++] = server->hash;
	request->runs++;
	request->heard_ms = now;
	request->call = server_call_start(&options);
	arm_timer(request);
	/* Items on the server give way at once. */
	batch_load_changed(request->gateway->batch);
}

static double retry_after(const struct online_request *request,
			  const struct fleet_choice *choice)
{
	double late_ms = choice->first_ms - request->objective_ms / 2.0;

	return CLAMP(late_ms / 1000, RETRY_MIN_S, RETRY_MAX_S);
}

static void note_inputs(struct online_request *request,
			const struct fleet_choice *choice, uint64_t now)
{
	struct choice_inputs *inputs = &request->inputs;
	struct gateway *gateway = request->gateway;

	inputs->usable = fleet_usable(gateway->fleet, request->service, now);
	inputs->peers_age_ms = peers_age_ms(gateway->peers);
	inputs->wait_ms = choice->wait_ms;
	inputs->first_ms = choice->first_ms;
	if (!choice->server)
		return;
	g_free(inputs->server);
	inputs->server = g_strdup(choice->server->id);
	memcpy(inputs->own, choice->server->own, sizeof(inputs->own));
	memcpy(inputs->others, choice->server->others, sizeof(inputs->others));
}

static void dispatch(struct online_request *request)
{
	struct fleet_query query = {
		.service = request->service,
		.now_ms = now_ms(request),
		.prefix_hash = request->prefix_hash,
		.tried = request->tried,
		.tried_nr = request->tried_nr,
	};
	struct fleet_choice choice = { 0 };
	bool in_time = request->deadline_ms > query.now_ms + RESEND_LEFT_MS;
	double waited = (double)(query.now_ms - request->arrived_ms);

	if (in_time && request->tried_nr < OFFERS_MAX)
		choice = fleet_choose(request->gateway->fleet, &query);
	note_inputs(request, &choice, query.now_ms);
	if (!choice.server) {
		if (request->runs)
			fail(request, 502, "no further server could run it");
		else
			refuse(request, 503, NO_SERVER_RETRY_S,
			       "no server can run it");
		return;
	}
	/* Late is worth little to the caller, who may come back in time. */
	if (!request->runs && choice.wait_ms > 0 &&
	    waited + choice.first_ms > request->objective_ms) {
		refuse(request, 503, retry_after(request, &choice),
		       "all servers are busy");
		return;
	}
	send_to(request, choice.server);
}

/* The request of a caller. */

/* Tells whether the Connection field names another one. */
static bool is_named_by(const char *connection, const char *name)
{
	char **names = connection ? g_strsplit(connection, ",", -1) : NULL;
	bool found = false;
	char **at;

	for (at = names; at && *at && !found; at++)
		found = !g_ascii_strcasecmp(g_strstrip(*at), name);
	g_strfreev(names);
	return found;
}

static char *forwarded_fields(const struct web_request *web)
{
	const char *connection = web_field(web, "connection");
	GString *out = g_string_new(NULL);
	const char *name, *value;
	size_t i;

	for (i = 0; i < web_fields_nr(web); i++) {
		web_field_at(web, i, &name, &value);
		if (server_call_passes_field(name) &&
		    !is_named_by(connection, name))
			g_string_append_printf(out, "%s: %s\r\n", name, value);
	}
	return g_string_free(out, FALSE);
}

/* Hash of the parts that requests share: all but the last. */
static uint64_t prefix_hash(const char *prefix)
{
	const char *last = prefix ? strrchr(prefix, ',') : NULL;

	return last ? hash_bytes(prefix, (size_t)(last - prefix), 0) : 0;
}

static void read_deadline(struct online_request *request,
			  const struct route *route)
{
	const char *text = web_field(request->web, platform_fields.deadline_ms);
	uint64_t ms = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	if (!ms || (route->timeout_ms && ms > route->timeout_ms))
		ms = route->timeout_ms;
	request->deadline_ms = request->arrived_ms + ms;
}

static void read_last_event(struct online_request *request)
{
	const char *text = web_field(request->web, platform_fields.last_event);

	request->last_event =
		text ? (int64_t)g_ascii_strtoull(text, NULL, 10) : -1;
}

static void request_begin(struct gateway *gateway, struct web_request *web,
			  const struct route *route, const char *id)
{
	struct online_request *request = g_new0(struct online_request, 1);

	list_append(&gateway->requests, &request->link);
	request->gateway = gateway;
	request->web = web;
	request->route = g_strdup(route->name);
	request->id = g_strdup(id);
	request->service =
		g_strdup(route_pick_service(route, hash_string(id, 0)));
	request->config_version = gateway->config->version;
	request->kind = route->kind;
	request->repeatable = route_repeatable(route);
	request->objective_ms = route->objective_ms;
	request->runs_max = route->attempts_max;
	request->prefix_hash =
		prefix_hash(web_field(web, platform_fields.prompt_prefix));
	request->method = g_strdup(web_method(web));
	request->target = g_strdup(web_target(web));
	request->host = g_strdup(web_field(web, "host"));
	request->fields = forwarded_fields(web);
	request->body = web_body(web, &request->body_len);
	request->answer_fields = g_ptr_array_new_with_free_func(g_free);
	request->buffer = g_string_new(NULL);
	request->events = event_stream_create();
	request->arrived_ms = uv_now(gateway->loop);
	read_deadline(request, route);
	read_last_event(request);
	uv_timer_init(gateway->loop, &request->timer);
	request->timer.data = request;
	web_on_close(web, on_caller_gone, request);
	arm_timer(request);
	dispatch(request);
}

void online_requests_each(struct gateway *gateway,
			  void (*fn)(void *ctx, const struct online_view *view),
			  void *ctx)
{
	struct list *pos;

	list_for_each (pos, &gateway->requests) {
		const struct online_request *request =
			list_entry(pos, struct online_request, link);
		struct online_view view = {
			.id = request->id,
			.route = request->route,
			.service = request->service,
			.server = request->inputs.server,
			.streaming = request->streaming,
			.age_ms = now_ms(request) - request->arrived_ms,
		};

		fn(ctx, &view);
	}
}

void online_request_start(struct gateway *gateway, struct web_request *web,
			  const char *path)
{
	const struct route *route;
	const char *host = web_field(web, "host");
	const char *id = web_field(web, platform_fields.request_id);

	if (!gateway->config) {
		gateway_refuse(web, 503, NO_SERVER_RETRY_S,
			       "no configuration is known yet");
		return;
	}
	route = host ? route_table_find(gateway->config, host, path) : NULL;
	if (!route) {
		log_event("request_failed", LOG_LEVEL_WARN,
			  "request=%s host=%s path=%s no route in version "
			  "%" PRIu64,
			  id ? id : "-", host ? host : "-", path,
			  gateway->config->version);
		web_problem(web, 404, "No such route",
			    "no route of %s begins %s", host ? host : "-",
			    path);
		return;
	}
	if (!id) {
		web_problem(web, 400, "No request id",
			    "the field %s is missing",
			    platform_fields.request_id);
		return;
	}
	if (route->kind == ROUTE_BATCH)
		job_calls_submit(gateway, web, route);
	else
		request_begin(gateway, web, route, id);
}
