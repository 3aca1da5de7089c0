/*
 * Streams an answer from the agent to the caller. An answer that can't be
 * completed is ended so that the caller sees it is truncated.
 */
#include "briarplankd/online.h"
#include "common/log.h"
#include "standalone/http_client.h"

#define PART "online"

/* Minimum interval of requests for a missing chunk, in ms. */
#define MISSING_CHUNK_INTERVAL_MS 100

static void field_free(void *data)
{
	struct http_field *field = data;

	g_free((char *)field->name);
	g_free((char *)field->value);
	g_free(field);
}

void online_answer_receive_head(struct online_request *request,
				const Briarplank__AnswerHead *head)
{
	size_t i;

	if (request->fields)
		return;
	request->status = (int)head->status;
	request->fields = g_ptr_array_new_with_free_func(field_free);
	for (i = 0; i < head->n_headers; i++) {
		struct http_field *field;

		if (!online_http_forwards_field(head->headers[i]->name))
			continue;
		field = g_new0(struct http_field, 1);
		field->name = g_strdup(head->headers[i]->name);
		field->value = g_strdup(head->headers[i]->value);
		g_ptr_array_add(request->fields, field);
	}
	outcome_admitted(&request->outcome);
}

static void send_credit(struct online_request *request, uint32_t bytes)
{
	struct node *node = request->online->super.node;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Credit credit = BRIARPLANK__CREDIT__INIT;

	credit.request_id = request->id;
	credit.attempt = request->outcome.attempt;
	credit.next_sequence = stream_resume_from(request->stream);
	credit.bytes = bytes;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CREDIT;
	env.credit = &credit;
	bus_send(node->bus, request->agent, &env);
}

static size_t queued_bytes(const struct online_request *request)
{
	return request->web ? web_stream_queued(request->web) : 0;
}

static void grant_credit(struct online_request *request)
{
	uint32_t bytes = stream_grant(request->stream, queued_bytes(request));

	if (bytes)
		send_credit(request, bytes);
}

static void on_data_taken(void *ctx)
{
	struct online_request *request = ctx;

	if (request->outcome.state == OUTCOME_FIRST_BYTE)
		grant_credit(request);
}

static void forward_chunk(struct online_request *request, GBytes *chunk_data)
{
	size_t len;
	const void *data = g_bytes_get_data(chunk_data, &len);

	if (request->outcome.state != OUTCOME_FIRST_BYTE) {
		outcome_first_byte(&request->outcome);
		online_routing_succeeded(request);
		online_view_first_byte(request);
		online_http_start_stream(request);
		web_on_flushed(request->web, on_data_taken, request);
	} else {
		online_view_chunk(request);
	}
	if (len)
		web_stream_write(request->web, data, len);
}

static void complete_answer(struct online_request *request)
{
	struct web_request *web = request->web;

	outcome_ended(&request->outcome, true);
	/* Acknowledge the last chunk, so that the agent can free it. */
	send_credit(request, 0);
	retry_succeeded(&request->online->retry);
	log_debug(PART, "%s: completed by %s", request->id, request->agent);
	online_request_destroy(request);
	web_stream_end(web, true);
}

/* Asks for a lost head or chunk, while later chunks still arrive. */
static void request_missing_chunk(struct online_request *request)
{
	uint64_t now_ms = node_now_ms(request->online->super.node);

	if (now_ms < request->missing_requested_ms + MISSING_CHUNK_INTERVAL_MS)
		return;
	request->missing_requested_ms = now_ms;
	online_answer_resume(request);
}

void online_answer_receive_chunk(struct online_request *request,
				 const Briarplank__AnswerChunk *chunk)
{
	enum stream_status status;
	GBytes *chunk_data;

	online_routing_charge_link(request, chunk->data.len);
	status = stream_insert(request->stream, chunk->sequence,
			       chunk->data.data, chunk->data.len, chunk->last);
	if (status != STREAM_OK)
		log_debug(PART, "%s: chunk %" G_GUINT64_FORMAT " not accepted",
			  request->id, chunk->sequence);
	if (!request->fields) {
		request_missing_chunk(request);
		return;
	}
	while ((chunk_data = stream_next(request->stream)) != NULL) {
		forward_chunk(request, chunk_data);
		g_bytes_unref(chunk_data);
	}
	if (stream_ended(request->stream))
		complete_answer(request);
	else if (stream_has_gap(request->stream))
		request_missing_chunk(request);
	else
		grant_credit(request);
}

void online_answer_resume(struct online_request *request)
{
	struct node *node = request->online->super.node;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Resume resume = BRIARPLANK__RESUME__INIT;

	resume.request_id = request->id;
	resume.attempt = request->outcome.attempt;
	resume.from_sequence = stream_resume_from(request->stream);
	resume.credit_bytes =
		stream_resume(request->stream, queued_bytes(request));
	env.body_case = BRIARPLANK__ENVELOPE__BODY_RESUME;
	env.resume = &resume;
	bus_send(node->bus, request->agent, &env);
}

void online_answer_reset(struct online_request *request)
{
	struct stream_options options = {
		.window_bytes = ONLINE_WINDOW_BYTES,
		.max_buffered = ONLINE_MAX_BUFFERED,
	};

	stream_destroy(request->stream);
	request->stream = stream_create(&options);
	if (request->fields)
		g_ptr_array_free(request->fields, TRUE);
	request->fields = NULL;
}

void online_answer_abort(struct online_request *request, const char *reason)
{
	struct web_request *web = request->web;

	outcome_ended(&request->outcome, false);
	online_view_add_refusal(request, request->status, reason);
	log_info(PART, "%s: answer truncated: %s", request->id, reason);
	online_request_destroy(request);
	web_stream_end(web, false);
}
