#include <string.h>

#include "batch_run.h"
#include "common/hash.h"
#include "common/log.h"
#include "evidence_share.h"
#include "platform/codec.h"

/* Status of an answer that counts as a failed attempt of an item. */
#define ITEM_FAILED_STATUS 500
/* Backoff of an item after a failed run, in ms. */
#define FAILURE_BACKOFF_MS 250
/* Interval at which an item with a quarantined part is checked again, in ms. */
#define QUARANTINED_BACKOFF_MS 1000
/* Time for which an item waits for a server of the software version that wrote its output
 * so far while others are free, before it starts over, in ms. */
#define BOUND_WAIT_MS 3000
/* Deadline of one write of an output to the store, in ms. A write that misses
 * it is started again. */
#define WRITE_TIMEOUT_MS 20000

/* Maximum size of the outputs of all runs together, in bytes. */
#define OUTPUTS_BYTES_MAX (32 << 20)
/* Size up to which an output isn't rejected for that limit, in bytes. */
#define SHORT_OUTPUT_BYTES (64 << 10)

static uint64_t now_ms(const struct batch *batch)
{
	return uv_now(batch->gateway->loop);
}

/* Returns the maximum size of one output, in bytes: that of a call which writes it to the
 * store. */
static size_t batch_output_max(const struct batch *batch)
{
	size_t call = (size_t)batch->gateway->settings->store_call_bytes;

	/* A sixteenth is more than enough for the lengths of the records. */
	return call - call / 16;
}

static void count_waiting(const struct run *run, int change)
{
	struct batch_backlog *waiting = &run->batch->waiting;

	if (run->state != RUN_WAITING)
		return;
	if (run->late)
		waiting->late += (unsigned)change;
	else
		waiting->in_time += (unsigned)change;
}

static void set_state(struct run *run, enum run_state state)
{
	count_waiting(run, -1);
	run->state = state;
	count_waiting(run, 1);
}

void run_set_late(struct run *run, bool late)
{
	count_waiting(run, -1);
	run->late = late;
	count_waiting(run, 1);
}

struct item_length *batch_length(struct batch *batch, const struct job *job)
{
	struct item_length *length =
		g_hash_table_lookup(batch->lengths, job->route);

	if (length)
		return length;
	length = g_new0(struct item_length, 1);
	g_hash_table_insert(batch->lengths, g_strdup(job->route), length);
	return length;
}

static void run_cancel(struct run *run)
{
	if (run->call)
		server_call_cancel(run->call);
	if (run->read)
		job_bulk_read_cancel(run->read);
	if (run->write)
		job_bulk_write_cancel(run->write);
	run->call = NULL;
	run->server = NULL;
	run->read = NULL;
	run->write = NULL;
}

void run_free(struct run *run)
{
	run_cancel(run);
	set_state(run, RUN_ENDING);
	run->item->run = NULL;
	list_remove(&run->link);
	if (run->payload)
		g_byte_array_unref(run->payload);
	job_request_item_clear(&run->request);
	g_free(run->fields);
	prompt_clear(&run->prompt);
	run->batch->output_bytes -= run->output->len;
	g_string_free(run->output, TRUE);
	event_stream_destroy(run->events);
	g_free(run);
}

struct run *run_create(struct batch *batch, struct job *job,
		       struct job_item *item)
{
	struct run *run = g_new0(struct run, 1);
	struct list *pos;

