#include <string.h>

#include "accounts.h"
#include "batch.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/job_request.h"
#include "job_bulk.h"
#include "job_calls_private.h"
#include "platform/codec.h"
#include "refusals.h"

/* Retry-After for a job that exceeds its route's limit, in s; a few items are
 * done in that time. */
#define LIMIT_RETRY_S 1.0

struct submission {
	struct list link;
	struct gateway *gateway;
	struct web_request *web;
	struct job_request *request;
	char *job;
	/* Name of the client account; NULL for none. */
	char *account;
	char *host;
	char *path;
	char *route;
	uint64_t completion_ms;
	uint64_t retention_ms;
	uint64_t tokens_max;
	unsigned attempts_max;
	/* Random number that identifies the submission in the job log. */
	uint64_t number;
	/* Loop time by which the call must be answered. */
	uint64_t deadline_ms;
	uint64_t arrived_ms;
	uint64_t arrived_wall_ms;
	/* Loop time at which the bodies were written; 0 before. */
	uint64_t written_ms;
	/* Encoded items of the job; elements are GByteArray. */
	GPtrArray *items;
	struct job_bulk_write *write;
	/* The submission's record was given to the job log, which may append it
	 * at any time. */
	bool appending;
	uv_timer_t timer;
};

static void on_submission_closed(uv_handle_t *handle)
{
	struct submission *submission = handle->data;

	job_request_free(submission->request);
	g_ptr_array_unref(submission->items);
	g_free(submission->job);
	g_free(submission->account);
	g_free(submission->host);
	g_free(submission->path);
	g_free(submission->route);
	g_free(submission);
}

static void submission_free(struct submission *submission)
{
	list_remove(&submission->link);
	job_store_count_waiter(submission->gateway->job_store, false);
	if (submission->write)
		job_bulk_write_cancel(submission->write);
	uv_timer_stop(&submission->timer);
	uv_close((uv_handle_t *)&submission->timer, on_submission_closed);
}

static void log_submission(const struct submission *submission, int status,
			   const char *reason)
{
	log_event("job", status == 202 ? LOG_LEVEL_INFO : LOG_LEVEL_WARN,
		  "job=%s route=%s items=%zu status=%d ms=%" PRIu64
		  " bodies_ms=%" PRId64 " waiting_tokens=%" PRIu64
		  " limit=%" PRIu64 " %s",
		  submission->job, submission->route,
		  submission->request->items_nr, status,
		  uv_now(submission->gateway->loop) - submission->arrived_ms,
		  submission->written_ms ? (int64_t)(submission->written_ms -
						     submission->arrived_ms) :
					   -1,
		  job_log_waiting_tokens(
			  job_store_log(submission->gateway->job_store),
			  submission->route, submission->account),
		  submission->tokens_max, reason);
}

static void submission_refuse(struct submission *submission, int status,
			      double retry_s, const char *reason)
{
	struct refusal refusal = {
		.wall_ms = gateway_wall_ms(),
		.id = submission->job,
		.service = submission->route,
		.reason = (char *)reason,
		.status = status,
	};

	refusals_add(submission->gateway->refusals, &refusal);
	log_submission(submission, status, reason);
	if (submission->web)
		gateway_refuse(job_call_detach(&submission->web), status,
			       retry_s, "%s", reason);
}

static double store_retry_s(const struct submission *submission)
{
	return job_store_retry_s(submission->gateway->job_store);
}

static void on_submitter_closed(void *ctx, bool sent)
{
	struct submission *submission = ctx;

	(void)sent;
	submission->web = NULL;
}

/* Answers a submission that can't be awaited any longer: 503 when nothing was
 * appended, and 504 when the record may still be appended, so that the outcome is
 * unknown. */
static void submission_time_over(struct submission *submission, double retry_s,
				 const char *reason)
{
	if (!submission->appending) {
		submission_refuse(submission, 503, retry_s, reason);
		submission_free(submission);
		return;
	}
	log_submission(submission, 504, "the log has not answered yet");
	if (submission->web)
		web_problem(job_call_detach(&submission->web), 504,
			    "The outcome is not known yet",
			    "the log has not answered yet");
}

static void on_submission_timer(uv_timer_t *timer)
{
	struct submission *submission = timer->data;

	submission_time_over(submission, store_retry_s(submission),
			     "the store can't be reached");
}

static void on_appended(void *ctx, enum job_append_result result)
{
	struct submission *submission = ctx;

	/* The submission is answered by job_calls_submission_decided() when the
	 * record is read from the job log. It may have been freed there, as the
	 * record can be read before the answer to its append arrives. */
	if (result == JOB_APPEND_DONE)
		return;
	submission_refuse(submission, 503, store_retry_s(submission),
			  "the store refuses writes");
	submission_free(submission);
}

static void on_bodies_written(void *ctx, const struct job_blob *locations)
{
	struct submission *submission = ctx;
	struct job_submission record = {
		.id = submission->job,
		.submission = submission->number,
		.host = submission->host,
		.path = submission->path,
		.route = submission->route,
		.account = submission->account,
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
	submission->written_ms = uv_now(submission->gateway->loop);
	if (!locations || !submission->web) {
		submission_refuse(submission, 503, store_retry_s(submission),
				  locations ? "the caller left" :
					      "the store refuses writes");
		submission_free(submission);
		return;
	}
	items = g_new0(struct job_submission_item, record.items_nr);
	for (i = 0; i < record.items_nr; i++) {
		items[i].id = submission->request->items[i].id;
		items[i].tokens = submission->request->items[i].tokens;
		items[i].body = locations[i];
	}
	record.items = items;
	submission->appending = true;
	job_store_append(submission->gateway->job_store,
			 job_log_encode_submission(&record), true, on_appended,
			 submission);
	g_free(items);
}

static uint64_t request_tokens(const struct job_request *request)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < request->items_nr; i++)
		sum += request->items[i].tokens;
	return sum;
}

