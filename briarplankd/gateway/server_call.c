/*
 * Calls to backend servers: header fields, connection pools, and the updates of
 * the fleet's record of each server.
 */
#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "evidence_share.h"
#include "limits.h"
#include "peers.h"
#include "platform/codec.h"
#include "net/http_pool.h"
#include "server_call.h"

/* Timeout for establishing a connection, in ms; it allows for a few round
 * trips between regions. A request whose connection failed is known not to
 * have run. */
#define CONNECT_TIMEOUT_MS 250
/* TCP_USER_TIMEOUT: time in which sent bytes must be acknowledged, in ms. */
#define UNACKED_TIMEOUT_MS 1500
/* Idle connections kept per server: as many as its slots, for a burst from one
 * node that fills all of them. */
#define IDLE_CONNECTIONS_MAX 8
/* Idle time after which a connection isn't reused, in ms, for repeatable and
 * for other requests. At most half of the server's own idle timeout is used:
 * beyond that timeout, the server may close the connection while a request is
 * on its way. */
#define REUSE_LIMIT_MS 6000
#define REUSE_LIMIT_UNREPEATABLE_MS 3000

/* Maximum size of one response that isn't a stream, and of all unfinished ones
 * of the node together, in bytes. */
#define RESPONSE_BYTES_MAX (8 << 20)
#define RESPONSES_BYTES_MAX (32 << 20)

/* Media type of server-sent events. */
#define EVENTS_TYPE "text/event-stream"

/* Bytes of the prompt's parts that a line shows. */
#define LOGGED_PARTS_BYTES 200

/* Time for which a server may send the answer to a request after an answer that may be a
 * late copy of an earlier one, in ms. */
#define COPY_WAIT_MS 250

struct server_call {
	struct server_call_options options;
	struct http_pool *pool;
	struct http_link *http;
	/* Server of the call; valid until fleet_request_ended(), as the fleet
	 * keeps a server that has requests of this node. */
	struct server *server;
	uint64_t started_ms;
	/* All slots were taken when the request was sent. */
	bool queued;
	/* The head of the response arrived. */
	bool head_received;
	/* The server states that it did not run the request. */
	bool not_run;
	int status;
	/* Status of an answer that may be a late copy, and the timer that ends the wait
	 * for another answer; 0 and NULL without one. */
	int held_status;
	uv_timer_t *copy_timer;
	enum http_link_framing framing;
	/* Bytes of the body so far, unless it is a stream. */
	size_t body_bytes;
	/* How far the body is. */
	struct answer_progress progress;
};

static const char *const end_names[] = {
	[SERVER_CALL_COMPLETE] = "whole",
	[SERVER_CALL_NOT_RUN] = "not-run",
	[SERVER_CALL_NO_RESPONSE] = "unknown",
	[SERVER_CALL_TRUNCATED] = "cut",
};

const char *server_call_end_name(enum server_call_end end)
{
	return end_names[end];
}

static bool is_in_list(const char *name, const char *const *names, size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		if (!g_ascii_strcasecmp(names[i], name))
			return true;
	}
	return false;
}

bool server_call_hop_by_hop_field(const char *name)
{
	static const char *const names[] = {
		"connection",
		"content-length",
		"keep-alive",
		"proxy-connection",
		"te",
		"trailer",
		"transfer-encoding",
		"upgrade",
	};

	return is_in_list(name, names, G_N_ELEMENTS(names));
}

bool server_call_forwards_field(const struct gateway *gateway, const char *name)
{
	const char *const gateway_fields[] = {
		"expect",
		"host",
		platform_fields.deadline_ms,
		platform_fields.expected_server,
		platform_fields.last_event,
		platform_fields.request_id,
	};

	const char *const account_fields[] = {
		platform_fields.account,
		platform_fields.credentials,
	};

	if (gateway->config && gateway->config->accounts &&
	    is_in_list(name, account_fields, G_N_ELEMENTS(account_fields)))
		return false;
	return !server_call_hop_by_hop_field(name) &&
	       !is_in_list(name, gateway_fields, G_N_ELEMENTS(gateway_fields));
}

static struct http_pool *server_pool(const struct server_call_options *options)
{
	struct server *server = options->server;
	struct http_pool_options pool = {
		.loop = options->gateway->loop,
		.address = server->address,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.unacked_timeout_ms = UNACKED_TIMEOUT_MS,
		.idle_max = IDLE_CONNECTIONS_MAX,
		.reuse_limit_ms = REUSE_LIMIT_MS,
	};

