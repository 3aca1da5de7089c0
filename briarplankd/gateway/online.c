/*
 * Online requests: chooses a server for a caller's request, retries on another
 * server where the route permits it, and relays the response.
 */
#include <stdio.h>
#include <string.h>

#include "batch.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/event_stream.h"
#include "core/request_key.h"
#include "directory.h"
#include "evidence_share.h"
#include "peers.h"
#include "platform/codec.h"
#include "refusals.h"
#include "server_call.h"

/* Maximum number of servers that one request is sent to, including those that
 * refuse it. */
#define SERVERS_TRIED_MAX 4
/* Retry-After while no server is usable, in s: about one heartbeat. */
#define NO_SERVER_RETRY_AFTER_S 0.6
/* Retry-After while this node has just started and reads the configuration and
 * the servers, in s. */
#define STARTING_RETRY_AFTER_S 0.2
/* Bounds of Retry-After under overload, in s. */
#define RETRY_AFTER_MIN_S 0.15
#define RETRY_AFTER_MAX_S 1.5
/* A request is neither sent nor retried with less time than this left until its
 * deadline, in ms. */
#define SEND_TIME_LEFT_MIN_MS 30
/* Time without data after which a repeatable stream resumes on another server,
 * in ms. */
#define STREAM_STALL_MS 1200

/* Outcomes of a request whose response ended before it was complete, and of one
 * whose response is unsigned or has a gap in its events. */
#define BROKE_OFF "the answer broke off"
#define SPOILED "the answer was spoiled"
/* Number of bytes of a stream that may wait for the caller to read. */
#define STREAM_QUEUE_MAX (4 << 20)

/* State on which the last choice of a server was based, for the log. */
struct choice_inputs {
	char *server;
	/* Expected wait for a slot, and time to the first byte, in ms. */
	double wait_ms;
	double first_ms;
	/* Number of requests at the server from this node and from other
	 * entries. */
	unsigned own[WORK_CLASSES];
	unsigned others[WORK_CLASSES];
	/* Number of usable servers of the service. */
	unsigned usable;
	/* Age of the oldest load report of another entry, in ms. */
	uint64_t peers_age_ms;
};

struct online_request {
	struct list link;
	struct gateway *gateway;
	struct web_request *web;
	/* Name of the route, copied when the request arrived. */
	char *route;
	char *service;
	enum route_kind kind;
	bool repeatable;
	uint32_t objective_ms;
	unsigned runs_max;
	struct prompt prompt;
	char *id;
	char *method;
	char *target;
	char *host;
	/* Header fields to forward, as text. */
	char *fields;
	const char *body;
	size_t body_len;
	uint64_t arrived_ms;
	/* The earlier of the caller's deadline and the route's timeout. */
	uint64_t deadline_ms;
	/* Version of the configuration that holds the route. */
	uint64_t config_version;
	struct choice_inputs inputs;
	/* Hashes of the servers that the request was sent to. */
	uint64_t tried[SERVERS_TRIED_MAX];
	size_t tried_nr;
	/* Number of servers that may have run the request. */
	unsigned runs;
	struct server_call *call;
	uv_timer_t timer;
	/* Time of the last data from the server. */
	uint64_t last_data_ms;
	/* Status and framing of the current response. */
	int status;
	enum http_link_framing framing;
	/* The response is relayed as it arrives, not buffered. */
	bool streaming;
	/* The stream has a gap in its events, or was broken off towards the
	 * caller. */
	bool broken;
	bool ended;
	/* Alternating names and values, sent with the complete response. */
	GPtrArray *response_fields;
	GString *buffer;
	struct event_stream *events;
	/* Id of the last event that the caller has; -1 for none. */
	int64_t last_event;
	/* Time at which the first byte of the body arrived; 0 before it. */
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
	prompt_clear(&request->prompt);
	g_ptr_array_free(request->response_fields, TRUE);
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

/* Size of the buffer for the inputs of a choice as text, in bytes. */
#define INPUTS_TEXT_BYTES 192

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
	char text[INPUTS_TEXT_BYTES];
	bool success = is_success(request);
	size_t rest;

	event_stream_rest(request->events, &rest);

