/*
 * Online attempts: queues them, calls the server, and streams the response to
 * the entry until the entry has acknowledged it.
 */
#include <string.h>

#include <glib.h>

#include "attempt.h"
#include "common/log.h"

#define PART "gate"

/*
 * RESUME_BYTES is the size of the part of a sent response that is kept for a
 * resume. Reading from the server pauses while more than PAUSE_BYTES are
 * unsent.
 */
#define RESUME_BYTES (256 << 10)
#define PAUSE_BYTES (256 << 10)
#define CHUNK_BYTES (32 << 10)
/*
 * Time for which an entry can resume a response that was sent completely;
 * shorter while the agent stops.
 */
#define LINGER_MS 10000
#define LINGER_STOPPING_MS 500
/*
 * Time after the loss of the connection to an entry at which the running
 * idempotent attempts of that entry are cancelled and the ended ones freed.
 */
#define ORPHAN_MS 5000
/*
 * Fixed part of the cost of a request in the queue, to which the size of its
 * body is added, in bytes.
 */
#define COST_BASE 512

static const Briarplank__Refused__Reason refusal_reasons[] = {
	[ADMISSION_OVERLOADED] = BRIARPLANK__REFUSED__REASON__OVERLOADED,
	[ADMISSION_CALLER_LIMIT] = BRIARPLANK__REFUSED__REASON__CALLER_LIMIT,
	[ADMISSION_DEADLINE] = BRIARPLANK__REFUSED__REASON__DEADLINE,
};

char *attempt_key(const char *request_id, uint32_t number)
{
	return g_strdup_printf("%s-%u", request_id, number);
}

struct attempt *attempt_find(struct gate *gate, const char *request_id,
			     uint32_t number)
{
	char *key = attempt_key(request_id, number);
	struct attempt *attempt = g_hash_table_lookup(gate->attempts, key);

	g_free(key);
	return attempt;
}

/* Copies a dispatch, as the bus frees the envelope after the handler. */
static Briarplank__Dispatch *copy_dispatch(const Briarplank__Dispatch *dispatch)
{
	size_t len = briarplank__dispatch__get_packed_size(dispatch);
	uint8_t *bytes = g_malloc(len);
	Briarplank__Dispatch *copy;

	briarplank__dispatch__pack(dispatch, bytes);
	copy = briarplank__dispatch__unpack(NULL, len, bytes);
	g_free(bytes);
	return copy;
}

static void head_free(Briarplank__AnswerHead *head)
{
	if (head)
		briarplank__answer_head__free_unpacked(head, NULL);
}

static void attempt_free(struct attempt *attempt)
{
	if (attempt->call)
		attempt->gate->backend->ops->cancel(attempt->call);
	head_free(attempt->head);
	answer_buffer_destroy(attempt->buffer);
	briarplank__dispatch__free_unpacked(attempt->dispatch, NULL);
	g_free(attempt->entry);
	g_free(attempt->key);
	g_free(attempt);
}

static bool attempt_running(const struct attempt *attempt)
{
	return attempt->state == ATTEMPT_STARTED ||
	       attempt->state == ATTEMPT_SENT;
}

void attempt_remove(struct attempt *attempt, enum tombstone_kind kind)
{
	struct gate *gate = attempt->gate;

	if (attempt->state == ATTEMPT_QUEUED)
		admission_remove(gate->admission, attempt);
	if (attempt_running(attempt))
		gate->running_online--;
	gate_streams_changed(gate);
	tombstones_add(gate->tombstones, attempt->key, kind,
		       node_now_ms(gate->task.node));
	g_hash_table_remove(gate->attempts, attempt->key);
	attempt_free(attempt);
}

void attempt_send_refused(struct gate *gate, const char *entry,
			  const char *request_id, uint32_t number,
			  Briarplank__Refused__Reason reason,
			  uint32_t retry_after_ms)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Refused body = BRIARPLANK__REFUSED__INIT;
	const ProtobufCEnumValue *value = protobuf_c_enum_descriptor_get_value(
		&briarplank__refused__reason__descriptor, reason);

	body.request_id = (char *)request_id;
	body.attempt = number;
	body.reason = reason;
	body.retry_after_ms = retry_after_ms;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_REFUSED;
	env.refused = &body;
	bus_send(gate->task.node->bus, entry, &env);
	gate_count_refusal(gate, value->name);
	log_debug(PART, "refused %s/%u: %s", request_id, number, value->name);
}

