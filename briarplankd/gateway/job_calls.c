#include <string.h>

#include "batch.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/job_request.h"
#include "job_calls.h"
#include "job_store.h"
#include "platform/codec.h"

/* Time after which a call that names no deadline is answered, in ms. */
#define DEADLINE_MS 4000
/* Time before the deadline at which an open call is answered, in ms. */
#define ANSWER_EARLY_MS 60
/* Retry-After while the store can't be reached or is behind, in s. */
#define STORE_RETRY_S 0.5
/* Retry-After for a job that exceeds its route's limit, in s: a few items
 * are done by then. */
#define LIMIT_RETRY_S 1.0
/* Bytes of outputs in one page, which JSON may lengthen to a megabyte. */
#define PAGE_BYTES 400000
/* Outputs kept in memory, in bytes: most are read soon after they were
 * written, by a client that polls. */
#define CACHE_BYTES 2097152

struct job_calls {
	struct gateway *gateway;
	struct list submissions;
	struct list reads;
	/* Outputs by partition and offset, oldest first in the queue. */
	GHashTable *cache;
	GQueue cache_order;
	size_t cache_bytes;
};

struct cached {
	uint64_t key;
	char *data;
	size_t len;
};

static struct web_request *answered(struct web_request **web)
{
	struct web_request *request = *web;

	*web = NULL;
	web_on_close(request, NULL, NULL);
	return request;
}

static uint64_t deadline_of(struct gateway *gateway, struct web_request *web)
{
	const char *text = web_field(web, platform_fields.deadline_ms);
	uint64_t ms = text ? g_ascii_strtoull(text, NULL, 10) : DEADLINE_MS;

	return uv_now(gateway->loop) +
	       (ms > ANSWER_EARLY_MS ? ms - ANSWER_EARLY_MS : 1);
}

/* Submissions. */

struct submission {
	struct list link;
	struct gateway *gateway;
	struct web_request *web;
	struct job_request *request;
	char *job;
	char *host;
	char *path;
	char *route;
	uint64_t completion_ms;
	uint64_t retention_ms;
	uint64_t tokens_max;
	unsigned attempts_max;
	uint64_t number;
	uint64_t deadline_ms;
	uint64_t arrived_ms;
	uint64_t arrived_wall_ms;
	GPtrArray *items;
	struct job_blob_write *write;
	/* Its record is on the way to the log, or may be. */
	bool appending;
	uv_timer_t timer;
};

static void on_submission_closed(uv_handle_t *handle)
{
	struct submission *submission = handle->data;

	job_request_free(submission->request);
	g_ptr_array_unref(submission->items);
	g_free(submission->job);
	g_free(submission->host);
	g_free(submission->path);
	g_free(submission->route);
	g_free(submission);
}

static void submission_free(struct submission *submission)
{
	list_remove(&submission->link);
	job_store_await(submission->gateway->job_store, false);
	if (submission->write)
		job_blob_write_cancel(submission->write);
	uv_timer_stop(&submission->timer);
	uv_close((uv_handle_t *)&submission->timer, on_submission_closed);
}

static void log_submission(const struct submission *submission, int status,
			   const char *why)
{
	log_event("job", status == 202 ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  "job=%s route=%s items=%zu status=%d ms=%" PRIu64
		  " waiting_tokens=%" PRIu64 " limit=%" PRIu64 " %s",
		  submission->job, submission->route,
		  submission->request->items_nr, status,
		  uv_now(submission->gateway->loop) - submission->arrived_ms,
		  job_log_waiting_tokens(
			  job_store_log(submission->gateway->job_store),
			  submission->route),
		  submission->tokens_max, why);
}

static void submission_refuse(struct submission *submission, int status,
			      double retry_s, const char *why)
{
	log_submission(submission, status, why);
	if (submission->web)
		gateway_refuse(answered(&submission->web), status, retry_s,
			       "%s", why);
}

static void on_submitter_gone(void *ctx, bool sent)
{
	struct submission *submission = ctx;

	(void)sent;
	submission->web = NULL;
}

/* The record may yet come into the log, so that nothing can be promised. */
static void on_submission_timer(uv_timer_t *timer)
{
	struct submission *submission = timer->data;
	struct web_request *web = submission->web;

	if (!submission->appending) {
		submission_refuse(submission, 503, STORE_RETRY_S,
				  "the store can't be reached");
		submission_free(submission);
		return;
	}
	log_submission(submission, 504, "the log has not answered yet");
	if (web)
		web_problem(answered(&submission->web), 504,
			    "The outcome is not known yet",
			    "the log has not answered yet");
}