	snprintf(text, sizeof(text),
		 "expected_ms=%.0f wait_ms=%.0f online=%u+%u batch=%u+%u "
		 "usable=%u peers_age_ms=%" PRIu64,
		 inputs->first_ms, inputs->wait_ms, inputs->own[WORK_ONLINE],
		 inputs->others[WORK_ONLINE], inputs->own[WORK_BATCH],
		 inputs->others[WORK_BATCH], inputs->usable,
		 inputs->peers_age_ms);
	log_event(
		success ? "request" : "request_failed",
		success ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		"request=%s route=%s version=%" PRIu64
		" outcome=\"%s\" status=%d offers=%zu runs=%u server=%s "
		"key=%016" PRIx64 " first_ms=%" PRIu64 " ms=%" PRIu64
		" left_ms=%" PRId64 " last_event=%" PRId64
		" framing=%s rest=%zu %s",
		request->id, request->route, request->config_version, outcome,
		request->status, request->tried_nr, request->runs,
		inputs->server ? inputs->server : "-", request->prompt.request,
		request->first_ms ? request->first_ms - request->arrived_ms : 0,
		now - request->arrived_ms,
		(int64_t)(request->deadline_ms - now), request->last_event,
		http_link_framing_name(request->framing), rest, text);
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

/* Logs the outcome and frees the request after it was answered. */
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
		   const char *reason)
{
	struct refusal refusal = {
		.wall_ms = gateway_wall_ms(),
		.id = request->id,
		.service = request->service,
		.reason = (char *)reason,
		.status = status,
	};

	refusals_add(request->gateway->refusals, &refusal);
	request->status = status;
	gateway_refuse(request->web, status, retry_s, "%s", reason);
	finish(request, reason);
}

/* Ends a request that a server may have run. */
static void fail(struct online_request *request, int status, const char *reason)
{
	if (web_answer_started(request->web)) {
		request->broken = true;
		web_stream_end(request->web, false);
	} else {
		request->status = status;
		web_problem(request->web, status, "The request failed", "%s",
			    reason);
	}
	finish(request, reason);
}

static void on_caller_disconnect(void *ctx, bool sent)
{
	struct online_request *request = ctx;

	(void)sent;
	request->web = NULL;
	finish(request, "the caller left");
}

static bool can_retry(const struct online_request *request)
{
	return request->repeatable && request->runs < request->runs_max &&
	       request->tried_nr < SERVERS_TRIED_MAX &&
	       request->deadline_ms > now_ms(request) + SEND_TIME_LEFT_MIN_MS;
}

static void on_timer(uv_timer_t *timer);

static void arm_timer(struct online_request *request)
{
	uint64_t now = now_ms(request);
	uint64_t expires_ms = request->deadline_ms;

	/* Watches for a stall only if the request can be retried: otherwise the
	 * timer would expire repeatedly without delay. */
	if (request->streaming && can_retry(request))
		expires_ms = MIN(expires_ms,
				 request->last_data_ms + STREAM_STALL_MS);
	uv_timer_start(&request->timer, on_timer,
		       expires_ms > now ? expires_ms - now : 0, 0);
}

static void on_timer(uv_timer_t *timer)
{
	struct online_request *request = timer->data;
	uint64_t now = now_ms(request);

	if (now >= request->deadline_ms) {
		if (!request->runs)
			refuse(request, 503, NO_SERVER_RETRY_AFTER_S,
			       "the time to run it is over");
		else
			fail(request, 504, "the time to run it is over");
		return;
	}
	if (request->streaming &&
	    now - request->last_data_ms >= STREAM_STALL_MS &&
	    can_retry(request)) {
		cancel_call(request);
		event_stream_reset(request->events);
		dispatch(request);
		return;
	}
	arm_timer(request);
}

/* Functions that handle the responses of servers. */

static void save_response_fields(struct online_request *request,
				 const struct http_link_head *head)
{
	size_t i;

	/* Drops the fields of an earlier, incomplete response. */
	g_ptr_array_set_size(request->response_fields, 0);
	for (i = 0; i < head->fields_nr; i++) {
		if (server_call_hop_by_hop_field(head->fields[i].name))
			continue;
		g_ptr_array_add(request->response_fields,
				g_strdup(head->fields[i].name));
		g_ptr_array_add(request->response_fields,
				g_strdup(head->fields[i].value));
	}
}