/* Refuses and frees an attempt whose request has not run at all. */
static void attempt_refuse(struct attempt *attempt,
			   Briarplank__Refused__Reason reason,
			   uint32_t retry_after_ms)
{
	attempt_send_refused(
		attempt->gate, attempt->entry, attempt->dispatch->request_id,
		attempt->dispatch->attempt, reason, retry_after_ms);
	attempt_remove(attempt, TOMBSTONE_NEVER_STARTED);
}

void attempt_send_admitted(struct attempt *attempt)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Admitted body = BRIARPLANK__ADMITTED__INIT;

	body.request_id = attempt->dispatch->request_id;
	body.attempt = attempt->dispatch->attempt;
	body.queued_us = attempt->started_us - attempt->received_us;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ADMITTED;
	env.admitted = &body;
	bus_send(attempt->gate->task.node->bus, attempt->entry, &env);
}

static bool send_head(struct attempt *attempt)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;

	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_HEAD;
	env.answer_head = attempt->head;
	attempt->head_sent = bus_send(attempt->gate->task.node->bus,
				      attempt->entry, &env) == BUS_OK;
	return attempt->head_sent;
}

static bool send_piece(struct attempt *attempt,
		       const struct answer_piece *piece)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerChunk body = BRIARPLANK__ANSWER_CHUNK__INIT;

	body.request_id = attempt->dispatch->request_id;
	body.attempt = attempt->dispatch->attempt;
	body.sequence = piece->sequence;
	body.data.data = (uint8_t *)piece->data;
	body.data.len = piece->len;
	body.last = piece->last;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_CHUNK;
	env.answer_chunk = &body;
	return bus_send(attempt->gate->task.node->bus, attempt->entry, &env) ==
	       BUS_OK;
}

static bool send_failed(struct attempt *attempt)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerFailed body = BRIARPLANK__ANSWER_FAILED__INIT;

	body.request_id = attempt->dispatch->request_id;
	body.attempt = attempt->dispatch->attempt;
	body.cause = attempt->cause;
	body.started = true;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_FAILED;
	env.answer_failed = &body;
	attempt->failure_sent = bus_send(attempt->gate->task.node->bus,
					 attempt->entry, &env) == BUS_OK;
	return attempt->failure_sent;
}

/* Returns whether the whole outcome has been sent to the entry. */
static bool attempt_outcome_sent(const struct attempt *attempt)
{
	return attempt->failed ? attempt->failure_sent :
				 answer_buffer_drained(attempt->buffer);
}

static void update_pause(struct attempt *attempt)
{
	bool full = answer_buffer_full(attempt->buffer);

	if (!attempt->call || full == attempt->paused)
		return;
	attempt->paused = full;
	attempt->gate->backend->ops->pause(attempt->call, full);
}

void attempt_send_pending(struct attempt *attempt)
{
	struct answer_piece piece;

	if (attempt->head && !attempt->head_sent && !send_head(attempt))
		return;
	while (answer_buffer_next(attempt->buffer, &piece)) {
		if (!send_piece(attempt, &piece))
			return;
		answer_buffer_sent(attempt->buffer);
	}
	if (attempt->failed && !attempt->failure_sent)
		send_failed(attempt);
	if (attempt_outcome_sent(attempt) && !attempt->outcome_sent_us)
		attempt->outcome_sent_us = node_now_us();
	update_pause(attempt);
}

static void attempt_end(struct attempt *attempt)
{
	struct gate *gate = attempt->gate;

	if (attempt_running(attempt))
		gate->running_online--;
	attempt->state = ATTEMPT_ENDED;
	gate_streams_changed(gate);
}

static void attempt_fail(struct attempt *attempt,
			 Briarplank__AnswerFailed__Cause cause)
{
	if (attempt->call)
		attempt->gate->backend->ops->cancel(attempt->call);
	attempt->call = NULL;
	attempt->failed = true;
	attempt->cause = cause;
	attempt_end(attempt);
	attempt_send_pending(attempt);
}

static void on_sent(void *ctx)
{
	struct attempt *attempt = ctx;

	attempt->state = ATTEMPT_SENT;
	counter_add(attempt->gate->metrics.admitted, 1);
	attempt_send_admitted(attempt);
}

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	struct attempt *attempt = ctx;
	Briarplank__AnswerHead *head = g_malloc(sizeof(*head));
	size_t i;

	briarplank__answer_head__init(head);
	head->request_id = g_strdup(attempt->dispatch->request_id);
	head->attempt = attempt->dispatch->attempt;
	head->status = status;
	head->headers = g_new0(Briarplank__HeaderField *, nr);
	head->n_headers = nr;
	for (i = 0; i < nr; i++) {
		head->headers[i] = g_malloc(sizeof(*head->headers[i]));
		briarplank__header_field__init(head->headers[i]);
		head->headers[i]->name = g_strdup(fields[i].name);
		head->headers[i]->value = g_strdup(fields[i].value);
	}
	attempt->head = head;
	attempt->is_stream = gate_is_stream(fields, nr);
	attempt_send_pending(attempt);
}

