#include <string.h>

#include "batch.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/event_stream.h"
#include "core/job_request.h"
#include "job_store.h"
#include "peers.h"
#include "platform/codec.h"
#include "server_call.h"

/* Period of the look for slots while items wait or run, in ms. */
#define TICK_MS 20
/* Period of the look for jobs whose owner is gone, in ms. */
#define SCAN_MS 250
/* Pause of an item after it yielded, and after a failure, in ms. */
#define YIELD_PAUSE_MS 60
#define FAILURE_PAUSE_MS 250
/* Silence of a server in the midst of an item, in ms; queues and prefill
 * take less. */
#define STALL_MS 3500
/* Time for which an output is offered to the store, in ms; it is tried again
 * after that. */
#define WRITE_TIME_MS 20000

enum run_state {
	/** Waits for a slot. */
	RUN_WAITING,
	/** Its body is being read from the store. */
	RUN_FETCHING,
	RUN_RUNNING,
	/** Its output or end is on the way to the log. */
	RUN_ENDING,
};

struct run {
	struct list link;
	struct batch *batch;
	struct job *job;
	struct job_item *item;
	enum run_state state;
	/* Encoded body; NULL until it was read. */
	GByteArray *payload;
	struct job_request_item request;
	char *fields;
	struct server_call *call;
	struct server *server;
	struct job_blob_read *read;
	struct job_blob_write *write;
	GString *output;
	int64_t last_event;
	struct event_stream *events;
	bool broken;
	int status;
	uint64_t not_before_ms;
	uint64_t heard_ms;
	uint64_t started_ms;
};

struct batch {
	struct gateway *gateway;
	/* Runs by due time. */
	struct list runs;
	unsigned waiting;
	uv_timer_t timer;
	uint64_t scanned_ms;
	bool yielding;
	struct counter *started;
	struct counter *yielded;
	struct counter *done;
	struct counter *failed;
};

static uint64_t now_ms(const struct batch *batch)
{
	return uv_now(batch->gateway->loop);
}

static void set_state(struct run *run, enum run_state state)
{
	if (run->state == RUN_WAITING)
		run->batch->waiting--;
	run->state = state;
	if (state == RUN_WAITING)
		run->batch->waiting++;
}

static void run_cancel(struct run *run)
{
	if (run->call)
		server_call_cancel(run->call);
	if (run->read)
		job_blob_read_cancel(run->read);
	if (run->write)
		job_blob_write_cancel(run->write);
	run->call = NULL;
	run->server = NULL;
	run->read = NULL;
	run->write = NULL;
}

static void run_free(struct run *run)
{
	run_cancel(run);
	set_state(run, RUN_ENDING);
	run->item->run = NULL;
	list_remove(&run->link);
	if (run->payload)
		g_byte_array_free(run->payload, TRUE);
	job_request_item_clear(&run->request);
	g_free(run->fields);
	g_string_free(run->output, TRUE);
	event_stream_destroy(run->events);
	g_free(run);
}

/* Adds an item in the order of the jobs' due times. */
static struct run *run_create(struct batch *batch, struct job *job,
			      struct job_item *item)
{
	struct run *run = g_new0(struct run, 1);
	struct list *pos;

	run->batch = batch;
	run->job = job;
	run->item = item;
	run->output = g_string_new(NULL);
	run->last_event = -1;
	run->events = event_stream_create();
	run->state = RUN_ENDING;
	item->run = run;
	for (pos = batch->runs.prev; pos != &batch->runs; pos = pos->prev) {
		if (list_entry(pos, struct run, link)->job->due_ms <=
		    job->due_ms)
			break;
	}
	list_insert(pos, &run->link);
	set_state(run, RUN_WAITING);
	return run;
}

static void wait_again(struct run *run, uint64_t pause_ms)
{
	event_stream_reset(run->events);
	run->broken = false;
	run->not_before_ms = now_ms(run->batch) + pause_ms;
	set_state(run, RUN_WAITING);
}

/* Ends. */

static void append_end(struct run *run, const struct job_blob *output,
		       const char *dead_reason)
{
	size_t index = (size_t)(run->item - run->job->items);

	set_state(run, RUN_ENDING);
	/* The fold frees the run when the record comes back. */
	job_store_append(
		run->batch->gateway->job_store,
		job_log_encode_result(run->job->id, index, output, dead_reason),
		false, NULL, NULL);
}

