/*
 * Online requests: reads callers' requests, and ends them.
 */
#include <stdio.h>
#include <string.h>

#include "accounts.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/request_key.h"
#include "online_request.h"
#include "platform/codec.h"
#include "refusals.h"
#include "waiting_room.h"

/* Time without data after which another server is looked for that can go on with a
 * repeatable stream, in ms. */
#define STREAM_STALL_MS 1200

uint64_t gateway_request_now(const struct gateway_request *request)
{
	return uv_now(request->gateway->loop);
}

static void on_timer_closed(uv_handle_t *handle)
{
	struct gateway_request *request = handle->data;

	g_free(request->route);
	g_free(request->service);
	g_free(request->picked_service);
	g_free(request->account);
	g_free(request->inputs.server);
	g_free(request->inputs.software);
	g_free(request->resumes);
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

struct stream_name gateway_request_stream(const struct gateway_request *request)
{
	struct stream_name name = {
		.attempt = request->taken_up ? request->resumes : request->id,
		.route = request->route,
		.picks = request->picks,
		.service = request->picked_service,
		.timeout_ms = request->timeout_ms,
	};

	return name;
}

void gateway_request_call_ended(struct gateway_request *request)
{
	request->call = NULL;
	if (request->competes)
		waiting_room_note_ended(request->gateway->waiting_room,
					request);
}

static void cancel_call(struct gateway_request *request)
{
	if (!request->call)
		return;
	server_call_cancel(request->call);
	gateway_request_call_ended(request);
	if (request->offer)
		server_call_cancel(request->offer);
	request->offer = NULL;
}

/* Size of the buffer for the inputs of a choice as text, in bytes. */
#define INPUTS_TEXT_BYTES 192

static bool is_success(const struct gateway_request *request)
{
	return request->status >= 200 && request->status < 300 &&
	       !request->broken;
}

static void log_outcome(const struct gateway_request *request,
			const char *outcome)
{
	const struct choice_inputs *inputs = &request->inputs;
	uint64_t now = gateway_request_now(request);
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
	log_event(success ? "request" : "request_failed",
		  success ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  "request=%s route=%s account=%s version=%" PRIu64
		  " outcome=\"%s\" status=%d offers=%zu runs=%u rank=%d "
		  "overdue=%d waited_ms=%" PRIu64 " server=%s software=%s "
		  "resumes=%s key=%016" PRIx64 " first_ms=%" PRIu64
		  " ms=%" PRIu64 " left_ms=%" PRId64 " last_event=%" PRId64
		  " framing=%s rest=%zu %s",
		  request->id, request->route,
		  request->account ? request->account : "-",
		  request->config_version, outcome, request->status,
		  request->tried_nr, request->runs, request->rank,
		  request->overdue,
		  (request->sent_ms ? request->sent_ms : now) -
			  request->arrived_ms,
		  inputs->server ? inputs->server : "-",
		  inputs->software ? inputs->software : "-",
		  request->resumes ? request->resumes : "-",
		  request->prompt.request,
		  request->first_ms ? request->first_ms - request->arrived_ms :
				      0,
		  now - request->arrived_ms,
		  (int64_t)(request->deadline_ms - now), request->last_event,
		  http_link_framing_name(request->framing), rest, text);
}

static void count_outcome(const struct gateway_request *request,
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

void gateway_request_finish(struct gateway_request *request,
			    const char *outcome)
{
	if (request->ended)
		return;
	request->ended = true;
	log_outcome(request, outcome);
	count_outcome(request, outcome);
	cancel_call(request);
	waiting_room_leave(request->gateway->waiting_room, request);
	if (request->question)
		stream_question_cancel(request->question);
	if (request->web)
		web_on_close(request->web, NULL, NULL);
	list_remove(&request->link);
	uv_timer_stop(&request->timer);
	uv_close((uv_handle_t *)&request->timer, on_timer_closed);
}

void gateway_request_refuse(struct gateway_request *request, int status,
			    double retry_s, const char *reason)
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
	gateway_request_finish(request, reason);
}

void gateway_request_fail(struct gateway_request *request, int status,
			  const char *reason)
{
	if (web_answer_started(request->web)) {
		request->broken = true;
		web_stream_end(request->web, false);
	} else {
		request->status = status;
		web_problem(request->web, status, "The request failed", "%s",
			    reason);
	}
	gateway_request_finish(request, reason);
}

static void on_caller_disconnect(void *ctx, bool sent)
{
	struct gateway_request *request = ctx;

	(void)sent;
	request->web = NULL;
	gateway_request_finish(request, "the caller left");
}

bool gateway_request_can_retry(const struct gateway_request *request)
{
	return request->repeatable && request->runs < request->runs_max &&
	       request->tried_nr < SERVERS_TRIED_MAX &&
	       request->deadline_ms >
		       gateway_request_now(request) + SEND_TIME_LEFT_MIN_MS;
}

static void on_timer(uv_timer_t *timer);

/* Returns the loop time at which another server is looked for, in ms. */
static uint64_t stall_ms(const struct gateway_request *request)
{
	return MAX(request->last_data_ms + STREAM_STALL_MS, request->look_ms);
}

void gateway_request_arm_timer(struct gateway_request *request)
{
	uint64_t now = gateway_request_now(request);
	uint64_t expires_ms = request->deadline_ms;

	/* Watches for a stall only if the request can be retried: otherwise the
	 * timer would expire repeatedly without delay. */
	if (request->offer)
		expires_ms = MIN(expires_ms, request->offer_until_ms);
	else if (request->streaming && gateway_request_can_retry(request))
		expires_ms = MIN(expires_ms, stall_ms(request));
	uv_timer_start(&request->timer, on_timer,
		       expires_ms > now ? expires_ms - now : 0, 0);
}

static void on_timer(uv_timer_t *timer)
{
	struct gateway_request *request = timer->data;
	uint64_t now = gateway_request_now(request);

	if (now >= request->deadline_ms) {
		if (!request->runs)
			gateway_request_refuse(request, 503,
					       NO_SERVER_RETRY_AFTER_S,
					       "the time to run it is over");
		else
			gateway_request_fail(request, 504,
					     "the time to run it is over");
		return;
	}
	if (request->offer && now >= request->offer_until_ms)
		gateway_request_offer_over(request);
	else if (!request->offer && request->streaming &&
		 now >= stall_ms(request) && gateway_request_can_retry(request))
		gateway_request_look_elsewhere(request);
	else
		gateway_request_arm_timer(request);
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

static char *forwarded_fields(const struct gateway *gateway,
			      const struct web_request *web)
{
	const char *connection = web_header(web, "connection");
	GString *out = g_string_new(NULL);
	const char *name, *value;
	size_t i;

	for (i = 0; i < web_headers_nr(web); i++) {
		web_header_at(web, i, &name, &value);
		if (server_call_forwards_field(gateway, name) &&
		    !is_connection_option(connection, name))
			g_string_append_printf(out, "%s: %s\r\n", name, value);
	}
	return g_string_free(out, FALSE);
}

static void read_deadline(struct gateway_request *request,
			  const struct route *route)
{
	const char *text =
		web_header(request->web, platform_fields.deadline_ms);
	uint64_t ms = text ? g_ascii_strtoull(text, NULL, 10) : 0;

	if (request->competes && ms)
		request->overdue =
			ms + request->objective_ms <
			waiting_room_note_time(request->gateway->waiting_room,
					       route->name, ms);
	if (!ms || (route->timeout_ms && ms > route->timeout_ms))
		ms = route->timeout_ms;
	request->deadline_ms = request->arrived_ms + ms;
}

/* Prompt tokens that a server reads in the time in which it writes one. */
#define PROMPT_TOKENS_PER_STEP 32
/* Largest size that counts, in tokens: turns among accounts are given in small steps, and
 * callers can name any number. */
#define WORK_MAX 4096
/* Ranks of accounts, and of routes within one rank of accounts, that are told apart. */
#define ACCOUNT_RANKS 10000
#define ROUTE_RANKS 100

/* Sets how long the response may be, and how the request waits where callers compete. */
static void read_size(struct gateway_request *request,
		      const struct route *route, const struct account *account)
{
	struct platform_tokens tokens = platform_tokens_parse(
		web_header(request->web, platform_fields.token_count));

	/* An event holds a token or more. */
	request->events_max = tokens.output_max;
	request->competes = request->gateway->config->accounts != NULL;
	request->rank = MIN(route->priority, ROUTE_RANKS - 1);
	if (account)
		request->rank +=
			MIN(account->rank, ACCOUNT_RANKS - 1) * ROUTE_RANKS;
	request->work = 1 + MIN(tokens.output_max, WORK_MAX) +
			MIN(tokens.prompt / PROMPT_TOKENS_PER_STEP, WORK_MAX);
}

static void read_last_event(struct gateway_request *request)
{
	const char *text = web_header(request->web, platform_fields.last_event);

	request->last_event =
		text ? (int64_t)g_ascii_strtoull(text, NULL, 10) : -1;
	request->taken_up = text;
	if (text)
		request->resumes = g_strdup(
			web_header(request->web, platform_fields.resumes));
}

static void read_identity(struct gateway_request *request)
{
	struct request_identity identity = {
		.method = request->method,
		.host = request->host,
		.target = request->target,
		.account = request->account ?
				   request->account :
				   web_header(request->web,
					      platform_fields.credentials),
		.body = request->body,
		.body_len = request->body_len,
	};

	request->prompt.request = request_key(&identity);
}

static void count_taken_up(const struct gateway_request *request,
			   const char *origin)
{
	char *labels = g_strdup_printf("origin=\"%s\"", origin);

	counter_add(metrics_counter(request->gateway->metrics,
				    "briarplank_streams_taken_up_total",
				    labels),
		    1);
	g_free(labels);
}

/* Has the stream go on at the service of the version that began it. Returns false if that
 * service is known not to serve the route. */
static bool follow_software(struct gateway_request *request,
			    const struct route *route)
{
	const char *service = fleet_software_service(request->gateway->fleet,
						     request->software);

	if (!service)
		return true;
	if (!route || !route_has_service(route, service))
		return false;
	g_free(request->service);
	request->service = g_strdup(service);
	return true;
}

static void on_software(void *ctx, uint64_t software)
{
	struct gateway_request *request = ctx;
	const struct route *route =
		route_table_find(request->gateway->config, request->host,
				 web_path(request->web));

	request->question = NULL;
	count_taken_up(request, software ? "asked" : "unknown");
	request->software = software;
	if (!software)
		gateway_request_refuse(request, 503, STREAM_LOST_RETRY_AFTER_S,
				       "the software version that began the "
				       "stream isn't known");
	else if (!follow_software(request, route))
		gateway_request_refuse(request, 503, STREAM_LOST_RETRY_AFTER_S,
				       "the service that began the stream no "
				       "longer serves the route");
	else
		gateway_request_dispatch(request);
}

/* Takes up a stream for its caller, at the software version that began it. */
static void take_up(struct gateway_request *request, const struct route *route)
{
	struct stream_share *streams = request->gateway->streams;
	struct stream_name name = gateway_request_stream(request);

	request->software = stream_share_find(streams, &name);
	if (!request->software || !follow_software(request, route) ||
	    fleet_software_gone(request->gateway->fleet, request->service,
				request->software)) {
		request->question =
			stream_share_ask(streams, &name, request->software,
					 on_software, request);
		return;
	}
	count_taken_up(request, "known");
	gateway_request_dispatch(request);
}

/* Picks the service. That of a stream that is taken up is the one that began it; the weights
 * name it only if they are those of that time. */
static void pick_service(struct gateway_request *request,
			 const struct route *route)
{
	const char *attempt =
		request->taken_up ? request->resumes : request->id;
	const char *picked =
		attempt ? route_pick_service(route, hash_string(attempt, 0)) :
			  route_sole_service(route);

	request->picks = route_picks_hash(route);
	request->picked_service = g_strdup(picked);
	if (!picked)
		picked = route_pick_service(route, hash_string(request->id, 0));
	request->service = g_strdup(picked);
}

static void online_request_begin(struct gateway *gateway,
				 struct web_request *web,
				 const struct route *route,
				 const struct account *account, const char *id,
				 uint64_t arrived_ms)
{
	struct gateway_request *request = g_new0(struct gateway_request, 1);

	list_append(&gateway->requests, &request->link);
	request->gateway = gateway;
	request->web = web;
	request->route = g_strdup(route->name);
	request->id = g_strdup(id);
	request->account = account ? g_strdup(account->name) : NULL;
	request->timeout_ms = route->timeout_ms;
	read_last_event(request);
	pick_service(request, route);
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
	request->fields = forwarded_fields(gateway, web);
	request->body = web_body(web, &request->body_len);
	read_identity(request);
	request->response_fields = g_ptr_array_new_with_free_func(g_free);
	request->buffer = g_string_new(NULL);
	request->events = event_stream_create();
	request->arrived_ms = arrived_ms;
	read_size(request, route, account);
	read_deadline(request, route);
	uv_timer_init(gateway->loop, &request->timer);
	request->timer.data = request;
	web_on_close(web, on_caller_disconnect, request);
	gateway_request_arm_timer(request);
	if (gateway_stops_before(gateway, request->deadline_ms)) {
		gateway_request_refuse(request, 503, STOPPING_RETRY_AFTER_S,
				       STOPPING_REASON);
		return;
	}
	fleet_note_demand(gateway->fleet, request->service,
			  request->arrived_ms);
	if (request->kind == ROUTE_STREAM && request->taken_up)
		take_up(request, route);
	else
		gateway_request_dispatch(request);
}

void online_requests_stop(struct gateway *gateway)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &gateway->requests) {
		struct gateway_request *request =
			list_entry(pos, struct gateway_request, link);

		if (request->runs)
			gateway_request_fail(request, 502, STOPPING_REASON);
		else
			gateway_request_refuse(request, 503,
					       STOPPING_RETRY_AFTER_S,
					       STOPPING_REASON);
	}
}

