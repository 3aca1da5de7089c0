/*
 * Batch requests at the gate. A preempted stream is cancelled at the server;
 * its tokens are kept, and it later resumes after the last of them.
 */
#include <string.h>

#include <glib.h>

#include "gate.h"
#include "common/log.h"

#define PART "gate"

/* Maximum size of the response to a batch request, in bytes. */
#define RESPONSE_BODY_MAX (8 << 20)
/* Minimum time between a preemption and the resume, in us. */
#define RESUME_PAUSE_US 100000

struct batch_request {
	struct list link;
	struct gate *gate;
	char *id;
	char *method;
	char *path;
	GString *request_body;
	bool idempotent;
	void (*on_end)(void *ctx, enum batch_request_result result, int status,
		       const GString *body);
	void *ctx;
	struct backend_call *call;
	/* The server may have seen the request, now or before a preemption. */
	bool sent;
	bool resumed;
	bool is_stream;
	struct stream_tail tail;
	/* The gate turned the request into a streaming one. */
	bool stream_forced;
	int status;
	GString *response_body;
	uint64_t submitted_us;
	uint64_t started_us;
	/* Time of the last token of this call; 0 before the first. */
	uint64_t last_token_us;
	/*
	 * Earliest time at which the request is resumed, so that the cancel of
	 * the preempted call can't affect the new call.
	 */
	uint64_t resume_after_us;
};

static bool request_running(const struct batch_request *request)
{
	return request->call != NULL;
}

static void request_free(struct batch_request *request)
{
	list_remove(&request->link);
	g_string_free(request->request_body, TRUE);
	g_string_free(request->response_body, TRUE);
	g_free(request->id);
	g_free(request->method);
	g_free(request->path);
	g_free(request);
}

static void request_stop_call(struct batch_request *request)
{
	if (!request->call)
		return;
	gate_streams_changed(request->gate);
	request->gate->backend->ops->cancel(request->call);
	request->call = NULL;
	request->gate->running_batch--;
}

bool gate_is_stream(const struct http_field *fields, size_t nr)
{
	size_t i;

	for (i = 0; i < nr; i++) {
		if (!g_ascii_strcasecmp(fields[i].name, "content-type"))
			return g_str_has_prefix(fields[i].value,
						"text/event-stream");
	}
	return false;
}

void stream_tail_add(struct stream_tail *tail, const char *data, size_t len)
{
	size_t kept = len < STREAM_TAIL_BYTES ?
			      MIN(tail->len, STREAM_TAIL_BYTES - len) :
			      0;

	memmove(tail->bytes, tail->bytes + tail->len - kept, kept);
	if (len > STREAM_TAIL_BYTES) {
		data += len - STREAM_TAIL_BYTES;
		len = STREAM_TAIL_BYTES;
	}
	memcpy(tail->bytes + kept, data, len);
	tail->len = kept + len;
}

static bool stream_broke_off(const struct gate *gate,
			     const struct stream_tail *tail)
{
	char *text = g_strndup(tail->bytes, tail->len);
	bool at_end = g_str_has_suffix(text, "\n\n") ||
		      g_str_has_suffix(text, "\n\r\n");
	const char *last = gate->backend->ops->stream_end;
	bool broke_off =
		!at_end || (last && !g_str_has_suffix(g_strchomp(text), last));

	g_free(text);
	return broke_off;
}

enum http_result gate_stream_end(const struct gate *gate, const char *id,
				 const struct stream_tail *tail,
				 enum http_result end)
{
	if (end != HTTP_COMPLETE || !stream_broke_off(gate, tail))
		return end;
	log_info(PART, "%s: the server's stream broke off", id);
	return HTTP_TRUNCATED;
}

unsigned gate_count_tokens(const char *data, size_t len)
{
	static const char mark[] = "data: ";
	const char *end = data + len;
	unsigned nr = 0;

	while ((data = g_strstr_len(data, end - data, mark)) != NULL) {
		data += sizeof(mark) - 1;
		if (end - data < 6 || memcmp(data, "[DONE]", 6) != 0)
			nr++;
	}
	return nr;
}

/* Removes an incomplete event from the end of a stream. */
static void drop_partial_event(GString *body)
{
	char *end = g_strrstr_len(body->str, (gssize)body->len, "\n\n");

	g_string_truncate(body, end ? end + 2 - body->str : 0);
}

