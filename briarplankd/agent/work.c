/*
 * Batch work at the gate. A stream that must give way is cancelled; its
 * tokens are kept and it goes on from there later.
 */
#include <string.h>

#include <glib.h>

#include "gate.h"
#include "common/log.h"

#define PART "gate"

/* Longest answer of a batch item, in bytes. */
#define WORK_BODY_MAX (8 << 20)
/* Least time between a preemption and the resume, in us. */
#define RESUME_PAUSE_US 100000

struct gate_work {
	struct list link;
	struct gate *gate;
	char *id;
	char *method;
	char *path;
	GString *request;
	bool idempotent;
	void (*on_end)(void *ctx, enum gate_result result, int status,
		       const GString *body);
	void *ctx;
	struct backend_call *call;
	/* The server may have seen the request, now or before a preemption. */
	bool sent;
	bool resumed;
	bool streams;
	/* The gate asked for a stream that the caller did not ask for. */
	bool converted;
	int status;
	GString *body;
	uint64_t arrived_us;
	uint64_t started_us;
	/* When the last token of this run came; 0 before the first. */
	uint64_t last_token_us;
	/* Not before this time, so that the cancel can't meet the resume. */
	uint64_t resume_after_us;
};

static bool work_running(const struct gate_work *work)
{
	return work->call != NULL;
}

static void work_free(struct gate_work *work)
{
	list_remove(&work->link);
	g_string_free(work->request, TRUE);
	g_string_free(work->body, TRUE);
	g_free(work->id);
	g_free(work->method);
	g_free(work->path);
	g_free(work);
}

static void work_stop_call(struct gate_work *work)
{
	if (!work->call)
		return;
	gate_streams_changed(work->gate);
	work->gate->backend->ops->cancel(work->call);
	work->call = NULL;
	work->gate->running_batch--;
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

/* Cuts off an event that has come only in part. */
static void drop_partial_event(GString *body)
{
	char *end = g_strrstr_len(body->str, (gssize)body->len, "\n\n");

	g_string_truncate(body, end ? end + 2 - body->str : 0);
}

static void on_sent(void *ctx)
{
	struct gate_work *work = ctx;

	work->sent = true;
}

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	struct gate_work *work = ctx;

	work->status = status;
	work->streams = gate_is_stream(fields, nr);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct gate_work *work = ctx;
	struct gate *gate = work->gate;
	bool first = !work->last_token_us;

	if (work->streams && first)
		gate_first_token(gate, work->started_us);
	else if (work->streams)
		gate_tokens(gate, work->last_token_us,
			    gate_count_tokens(data, len));
	work->last_token_us = node_now_us();
	if (work->body->len + len <= WORK_BODY_MAX)
		g_string_append_len(work->body, data, (gssize)len);
	if (first)
		gate_schedule(gate);
}

/* Makes the answer that the caller asked for; false when that fails. */
static bool convert_answer(struct gate_work *work)
{
	char *whole;

	if (!work->converted || !work->streams || work->status != 200)
		return true;
	whole = work->gate->backend->ops->as_whole(work->id, work->body->str);
	if (!whole)
		return false;
	g_string_assign(work->body, whole);
	g_free(whole);
	return true;
}

static void work_end(struct gate_work *work, enum gate_result result)
{
	struct gate *gate = work->gate;

	if (result == GATE_DONE && !convert_answer(work))
		result = GATE_LOST;
	if (result == GATE_DONE)
		gate_whole_answer(gate, work->started_us,
				  gate->running_online + gate->running_batch +
					  1);
	histogram_record(gate->metrics.item_time,
			 node_now_us() - work->arrived_us);
	work->on_end(work->ctx, result, work->status, work->body);
	work_free(work);
}

/* The server can't go on with the stream: run it again from the start. */
static void work_restart(struct gate_work *work)
{
	g_string_truncate(work->body, 0);
	work->resumed = false;
}

static void on_end(void *ctx, enum http_end end)
{
	struct gate_work *work = ctx;
	struct gate *gate = work->gate;

	gate_wake(gate);
	work->call = NULL;
	gate->running_batch--;
	gate_streams_changed(gate);
	if (end == HTTP_WHOLE && work->resumed && work->status != 200)
		work_restart(work);
	else if (end == HTTP_WHOLE)
		work_end(work, GATE_DONE);
	else if (end == HTTP_NOT_SENT && !work->sent)
		work_end(work, GATE_NOT_RUN);
	else
		work_end(work, GATE_LOST);
	gate_schedule(gate);
}