	if (!server->connections)
		server->connections = http_pool_create(&pool);
	return server->connections;
}

bool server_connection_idle(const struct server *server)
{
	return server->connections && http_pool_idle(server->connections);
}

void server_connections_close(struct server *server)
{
	struct http_pool *pool = server->connections;

	if (!pool)
		return;
	server->connections = NULL;
	http_pool_close(pool);
	http_pool_unref(pool);
}

static void read_load(struct server_call *call,
		      const struct http_link_head *head)
{
	const char *load = http_link_head_field(head, platform_fields.load);
	struct gateway *gateway = call->options.gateway;
	uint64_t now = uv_now(gateway->loop);
	struct platform_load parsed;

	if (!load || !platform_load_parse(load, &parsed))
		return;
	fleet_load_reported(call->server, parsed.running, parsed.waiting, now);
	if (parsed.slowdown <= 0)
		return;
	fleet_slowdown_reported(call->server, parsed.slowdown, now);
	fleet_begin_pacing(gateway->fleet);
}

/* Notes that the server shuts down soon. */
static void read_leaving(struct server_call *call,
			 const struct http_link_head *head)
{
	const char *leaving =
		http_link_head_field(head, platform_fields.leaving);

	if (!leaving || !strcmp(leaving, "0") || call->server->leaving)
		return;
	log_event("server", LOG_LEVEL_INFO,
		  "id=%s says that it leaves, request=%s", call->server->id,
		  call->options.request_id);
	fleet_mark_leaving(call->options.gateway->fleet, call->server);
}

/* Notes the limit that the server names, or that it names none any more. */
static void read_rate_limit(struct server_call *call,
			    const struct http_link_head *head)
{
	struct gateway *gateway = call->options.gateway;
	const char *text =
		http_link_head_field(head, platform_fields.rate_limit);
	char *source;

	if (!text && !call->server->rate_heard_ms)
		return;
	source = g_strdup_printf("request=%s", call->options.request_id);
	limits_note(gateway->limits, call->server,
		    platform_rate_limit_parse(text), uv_now(gateway->loop),
		    source);
	g_free(source);
}

static uint64_t incarnation_of(const struct server *server)
{
	return hash_combine(server->hash, server->started_ms);
}

static void call_finish(struct server_call *call, enum http_link_end link_end);

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void stop_copy_timer(struct server_call *call)
{
	if (!call->copy_timer)
		return;
	uv_close((uv_handle_t *)call->copy_timer, on_timer_closed);
	call->copy_timer = NULL;
}

/* Tells whether an answer belongs to the request of the call. Servers name the request in
 * all of their answers; bytes that name none may have come late for an earlier request. */
static bool is_own_answer(const struct server_call *call,
			  const struct http_link_head *head)
{
	const char *echo =
		http_link_head_field(head, platform_fields.request_id);

	if (echo ? !strcmp(echo, call->options.request_id) :
		   !http_link_used_before(call->http))
		return true;
	log_event("server_answer", LOG_LEVEL_WARN,
		  "server=%s request=%s skipped the response to %s status=%d",
		  call->server->id, call->options.request_id, echo ? echo : "-",
		  head->status);
	return false;
}

static void note_end(struct server_call *call, enum http_link_end link_end,
		     uint64_t now);

/* Ends a call whose answer was held: no other one came. */
static void end_held(struct server_call *call)
{
	struct http_link_head head = {
		.status = call->held_status,
		.framing = HTTP_LINK_LENGTH,
	};
	struct server_response answer = { .status = head.status,
					  .head = &head };

	http_link_close(call->http);
	call->head_received = true;
	call->status = head.status;
	call->framing = head.framing;
	call->options.on_head(call->options.ctx, &answer);
	note_end(call, HTTP_LINK_COMPLETE, uv_now(call->options.gateway->loop));
	call_finish(call, HTTP_LINK_COMPLETE);
}

static void on_copy_timer(uv_timer_t *timer)
{
	end_held(timer->data);
}

/* Holds an answer that may be a late copy of an earlier one to the same request; returns
 * whether it does. */
static bool hold_copy(struct server_call *call,
		      const struct http_link_head *head)
{
	if (call->held_status || !call->options.earlier_status ||
	    head->status != call->options.earlier_status)
		return false;
	log_event("server_answer", LOG_LEVEL_INFO,
		  "server=%s request=%s status=%d may be a late copy",
		  call->server->id, call->options.request_id, head->status);
	call->held_status = head->status;
	call->copy_timer = g_new0(uv_timer_t, 1);
	uv_timer_init(call->options.gateway->loop, call->copy_timer);
	call->copy_timer->data = call;
	uv_timer_start(call->copy_timer, on_copy_timer, COPY_WAIT_MS, 0);
	return true;
}