static void record_first_token(struct attempt *attempt)
{
	struct gate *gate = attempt->gate;

	histogram_record(gate->metrics.first_token,
			 node_now_us() - attempt->received_us);
	if (attempt->is_stream)
		gate_record_first_token(gate, attempt->started_us);
}

static void record_token_gap(struct attempt *attempt, const char *data,
			     size_t len)
{
	struct gate *gate = attempt->gate;
	unsigned tokens = attempt->is_stream ? gate_count_tokens(data, len) : 0;
	uint64_t gap = gate_record_tokens(gate, attempt->last_token_us, tokens);

	if (!attempt->is_stream)
		return;
	histogram_record(gate->metrics.token_gap, gap);
	batch_share_record_online_gap(gate->share, gap,
				      gate->batch_starting > 0);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct attempt *attempt = ctx;
	bool first = !attempt->last_token_us;

	if (first)
		record_first_token(attempt);
	else
		record_token_gap(attempt, data, len);
	attempt->last_token_us = node_now_us();
	if (attempt->is_stream)
		stream_tail_add(&attempt->tail, data, len);
	answer_buffer_push(attempt->buffer, data, len);
	attempt_send_pending(attempt);
	if (first)
		gate_schedule(attempt->gate);
}

static Briarplank__AnswerFailed__Cause failure_cause(
	const struct attempt *attempt, enum http_result end)
{
	if (end != HTTP_TIMEOUT)
		return BRIARPLANK__ANSWER_FAILED__CAUSE__SERVER_LOST;
	if (!attempt->head && node_now_us() >= attempt->deadline_us)
		return BRIARPLANK__ANSWER_FAILED__CAUSE__DEADLINE;
	return BRIARPLANK__ANSWER_FAILED__CAUSE__SERVER_STALLED;
}

static void on_end(void *ctx, enum http_result end)
{
	struct attempt *attempt = ctx;
	struct gate *gate = attempt->gate;

	gate_detect_freeze(gate);
	attempt->call = NULL;
	if (attempt->is_stream && attempt->head->status == 200)
		end = gate_stream_end(gate, attempt->key, &attempt->tail, end);
	if (end == HTTP_NOT_SENT) {
		attempt_refuse(attempt,
			       BRIARPLANK__REFUSED__REASON__CONNECT_FAILED, 0);
	} else if (end == HTTP_COMPLETE) {
		admission_record_service(gate->admission,
					 node_now_us() - attempt->started_us);
		gate_record_response(gate, attempt->started_us,
				     gate->running_online +
					     gate->running_batch);
		answer_buffer_finish(attempt->buffer);
		attempt_end(attempt);
		attempt_send_pending(attempt);
	} else {
		attempt_fail(attempt, failure_cause(attempt, end));
	}
	gate_schedule(gate);
}

static struct http_field *copy_fields(const Briarplank__Dispatch *dispatch)
{
	struct http_field *fields =
		g_new0(struct http_field, dispatch->n_headers);
	size_t i;

	for (i = 0; i < dispatch->n_headers; i++) {
		fields[i].name = dispatch->headers[i]->name;
		fields[i].value = dispatch->headers[i]->value;
	}
	return fields;
}

static void attempt_start(struct attempt *attempt)
{
	struct gate *gate = attempt->gate;
	const Briarplank__Dispatch *dispatch = attempt->dispatch;
	struct http_field *fields = copy_fields(dispatch);
	uint64_t now = node_now_us();
	struct backend_call_options options = {
		.call_id = attempt->key,
		.method = dispatch->method,
		.path = dispatch->path,
		.fields = fields,
		.fields_nr = dispatch->n_headers,
		.body = dispatch->body.data,
		.body_len = dispatch->body.len,
		.idempotent = dispatch->idempotent,
		.first_byte_timeout_ms =
			(attempt->deadline_us - now) / 1000 + 1,
		.idle_timeout_ms = SERVER_STALL_MS,
		.on_sent = on_sent,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = attempt,
	};

	attempt->state = ATTEMPT_STARTED;
	attempt->started_us = now;
	gate_streams_changed(gate);
	histogram_record(gate->metrics.queue_wait, now - attempt->received_us);
	gate->running_online++;
	attempt->call = gate->backend->ops->call(gate->backend, &options);
	g_free(fields);
}