static void give_up(struct run *run, const char *reason)
{
	log_event("item", LOG_LEVEL_WARN, "job=%s item=%s dead: %s",
		  run->job->id, run->item->id, reason);
	counter_add(run->batch->failed, 1);
	append_end(run, NULL, reason);
}

static void write_output(struct run *run);

static void on_output_written(void *ctx, const struct job_blob *places)
{
	struct run *run = ctx;

	run->write = NULL;
	if (places)
		append_end(run, &places[0], NULL);
	else
		write_output(run);
}

static void write_output(struct run *run)
{
	struct batch *batch = run->batch;
	GPtrArray *blobs = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	GByteArray *blob = g_byte_array_new();

	g_byte_array_append(blob, (const guint8 *)run->output->str,
			    (guint)run->output->len);
	g_ptr_array_add(blobs, blob);
	set_state(run, RUN_ENDING);
	run->write = job_store_write(
		batch->gateway->job_store, blobs, hash_string(run->item->id, 0),
		now_ms(batch) + WRITE_TIME_MS, on_output_written, run);
}

static void run_done(struct run *run)
{
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s done events=%" PRId64 " bytes=%zu "
		  "slack_ms=%" PRId64,
		  run->job->id, run->item->id, run->last_event,
		  run->output->len,
		  (int64_t)(run->job->due_ms - gateway_wall_ms()));
	counter_add(run->batch->done, 1);
	write_output(run);
}

static void run_failed(struct run *run)
{
	struct batch *batch = run->batch;
	size_t index = (size_t)(run->item - run->job->items);

	log_event("item", LOG_LEVEL_WARN,
		  "job=%s item=%s status=%d failures=%u of %u", run->job->id,
		  run->item->id, run->status, run->item->failures + 1,
		  run->job->attempts_max);
	job_store_append(
		batch->gateway->job_store,
		job_log_encode_failure(run->job->id, index, run->status), false,
		NULL, NULL);
	run->last_event = -1;
	g_string_truncate(run->output, 0);
	if (run->item->failures + 1 >= run->job->attempts_max)
		set_state(run, RUN_ENDING);
	else
		wait_again(run, FAILURE_PAUSE_MS);
}

/* The run at a server. */

static void on_event(void *ctx, const struct stream_event *event)
{
	struct run *run = ctx;

	if (run->broken || !event->has_id)
		return;
	if (run->last_event >= 0 &&
	    event->id != (uint64_t)run->last_event + 1) {
		run->broken = true;
		return;
	}
	if (run->last_event >= 0)
		g_string_append_c(run->output, '\n');
	g_string_append_len(run->output, event->data, (gssize)event->data_len);
	run->last_event = (int64_t)event->id;
}

static void on_head(void *ctx, const struct server_answer *answer)
{
	struct run *run = ctx;

	run->heard_ms = now_ms(run->batch);
	run->status = answer->status;
	if (answer->status == 200 && !answer->is_signed)
		run->broken = true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct run *run = ctx;

	run->heard_ms = now_ms(run->batch);
	if (run->status == 200 && !run->broken)
		event_stream_feed(run->events, data, len, on_event, run);
}

static void on_end(void *ctx, enum server_call_end end)
{
	struct run *run = ctx;
	size_t rest;

	run->call = NULL;
	run->server = NULL;
	event_stream_rest(run->events, &rest);
	if (end == SERVER_CALL_WHOLE && run->status == 200 && !run->broken &&
	    !rest && run->last_event >= 0)
		run_done(run);
	else if (end == SERVER_CALL_WHOLE && run->status == 422)
		give_up(run, "a server answered that it can't be done");
	else if (end == SERVER_CALL_WHOLE && run->status == 500)
		run_failed(run);
	else
		wait_again(run, FAILURE_PAUSE_MS);
}

static const struct route *route_of(const struct run *run)
{
	const struct route_table *config = run->batch->gateway->config;

	return config ? route_table_find(config, run->job->host,
					 run->job->path) :
			NULL;
}