static void add_response_fields(struct online_request *request)
{
	guint i;

	for (i = 0; i + 1 < request->response_fields->len; i += 2)
		web_add_header(
			request->web,
			g_ptr_array_index(request->response_fields, i),
			g_ptr_array_index(request->response_fields, i + 1));
}

static void retry_elsewhere(struct online_request *request, const char *reason)
{
	if (!can_retry(request)) {
		fail(request, 502, reason);
		return;
	}
	event_stream_reset(request->events);
	g_string_truncate(request->buffer, 0);
	request->broken = false;
	dispatch(request);
}

/* Ends the server call at once, as nothing that follows can be used. */
static void reject_response(struct online_request *request, const char *reason)
{
	server_call_reject(request->call, reason);
	request->call = NULL;
	retry_elsewhere(request, reason);
}

static void on_head(void *ctx, const struct server_response *answer)
{
	struct online_request *request = ctx;
	bool success = answer->status >= 200 && answer->status < 300;

	request->last_data_ms = now_ms(request);
	request->framing = answer->head->framing;
	/* The caller of a resumed stream already has the head of the first
	 * response. */
	if (web_answer_started(request->web)) {
		if (!success || !answer->is_signed)
			reject_response(request, SPOILED);
		return;
	}
	request->status = answer->status;
	if (success && !answer->is_signed) {
		reject_response(request, SPOILED);
		return;
	}
	if (!success && answer->status >= 500 && can_retry(request))
		return;
	save_response_fields(request, answer->head);
	if (!success || request->kind != ROUTE_STREAM)
		return;
	request->streaming = true;
	add_response_fields(request);
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

	request->last_data_ms = now_ms(request);
	if (!request->streaming) {
		g_string_append_len(request->buffer, data, (gssize)len);
		return;
	}
	event_stream_feed(request->events, data, len, on_event, request);
	if (request->ended)
		return;
	if (request->broken)
		reject_response(request, SPOILED);
	else if (event_stream_overlong(request->events))
		reject_response(request, "the answer has bytes but no events");
	else if (web_stream_queued(request->web) > STREAM_QUEUE_MAX)
		fail(request, 502, "the caller reads too slowly");
}

static void complete_response(struct online_request *request)
{
	const char *rest;
	size_t rest_len;

	if (!request->first_ms)
		request->first_ms = now_ms(request);
	if (request->streaming) {
		rest = event_stream_rest(request->events, &rest_len);
		if (rest_len)
			web_stream_write(request->web, rest, rest_len);
		/* The write may have detected that the caller disconnected. */
		if (request->ended)
			return;
		web_stream_end(request->web, true);
	} else {
		add_response_fields(request);
		web_answer(request->web, request->status, NULL,
			   request->buffer->str, request->buffer->len);
	}
	finish(request, "completed");
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
	case SERVER_CALL_COMPLETE:
		if (request->streaming &&
		    event_stream_broke_off(request->events,
					   request->framing ==
						   HTTP_LINK_UNTIL_CLOSE))
			retry_elsewhere(request, BROKE_OFF);
		else if (!success && request->status >= 500 &&
			 can_retry(request))
			retry_elsewhere(request, "the server failed");
		else
			complete_response(request);
		return;
	default:
		retry_elsewhere(request, end == SERVER_CALL_TRUNCATED ?
						 BROKE_OFF :
						 "no answer came");
		return;
	}
}

/* Functions that choose a server and send it a request. */

static void send_to_server(struct online_request *request,
			   struct server *server)
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
		.prompt = &request->prompt,
		.fields = request->fields,
		.body = request->body,
		.body_len = request->body_len,
		.has_body = request->body_len ||
			    strcmp(request->method, "GET") != 0,
		.deadline_ms = request->deadline_ms - now,
		.last_event = request->last_event,
		.recent_connection_only = !request->repeatable,
		.events =
			request->kind == ROUTE_STREAM ? request->events : NULL,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = request,
	};

	request->tried[request->tried_nr++] = server->hash;
	request->runs++;
	request->last_data_ms = now;
	request->call = server_call_start(&options);
	arm_timer(request);
	/* Lets batch items yield to the request at once. */
	batch_load_changed(request->gateway->batch);
}