/* Answers a submission that needs no write: one that is refused or repeated.
 * Returns false when the job must be written. */
static bool answer_without_write(struct submission *submission)
{
	struct job_store *store = submission->gateway->job_store;
	struct job_log *log = job_store_log(store);

	if (gateway_stops_before(submission->gateway,
				 submission->deadline_ms)) {
		submission_refuse(submission, 503, STOPPING_RETRY_AFTER_S,
				  STOPPING_REASON);
		return true;
	}
	if (!job_store_loaded(store)) {
		submission_refuse(submission, 503, store_retry_s(submission),
				  "the job log isn't loaded yet");
		return true;
	}
	if (job_log_find(log, submission->job)) {
		log_submission(submission, 202, "repeated");
		web_answer(job_call_detach(&submission->web), 202, NULL, "", 0);
		return true;
	}
	if (!job_store_is_current(store)) {
		submission_refuse(submission, 503, store_retry_s(submission),
				  "the store can't be reached");
		return true;
	}
	if (submission->tokens_max &&
	    job_log_waiting_tokens(log, submission->route,
				   submission->account) +
			    request_tokens(submission->request) >
		    submission->tokens_max) {
		submission_refuse(submission, 429, LIMIT_RETRY_S,
				  "the limit of waiting tokens");
		return true;
	}
	return false;
}

void job_calls_submit(struct gateway *gateway, struct web_request *web,
		      const struct route *route, const struct account *account)
{
	struct submission *submission;
	struct job_request *request;
	size_t len, i;
	const char *body = web_body(web, &len);

	if (strcmp(web_method(web), "POST") != 0) {
		web_problem(web, 405, "Wrong method",
			    "a job is submitted with POST");
		return;
	}
	request = platform_job_decode(body, len);
	if (!request) {
		log_event("job", LOG_LEVEL_WARN, "job=%s status=400 %s",
			  web_header(web, platform_fields.request_id),
			  error_last());
		web_problem(web, 400, "Malformed job", "%s", error_last());
		return;
	}
	submission = g_new0(struct submission, 1);
	submission->gateway = gateway;
	submission->web = web;
	submission->request = request;
	submission->job = accounts_job_id(
		gateway, account, web_header(web, platform_fields.request_id));
	submission->account = account ? g_strdup(account->name) : NULL;
	submission->host = g_strdup(web_header(web, "host"));
	submission->path = g_strdup(web_path(web));
	submission->route = g_strdup(route->name);
	submission->completion_ms = route->completion_ms;
	submission->retention_ms = route->retention_ms;
	submission->tokens_max = route->waiting_tokens_max;
	submission->attempts_max = route->attempts_max;
	submission->number = gateway_random();
	submission->arrived_ms = uv_now(gateway->loop);
	submission->arrived_wall_ms = gateway_wall_ms();
	submission->deadline_ms = job_call_deadline(gateway, web);
	submission->items = g_ptr_array_new_with_free_func(
		(GDestroyNotify)g_byte_array_unref);
	list_append(&gateway->job_calls->submissions, &submission->link);
	job_store_count_waiter(gateway->job_store, true);
	uv_timer_init(gateway->loop, &submission->timer);
	submission->timer.data = submission;
	web_on_close(web, on_submitter_closed, submission);
	if (answer_without_write(submission)) {
		submission_free(submission);
		return;
	}
	for (i = 0; i < request->items_nr; i++)
		g_ptr_array_add(submission->items,
				job_request_item_encode(&request->items[i]));
	uv_timer_start(&submission->timer, on_submission_timer,
		       submission->deadline_ms - submission->arrived_ms, 0);
	submission->write = job_bulk_write(
		gateway->job_bulk, g_ptr_array_ref(submission->items),
		hash_string(submission->job, 0), submission->deadline_ms,
		on_bodies_written, submission);
}

void job_calls_submission_decided(struct job_calls *calls, uint64_t number,
				  enum job_submission_outcome outcome,
				  struct job *job)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->submissions) {
		struct submission *submission =
			list_entry(pos, struct submission, link);

		if (submission->number != number)
			continue;
		if (outcome == JOB_OVER_LIMIT) {
			submission_refuse(submission, 429, LIMIT_RETRY_S,
					  "the limit of waiting tokens");
		} else {
			log_submission(submission, 202,
				       outcome == JOB_ACCEPTED ? "accepted" :
								 "repeated");
			if (submission->web)
				web_answer(job_call_detach(&submission->web),
					   202, NULL, "", 0);
		}
		if (outcome == JOB_ACCEPTED)
			batch_add_job(calls->gateway->batch, job,
				      submission->items);
		submission_free(submission);
		return;
	}
}

void job_submissions_stop(struct job_calls *calls)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->submissions)
		submission_time_over(list_entry(pos, struct submission, link),
				     STOPPING_RETRY_AFTER_S, STOPPING_REASON);
}

void job_submissions_free(struct job_calls *calls)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &calls->submissions)
		submission_free(list_entry(pos, struct submission, link));
}