static void on_sent(void *ctx)
{
	struct batch_request *request = ctx;

	request->sent = true;
}

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	struct batch_request *request = ctx;

	request->status = status;
	request->is_stream = gate_is_stream(fields, nr);
}

/*
 * Converts a stream back into the single response that the caller asked for.
 * Returns false if that fails.
 */
static bool convert_response(struct batch_request *request)
{
	char *whole;

	if (!request->stream_forced || !request->is_stream ||
	    request->status != 200)
		return true;
	whole = request->gate->backend->ops->assemble_response(
		request->id, request->response_body->str);
	if (!whole)
		return false;
	g_string_assign(request->response_body, whole);
	g_free(whole);
	return true;
}

static void request_end(struct batch_request *request,
			enum batch_request_result result)
{
	struct gate *gate = request->gate;

	if (result == BATCH_REQUEST_DONE && !convert_response(request))
		result = BATCH_REQUEST_LOST;
	if (result == BATCH_REQUEST_DONE)
		gate_record_response(gate, request->started_us,
				     gate->running_online +
					     gate->running_batch + 1);
	histogram_record(gate->metrics.item_time,
			 node_now_us() - request->submitted_us);
	request->on_end(request->ctx, result, request->status,
			request->response_body);
	request_free(request);
}

/* Ends a request whose response is longer than an output may be. */
static void request_too_long(struct batch_request *request)
{
	struct gate *gate = request->gate;

	log_info(PART, "batch request %s: response of more than %d bytes",
		 request->id, RESPONSE_BODY_MAX);
	request_stop_call(request);
	g_string_truncate(request->response_body, 0);
	request_end(request, BATCH_REQUEST_LOST);
	gate_schedule(gate);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct batch_request *request = ctx;
	struct gate *gate = request->gate;
	bool first = !request->last_token_us;

	if (request->is_stream && first)
		gate_record_first_token(gate, request->started_us);
	else if (request->is_stream)
		gate_record_tokens(gate, request->last_token_us,
				   gate_count_tokens(data, len));
	request->last_token_us = node_now_us();
	if (request->is_stream)
		stream_tail_add(&request->tail, data, len);
	if (request->response_body->len + len > RESPONSE_BODY_MAX) {
		request_too_long(request);
		return;
	}
	g_string_append_len(request->response_body, data, (gssize)len);
	if (first)
		gate_schedule(gate);
}

/* Discards the tokens of a stream that the server could not resume. */
static void request_restart(struct batch_request *request)
{
	g_string_truncate(request->response_body, 0);
	request->resumed = false;
}

static void on_end(void *ctx, enum http_result end)
{
	struct batch_request *request = ctx;
	struct gate *gate = request->gate;

	gate_detect_freeze(gate);
	request->call = NULL;
	gate->running_batch--;
	gate_streams_changed(gate);
	if (request->is_stream && request->status == 200)
		end = gate_stream_end(gate, request->id, &request->tail, end);
	if (end == HTTP_COMPLETE && request->resumed && request->status != 200)
		request_restart(request);
	else if (end == HTTP_COMPLETE)
		request_end(request, BATCH_REQUEST_DONE);
	else if (end == HTTP_NOT_SENT && !request->sent)
		request_end(request, BATCH_REQUEST_NOT_RUN);
	else
		request_end(request, BATCH_REQUEST_LOST);
	gate_schedule(gate);
}

static void request_start(struct batch_request *request)
{
	struct gate *gate = request->gate;
	struct http_field type = { "content-type", "application/json" };
	struct backend_call_options options = {
		.call_id = request->id,
		.method = request->method,
		.path = request->path,
		.fields = &type,
		.fields_nr = 1,
		.body = request->request_body->str,
		.body_len = request->request_body->len,
		.idempotent = request->idempotent,
		.first_byte_timeout_ms = BATCH_FIRST_BYTE_MS,
		.idle_timeout_ms = SERVER_STALL_MS,
		.on_sent = on_sent,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = request,
	};

	if (request->response_body->len) {
		options.resume_from =
			gate_count_tokens(request->response_body->str,
					  request->response_body->len);
		request->resumed = true;
	}
	request->started_us = node_now_us();
	request->last_token_us = 0;
	gate->running_batch++;
	gate_streams_changed(gate);
	request->call = gate->backend->ops->call(gate->backend, &options);
}

