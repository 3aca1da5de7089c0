#include <string.h>

#include "common/log.h"
#include "core/job_request.h"
#include "job_bulk.h"
#include "job_calls_private.h"
#include "platform/codec.h"

/* Bytes of outputs in one page; escaped as JSON they may take a megabyte. */
#define PAGE_BYTES 400000

struct job_read {
	struct list link;
	struct gateway *gateway;
	struct web_request *web;
	char *job;
	/* Id of the item whose body is read; NULL if the call reads results or
	 * ends the job. */
	char *item;
	/* The call asks to end the job, not to read it. */
	bool ending;
	/* Number of results that the caller already has. */
	uint64_t position;
	/* The call waits for a result after position (long poll). */
	bool waiting;
	uint64_t deadline_ms;
	uv_timer_t timer;
	/* Read of an output or a body from the store, or NULL, and the location
	 * of the data. */
	struct job_bulk_read *blob;
	struct job_blob location;
	/* Outputs of the page of results, in order; NULL for a dead-lettered
	 * item. */
	GPtrArray *outputs;
	size_t bytes;
};

static void on_read_closed(uv_handle_t *handle)
{
	struct job_read *read = handle->data;

	g_ptr_array_free(read->outputs, TRUE);
	g_free(read->job);
	g_free(read->item);
	g_free(read);
}

static void read_free(struct job_read *read)
{
	list_remove(&read->link);
	if (read->blob)
		job_bulk_read_cancel(read->blob);
	uv_timer_stop(&read->timer);
	uv_close((uv_handle_t *)&read->timer, on_read_closed);
}

static void on_reader_closed(void *ctx, bool sent)
{
	struct job_read *read = ctx;

	(void)sent;
	read->web = NULL;
	/* The end of a job is carried out even if its caller has left. */
	if (!read->ending)
		read_free(read);
}

static void read_refuse(struct job_read *read, int status, const char *reason)
{
	log_event("job_read", LOG_LEVEL_WARN,
		  "job=%s item=%s position=%" PRIu64 " status=%d %s", read->job,
		  read->item ? read->item : "-", read->position, status,
		  reason);
	if (!read->web) {
		read_free(read);
		return;
	}
	if (status == 503)
		gateway_refuse(job_call_detach(&read->web), 503,
			       job_store_retry_s(read->gateway->job_store),
			       "%s", reason);
	else
		web_problem(job_call_detach(&read->web), status, "No answer",
			    "%s", reason);
	read_free(read);
}

/* Answers 404 for an unknown job or item, or 503 when this node's copy of the
 * job log may be out of date. */
static void read_unknown(struct job_read *read, const char *reason)
{
	if (job_store_is_current(read->gateway->job_store))
		read_refuse(read, 404, reason);
	else
		read_refuse(read, 503, "the job log can't be followed now");
}

static void page_answer(struct job_read *read, const struct job *job)
{
	struct platform_result *results =
		g_new0(struct platform_result, read->outputs->len);
	char *text;
	guint i;

	for (i = 0; i < read->outputs->len; i++) {
		const GBytes *output = g_ptr_array_index(read->outputs, i);
		const struct job_item *item =
			&job->items[job->results[read->position + i]];

		results[i].item = item->id;
		if (output)
			results[i].output = g_bytes_get_data(
				(GBytes *)output, &results[i].output_len);
	}
	text = platform_results_encode(job->items_nr,
				       read->position + read->outputs->len,
				       results, read->outputs->len);
	web_answer(job_call_detach(&read->web), 200, "application/json", text,
		   strlen(text));
	g_free(text);
	g_free(results);
	read_free(read);
}

static void page_fill(struct job_read *read);

static void page_add(struct job_read *read, const char *data, size_t len)
{
	g_ptr_array_add(read->outputs, g_bytes_new(data, len));
	read->bytes += len;
}

static void on_output_read(void *ctx, const char *data, size_t len)
{
	struct job_read *read = ctx;

	read->blob = NULL;
	if (!data) {
		read_refuse(read, 503, "the store can't return the output now");
		return;
	}
	job_outputs_put(read->gateway->job_calls, &read->location, data, len);
	page_add(read, data, len);
	page_fill(read);
}

/* Adds outputs until the page is full or there are no more results; called
 * again after each output that is read from the store. */
static void page_fill(struct job_read *read)
{
	struct job_log *log = job_store_log(read->gateway->job_store);
	const struct job *job = job_log_find(log, read->job);

	if (!job) {
		read_unknown(read, "no such job");
		return;
	}
	while (read->position + read->outputs->len < job->results_nr) {
		const struct job_item *item =
			&job->items[job->results[read->position +
						 read->outputs->len]];
		const struct job_output *cached;

		if (item->state == JOB_ITEM_DEAD) {
			g_ptr_array_add(read->outputs, NULL);
			continue;
		}
		if (read->outputs->len &&
		    read->bytes + item->output.bytes > PAGE_BYTES)
			break;
		cached = job_outputs_get(read->gateway->job_calls,
					 &item->output);
		if (!cached) {
			read->location = item->output;
			read->blob = job_bulk_read(read->gateway->job_bulk,
						   &item->output,
						   on_output_read, read);
			return;
		}
		page_add(read, cached->data, cached->len);
	}
	page_answer(read, job);
}

