#include <string.h>

#include "accounts.h"
#include "common/log.h"
#include "core/job_request.h"
#include "job_bulk.h"
#include "job_calls_private.h"
#include "platform/codec.h"

/* Bytes of outputs in one page; escaped as JSON they may take a megabyte. */
#define PAGE_BYTES 400000
/* Maximum number of outputs of one page that are read from the store at once,
 * as each takes a round trip, perhaps to another region. */
#define OUTPUT_READS_MAX 24
/* Time after which a page is answered with the outputs that were read so far,
 * and time after which it is refused if there is none, in ms. */
#define PAGE_TIME_MS 500
#define PAGE_TIME_MAX_MS 1200

/* An output of a page of results. */
struct page_output {
	struct job_read *read;
	/* Location of the output, and its read from the store; the latter is
	 * NULL once the output is there or its read has failed. */
	struct job_blob location;
	struct job_bulk_read *blob;
	/* The output; NULL before it is there, and for a dead-lettered item. */
	GBytes *data;
	bool ready;
};

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
	/* Read of a body from the store, or NULL. */
	struct job_bulk_read *body;
	/* Outputs of the page of results, in order (struct page_output), and
	 * how many of them are being read from the store. */
	GPtrArray *outputs;
	unsigned output_reads;
	size_t bytes;
	/* Loop time at which the page was begun; 0 before. */
	uint64_t page_began_ms;
};

static void page_output_free(gpointer data)
{
	struct page_output *output = data;

	if (output->blob)
		job_bulk_read_cancel(output->blob);
	if (output->data)
		g_bytes_unref(output->data);
	g_free(output);
}

static void on_read_closed(uv_handle_t *handle)
{
	struct job_read *read = handle->data;

	g_free(read->job);
	g_free(read->item);
	g_free(read);
}