struct attempt *attempt_create(struct gate *gate, const char *entry,
			       const Briarplank__Dispatch *dispatch)
{
	struct attempt *attempt = g_new0(struct attempt, 1);
	struct answer_buffer_options options = {
		.credit_bytes = dispatch->credit_bytes,
		.keep_bytes = RESUME_BYTES,
		.pause_bytes = PAUSE_BYTES,
		.piece_bytes = CHUNK_BYTES,
	};

	attempt->gate = gate;
	attempt->key = attempt_key(dispatch->request_id, dispatch->attempt);
	attempt->entry = g_strdup(entry);
	attempt->dispatch = copy_dispatch(dispatch);
	attempt->received_us = node_now_us();
	attempt->deadline_us = attempt->received_us +
			       attempt_remaining_ms(gate, dispatch) * 1000;
	attempt->buffer = answer_buffer_create(&options);
	g_hash_table_insert(gate->attempts, attempt->key, attempt);
	return attempt;
}

void attempt_enqueue(struct attempt *attempt)
{
	struct gate *gate = attempt->gate;
	struct admission_request request = {
		.owner = attempt,
		.caller = attempt->dispatch->caller,
		.deadline_us = attempt->deadline_us,
		.cost = COST_BASE + attempt->dispatch->body.len,
	};
	uint64_t retry_us;
	enum admission_status status = admission_enqueue(
		gate->admission, &request, gate->running_online,
		concurrency_online_limit(gate->concurrency), node_now_us(),
		&retry_us);

	if (status != ADMISSION_QUEUED)
		attempt_refuse(attempt, refusal_reasons[status],
			       (retry_us + 999) / 1000);
}

void attempts_schedule(struct gate *gate, unsigned limit)
{
	uint64_t now = node_now_us();
	struct attempt *attempt;

	while ((attempt = admission_expired(gate->admission, now)) != NULL)
		attempt_refuse(attempt, BRIARPLANK__REFUSED__REASON__DEADLINE,
			       0);
	while (gate->running_online < limit &&
	       (attempt = admission_next(gate->admission, now)) != NULL)
		attempt_start(attempt);
}

static void tick_running(struct attempt *attempt, uint64_t now)
{
	bool orphan = attempt->entry_down_us &&
		      now > attempt->entry_down_us + ORPHAN_MS * 1000;

	/* After the response has begun, the entry enforces the timeout. */
	if (!attempt->head && now > attempt->deadline_us)
		attempt_fail(attempt,
			     BRIARPLANK__ANSWER_FAILED__CAUSE__DEADLINE);
	else if (orphan && attempt->dispatch->idempotent)
		attempt_fail(attempt,
			     BRIARPLANK__ANSWER_FAILED__CAUSE__CANCELLED);
	else
		attempt_send_pending(attempt);
}

static void tick_ended(struct attempt *attempt, uint64_t now)
{
	uint64_t linger =
		attempt->gate->stopping ? LINGER_STOPPING_MS : LINGER_MS;
	bool over = attempt_outcome_sent(attempt) &&
		    now > attempt->outcome_sent_us + linger * 1000;
	bool orphan = attempt->entry_down_us &&
		      now > attempt->entry_down_us + ORPHAN_MS * 1000;

	if (attempt->confirmed || over || orphan)
		attempt_remove(attempt, TOMBSTONE_ENDED);
	else
		attempt_send_pending(attempt);
}

void attempts_tick(struct gate *gate)
{
	uint64_t now = node_now_us();
	GList *all = g_hash_table_get_values(gate->attempts);
	GList *pos;

	for (pos = all; pos; pos = pos->next) {
		struct attempt *attempt = pos->data;

		if (attempt->state == ATTEMPT_ENDED)
			tick_ended(attempt, now);
		else if (attempt_running(attempt))
			tick_running(attempt, now);
	}
	g_list_free(all);
}

unsigned attempts_starting(const struct gate *gate, uint64_t since_us)
{
	GHashTableIter iter;
	unsigned nr = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct attempt *attempt = value;

		if (attempt_running(attempt) && !attempt->last_token_us &&
		    attempt->started_us > since_us)
			nr++;
	}
	return nr;
}

void attempts_entry_down(struct gate *gate, const char *entry, bool down)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, gate->attempts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct attempt *attempt = value;

		if (!strcmp(attempt->entry, entry))
			attempt->entry_down_us = down ? node_now_us() : 0;
	}
}

void attempts_destroy(struct gate *gate)
{
	GList *all = g_hash_table_get_values(gate->attempts);
	GList *pos;

	g_hash_table_destroy(gate->attempts);
	for (pos = all; pos; pos = pos->next)
		attempt_free(pos->data);
	g_list_free(all);
}