static void on_appended(void *ctx, enum job_append_result result)
{
	struct submission *submission = ctx;

	/* What was appended ends in the fold. */
	if (result == JOB_APPEND_DONE)
		return;
	submission_refuse(submission, 503, STORE_RETRY_S,
			  "the store refuses writes");
	submission_free(submission);
}

static void on_bodies_written(void *ctx, const struct job_blob *places)
{
	struct submission *submission = ctx;
	struct job_submission record = {
		.id = submission->job,
		.submission = submission->number,
		.host = submission->host,
		.path = submission->path,
		.route = submission->route,
		.node = submission->gateway->identity,
		.accepted_ms = submission->arrived_wall_ms,
		.completion_ms = submission->completion_ms,
		.retention_ms = submission->retention_ms,
		.attempts_max = submission->attempts_max,
		.waiting_tokens_max = submission->tokens_max,
		.items_nr = submission->request->items_nr,
	};
	struct job_submission_item *items;
	size_t i;

	submission->write = NULL;
	if (!places || !submission->web) {
		submission_refuse(submission, 503, STORE_RETRY_S,
				  places ? "the caller left" :
					   "the store refuses writes");
		submission_free(submission);
		return;
	}
	items = g_new0(struct job_submission_item, record.items_nr);
	for (i = 0; i < record.items_nr; i++) {
		items[i].id = submission->request->items[i].id;
		items[i].tokens = submission->request->items[i].tokens;
		items[i].body = places[i];
	}
	record.items = items;
	submission->appending = true;
	job_store_append(submission->gateway->job_store,
			 job_log_encode_submission(&record), true, on_appended,
			 submission);
	g_free(items);
}

static uint64_t tokens_of(const struct job_request *request)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < request->items_nr; i++)
		sum += request->items[i].tokens;
	return sum;
}

/* Answers what needs no write; false when the job must be written. */
static bool submit_at_once(struct submission *submission)
{
	struct job_store *store = submission->gateway->job_store;
	struct job_log *log = job_store_log(store);

	if (!job_store_loaded(store)) {
		submission_refuse(submission, 503, STORE_RETRY_S,
				  "the job log isn't loaded yet");
		return true;
	}
	if (job_log_find(log, submission->job)) {
		log_submission(submission, 202, "repeated");
		web_answer(answered(&submission->web), 202, NULL, "", 0);
		return true;
	}
	if (!job_store_current(store)) {
		submission_refuse(submission, 503, STORE_RETRY_S,
				  "the store can't be reached");
		return true;
	}
	if (submission->tokens_max &&
	    job_log_waiting_tokens(log, submission->route) +
			    tokens_of(submission->request) >
		    submission->tokens_max) {
		submission_refuse(submission, 429, LIMIT_RETRY_S,
				  "the route's limit of waiting tokens");
		return true;
	}
	return false;
}

void job_calls_submit(struct gateway *gateway, struct web_request *web,
		      const struct route *route)
{
	struct submission *submission;
	struct job_request *request;
	size_t len, i;
	const char *body = web_body(web, &len);

	if (strcmp(web_method(web), "POST") != 0) {
		web_problem(web, 405, "Wrong method", "jobs are POSTed");
		return;
	}
	request = platform_job_decode(body, len);
	if (!request) {
		log_event("job", LOG_LEVEL_WARN, "job=%s status=400 %s",
			  web_field(web, platform_fields.request_id),
			  error_last());
		web_problem(web, 400, "Malformed job", "%s", error_last());
		return;
	}
	submission = g_new0(struct submission, 1);
	submission->gateway = gateway;
	submission->web = web;
	submission->request = request;
	submission->job = g_strdup(web_field(web, platform_fields.request_id));
	submission->host = g_strdup(web_field(web, "host"));
	submission->path = g_strdup(web_path(web));
	submission->route = g_strdup(route->name);
	submission->completion_ms = route->completion_ms;
	submission->retention_ms = route->retention_ms;
	submission->tokens_max = route->waiting_tokens_max;
	submission->attempts_max = route->attempts_max;
	submission->number = ((uint64_t)g_random_int() << 32) | g_random_int();
	submission->arrived_ms = uv_now(gateway->loop);
	submission->arrived_wall_ms = gateway_wall_ms();
	submission->deadline_ms = deadline_of(gateway, web);
	submission->items = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	list_append(&gateway->job_calls->submissions, &submission->link);
	job_store_await(gateway->job_store, true);
	uv_timer_init(gateway->loop, &submission->timer);
	submission->timer.data = submission;
	web_on_close(web, on_submitter_gone, submission);
	if (submit_at_once(submission)) {
		submission_free(submission);
		return;
	}
	for (i = 0; i < request->items_nr; i++)
		g_ptr_array_add(submission->items,
				job_request_item_encode(&request->items[i]));
	uv_timer_start(&submission->timer, on_submission_timer,
		       submission->deadline_ms - submission->arrived_ms, 0);
	submission->write = job_store_write(
		gateway->job_store, g_ptr_array_ref(submission->items),
		hash_string(submission->job, 0), submission->deadline_ms,
		on_bodies_written, submission);
}