/* Notes that the server answered: it had not ended before the request came. */
static void note_alive(struct server_call *call, int status, uint64_t now)
{
	unsigned refuted_nr = quarantine_note_alive(
		evidence_share_quarantine(call->options.gateway->evidence),
		incarnation_of(call->server), call->started_ms, now);

	if (refuted_nr)
		log_event("quarantine", LOG_LEVEL_INFO,
			  "server=%s request=%s status=%d answered: its crash "
			  "is refuted for keys=%u",
			  call->server->id, call->options.request_id, status,
			  refuted_nr);
}

/* Notes what the head of an answer says about the server. A status of 421 comes from
 * another server, which has got the address since. */
static void read_server_state(struct server_call *call,
			      const struct http_link_head *head, uint64_t now)
{
	if (head->status == 421)
		return;
	read_leaving(call, head);
	read_rate_limit(call, head);
	read_load(call, head);
	note_alive(call, head->status, now);
}

/* Tells whether the head names another media type than that of events; its parameters
 * don't matter. */
static bool names_other_type(const struct http_link_head *head)
{
	const char *type = http_link_head_field(head, "content-type");

	return type && (g_ascii_strncasecmp(type, EVENTS_TYPE,
					    strlen(EVENTS_TYPE)) != 0 ||
			!strchr("; \t", type[strlen(EVENTS_TYPE)]));
}

static bool on_head(void *ctx, const struct http_link_head *head)
{
	struct server_call *call = ctx;
	uint64_t now = uv_now(call->options.gateway->loop);
	struct server_response answer = { .status = head->status,
					  .head = head };

	fleet_data_received(call->server, now);
	if (!is_own_answer(call, head) || hold_copy(call, head))
		return false;
	stop_copy_timer(call);
	read_server_state(call, head, now);
	call->head_received = true;
	call->status = head->status;
	call->framing = head->framing;
	call->not_run = http_link_head_field(head, platform_fields.not_run) ||
			head->status == 421;
	if (call->not_run) {
		http_pool_discard(call->pool, call->http);
		call_finish(call, HTTP_LINK_COMPLETE);
		return true;
	}
	fleet_first_byte_received(
		call->server,
		call->queued ? -1 : (double)(now - call->started_ms), now);
	answer.is_signed =
		http_link_head_field(head, platform_fields.signature) != NULL;
	answer.not_events = names_other_type(head);
	call->options.on_head(call->options.ctx, &answer);
	return true;
}

static bool is_stream(const struct server_call *call)
{
	return call->options.events && call->status >= 200 &&
	       call->status < 300;
}

/* Counts bytes of a body; returns false if the response is too long. */
static bool count_body(struct server_call *call, size_t len)
{
	struct gateway *gateway = call->options.gateway;

	if (is_stream(call))
		return true;
	call->body_bytes += len;
	gateway->response_bytes += len;
	return call->body_bytes <= RESPONSE_BYTES_MAX &&
	       gateway->response_bytes <= RESPONSES_BYTES_MAX;
}

static void on_end(void *ctx, enum http_link_end link_end);

static void note_answer(struct server_call *call, enum quarantine_answer answer,
			uint64_t now)
{
	quarantine_note_answer(
		evidence_share_quarantine(call->options.gateway->evidence),
		call->options.prompt, answer, now);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct server_call *call = ctx;

	uint64_t now = uv_now(call->options.gateway->loop);

	fleet_data_received(call->server, now);
	if (answer_progress_add(&call->progress, now))
		note_answer(call, ANSWER_GOES_ON, now);
	if (!count_body(call, len)) {
		log_event("server_answer", LOG_LEVEL_WARN,
			  "server=%s request=%s response is too long bytes=%zu "
			  "of all=%zu",
			  call->server->id, call->options.request_id,
			  call->body_bytes,
			  call->options.gateway->response_bytes);
		on_end(call, HTTP_LINK_TRUNCATED);
		return;
	}
	call->options.on_body(call->options.ctx, data, len);
}

