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
/* Period in which the runs' progress is saved, in ms, and the events that
 * must have come since. A node that dies loses about half of it a run, and
 * each save is two calls to the store for all runs together. */
#define SAVE_MS 1200
#define SAVE_EVENTS 12
/* Longest time for which a stopping node waits for its last save, in ms. */
#define HAND_OVER_MS 2000
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
	/* Last event whose output is saved or being saved. */
	int64_t saved_event;
	/* The saved output is being read; the body comes before. */
	bool reading_saved;
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
	uint64_t saved_ms;
	struct save *save;
	bool yielding;
	struct counter *started;
	struct counter *yielded;
	struct counter *done;
	struct counter *failed;
};

/* Outputs on the way to the store, each for one of the records. */
struct save {
	struct batch *batch;
	GPtrArray *entries;
	unsigned appends;
};

struct save_entry {
	char *job;
	size_t item;
	uint64_t last_event;
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
	run->saved_event = item->saved_event;
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
	run->saved_event = -1;
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
	for (i = 0; i < run->request.fields_nr; i++) {
		if (server_call_passes_field(run->request.fields[i].name))
			g_string_append_printf(fields, "%s: %s\r\n",
					       run->request.fields[i].name,
					       run->request.fields[i].value);
	}
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

static void on_saved_output(void *ctx, const char *data, size_t len)
{
	struct run *run = ctx;

	run->read = NULL;
	run->reading_saved = false;
	/* Without the saved part the item starts anew. */
	if (data) {
		g_string_append_len(run->output, data, (gssize)len);
		run->last_event = run->saved_event;
	} else {
		run->saved_event = -1;
	}
	wait_again(run, 0);
}

/* Reads what another node, or an earlier process of this one, had done. */
static void fetch_saved(struct run *run)
{
	run->saved_event = run->item->saved_event;
	run->reading_saved = true;
	set_state(run, RUN_FETCHING);
	run->read = job_store_read(run->batch->gateway->job_store,
				   &run->item->saved, on_saved_output, run);
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
	if (!run->fields && !(run->payload && decode_payload(run))) {
		fetch_payload(run);
		return false;
	}
	if (run->last_event < 0 && run->saved_event >= 0) {
		fetch_saved(run);
		return false;
	}
	return true;
}

/* Items that may start now: this node's part of the room, rounded by chance. */
static int starts_allowed(struct batch *batch, const struct batch_query *query)
{
	struct gateway *gateway = batch->gateway;
	double room = fleet_batch_room(gateway->fleet, query) /
		      peers_backlogged(gateway->peers, query->far);

	return room <= 0 ? 0 : (int)(room + g_random_double());
}

static uint64_t random_number(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int();
}

/* Starts items in their order at servers of this region or of the others. */
static void start_waiting(struct batch *batch, bool far)
{
	struct gateway *gateway = batch->gateway;
	struct batch_query query = { .now_ms = now_ms(batch), .far = far };
	int starts = 0;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);
		struct server *server;
		const char *wanted;

		if (!prepare(run, query.now_ms))
			continue;
		wanted = route_pick_service(route_of(run),
					    hash_string(run->item->id, 0));
		if (!wanted)
			continue;
		if (!query.service || strcmp(query.service, wanted) != 0) {
			query.service = wanted;
			starts = starts_allowed(batch, &query);
		}
		query.random = random_number();
		if (starts <= 0)
			continue;
		server = fleet_choose_batch(gateway->fleet, &query);
		if (!server) {
			starts = 0;
			continue;
		}
		starts--;
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

/* Saving what the runs have done. */

static void save_entry_free(gpointer data)
{
	struct save_entry *entry = data;

	g_free(entry->job);
	g_free(entry);
}

static void batch_handed_over(struct batch *batch, const char *how)
{
	struct list *pos, *tmp;

	if (batch->gateway->handed_over)
		return;
	log_event("stop", LOG_LEVEL_INFO, "batch items handed over: %s", how);
	batch->gateway->handed_over = true;
	uv_timer_stop(&batch->timer);
	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state != RUN_ENDING)
			run_free(run);
	}
	peers_load_changed(batch->gateway->peers);
}

static void save_end(struct save *save)
{
	save->batch->save = NULL;
	if (save->batch->gateway->stopping)
		batch_handed_over(save->batch, "saved");
	g_ptr_array_free(save->entries, TRUE);
	g_free(save);
}