void job_calls_submitted(struct job_calls *calls, uint64_t number,
			 enum job_submission_outcome outcome, struct job *job)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->submissions) {
		struct submission *submission =
			list_entry(pos, struct submission, link);

		if (submission->number != number)
			continue;
		if (outcome == JOB_OVER_LIMIT) {
			submission_refuse(submission, 429, LIMIT_RETRY_S,
					  "the route's limit of waiting "
					  "tokens");
		} else {
			log_submission(submission, 202,
				       outcome == JOB_ACCEPTED ? "accepted" :
								 "repeated");
			if (submission->web)
				web_answer(answered(&submission->web), 202,
					   NULL, "", 0);
		}
		if (outcome == JOB_ACCEPTED)
			batch_adopt(calls->gateway->batch, job,
				    submission->items);
		submission_free(submission);
		return;
	}
}

/* The cache of outputs. */

static uint64_t cache_key(const struct job_blob *place)
{
	return place->offset << 10 | (uint64_t)place->partition;
}

static void cached_free(gpointer data)
{
	struct cached *cached = data;

	g_free(cached->data);
	g_free(cached);
}

static void cache_put(struct job_calls *calls, const struct job_blob *place,
		      const char *data, size_t len)
{
	struct cached *cached = g_new0(struct cached, 1);

	cached->key = cache_key(place);
	if (g_hash_table_contains(calls->cache, &cached->key)) {
		g_free(cached);
		return;
	}
	cached->data = g_memdup2(data, len);
	cached->len = len;
	g_hash_table_insert(calls->cache, &cached->key, cached);
	g_queue_push_tail(&calls->cache_order, cached);
	calls->cache_bytes += len;
	while (calls->cache_bytes > CACHE_BYTES) {
		struct cached *oldest = g_queue_pop_head(&calls->cache_order);

		calls->cache_bytes -= oldest->len;
		g_hash_table_remove(calls->cache, &oldest->key);
	}
}

static const struct cached *cache_get(struct job_calls *calls,
				      const struct job_blob *place)
{
	uint64_t key = cache_key(place);

	return g_hash_table_lookup(calls->cache, &key);
}

/* Reads of results and of bodies. */

struct job_read {
	struct list link;
	struct gateway *gateway;
	struct web_request *web;
	char *job;
	/* Item whose body is read, or NULL for results. */
	char *item;
	bool ending;
	uint64_t position;
	bool waiting;
	uint64_t deadline_ms;
	uv_timer_t timer;
	/* The blob under way. */
	struct job_blob_read *blob;
	struct job_blob place;
	/* Outputs of the page, in order; NULL for an item that was given up. */
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
		job_blob_read_cancel(read->blob);
	uv_timer_stop(&read->timer);
	uv_close((uv_handle_t *)&read->timer, on_read_closed);
}

static void on_reader_gone(void *ctx, bool sent)
{
	struct job_read *read = ctx;

	(void)sent;
	read->web = NULL;
	/* The end of a job goes on without its caller. */
	if (!read->ending)
		read_free(read);
}

static void read_refuse(struct job_read *read, int status, const char *why)
{
	log_event("job_read", LOG_LEVEL_WARN,
		  "job=%s item=%s position=%" PRIu64 " status=%d %s", read->job,
		  read->item ? read->item : "-", read->position, status, why);
	if (!read->web) {
		read_free(read);
		return;
	}
	if (status == 503)
		gateway_refuse(answered(&read->web), 503, STORE_RETRY_S, "%s",
			       why);
	else
		web_problem(answered(&read->web), status, "No answer", "%s",
			    why);
	read_free(read);
}