/* Only an idempotent request may be cancelled and run again. */
static bool request_preemptible(const struct batch_request *request)
{
	return request_running(request) && request->idempotent &&
	       request->gate->backend->resumable;
}

static void request_preempt(struct batch_request *request)
{
	log_debug(PART, "batch request %s preempted", request->id);
	request_stop_call(request);
	request->resume_after_us = node_now_us() + RESUME_PAUSE_US;
	if (request->is_stream)
		drop_partial_event(request->response_body);
	else
		g_string_truncate(request->response_body, 0);
	counter_add(request->gate->metrics.preemptions, 1);
}

/*
 * Returns the preemptible request that started last, as it loses the least
 * work.
 */
static struct batch_request *choose_victim(struct gate *gate)
{
	struct batch_request *victim = NULL;
	struct list *pos;

	list_for_each (pos, &gate->batch_requests) {
		struct batch_request *request =
			list_entry(pos, struct batch_request, link);

		if (!request_preemptible(request))
			continue;
		if (!victim || request->started_us >= victim->started_us)
			victim = request;
	}
	return victim;
}

static struct batch_request *choose_waiting(struct gate *gate)
{
	uint64_t now = node_now_us();
	struct list *pos;

	list_for_each (pos, &gate->batch_requests) {
		struct batch_request *request =
			list_entry(pos, struct batch_request, link);

		if (!request_running(request) &&
		    now >= request->resume_after_us)
			return request;
	}
	return NULL;
}

void batch_requests_schedule(struct gate *gate,
			     const struct batch_share_plan *plan)
{
	unsigned start = plan->start;
	struct batch_request *request;

	while (gate->running_batch > plan->keep) {
		request = choose_victim(gate);
		if (!request)
			return;
		request_preempt(request);
	}
	while (start-- && (request = choose_waiting(gate)) != NULL)
		request_start(request);
}

unsigned batch_requests_starting(const struct gate *gate, uint64_t since_us)
{
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, &gate->batch_requests) {
		const struct batch_request *request =
			list_entry(pos, struct batch_request, link);

		if (request_running(request) && !request->last_token_us &&
		    request->started_us > since_us)
			nr++;
	}
	return nr;
}

unsigned batch_requests_waiting(const struct gate *gate)
{
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, &gate->batch_requests) {
		if (!request_running(
			    list_entry(pos, struct batch_request, link)))
			nr++;
	}
	return nr;
}

/*
 * Turns a request into a streaming one: a stream shows the engine's token
 * rate, and its tokens survive a preemption.
 */
static void convert_to_stream(struct batch_request *request)
{
	const struct backend_ops *ops = request->gate->backend->ops;
	char *body =
		ops->make_stream_request ?
			ops->make_stream_request(request->request_body->str,
						 request->request_body->len) :
			NULL;

	if (!body)
		return;
	g_string_assign(request->request_body, body);
	request->stream_forced = true;
	g_free(body);
}

struct batch_request *batch_request_submit(
	struct gate *gate, const struct batch_request_options *options)
{
	struct batch_request *request = g_new0(struct batch_request, 1);

	request->gate = gate;
	request->id = g_strdup(options->id);
	request->method = g_strdup(options->method);
	request->path = g_strdup(options->path);
	request->request_body =
		g_string_new_len(options->body, (gssize)options->body_len);
	request->idempotent = options->idempotent;
	convert_to_stream(request);
	request->on_end = options->on_end;
	request->ctx = options->ctx;
	request->response_body = g_string_new(NULL);
	request->submitted_us = node_now_us();
	list_append(&gate->batch_requests, &request->link);
	return request;
}

void batch_request_cancel(struct batch_request *request)
{
	request_stop_call(request);
	request_free(request);
}

bool batch_request_withdraw(struct batch_request *request)
{
	if (request->sent || request->call)
		return false;
	request_free(request);
	return true;
}

void batch_requests_destroy(struct gate *gate)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &gate->batch_requests)
		batch_request_cancel(
			list_entry(pos, struct batch_request, link));
}