	run->batch = batch;
	run->job = job;
	run->item = item;
	run->failures = item->failures;
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

static void requeue(struct run *run, uint64_t backoff_ms)
{
	event_stream_reset(run->events);
	run->broken = false;
	run->not_before_ms = now_ms(run->batch) + backoff_ms;
	set_state(run, RUN_WAITING);
}

/* Functions that store the result of an item. */

static void append_result(struct run *run, const struct job_blob *output,
			  const char *dead_reason)
{
	size_t index = (size_t)(run->item - run->job->items);

	set_state(run, RUN_ENDING);
	/* The run is freed by batch_item_ended() when the record is read from
	 * the job log. */
	job_store_append(
		run->batch->gateway->job_store,
		job_log_encode_result(run->job->id, index, output, dead_reason),
		false, NULL, NULL);
}

static void dead_letter(struct run *run, const char *reason)
{
	log_event("item", LOG_LEVEL_WARN, "job=%s item=%s dead: %s",
		  run->job->id, run->item->id, reason);
	counter_add(run->batch->failed, 1);
	append_result(run, NULL, reason);
}

static void write_output(struct run *run);

static void on_output_written(void *ctx, const struct job_blob *locations)
{
	struct run *run = ctx;

	run->write = NULL;
	if (locations)
		append_result(run, &locations[0], NULL);
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
	run->write = job_bulk_write(
		batch->gateway->job_bulk, blobs, hash_string(run->item->id, 0),
		now_ms(batch) + WRITE_TIMEOUT_MS, on_output_written, run);
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
	item_length_record_item(batch_length(run->batch, run->job),
				(uint64_t)run->last_event + 1);
	write_output(run);
}

/* Makes the item start over at its first event. */
static void discard_output(struct run *run)
{
	run->last_event = -1;
	run->saved_event = -1;
	run->software = 0;
	run->bound_since_ms = 0;
	run->events_nr = 0;
	run->output_number++;
	run->batch->output_bytes -= run->output->len;
	g_string_truncate(run->output, 0);
}

static void run_failed(struct run *run)
{
	struct batch *batch = run->batch;
	size_t index = (size_t)(run->item - run->job->items);

	/* The job log may not hold this run's earlier failures yet. */
	run->failures = MAX(run->failures, run->item->failures) + 1;
	log_event("item", LOG_LEVEL_WARN,
		  "job=%s item=%s status=%d failures=%u of %u", run->job->id,
		  run->item->id, run->status, run->failures,
		  run->job->attempts_max);
	job_store_append(
		batch->gateway->job_store,
		job_log_encode_failure(run->job->id, index, run->status), false,
		NULL, NULL);
	discard_output(run);
	if (run->failures >= run->job->attempts_max)
		set_state(run, RUN_ENDING);
	else
		requeue(run, FAILURE_BACKOFF_MS);
}

/* Functions that run an item by a call to a server. */

static void output_append(struct run *run, const char *data, size_t len)
{
	g_string_append_len(run->output, data, (gssize)len);
	run->batch->output_bytes += len;
}

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
		output_append(run, "\n", 1);
	else
		run->software = run->call_software;
	output_append(run, event->data, event->data_len);
	run->events_nr++;
	run->last_event = (int64_t)event->id;
	/* Bytes without an event are no sign that the output goes on. */
	run->last_receive_ms = now_ms(run->batch);
}

/* Adds the run's time for its events to the statistics of its route. */
static void record_event_time(const struct run *run)
{
	int64_t events = run->last_event - run->first_event;

	if (events > 0)
		item_length_record_run(
			batch_length(run->batch, run->job), (uint64_t)events,
			(double)(run->last_receive_ms - run->started_ms));
}

/* Requeues an item whose response can't be used as a whole. */
static void run_broken_off(struct run *run, const char *end)
{
	size_t rest;

	event_stream_rest(run->events, &rest);
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s broken off end=%s status=%d framing=%s "
		  "last_event=%" PRId64 " rest=%zu",
		  run->job->id, run->item->id, end, run->status,
		  http_link_framing_name(run->framing), run->last_event, rest);
	requeue(run, FAILURE_BACKOFF_MS);
}

/* Ends the server call at once, as nothing that follows can be used. */
static void reject_response(struct run *run, const char *reason)
{
	server_call_reject(run->call, reason);
	run->call = NULL;
	run->server = NULL;
	record_event_time(run);
	run_broken_off(run, "rejected");
}

static bool output_overlong(const struct run *run)
{
	return (run->events_max && run->events_nr > run->events_max) ||
	       run->output->len > batch_output_max(run->batch);
}

/* Makes an item start over whose output can't be its own. The saved part of that
 * output is discarded too, so that no other node goes on with it. */