/* A job or item that this node doesn't know exists nowhere, if it is current. */
static void read_unknown(struct job_read *read, const char *why)
{
	if (job_store_current(read->gateway->job_store))
		read_refuse(read, 404, why);
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
	web_answer(answered(&read->web), 200, "application/json", text,
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

static void on_output(void *ctx, const char *data, size_t len)
{
	struct job_read *read = ctx;

	read->blob = NULL;
	if (!data) {
		read_refuse(read, 503, "the store gives no output now");
		return;
	}
	cache_put(read->gateway->job_calls, &read->place, data, len);
	page_add(read, data, len);
	page_fill(read);
}

/* Collects outputs until the page is full or the results end. */
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
		const struct cached *cached;

		if (item->state == JOB_ITEM_DEAD) {
			g_ptr_array_add(read->outputs, NULL);
			continue;
		}
		if (read->outputs->len &&
		    read->bytes + item->output.bytes > PAGE_BYTES)
			break;
		cached = cache_get(read->gateway->job_calls, &item->output);
		if (!cached) {
			read->place = item->output;
			read->blob =
				job_store_read(read->gateway->job_store,
					       &item->output, on_output, read);
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
		/* The record may yet come into the log. */
		read_refuse(read, 504, "the log has not answered yet");
		return;
	}
	read->waiting = false;
	if (job_store_current(read->gateway->job_store))
		page_fill(read);
	else
		read_refuse(read, 503, "the job log can't be followed now");
}

static void results_start(struct job_read *read)
{
	struct job_store *store = read->gateway->job_store;
	const struct job *job = job_log_find(job_store_log(store), read->job);
	const char *wait = web_field(read->web, platform_fields.wait_ms);
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

void job_calls_result(struct job_calls *calls, const struct job *job)
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

static void on_body(void *ctx, const char *data, size_t len)
{
	struct job_read *read = ctx;
	struct job_request_item item = { 0 };

	read->blob = NULL;
	if (!data || !job_request_item_decode(data, len, &item)) {
		read_refuse(read, 503, "the store gives no body now");
		return;
	}
	web_answer(answered(&read->web), 200, "application/octet-stream",
		   item.body, item.body_len);
	job_request_item_clear(&item);
	read_free(read);
}

static void body_start(struct job_read *read)
{
	struct job_store *store = read->gateway->job_store;
	const struct job *job = job_log_find(job_store_log(store), read->job);
	size_t i;

	for (i = 0; job && !job->ended && i < job->items_nr; i++) {
		if (strcmp(job->items[i].id, read->item) != 0)
			continue;
		read->blob = job_store_read(store, &job->items[i].body, on_body,
					    read);
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
		log_event("job", LOG_LEVEL_INFO, "job=%s ended by its caller",
			  read->job);
		web_answer(answered(&read->web), 200, NULL, "", 0);
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
		web_answer(answered(&read->web), 200, NULL, "", 0);
		read_free(read);
		return;
	}
	read->ending = true;
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
	read->item = g_strdup(call->item ? call->item : "");
	read->position = call->position;
	read->outputs =
		g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref);
	read->deadline_ms = deadline_of(gateway, web);
	list_append(&gateway->job_calls->reads, &read->link);
	uv_timer_init(gateway->loop, &read->timer);
	read->timer.data = read;
	web_on_close(web, on_reader_gone, read);
	if (!job_store_loaded(gateway->job_store))
		read_refuse(read, 503, "the job log isn't loaded yet");
	else if (call->kind == PLATFORM_JOB_RESULTS)
		results_start(read);
	else if (call->kind == PLATFORM_JOB_ITEM)
		body_start(read);
	else
		end_start(read);
}

struct job_calls *job_calls_create(struct gateway *gateway)
{
	struct job_calls *calls = g_new0(struct job_calls, 1);

	calls->gateway = gateway;
	list_init(&calls->submissions);
	list_init(&calls->reads);
	calls->cache = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					     cached_free);
	g_queue_init(&calls->cache_order);
	return calls;
}

void job_calls_destroy(struct job_calls *calls)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->submissions)
		submission_free(list_entry(pos, struct submission, link));
	list_for_each_safe (pos, tmp, &calls->reads)
		read_free(list_entry(pos, struct job_read, link));
	g_queue_clear(&calls->cache_order);
	g_hash_table_destroy(calls->cache);
	g_free(calls);
}