/* Returns the Retry-After under the limits of servers, in s, or 0 if the service
 * has no server with a limit. */
static double retry_after_limits(const struct online_request *request)
{
	double ms = fleet_retry_after_ms(request->gateway->fleet,
					 request->service, now_ms(request));

	return ms > 0 ? MAX(ms / 1000, RETRY_AFTER_MIN_S) : 0;
}

static double retry_after(const struct online_request *request,
			  const struct fleet_choice *choice)
{
	double excess_ms = choice->first_ms - request->objective_ms / 2.0;
	double limited_s = retry_after_limits(request);

	if (limited_s > 0)
		return limited_s;
	return CLAMP(excess_ms / 1000, RETRY_AFTER_MIN_S, RETRY_AFTER_MAX_S);
}

static void record_choice_inputs(struct online_request *request,
				 const struct fleet_choice *choice,
				 uint64_t now)
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

/* Ends a request that is quarantined, or whose prompt has a quarantined part. */
static void end_quarantined(struct online_request *request,
			    const struct quarantine_verdict *verdict)
{
	const char *reason = "the quarantined parts are not known yet";

	if (verdict->crashes)
		reason = is_request_key(verdict->key) ?
				 "the request crashes servers" :
				 "a part of its prompt crashes servers";

	log_event("quarantine", LOG_LEVEL_WARN,
		  "request=%s %s=%016" PRIx64 " crashes=%u parts=\"%s\"",
		  request->id, quarantine_key_label(verdict->key), verdict->key,
		  verdict->crashes,
		  request->prompt.text ? request->prompt.text : "");
	if (request->runs)
		fail(request, 502, reason);
	else
		refuse(request, 503, (double)verdict->retry_after_ms / 1000,
		       reason);
}

/* Refuses a request for which no server can be chosen. */
static void refuse_without_server(struct online_request *request)
{
	struct gateway *gateway = request->gateway;
	double limited_s = retry_after_limits(request);

	if (!directory_loaded(gateway->directory))
		refuse(request, 503, STARTING_RETRY_AFTER_S,
		       "no server can run it");
	else if (limited_s > 0)
		refuse(request, 503, limited_s,
		       "the servers have reached their limits");
	else
		refuse(request, 503, NO_SERVER_RETRY_AFTER_S,
		       "no server can run it");
}

static void dispatch(struct online_request *request)
{
	struct quarantine_verdict verdict;
	struct fleet_query query = {
		.service = request->service,
		.now_ms = now_ms(request),
		.prefix_hash = prompt_hash(&request->prompt),
		.tried = request->tried,
		.tried_nr = request->tried_nr,
	};
	struct fleet_choice choice = { 0 };
	bool has_time =
		request->deadline_ms > query.now_ms + SEND_TIME_LEFT_MIN_MS;
	double waited_ms = (double)(query.now_ms - request->arrived_ms);

	if (!evidence_share_allows(request->gateway->evidence, &request->prompt,
				   &verdict)) {
		end_quarantined(request, &verdict);
		return;
	}
	if (has_time && request->tried_nr < SERVERS_TRIED_MAX)
		choice = fleet_choose(request->gateway->fleet, &query);
	record_choice_inputs(request, &choice, query.now_ms);
	if (!choice.server) {
		if (request->runs)
			fail(request, 502, "no further server could run it");
		else
			refuse_without_server(request);
		return;
	}
	/* A response after the objective is of little use to the caller, who
	 * can retry earlier than that. */
	if (!request->runs && choice.wait_ms > 0 &&
	    waited_ms + choice.first_ms > request->objective_ms) {
		refuse(request, 503, retry_after(request, &choice),
		       "all servers are busy");
		return;
	}
	send_to_server(request, choice.server);
}

/* Functions that read the requests of callers. */