static void work_start(struct gate_work *work)
{
	struct gate *gate = work->gate;
	struct http_field type = { "content-type", "application/json" };
	struct backend_call_options options = {
		.call_id = work->id,
		.method = work->method,
		.path = work->path,
		.fields = &type,
		.fields_nr = 1,
		.body = work->request->str,
		.body_len = work->request->len,
		.idempotent = work->idempotent,
		.first_byte_timeout_ms = WORK_FIRST_BYTE_MS,
		.idle_timeout_ms = SERVER_STALL_MS,
		.on_sent = on_sent,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = work,
	};

	if (work->body->len) {
		options.resume_from =
			gate_count_tokens(work->body->str, work->body->len);
		work->resumed = true;
	}
	work->started_us = node_now_us();
	work->last_token_us = 0;
	gate->running_batch++;
	gate_streams_changed(gate);
	work->call = gate->backend->ops->call(gate->backend, &options);
}

/* Only what may run twice can be stopped and begun again. */
static bool work_preemptible(const struct gate_work *work)
{
	return work_running(work) && work->idempotent &&
	       work->gate->backend->resumable;
}

static void work_preempt(struct gate_work *work)
{
	log_debug(PART, "batch work %s gives way", work->id);
	work_stop_call(work);
	work->resume_after_us = node_now_us() + RESUME_PAUSE_US;
	if (work->streams)
		drop_partial_event(work->body);
	else
		g_string_truncate(work->body, 0);
	counter_add(work->gate->metrics.preemptions, 1);
}

/* The one that began last has the least to lose. */
static struct gate_work *choose_victim(struct gate *gate)
{
	struct gate_work *victim = NULL;
	struct list *pos;

	list_for_each (pos, &gate->works) {
		struct gate_work *work =
			list_entry(pos, struct gate_work, link);

		if (!work_preemptible(work))
			continue;
		if (!victim || work->started_us >= victim->started_us)
			victim = work;
	}
	return victim;
}

static struct gate_work *choose_waiting(struct gate *gate)
{
	uint64_t now = node_now_us();
	struct list *pos;

	list_for_each (pos, &gate->works) {
		struct gate_work *work =
			list_entry(pos, struct gate_work, link);

		if (!work_running(work) && now >= work->resume_after_us)
			return work;
	}
	return NULL;
}

void works_schedule(struct gate *gate, const struct batch_share_plan *plan)
{
	unsigned start = plan->start;
	struct gate_work *work;

	while (gate->running_batch > plan->keep) {
		work = choose_victim(gate);
		if (!work)
			return;
		work_preempt(work);
	}
	while (start-- && (work = choose_waiting(gate)) != NULL)
		work_start(work);
}

unsigned works_starting(const struct gate *gate, uint64_t since_us)
{
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, &gate->works) {
		const struct gate_work *work =
			list_entry(pos, struct gate_work, link);

		if (work_running(work) && !work->last_token_us &&
		    work->started_us > since_us)
			nr++;
	}
	return nr;
}

unsigned works_waiting(const struct gate *gate)
{
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, &gate->works) {
		if (!work_running(list_entry(pos, struct gate_work, link)))
			nr++;
	}
	return nr;
}

/* A stream shows the engine's pace, and its tokens outlast a preemption. */
static void ask_for_stream(struct gate_work *work)
{
	const struct backend_ops *ops = work->gate->backend->ops;
	char *body = ops->as_stream ? ops->as_stream(work->request->str,
						     work->request->len) :
				      NULL;

	if (!body)
		return;
	g_string_assign(work->request, body);
	work->converted = true;
	g_free(body);
}

struct gate_work *gate_work_submit(struct gate *gate,
				   const struct gate_work_options *options)
{
	struct gate_work *work = g_new0(struct gate_work, 1);

	work->gate = gate;
	work->id = g_strdup(options->id);
	work->method = g_strdup(options->method);
	work->path = g_strdup(options->path);
	work->request =
		g_string_new_len(options->body, (gssize)options->body_len);
	work->idempotent = options->idempotent;
	ask_for_stream(work);
	work->on_end = options->on_end;
	work->ctx = options->ctx;
	work->body = g_string_new(NULL);
	work->arrived_us = node_now_us();
	list_append(&gate->works, &work->link);
	return work;
}

void gate_work_cancel(struct gate_work *work)
{
	work_stop_call(work);
	work_free(work);
}

bool gate_work_withdraw(struct gate_work *work)
{
	if (work->sent || work->call)
		return false;
	work_free(work);
	return true;
}

void works_destroy(struct gate *gate)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &gate->works)
		gate_work_cancel(list_entry(pos, struct gate_work, link));
}