static void read_free(struct job_read *read)
{
	list_remove(&read->link);
	if (read->body)
		job_bulk_read_cancel(read->body);
	g_ptr_array_free(read->outputs, TRUE);
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

static void on_read_timer(uv_timer_t *timer);

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

/* Returns how many outputs can be answered: those before the first one that is
 * missing. */
static guint ready_outputs(const struct job_read *read)
{
	guint nr = 0;

	while (nr < read->outputs->len) {
		const struct page_output *output =
			g_ptr_array_index(read->outputs, nr);

		if (!output->ready)
			break;
		nr++;
	}
	return nr;
}

static void page_answer(struct job_read *read, const struct job *job, guint nr)
{
	struct platform_result *results = g_new0(struct platform_result, nr);
	char *text;
	guint i;

	for (i = 0; i < nr; i++) {
		const struct page_output *output =
			g_ptr_array_index(read->outputs, i);
		const struct job_item *item =
			&job->items[job->results[read->position + i]];

		results[i].item = item->id;
		results[i].dead = item->state == JOB_ITEM_DEAD;
		if (output->data)
			results[i].output = g_bytes_get_data(
				output->data, &results[i].output_len);
	}
	text = platform_results_encode(job->items_nr, read->position + nr,
				       results, nr);
	web_answer(job_call_detach(&read->web), 200, "application/json", text,
		   strlen(text));
	g_free(text);
	g_free(results);
	read_free(read);
}

static void page_check(struct job_read *read);

static void on_output_read(void *ctx, const char *data, size_t len)
{
	struct page_output *output = ctx;
	struct job_read *read = output->read;

	output->blob = NULL;
	read->output_reads--;
	if (data) {
		job_outputs_put(read->gateway->job_calls, &output->location,
				data, len);
		output->data = g_bytes_new(data, len);
		output->ready = true;
	}
	page_check(read);
}

/* Adds a result to the page, from the cache or by a read from the store. */
static void page_add(struct job_read *read, const struct job_item *item)
{
	struct page_output *output = g_new0(struct page_output, 1);
	const struct job_output *cached;

	output->read = read;
	output->location = item->output;
	g_ptr_array_add(read->outputs, output);
	if (item->state == JOB_ITEM_DEAD) {
		output->ready = true;
		return;
	}
	read->bytes += item->output.bytes;
	cached = job_outputs_get(read->gateway->job_calls, &item->output);
	if (cached) {
		output->data = g_bytes_new(cached->data, cached->len);
		output->ready = true;
		return;
	}
	read->output_reads++;
	output->blob = job_bulk_read(read->gateway->job_bulk, &item->output,
				     on_output_read, output);
}

/* Answers once all outputs of the page were read or have failed, or its time is
 * over. Results that are left out are requested again. */
static void page_check(struct job_read *read)
{
	struct job_log *log = job_store_log(read->gateway->job_store);
	const struct job *job = job_log_find(log, read->job);
	uint64_t elapsed_ms = uv_now(read->gateway->loop) - read->page_began_ms;
	guint nr = ready_outputs(read);

	if (!job)
		read_unknown(read, "no such job");
	else if (nr && (!read->output_reads || elapsed_ms >= PAGE_TIME_MS))
		page_answer(read, job, nr);
	else if (read->output_reads && elapsed_ms < PAGE_TIME_MAX_MS)
		uv_timer_start(&read->timer, on_read_timer,
			       (elapsed_ms < PAGE_TIME_MS ? PAGE_TIME_MS :
							    PAGE_TIME_MAX_MS) -
				       elapsed_ms,
			       0);
	else if (read->outputs->len)
		read_refuse(read, 503, "the store can't return the output now");
	else
		page_answer(read, job, 0);
}

/* Fills a page with the results after the caller's position. */
static void page_fill(struct job_read *read)
{
	struct job_log *log = job_store_log(read->gateway->job_store);
	const struct job *job = job_log_find(log, read->job);
	bool full = false;
	uint64_t i;

	if (!job) {
		read_unknown(read, "no such job");
		return;
	}
	read->page_began_ms = uv_now(read->gateway->loop);
	for (i = read->position; i < job->results_nr; i++) {
		const struct job_item *item = &job->items[job->results[i]];

		if (read->output_reads >= OUTPUT_READS_MAX ||
		    (read->outputs->len &&
		     read->bytes + item->output.bytes > PAGE_BYTES))
			break;
		/* For the output, and for its place in the answer's text. */
		if (!web_reserve(read->web, 2 * item->output.bytes)) {
			full = true;
			break;
		}
		page_add(read, item);
	}
	if (full && !read->outputs->len)
		read_refuse(read, 503, "no memory for the output now");
	else
		page_check(read);
}

/* Answers the call that ends a job. The record of the end may still be appended, so the
 * call's state is kept until the append ends. */
static void end_unknown(struct job_read *read)
{
	log_event("job_read", LOG_LEVEL_WARN,
		  "job=%s end status=504 the log has not answered yet",
		  read->job);
	if (read->web)
		web_problem(job_call_detach(&read->web), 504,
			    "The outcome is not known yet",
			    "the log has not answered yet");
}

static void on_read_timer(uv_timer_t *timer)
{
	struct job_read *read = timer->data;

	if (read->ending) {
		end_unknown(read);
		return;
	}
	read->waiting = false;
	if (read->page_began_ms)
		page_check(read);
	else if (job_store_is_current(read->gateway->job_store))
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

	read->body = NULL;
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
		read->body =
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

/* Returns the id under which the job of a call is kept, which the caller frees. Answers
 * the call and returns NULL if it isn't known who makes it. */
static char *identify_job(struct gateway *gateway, struct web_request *web,
			  const char *job)
{
	const struct account *account;
	enum caller_kind caller;
	char *id;

	if (!gateway->config) {
		log_event("job_read", LOG_LEVEL_WARN,
			  "job=%s status=503 no configuration has been read "
			  "yet",
			  job);
		gateway_refuse(web, 503, STARTING_RETRY_AFTER_S,
			       "no configuration has been read yet");
		return NULL;
	}
	caller = accounts_identify(gateway->accounts, web, NULL, &account);
	id = accounts_job_id(gateway, account, job);
	/* Jobs of public routes have no account and are read without a key. */
	if (caller == CALLER_ANYONE || account ||
	    job_log_find(job_store_log(gateway->job_store), id))
		return id;
	g_free(id);
	accounts_turn_away(gateway->accounts, web, caller);
	return NULL;
}

void job_calls_start(struct gateway *gateway, struct web_request *web,
		     const struct platform_call *call)
{
	char *job = identify_job(gateway, web, call->job);
	struct job_read *read;

	if (!job)
		return;
	read = g_new0(struct job_read, 1);
	read->gateway = gateway;
	read->web = web;
	read->job = job;
	read->item = g_strdup(call->item);
	read->position = call->position;
	read->outputs = g_ptr_array_new_with_free_func(page_output_free);
	read->deadline_ms = job_call_deadline(gateway, web);
	list_append(&gateway->job_calls->reads, &read->link);
	uv_timer_init(gateway->loop, &read->timer);
	read->timer.data = read;
	web_on_close(web, on_reader_closed, read);
	if (call->kind == PLATFORM_JOB_END &&
	    gateway_stops_before(gateway, read->deadline_ms))
		read_refuse(read, 503, STOPPING_REASON);
	else if (!job_store_loaded(gateway->job_store))
		read_refuse(read, 503, "the job log isn't loaded yet");
	else if (call->kind == PLATFORM_JOB_RESULTS)
		results_start(read);
	else if (call->kind == PLATFORM_JOB_ITEM)
		body_start(read);
	else
		end_start(read);
}

void job_reads_stop(struct job_calls *calls)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->reads) {
		struct job_read *read = list_entry(pos, struct job_read, link);

		if (read->ending)
			end_unknown(read);
		else
			read_refuse(read, 503, STOPPING_REASON);
	}
}

void job_reads_free(struct job_calls *calls)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->reads)
		read_free(list_entry(pos, struct job_read, link));
}