/* Tells whether a Connection field lists the name of another field. */
static bool is_connection_option(const char *connection, const char *name)
{
	char **names = connection ? g_strsplit(connection, ",", -1) : NULL;
	bool found = false;
	char **option;

	for (option = names; option && *option && !found; option++)
		found = !g_ascii_strcasecmp(g_strstrip(*option), name);
	g_strfreev(names);
	return found;
}

static char *forwarded_fields(const struct web_request *web)
{
	const char *connection = web_header(web, "connection");
	GString *out = g_string_new(NULL);
	const char *name, *value;
	size_t i;

	for (i = 0; i < web_headers_nr(web); i++) {
		web_header_at(web, i, &name, &value);
		if (server_call_forwards_field(name) &&
		    !is_connection_option(connection, name))
			g_string_append_printf(out, "%s: %s\r\n", name, value);
	}
	return g_string_free(out, FALSE);
}

static void read_deadline(struct online_request *request,
			  const struct route *route)
{
	const char *text =
		web_header(request->web, platform_fields.deadline_ms);
	uint64_t ms = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	if (!ms || (route->timeout_ms && ms > route->timeout_ms))
		ms = route->timeout_ms;
	request->deadline_ms = request->arrived_ms + ms;
}

static void read_last_event(struct online_request *request)
{
	const char *text = web_header(request->web, platform_fields.last_event);

	request->last_event =
		text ? (int64_t)g_ascii_strtoull(text, NULL, 10) : -1;
}

static void read_identity(struct online_request *request)
{
	struct request_identity identity = {
		.method = request->method,
		.host = request->host,
		.target = request->target,
		.account = web_header(request->web, platform_fields.account),
		.body = request->body,
		.body_len = request->body_len,
	};

	request->prompt.request = request_key(&identity);
}

static void online_request_begin(struct gateway *gateway,
				 struct web_request *web,
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
	platform_prompt_parse(web_header(web, platform_fields.prompt_prefix),
			      &request->prompt);
	request->method = g_strdup(web_method(web));
	request->target = g_strdup(web_target(web));
	request->host = g_strdup(web_header(web, "host"));
	request->fields = forwarded_fields(web);
	request->body = web_body(web, &request->body_len);
	read_identity(request);
	request->response_fields = g_ptr_array_new_with_free_func(g_free);
	request->buffer = g_string_new(NULL);
	request->events = event_stream_create();
	request->arrived_ms = uv_now(gateway->loop);
	read_deadline(request, route);
	read_last_event(request);
	uv_timer_init(gateway->loop, &request->timer);
	request->timer.data = request;
	web_on_close(web, on_caller_disconnect, request);
	arm_timer(request);
	fleet_note_demand(gateway->fleet, request->service,
			  request->arrived_ms);
	dispatch(request);
}

void online_requests_each(struct gateway *gateway,
			  void (*fn)(void *ctx,
				     const struct online_request_info *info),
			  void *ctx)
{
	struct list *pos;

	list_for_each (pos, &gateway->requests) {
		const struct online_request *request =
			list_entry(pos, struct online_request, link);
		struct online_request_info info = {
			.id = request->id,
			.route = request->route,
			.service = request->service,
			.server = request->inputs.server,
			.streaming = request->streaming,
			.age_ms = now_ms(request) - request->arrived_ms,
		};

		fn(ctx, &info);
	}
}

void online_request_start(struct gateway *gateway, struct web_request *web,
			  const char *path)
{
	const struct route *route;
	const char *host = web_header(web, "host");
	const char *id = web_header(web, platform_fields.request_id);

	if (!gateway->config) {
		log_event("request_failed", LOG_LEVEL_WARN,
			  "request=%s status=503 no configuration has been "
			  "read yet",
			  id ? id : "-");
		gateway_refuse(web, 503, STARTING_RETRY_AFTER_S,
			       "no configuration has been read yet");
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
			    "no route of host %s matches %s", host ? host : "-",
			    path);
		return;
	}
	if (!id) {
		web_problem(web, 400, "No request id",
			    "the header field %s is missing",
			    platform_fields.request_id);
		return;
	}
	if (route->kind == ROUTE_BATCH)
		job_calls_submit(gateway, web, route);
	else
		online_request_begin(gateway, web, route, id);
}