void online_requests_each(struct gateway *gateway,
			  void (*fn)(void *ctx,
				     const struct online_request_info *info),
			  void *ctx)
{
	struct list *pos;

	list_for_each (pos, &gateway->requests) {
		const struct gateway_request *request =
			list_entry(pos, struct gateway_request, link);
		struct online_request_info info = {
			.id = request->id,
			.route = request->route,
			.service = request->service,
			.server = request->inputs.server,
			.streaming = request->streaming,
			.age_ms = gateway_request_now(request) -
				  request->arrived_ms,
		};

		fn(ctx, &info);
	}
}

void online_request_start(struct gateway *gateway, struct web_request *web,
			  const char *path, uint64_t arrived_ms)
{
	const struct route *route;
	const struct account *account;
	enum caller_kind caller;
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
	caller = accounts_identify(gateway->accounts, web, route, &account);
	if (caller == CALLER_UNKNOWN || caller == CALLER_UNSURE) {
		accounts_turn_away(gateway->accounts, web, caller);
		return;
	}
	if (!id) {
		web_problem(web, 400, "No request id",
			    "the header field %s is missing",
			    platform_fields.request_id);
		return;
	}
	if (route->kind == ROUTE_BATCH)
		job_calls_submit(gateway, web, route, account);
	else
		online_request_begin(gateway, web, route, account, id,
				     arrived_ms);
}