static enum server_call_end call_end_of(const struct server_call *call,
					enum http_link_end end)
{
	if (end == HTTP_LINK_NOT_SENT || call->not_run)
		return SERVER_CALL_NOT_RUN;
	if (end == HTTP_LINK_COMPLETE)
		return SERVER_CALL_COMPLETE;
	return call->head_received ? SERVER_CALL_TRUNCATED :
				     SERVER_CALL_NO_RESPONSE;
}

static enum fleet_result fleet_result_of(const struct server_call *call,
					 enum http_link_end link_end,
					 enum server_call_end end)
{
	if (link_end == HTTP_LINK_NOT_SENT)
		return FLEET_UNREACHABLE;
	if (end == SERVER_CALL_NOT_RUN)
		return FLEET_REFUSED;
	if (end == SERVER_CALL_COMPLETE && call->status < 500)
		return FLEET_SUCCEEDED;
	return FLEET_FAILED;
}

static void call_free(struct server_call *call)
{
	call->options.gateway->response_bytes -= call->body_bytes;
	stop_copy_timer(call);
	http_pool_unref(call->pool);
	g_free((char *)call->options.request_id);
	g_free(call);
}

static void count_failure(const struct server_call *call, const char *end)
{
	char *labels = g_strdup_printf("end=\"%s\",framing=\"%s\"", end,
				       http_link_framing_name(call->framing));

	counter_add(metrics_counter(call->options.gateway->metrics,
				    "briarplank_server_calls_failed_total",
				    labels),
		    1);
	g_free(labels);
}

/* Time since the first byte of the body, in ms; -1 before it. */
static int64_t begun_for_ms(const struct server_call *call)
{
	uint64_t now = uv_now(call->options.gateway->loop);

	return call->progress.begun_ms ?
		       (int64_t)(now - call->progress.begun_ms) :
		       -1;
}

/* Tells whether a stream that the connection completed lacks its end. */
static bool stream_broke_off(const struct server_call *call)
{
	return is_stream(call) &&
	       event_stream_broke_off(call->options.events,
				      call->framing == HTTP_LINK_UNTIL_CLOSE);
}

/* Notes what the end of a call says about its request and the parts of its prompt. */
static void note_end(struct server_call *call, enum http_link_end link_end,
		     uint64_t now)
{
	struct quarantine *quarantine =
		evidence_share_quarantine(call->options.gateway->evidence);
	struct quarantine_crash crash = {
		.server = incarnation_of(call->server),
		.now_ms = now,
		.wall_ms = gateway_wall_ms(),
		.sent_ms = MAX(call->started_ms,
			       http_link_connected_ms(call->http)),
		.round_trip_ms = http_link_round_trip_ms(call->http),
		.data_ms = call->server->data_ms,
		.answer_begun = call->head_received,
		.answer_went_on = call->progress.went_on,
	};
	bool complete = link_end == HTTP_LINK_COMPLETE;
	bool broke_off = link_end == HTTP_LINK_NO_HEAD ||
			 link_end == HTTP_LINK_TRUNCATED ||
			 (complete && stream_broke_off(call));

	if (call->not_run)
		return;
	if (broke_off && !http_link_timed_out(call->http))
		quarantine_note_crash(quarantine, call->options.prompt, &crash);
	else if (complete && call->framing != HTTP_LINK_UNTIL_CLOSE &&
		 call->status >= 200 && call->status < 300)
		note_answer(call, answer_progress_whole(&call->progress), now);
	else if (complete && (call->framing != HTTP_LINK_UNTIL_CLOSE ||
			      call->progress.begun_ms))
		note_answer(call, ANSWER_SURVIVED, now);
}

/* Reports how a call ended whose connection was given back or closed. */
static void call_finish(struct server_call *call, enum http_link_end link_end)
{
	enum server_call_end end = call_end_of(call, link_end);
	uint64_t now = uv_now(call->options.gateway->loop);

	if (end == SERVER_CALL_NOT_RUN)
		quarantine_note_not_run(
			evidence_share_quarantine(
				call->options.gateway->evidence),
			call->options.prompt);
	if (end != SERVER_CALL_COMPLETE) {
		count_failure(call, end_names[end]);
		log_event("server_call", LOG_LEVEL_WARN,
			  "request=%s server=%s status=%d framing=%s end=%s "
			  "link=%d ms=%" PRIu64 " begun_ms=%" PRId64
			  " key=%016" PRIx64 " parts=\"%.*s\"",
			  call->options.request_id, call->server->id,
			  call->status, http_link_framing_name(call->framing),
			  end_names[end], link_end, now - call->started_ms,
			  begun_for_ms(call), call->options.prompt->request,
			  LOGGED_PARTS_BYTES,
			  call->options.prompt->text ?
				  call->options.prompt->text :
				  "");
	}
	fleet_request_ended(call->server, call->options.class,
			    fleet_result_of(call, link_end, end),
			    (double)(now - call->started_ms), now);
	peers_load_changed(call->options.gateway->peers);
	call->options.on_end(call->options.ctx, end);
	call_free(call);
}