static void on_save_appended(void *ctx, enum job_append_result result)
{
	struct save *save = ctx;

	(void)result;
	if (--save->appends == 0)
		save_end(save);
}

static void on_save_written(void *ctx, const struct job_blob *places)
{
	struct save *save = ctx;
	struct job_store *store = save->batch->gateway->job_store;
	guint i;

	if (!places) {
		save_end(save);
		return;
	}
	save->appends = save->entries->len;
	for (i = 0; i < save->entries->len; i++) {
		struct save_entry *entry = g_ptr_array_index(save->entries, i);

		job_store_append(
			store,
			job_log_encode_progress(entry->job, entry->item,
						entry->last_event, &places[i]),
			true, on_save_appended, save);
	}
}

static void save_add(struct save *save, struct run *run, GPtrArray *blobs)
{
	struct save_entry *entry = g_new0(struct save_entry, 1);
	GByteArray *blob = g_byte_array_new();

	entry->job = g_strdup(run->job->id);
	entry->item = (size_t)(run->item - run->job->items);
	entry->last_event = (uint64_t)run->last_event;
	g_ptr_array_add(save->entries, entry);
	g_byte_array_append(blob, (const guint8 *)run->output->str,
			    (guint)run->output->len);
	g_ptr_array_add(blobs, blob);
	run->saved_event = run->last_event;
}

/* Saves the runs that came on by some events; false when there is none. */
static bool save_runs(struct batch *batch, int64_t events)
{
	struct save *save = g_new0(struct save, 1);
	GPtrArray *blobs = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	struct list *pos;

	save->batch = batch;
	save->entries = g_ptr_array_new_with_free_func(save_entry_free);
	list_for_each (pos, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if ((run->state == RUN_RUNNING || run->state == RUN_WAITING) &&
		    run->last_event >= run->saved_event + events)
			save_add(save, run, blobs);
	}
	batch->saved_ms = now_ms(batch);
	if (!blobs->len) {
		g_ptr_array_free(blobs, TRUE);
		g_ptr_array_free(save->entries, TRUE);
		g_free(save);
		return false;
	}
	batch->save = save;
	job_store_write(batch->gateway->job_store, blobs,
			batch->gateway->identity_hash,
			now_ms(batch) + HAND_OVER_MS, on_save_written, save);
	return true;
}

static void run_drop(struct run *run, const char *why)
{
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s dropped after_event=%" PRId64 ": %s",
		  run->job->id, run->item->id, run->last_event, why);
	run_free(run);
}

/* Takes the items of jobs that this node owns, also by a takeover. */
static void scan_jobs(struct batch *batch)
{
	struct gateway *gateway = batch->gateway;
	struct list *pos, *tmp;
	size_t i;

	/* Another node may own by now what this one took over. */
	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state != RUN_ENDING &&
		    !peers_own(gateway->peers, run->job))
			run_drop(run, "another node owns the job");
	}

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
	if (!batch->save && now - batch->saved_ms >= SAVE_MS)
		save_runs(batch, SAVE_EVENTS);
	if (batch->waiting)
		start_waiting(batch, false);
	if (batch->waiting)
		start_waiting(batch, true);
	if (now - batch->scanned_ms >= SCAN_MS) {
		batch->scanned_ms = now;
		end_stalled(batch);
		scan_jobs(batch);
	}
}

void batch_adopt(struct batch *batch, struct job *job, GPtrArray *items)
{
	size_t i;

	if (batch->gateway->stopping)
		return;

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

static void on_hand_over_late(uv_timer_t *timer)
{
	batch_handed_over(timer->data, "its progress was not saved in time");
}

void batch_stop(struct batch *batch)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state == RUN_RUNNING)
			run_yield(run, "the node stops", 0);
	}
	uv_timer_start(&batch->timer, on_hand_over_late, HAND_OVER_MS, 0);
	/* An earlier save under way ends the hand-over as well; what it lacks
	 * is little. */
	if (!save_runs(batch, 1) && !batch->save)
		batch_handed_over(batch, "nothing to save");
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

/* The store's client, which would end a save under way, goes next. */
void batch_destroy(struct batch *batch)
{
	struct list *pos, *tmp;

	if (batch->save) {
		g_ptr_array_free(batch->save->entries, TRUE);
		g_free(batch->save);
	}
	list_for_each_safe (pos, tmp, &batch->runs)
		run_free(list_entry(pos, struct run, link));
	uv_close((uv_handle_t *)&batch->timer, on_closed);
}