static void on_read_timer(uv_timer_t *timer)
{
	struct job_read *read = timer->data;

	if (read->ending) {
		/* The record that ends the job may still be appended, so the
		 * call's state is kept until the append ends. */
		log_event("job_read", LOG_LEVEL_WARN,
			  "job=%s end status=504 the log has not answered yet",
			  read->job);
		if (read->web)
			web_problem(job_call_detach(&read->web), 504,
				    "The outcome is not known yet",
				    "the log has not answered yet");
		return;
	}
	read->waiting = false;
	if (job_store_is_current(read->gateway->job_store))
		page_fill(read);
	else
		read_refuse(read, 503, "the job log can't be followed now");
}

static void results_start(struct job_read *read)
{
	struct job_store *store = read->gateway->job_store;
	const struct job *job = job_log_find(job_store_log(store), read->job);
	const char *wait = web_header(read->web, platform_fields.wait_ms);
	uint64_t wait_ms = wait ? g_ascii_strtoull(wait, NULL, 10) : 0;

	if (!job) {
		read_unknown(read, "no such job");
		return;
	}
	if (read->position < job->results_nr) {
		page_fill(read);
		return;
	}
	read->waiting = true;
	uv_timer_start(&read->timer, on_read_timer, job->open_nr ? wait_ms : 0,
		       0);
}

void job_calls_item_ended(struct job_calls *calls, const struct job *job)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->reads) {
		struct job_read *read = list_entry(pos, struct job_read, link);

		if (!read->waiting || strcmp(read->job, job->id) != 0 ||
		    read->position >= job->results_nr)
			continue;
		read->waiting = false;
		uv_timer_stop(&read->timer);
		page_fill(read);
	}
}

static void on_body_read(void *ctx, const char *data, size_t len)
{
	struct job_read *read = ctx;
	struct job_request_item item = { 0 };

	read->blob = NULL;
	if (!data || !job_request_item_decode(data, len, &item)) {
		read_refuse(read, 503, "the store can't return the body now");
		return;
	}
	web_answer(job_call_detach(&read->web), 200, "application/octet-stream",
		   item.body, item.body_len);
	job_request_item_clear(&item);
	read_free(read);
}

static void body_start(struct job_read *read)
{
	struct job_store *store = read->gateway->job_store;
	const struct job *job = job_log_find(job_store_log(store), read->job);
	size_t i;

	for (i = 0; job && !job->ended && read->item && i < job->items_nr;
	     i++) {
		if (strcmp(job->items[i].id, read->item) != 0)
			continue;
		read->blob =
			job_bulk_read(read->gateway->job_bulk,
				      &job->items[i].body, on_body_read, read);
		return;
	}
	read_unknown(read, "no such item");
}

static void on_end_appended(void *ctx, enum job_append_result result)
{
	struct job_read *read = ctx;

	if (result == JOB_APPEND_REFUSED) {
		read_refuse(read, 503, "the store refuses writes");
		return;
	}
	if (read->web) {
		log_event("job", LOG_LEVEL_INFO, "job=%s ended by the caller",
			  read->job);
		web_answer(job_call_detach(&read->web), 200, NULL, "", 0);
	}
	read_free(read);
}

static void end_start(struct job_read *read)
{
	struct job_store *store = read->gateway->job_store;
	const struct job *job = job_log_find(job_store_log(store), read->job);

	if (!job) {
		read_unknown(read, "no such job");
		return;
	}
	if (job->ended) {
		web_answer(job_call_detach(&read->web), 200, NULL, "", 0);
		read_free(read);
		return;
	}
	read->ending = true;
	uv_timer_start(&read->timer, on_read_timer,
		       read->deadline_ms - uv_now(read->gateway->loop), 0);
	job_store_append(store, job_log_encode_end(read->job), true,
			 on_end_appended, read);
}

void job_calls_start(struct gateway *gateway, struct web_request *web,
		     const struct platform_call *call)
{
	struct job_read *read = g_new0(struct job_read, 1);

	read->gateway = gateway;
	read->web = web;
	read->job = g_strdup(call->job);
	read->item = g_strdup(call->item);
	read->position = call->position;
	read->outputs =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	read->deadline_ms = job_call_deadline(gateway, web);
	list_append(&gateway->job_calls->reads, &read->link);
	uv_timer_init(gateway->loop, &read->timer);
	read->timer.data = read;
	web_on_close(web, on_reader_closed, read);
	if (!job_store_loaded(gateway->job_store))
		read_refuse(read, 503, "the job log isn't loaded yet");
	else if (call->kind == PLATFORM_JOB_RESULTS)
		results_start(read);
	else if (call->kind == PLATFORM_JOB_ITEM)
		body_start(read);
	else
		end_start(read);
}

void job_reads_free(struct job_calls *calls)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->reads)
		read_free(list_entry(pos, struct job_read, link));
}