static void on_end(void *ctx, enum http_link_end link_end)
{
	struct server_call *call = ctx;

	if (call->held_status && !call->head_received) {
		end_held(call);
		return;
	}
	if (link_end == HTTP_LINK_COMPLETE)
		http_pool_release(call->pool, call->http);
	else
		http_link_close(call->http);
	note_end(call, link_end, uv_now(call->options.gateway->loop));
	call_finish(call, link_end);
}

static const struct http_link_handlers handlers = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static GString *write_request(const struct server_call_options *options)
{
	GString *out = g_string_sized_new(1024 + options->body_len);

	g_string_append_printf(out, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n",
			       options->method, options->target, options->host,
			       platform_fields.request_id, options->request_id);
	g_string_append_printf(
		out, "%s: %" PRIu64 "\r\n%s: %s\r\n",
		platform_fields.deadline_ms, options->deadline_ms,
		platform_fields.expected_server, options->server->id);
	if (options->last_event >= 0)
		g_string_append_printf(out, "%s: %" PRId64 "\r\n",
				       platform_fields.last_event,
				       options->last_event);
	if (options->account)
		g_string_append_printf(out, "%s: %s\r\n",
				       platform_fields.account,
				       options->account);
	g_string_append(out, options->fields);
	if (options->has_body)
		g_string_append_printf(out, "Content-Length: %zu\r\n",
				       options->body_len);
	g_string_append(out, "\r\n");
	g_string_append_len(out, options->body, (gssize)options->body_len);
	return out;
}

struct server_call *server_call_start(const struct server_call_options *options)
{
	struct server_call *call = g_new0(struct server_call, 1);
	struct server *server = options->server;
	uint64_t key = 0;

	/* All runs of an item have the same id. */
	if (options->class == WORK_BATCH)
		key = hash_string(options->request_id, 0);
	call->options = *options;
	call->server = server;
	call->started_ms = uv_now(options->gateway->loop);
	call->queued = server->own[WORK_ONLINE] + server->own[WORK_BATCH] +
			       server->others[WORK_ONLINE] +
			       server->others[WORK_BATCH] >=
		       server->slots;
	fleet_request_sent(server, options->class, call->started_ms);
	quarantine_note_sent(
		evidence_share_quarantine(options->gateway->evidence),
		options->prompt);
	peers_load_changed(options->gateway->peers);
	call->pool = http_pool_ref(server_pool(options));
	call->http = http_pool_acquire(call->pool,
				       options->recent_connection_only ?
					       REUSE_LIMIT_UNREPEATABLE_MS :
					       REUSE_LIMIT_MS,
				       key);
	if (key)
		http_link_add_key(call->http, key);
	call->options.request_id = g_strdup(options->request_id);
	http_link_send(call->http, write_request(options), &handlers, call);
	return call;
}

/* Ends a call without on_end and closes its connection. */
static void call_drop(struct server_call *call, enum fleet_result result)
{
	uint64_t now = uv_now(call->options.gateway->loop);

	http_link_close(call->http);
	fleet_request_ended(call->server, call->options.class, result,
			    (double)(now - call->started_ms), now);
	peers_load_changed(call->options.gateway->peers);
	call_free(call);
}

void server_call_pause(struct server_call *call)
{
	http_link_pause(call->http, true);
}

void server_call_resume(struct server_call *call)
{
	http_link_pause(call->http, false);
}

bool server_call_sent(const struct server_call *call)
{
	return http_link_connected_ms(call->http) != 0;
}

void server_call_cancel(struct server_call *call)
{
	call_drop(call, FLEET_CANCELLED);
}

void server_call_reject(struct server_call *call, const char *reason)
{
	log_event("server_call", LOG_LEVEL_WARN,
		  "request=%s server=%s status=%d framing=%s end=rejected "
		  "reason=\"%s\" ms=%" PRIu64,
		  call->options.request_id, call->server->id, call->status,
		  http_link_framing_name(call->framing), reason,
		  uv_now(call->options.gateway->loop) - call->started_ms);
	count_failure(call, "rejected");
	call_drop(call, FLEET_FAILED);
}