static void start_at(struct run *run, struct server *server)
{
	struct batch *batch = run->batch;
	uint64_t wall = gateway_wall_ms();
	struct server_call_options options = {
		.gateway = batch->gateway,
		.server = server,
		.class = WORK_BATCH,
		.method = "POST",
		.target = run->request.path,
		.host = run->job->host,
		.request_id = run->item->id,
		.fields = run->fields,
		.body = (const char *)run->request.body,
		.body_len = run->request.body_len,
		.has_body = true,
		.deadline_ms = run->job->expires_ms > wall ?
				       run->job->expires_ms - wall :
				       1,
		.last_event = run->last_event,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = run,
	};

	set_state(run, RUN_RUNNING);
	run->status = 0;
	run->server = server;
	run->started_ms = now_ms(batch);
	run->heard_ms = run->started_ms;
	counter_add(batch->started, 1);
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s server=%s after_event=%" PRId64
		  " online=%u+%u batch=%u+%u",
		  run->job->id, run->item->id, server->id, run->last_event,
		  server->own[WORK_ONLINE], server->others[WORK_ONLINE],
		  server->own[WORK_BATCH], server->others[WORK_BATCH]);
	run->call = server_call_start(&options);
}

static bool decode_payload(struct run *run)
{
	GString *fields;
	size_t i;

	if (run->fields)
		return true;
	if (!job_request_item_decode(run->payload->data, run->payload->len,
				     &run->request))
		return false;
	fields = g_string_new(NULL);
	for (i = 0; i < run->request.fields_nr; i++)
		g_string_append_printf(fields, "%s: %s\r\n",
				       run->request.fields[i].name,
				       run->request.fields[i].value);
	run->fields = g_string_free(fields, FALSE);
	/* The decoded form holds it all. */
	g_byte_array_free(run->payload, TRUE);
	run->payload = NULL;
	return true;
}

static void on_payload(void *ctx, const char *data, size_t len)
{
	struct run *run = ctx;

	run->read = NULL;
	if (data) {
		run->payload = g_byte_array_new();
		g_byte_array_append(run->payload, (const guint8 *)data,
				    (guint)len);
		if (!decode_payload(run))
			log_event("item", LOG_LEVEL_ERROR,
				  "job=%s item=%s unreadable body",
				  run->job->id, run->item->id);
	}
	wait_again(run, data ? 0 : FAILURE_PAUSE_MS);
}

static void fetch_payload(struct run *run)
{
	set_state(run, RUN_FETCHING);
	run->read = job_store_read(run->batch->gateway->job_store,
				   &run->item->body, on_payload, run);
}

/* Finds out what a waiting item needs next. */
static bool prepare(struct run *run, uint64_t now)
{
	const struct route *route;

	if (run->state != RUN_WAITING || run->not_before_ms > now)
		return false;
	if (gateway_wall_ms() >= run->job->expires_ms) {
		give_up(run, "its time to be done is over");
		return false;
	}
	route = route_of(run);
	if (!run->batch->gateway->config)
		return false;
	if (!route) {
		give_up(run, "its route was removed");
		return false;
	}
	if (run->fields || (run->payload && decode_payload(run)))
		return true;
	fetch_payload(run);
	return false;
}

static void start_waiting(struct batch *batch)
{
	struct gateway *gateway = batch->gateway;
	uint64_t now = now_ms(batch);
	const char *service = NULL;
	int room = 0;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);
		struct server *server;
		const char *wanted;

		if (!prepare(run, now))
			continue;
		wanted = route_pick_service(route_of(run),
					    hash_string(run->item->id, 0));
		if (!wanted)
			continue;
		if (!service || strcmp(service, wanted) != 0) {
			service = wanted;
			room = fleet_batch_room(gateway->fleet, service, now);
			if (room > 0)
				room = 1 + (room - 1) / (int)peers_backlogged(
								gateway->peers);
		}
		if (room <= 0)
			continue;
		server = fleet_choose_batch(gateway->fleet, service, now);
		if (!server) {
			room = 0;
			continue;
		}
		room--;
		start_at(run, server);
	}
}

/* Takes an item off its server; it goes on elsewhere behind its last event. */
static void run_yield(struct run *run, const char *why, uint64_t pause_ms)
{
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s server=%s off after_event=%" PRId64
		  " ms=%" PRIu64 ": %s",
		  run->job->id, run->item->id, run->server->id, run->last_event,
		  now_ms(run->batch) - run->started_ms, why);
	server_call_cancel(run->call);
	run->call = NULL;
	run->server = NULL;
	wait_again(run, pause_ms);
}