static void reject_output(struct run *run, const char *reason)
{
	size_t index = (size_t)(run->item - run->job->items);

	log_event("item", LOG_LEVEL_WARN,
		  "job=%s item=%s output rejected: %s events=%" PRIu64
		  " of %" PRIu64 " bytes=%zu of all=%zu",
		  run->job->id, run->item->id, reason, run->events_nr,
		  run->events_max, run->output->len, run->batch->output_bytes);
	if (run->saved_event >= 0)
		job_store_append(run->batch->gateway->job_store,
				 job_log_encode_discard(run->job->id, index),
				 false, NULL, NULL);
	if (run->call)
		reject_response(run, reason);
	discard_output(run);
}

/* Keeps the outputs of all runs within their limit: rejects the longest, unless it is short,
 * as then the outputs that wait for the store fill their room. */
static void limit_outputs(struct batch *batch)
{
	struct run *longest = NULL;
	struct list *pos;

	if (batch->output_bytes <= OUTPUTS_BYTES_MAX)
		return;
	list_for_each (pos, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if ((run->state == RUN_RUNNING || run->state == RUN_WAITING) &&
		    (!longest || run->output->len > longest->output->len))
			longest = run;
	}
	if (longest && longest->output->len > SHORT_OUTPUT_BYTES)
		reject_output(longest, "the outputs of all items are too long");
}

static void on_head(void *ctx, const struct server_response *answer)
{
	struct run *run = ctx;

	run->last_receive_ms = now_ms(run->batch);
	run->status = answer->status;
	run->framing = answer->head->framing;
	if (answer->status / 100 == 2 &&
	    (answer->status != 200 || !answer->is_signed || answer->not_events))
		reject_response(run, "not a signed response with status 200 "
				     "and events");
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct run *run = ctx;

	if (run->status != 200)
		return;
	event_stream_feed(run->events, data, len, on_event, run);
	if (run->broken)
		reject_response(run, "a gap in the events");
	else if (event_stream_overlong(run->events))
		reject_response(run, "bytes but no events");
	else if (output_overlong(run))
		reject_output(run, "it is longer than the item allows");
	else
		limit_outputs(run->batch);
}

/*
 * Handles a response that ended before its first event, with its connection or after an
 * event had begun elsewhere. It may be the end of a resumed item, or have broken off. After
 * the second one in a row the item starts over, as only its whole output tells.
 */
static void run_ended_unsure(struct run *run)
{
	bool again = run->ended_unsure;

	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s ended before its first event "
		  "after_event=%" PRId64 ", %s",
		  run->job->id, run->item->id, run->last_event,
		  again ? "starts over" : "resumes again");
	if (again)
		discard_output(run);
	run->ended_unsure = !again;
	requeue(run, FAILURE_BACKOFF_MS);
}

static void on_end(void *ctx, enum server_call_end end)
{
	struct run *run = ctx;
	bool until_close = run->framing == HTTP_LINK_UNTIL_CLOSE;
	size_t rest;

	run->call = NULL;
	run->server = NULL;
	record_event_time(run);
	event_stream_rest(run->events, &rest);
	if (run->last_event > run->first_event)
		run->ended_unsure = false;
	if (end == SERVER_CALL_COMPLETE && run->status == 200 &&
	    !event_stream_broke_off(run->events, until_close) &&
	    !event_stream_owes_event(run->events) && run->last_event >= 0)
		run_done(run);
	else if (end == SERVER_CALL_COMPLETE && run->status == 200 && !rest &&
		 run->last_event >= 0)
		run_ended_unsure(run);
	else if (end == SERVER_CALL_COMPLETE && run->status == 422)
		dead_letter(run, "a server rejected it with status 422");
	else if (end == SERVER_CALL_COMPLETE &&
		 run->status == ITEM_FAILED_STATUS)
		run_failed(run);
	else
		run_broken_off(run, server_call_end_name(end));
}

const struct route *run_route(struct run *run)
{
	const struct route_table *config = run->batch->gateway->config;

	if (!config)
		return NULL;
	if (!run->route || run->routed_version != config->version) {
		run->route = route_table_find(config, run->job->host,
					      run->job->path);
		run->routed_version = config->version;
	}
	return run->route;
}

