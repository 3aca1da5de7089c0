/*
 * Relays the response of a server to the caller of an online request, and goes on at
 * another server if it breaks off.
 */
#include "online_request.h"

/* Outcomes of a request whose response ended before it was complete, and of one
 * whose response is unsigned or has a gap in its events. */
#define BROKE_OFF "the answer broke off"
#define SPOILED "the answer was spoiled"
#define OVERLONG "the answer is longer than the request allows"
/* Number of bytes of a stream that may wait for the caller to read, and number of bytes
 * that may wait for all callers of the node if this one's are more than a few. */
#define STREAM_QUEUE_MAX (4 << 20)
#define QUEUES_MAX (48 << 20)
#define QUEUE_FEW_BYTES (64 << 10)

static void save_response_fields(struct gateway_request *request,
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

static void add_response_fields(struct gateway_request *request)
{
	guint i;

	for (i = 0; i + 1 < request->response_fields->len; i += 2)
		web_add_header(
			request->web,
			g_ptr_array_index(request->response_fields, i),
			g_ptr_array_index(request->response_fields, i + 1));
}

static void retry_elsewhere(struct gateway_request *request, const char *reason)
{
	if (!gateway_request_can_retry(request)) {
		gateway_request_fail(request, 502, reason);
		return;
	}
	event_stream_reset(request->events);
	g_string_truncate(request->buffer, 0);
	request->broken = false;
	gateway_request_dispatch(request);
}

/* Ends the server call at once, as nothing that follows can be used. */
static void reject_response(struct gateway_request *request, const char *reason)
{
	server_call_reject(request->call, reason);
	gateway_request_call_ended(request);
	retry_elsewhere(request, reason);
}

/* Tells whether a status promises a caller that its request has not run. */
static bool promises_not_run(int status)
{
	return status == 408 || status == 421 || status == 429 || status == 503;
}

void gateway_request_on_head(void *ctx, const struct server_response *answer)
{
	struct gateway_request *request = ctx;
	bool success = answer->status >= 200 && answer->status < 300;

	request->last_data_ms = gateway_request_now(request);
	request->framing = answer->head->framing;
	/* The caller of a resumed stream already has the head of the first
	 * response. */
	if (web_answer_started(request->web)) {
		if (!success || !answer->is_signed || answer->not_events)
			reject_response(request, SPOILED);
		return;
	}
	request->status = answer->status;
	if (success && !answer->is_signed) {
		reject_response(request, SPOILED);
		return;
	}
	if (!success && answer->status >= 500 &&
	    gateway_request_can_retry(request))
		return;
	save_response_fields(request, answer->head);
	if (!success || request->kind != ROUTE_STREAM)
		return;
	request->streaming = true;
	add_response_fields(request);
	web_stream_begin(request->web, answer->status, NULL);
	gateway_request_arm_timer(request);
}

/* Binds the stream to the version of the server that sends its first event. */
static void bind_to_software(struct gateway_request *request)
{
	struct stream_name name = gateway_request_stream(request);

	request->software = request->call_software;
	if (name.attempt)
		stream_share_begun(request->gateway->streams, &name,
				   request->software);
}

static bool is_overlong(const struct gateway_request *request)
{
	return request->events_max && request->events_nr > request->events_max;
}

static void on_event(void *ctx, const struct stream_event *event)
{
	struct gateway_request *request = ctx;

	if (request->broken || request->ended)
		return;
	/* Bytes without an event are no sign that the stream goes on. */
	request->last_data_ms = gateway_request_now(request);
	if (event->has_id) {
		if (request->last_event >= 0 &&
		    event->id != (uint64_t)request->last_event + 1) {
			request->broken = true;
			return;
		}
		request->last_event = (int64_t)event->id;
		request->events_nr++;
	}
	if (is_overlong(request))
		return;
	if (!request->software)
		bind_to_software(request);
	if (!request->first_ms)
		request->first_ms = gateway_request_now(request);
	web_stream_write(request->web, event->raw, event->raw_len);
}

/* Ends a stream that has more events than it may have. What was relayed can't be the
 * answer, so that no other server can go on with it. */
static void end_overlong(struct gateway_request *request)
{
	server_call_reject(request->call, OVERLONG);
	gateway_request_call_ended(request);
	gateway_request_fail(request, 502, OVERLONG);
}

/* Tells whether more bytes wait for the caller, or for all callers, than may. */
static bool caller_too_slow(const struct gateway_request *request)
{
	size_t queued = web_stream_queued(request->web);

	return queued > STREAM_QUEUE_MAX ||
	       (queued > QUEUE_FEW_BYTES &&
		web_queued(request->gateway->front) > QUEUES_MAX);
}

void gateway_request_on_body(void *ctx, const char *data, size_t len)
{
	struct gateway_request *request = ctx;

	if (!request->streaming) {
		request->last_data_ms = gateway_request_now(request);
		g_string_append_len(request->buffer, data, (gssize)len);
		return;
	}
	event_stream_feed(request->events, data, len, on_event, request);
	if (request->ended)
		return;
	if (request->broken)
		reject_response(request, SPOILED);
	else if (is_overlong(request))
		end_overlong(request);
	else if (event_stream_overlong(request->events))
		reject_response(request, "the answer has bytes but no events");
	else if (caller_too_slow(request))
		gateway_request_fail(request, 502,
				     "the caller reads too slowly");
}

static void complete_response(struct gateway_request *request)
{
	const char *rest;
	size_t rest_len;

	/* A server that has not run a request says so in a field of its own. */
	if (!request->repeatable && promises_not_run(request->status)) {
		gateway_request_fail(
			request, 502,
			"the server refused the request, which may "
			"have run");
		return;
	}
	if (!request->first_ms)
		request->first_ms = gateway_request_now(request);
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
	gateway_request_finish(request, "completed");
}

/* Tells whether a stream lacks its end, though its connection ended in order. */
static bool stream_broke_off(const struct gateway_request *request)
{
	bool until_close = request->framing == HTTP_LINK_UNTIL_CLOSE;

	return event_stream_broke_off(request->events, until_close) ||
	       event_stream_owes_event(request->events);
}

void gateway_request_on_end(void *ctx, enum server_call_end end)
{
	struct gateway_request *request = ctx;
	bool success = request->status >= 200 && request->status < 300;

	gateway_request_call_ended(request);
	switch (end) {
	case SERVER_CALL_NOT_RUN:
		request->runs--;
		gateway_request_dispatch(request);
		return;
	case SERVER_CALL_COMPLETE:
		if (request->streaming && stream_broke_off(request))
			retry_elsewhere(request, BROKE_OFF);
		else if (!success && request->status >= 500 &&
			 gateway_request_can_retry(request))
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