static void yield_on(struct batch *batch, struct server *server)
{
	unsigned nr = fleet_yield(batch->gateway->fleet, server,
				  batch->gateway->identity_hash);
	struct list *pos, *prev;

	/* From the end: the latest due yields first. */
	for (pos = batch->runs.prev; nr && pos != &batch->runs; pos = prev) {
		struct run *run = list_entry(pos, struct run, link);

		prev = pos->prev;
		if (run->state != RUN_RUNNING || run->server != server)
			continue;
		counter_add(batch->yielded, 1);
		run_yield(run, "online needs the slot", YIELD_PAUSE_MS);
		nr--;
	}
}

void batch_load_changed(struct batch *batch)
{
	struct list *pos;

	/* Yielding changes the load, too. */
	if (batch->yielding)
		return;
	batch->yielding = true;
	list_for_each (pos, fleet_servers(batch->gateway->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		if (server->own[WORK_BATCH])
			yield_on(batch, server);
	}
	batch->yielding = false;
}

static void end_stalled(struct batch *batch)
{
	uint64_t now = now_ms(batch);
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state == RUN_RUNNING && now - run->heard_ms > STALL_MS)
			run_yield(run, "the server is silent",
				  FAILURE_PAUSE_MS);
	}
}

/* Takes the items of jobs that this node owns, also by a takeover. */
static void scan_jobs(struct batch *batch)
{
	struct gateway *gateway = batch->gateway;
	struct list *pos;
	size_t i;

	list_for_each (pos, job_log_jobs(job_store_log(gateway->job_store))) {
		struct job *job = list_entry(pos, struct job, link);

		if (!job->open_nr || job->ended ||
		    !peers_own(gateway->peers, job))
			continue;
		for (i = 0; i < job->items_nr; i++) {
			if (job->items[i].state == JOB_ITEM_OPEN &&
			    !job->items[i].run)
				run_create(batch, job, &job->items[i]);
		}
	}
}

static void on_tick(uv_timer_t *timer)
{
	struct batch *batch = timer->data;
	uint64_t now = now_ms(batch);

	if (batch->gateway->stopping ||
	    !job_store_loaded(batch->gateway->job_store))
		return;
	if (now - batch->scanned_ms >= SCAN_MS) {
		batch->scanned_ms = now;
		scan_jobs(batch);
		end_stalled(batch);
	}
	if (batch->waiting)
		start_waiting(batch);
}

void batch_adopt(struct batch *batch, struct job *job, GPtrArray *items)
{
	size_t i;

	for (i = 0; i < job->items_nr && i < items->len; i++) {
		struct run *run;

		if (job->items[i].state != JOB_ITEM_OPEN || job->items[i].run)
			continue;
		run = run_create(batch, job, &job->items[i]);
		run->payload = g_byte_array_ref(g_ptr_array_index(items, i));
	}
}

void batch_result(struct batch *batch, struct job_item *item)
{
	(void)batch;
	if (item->run)
		run_free(item->run);
}

void batch_job_ended(struct batch *batch, struct job *job)
{
	size_t i;

	for (i = 0; i < job->items_nr; i++)
		batch_result(batch, &job->items[i]);
}

unsigned batch_backlog(const struct batch *batch)
{
	return batch->waiting;
}

void batch_stop(struct batch *batch)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state != RUN_ENDING)
			run_free(run);
	}
}

struct batch *batch_create(struct gateway *gateway)
{
	struct batch *batch = g_new0(struct batch, 1);
	struct metrics *metrics = gateway->metrics;

	batch->gateway = gateway;
	list_init(&batch->runs);
	batch->started =
		metrics_counter(metrics, "briarplank_item_runs_total", "");
	batch->yielded =
		metrics_counter(metrics, "briarplank_item_yields_total", "");
	batch->done = metrics_counter(metrics, "briarplank_items_total",
				      "end=\"done\"");
	batch->failed = metrics_counter(metrics, "briarplank_items_total",
					"end=\"dead\"");
	uv_timer_init(gateway->loop, &batch->timer);
	batch->timer.data = batch;
	uv_timer_start(&batch->timer, on_tick, TICK_MS, TICK_MS);
	return batch;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void batch_destroy(struct batch *batch)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs)
		run_free(list_entry(pos, struct run, link));
	uv_close((uv_handle_t *)&batch->timer, on_closed);
}