const char *run_service(struct run *run)
{
	const struct route *route = run_route(run);
	const char *service = NULL;

	if (!route)
		return NULL;
	/* An item that has output goes on at the service that wrote it. */
	if (run->last_event >= 0)
		service = fleet_software_service(run->batch->gateway->fleet,
						 run->software);
	return service && route_has_service(route, service) ?
		       service :
		       route_pick_service(route, hash_string(run->item->id, 0));
}

/* Makes an item start over whose output so far no server can go on with. */
static void start_over(struct run *run, const char *reason)
{
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s starts over after_event=%" PRId64 ": %s",
		  run->job->id, run->item->id, run->last_event, reason);
	discard_output(run);
}

bool run_lost_software(struct run *run, const char *service)
{
	if (run->last_event < 0 ||
	    !fleet_software_gone(run->batch->gateway->fleet, service,
				 run->software))
		return false;
	start_over(run,
		   "no server has the software version that wrote its output");
	return true;
}

void run_found_no_server(struct run *run, uint64_t now)
{
	if (!run->bound_since_ms)
		run->bound_since_ms = now;
	if (now - run->bound_since_ms >= BOUND_WAIT_MS)
		start_over(run, "the servers of the software version that "
				"wrote its output have no free slot");
}

void run_start_at(struct run *run, struct server *server)
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
		.earlier_status = run->failures ? ITEM_FAILED_STATUS : 0,
		.account = run->job->account,
		.prompt = &run->prompt,
		.fields = run->fields,
		.body = (const char *)run->request.body,
		.body_len = run->request.body_len,
		.has_body = true,
		.deadline_ms = run->job->expires_ms > wall ?
				       run->job->expires_ms - wall :
				       1,
		.last_event = run->last_event,
		.events = run->events,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = run,
	};

	set_state(run, RUN_RUNNING);
	run->status = 0;
	run->framing = HTTP_LINK_FRAMING_UNKNOWN;
	run->server = server;
	run->call_software = server->software_hash;
	run->bound_since_ms = 0;
	run->first_event = run->last_event;
	run->started_ms = now_ms(batch);
	run->last_receive_ms = run->started_ms;
	counter_add(batch->started, 1);
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s server=%s software=%s after_event=%" PRId64
		  " online=%u+%u batch=%u+%u",
		  run->job->id, run->item->id, server->id, server->software,
		  run->last_event, server->own[WORK_ONLINE],
		  server->others[WORK_ONLINE], server->own[WORK_BATCH],
		  server->others[WORK_BATCH]);
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
		const struct job_request_field *field = &run->request.fields[i];

		if (server_call_forwards_field(run->batch->gateway,
					       field->name))
			g_string_append_printf(fields, "%s: %s\r\n",
					       field->name, field->value);
		if (!g_ascii_strcasecmp(field->name,
					platform_fields.prompt_prefix)) {
			prompt_clear(&run->prompt);
			platform_prompt_parse(field->value, &run->prompt);
		}
		/* An event holds a token or more. */
		if (!g_ascii_strcasecmp(field->name,
					platform_fields.token_count))
			run->events_max =
				platform_tokens_parse(field->value).output_max;
	}
	run->fields = g_string_free(fields, FALSE);
	/* The encoded request isn't needed once it is decoded. */
	g_byte_array_unref(run->payload);
	run->payload = NULL;
	return true;
}

static void on_payload_read(void *ctx, const char *data, size_t len)
{
	struct run *run = ctx;
	bool valid = false;

	run->read = NULL;
	if (data) {
		run->payload = g_byte_array_new();
		g_byte_array_append(run->payload, (const guint8 *)data,
				    (guint)len);
		valid = decode_payload(run);
	}
	if (data && !valid) {
		log_event("item", LOG_LEVEL_ERROR,
			  "job=%s item=%s malformed stored body", run->job->id,
			  run->item->id);
		g_byte_array_unref(run->payload);
		run->payload = NULL;
	}
	requeue(run, valid ? 0 : FAILURE_BACKOFF_MS);
}

static void fetch_payload(struct run *run)
{
	set_state(run, RUN_FETCHING);
	run->read = job_bulk_read(run->batch->gateway->job_bulk,
				  &run->item->body, on_payload_read, run);
}

/* Returns the number of events of a saved output. Their ids begin at 0 or 1, so that it
 * may be one less; at other ids, the lines are counted. */
static uint64_t saved_events(const struct run *run)
{
	const char *at = run->output->str;
	uint64_t lines = 1;

	while ((at = strchr(at, '\n'))) {
		lines++;
		at++;
	}
	return MIN(lines, (uint64_t)run->saved_event);
}

static void on_saved_output_read(void *ctx, const char *data, size_t len)
{
	struct run *run = ctx;

	run->read = NULL;
	/* If the saved output can't be read, the item starts over. */
	if (data) {
		output_append(run, data, len);
		run->last_event = run->saved_event;
		run->events_nr = saved_events(run);
		run->software = run->saved_software;
	} else {
		run->saved_event = -1;
	}
	requeue(run, 0);
	if (output_overlong(run))
		reject_output(run, "the saved part is longer than the item "
				   "allows");
	else
		limit_outputs(run->batch);
}

/* Reads the output saved by another node or by an earlier process here. */
static void fetch_saved_output(struct run *run)
{
	run->saved_event = run->item->saved_event;
	run->saved_software = run->item->saved_software;
	set_state(run, RUN_FETCHING);
	run->read = job_bulk_read(run->batch->gateway->job_bulk,
				  &run->item->saved, on_saved_output_read, run);
}

/* Holds an item whose prompt has a quarantined part: it is neither run nor
 * counted as waiting. Returns whether it has one. */
static bool run_quarantined(struct run *run, uint64_t now)
{
	struct quarantine_verdict verdict;

	if (evidence_share_allows(run->batch->gateway->evidence, &run->prompt,
				  &verdict)) {
		run->quarantined = false;
		return false;
	}
	if (!run->quarantined)
		log_event("quarantine", LOG_LEVEL_WARN,
			  "job=%s item=%s part=%016" PRIx64 " crashes=%u",
			  run->job->id, run->item->id, verdict.key,
			  verdict.crashes);
	run->quarantined = true;
	run->not_before_ms = now + QUARANTINED_BACKOFF_MS;
	set_state(run, RUN_HELD);
	return true;
}

void run_check_held(struct run *run, uint64_t now)
{
	if (run->state == RUN_HELD && run->not_before_ms <= now)
		set_state(run, RUN_WAITING);
}

bool run_prepare(struct run *run, uint64_t now)
{
	const struct route *route;

	if (run->state != RUN_WAITING || run->not_before_ms > now)
		return false;
	if (job_may_be_given_up(run->job, gateway_wall_ms())) {
		dead_letter(run, "its job expired");
		return false;
	}
	route = run_route(run);
	if (!run->batch->gateway->config)
		return false;
	if (!route) {
		dead_letter(run, "the configuration has no route for it");
		return false;
	}
	if (!run->fields && !(run->payload && decode_payload(run))) {
		fetch_payload(run);
		return false;
	}
	if (run->last_event < 0 && run->saved_event >= 0) {
		fetch_saved_output(run);
		return false;
	}
	return !run_quarantined(run, now);
}

void run_interrupt(struct run *run, const char *reason, uint64_t backoff_ms)
{
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s server=%s interrupted "
		  "after_event=%" PRId64 " ms=%" PRIu64 ": %s",
		  run->job->id, run->item->id, run->server->id, run->last_event,
		  now_ms(run->batch) - run->started_ms, reason);
	server_call_cancel(run->call);
	run->call = NULL;
	run->server = NULL;
	record_event_time(run);
	requeue(run, backoff_ms);
}

void run_release(struct run *run, const char *reason)
{
	log_event("item", LOG_LEVEL_INFO,
		  "job=%s item=%s released after_event=%" PRId64 ": %s",
		  run->job->id, run->item->id, run->last_event, reason);
	run_free(run);
}
