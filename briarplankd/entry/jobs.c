/*
 * The jobs task: accepts callers' requests for jobs and forwards them to the
 * owner of the job's shard.
 */
#include <string.h>

#include "briarplankd/access.h"
#include "briarplankd/entry/jobs.h"
#include "briarplankd/members_task.h"
#include "briarplankd/tasks.h"
#include "common/log.h"
#include "core/ledger.h"
#include "core/shard_claims.h"

#define JOBS_PREFIX "/v1/jobs/"
#define RESULTS_SUFFIX "/results"
#define PARTS_INFIX "/parts/"
#define NAME_MAX_BYTES 256

#define TICK_MS 50
/* Timeout of a request for a job, in ms. */
#define CALL_TIMEOUT_MS 15000
/* Wait for an owner's reply before the call is resent, in ms. */
#define RESEND_MS 3000
/*
 * Wait before the next attempt to send a call while the shard has no known
 * owner, in ms.
 */
#define NO_OWNER_WAIT_MS 200
/* Retry-After for callers whose request timed out, in ms. */
#define RETRY_AFTER_MS 2000
#define MS_PER_S 1000
/* Size of a page of results, in bytes. */
#define RESULTS_PAGE_BYTES (512 << 10)

/* Returns the caller's name, or NULL for an unknown key. */
static const char *identify(const struct access_index *index,
			    struct web_request *web)
{
	const struct access_settings *access;

	if (access_allows_anyone(index))
		return "anonymous";
	access = access_find(index, web_header(web, "authorization"));
	return access ? access->name : NULL;
}

static void call_free(struct job_call *call)
{
	if (call->query)
		g_hash_table_destroy(call->query);
	if (call->parser)
		submission_parser_destroy(call->parser);
	if (call->offsets)
		g_array_free(call->offsets, TRUE);
	g_free(call->query_text);
	g_free(call->body);
	g_free(call->caller);
	g_free(call->name);
	g_free(call);
}

void job_call_report(struct job_call *call, const struct job_outcome *outcome)
{
	job_done_fn done = call->done;

	call->done = NULL;
	if (done)
		done(call->done_ctx, outcome);
}

void job_call_end(struct job_call *call)
{
	if (call->web)
		web_on_close(call->web, NULL, NULL);
	if (call->web)
		web_on_flushed(call->web, NULL, NULL);
	call->web = NULL;
	g_hash_table_remove(call->jobs->by_id, &call->id);
	if (call->appending)
		call->free_after_append = true;
	else
		call_free(call);
}

/*
 * Reports a failure of a call from within the process. A submission may have
 * taken effect once the message that completes it was sent, a cancellation once
 * it was sent.
 */
static void report_failure(struct job_call *call, int status,
			   const char *detail)
{
	struct job_outcome outcome = {
		.status = status,
		.detail = detail,
		.in_doubt = status >= 500 && call->was_sent,
	};

	job_call_report(call, &outcome);
}

void job_call_fail(struct job_call *call, int status, const char *title,
		   const char *fmt, ...)
{
	char *detail;
	va_list args;

	va_start(args, fmt);
	detail = g_strdup_vprintf(fmt, args);
	va_end(args);
	report_failure(call, status, detail);
	if (call->web && call->streaming)
		web_stream_end(call->web, false);
	else if (call->web)
		web_problem(call->web, status, title, "%s", detail);
	g_free(detail);
	job_call_end(call);
}

void job_call_unavailable(struct job_call *call, uint32_t retry_after_ms,
			  const char *detail)
{
	char seconds[16];

	g_snprintf(seconds, sizeof(seconds), "%u",
		   (retry_after_ms + MS_PER_S - 1) / MS_PER_S);
	if (call->web)
		web_add_header(call->web, "Retry-After", seconds);
	job_call_fail(call, 503, "Unavailable", "%s", detail);
}

static void on_close(void *ctx, bool sent)
{
	struct job_call *call = ctx;

	(void)sent;
	call->web = NULL;
	job_call_end(call);
}

static ProtobufCBinaryData binary_field(const void *data, size_t len)
{
	ProtobufCBinaryData bytes = { .len = len, .data = (uint8_t *)data };

	return bytes;
}

static void fill_seal(const struct job_call *call, Briarplank__SealJob *seal)
{
	const struct submission *submission =
		submission_parser_result(call->parser);
	const char *path = g_hash_table_lookup(call->query, "path");

	seal->call_id = call->id;
	seal->shard = call->shard;
	seal->job_id = binary_field(call->job_id, HASH128_BYTES);
	seal->caller = call->caller;
	seal->name = call->name;
	seal->service = g_hash_table_lookup(call->query, "service");
	seal->path = (char *)(path ? path : "");
	seal->due_ms = call->due_ms;
	seal->keep_ms = call->keep_ms;
	seal->content_hash =
		binary_field(submission->content_hash, HASH128_BYTES);
	seal->submission_id = seal->content_hash;
	seal->items = submission->items;
	seal->n_chunk_offsets = call->offsets->len;
	seal->chunk_offsets = (uint64_t *)call->offsets->data;
	seal->parts = call->parts;
}

static void fill_part(const struct job_call *call, Briarplank__StorePart *store)
{
	const struct submission *submission =
		submission_parser_result(call->parser);

	store->call_id = call->id;
	store->shard = call->shard;
	store->job_id = binary_field(call->job_id, HASH128_BYTES);
	store->part = call->part;
	store->submission_id =
		binary_field(submission->content_hash, HASH128_BYTES);
	store->first_line = call->first_line;
	store->lines = submission->lines;
	store->items = submission->items;
	store->n_chunk_offsets = call->offsets->len;
	store->chunk_offsets = (uint64_t *)call->offsets->data;
}

static bool send_call(struct job_call *call, const char *owner)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__SealJob seal = BRIARPLANK__SEAL_JOB__INIT;
	Briarplank__StorePart store = BRIARPLANK__STORE_PART__INIT;
	Briarplank__CancelJob cancel = BRIARPLANK__CANCEL_JOB__INIT;
	Briarplank__QueryJob query = BRIARPLANK__QUERY_JOB__INIT;
	Briarplank__QueryResults results = BRIARPLANK__QUERY_RESULTS__INIT;
	ProtobufCBinaryData id = binary_field(call->job_id, HASH128_BYTES);

	switch (call->kind) {
	case JOB_CALL_SUBMIT:
		fill_seal(call, &seal);
		env.body_case = BRIARPLANK__ENVELOPE__BODY_SEAL_JOB;
		env.seal_job = &seal;
		break;
	case JOB_CALL_PART:
		fill_part(call, &store);
		env.body_case = BRIARPLANK__ENVELOPE__BODY_STORE_PART;
		env.store_part = &store;
		break;
	case JOB_CALL_CANCEL:
		cancel.call_id = call->id;
		cancel.shard = call->shard;
		cancel.job_id = id;
		env.body_case = BRIARPLANK__ENVELOPE__BODY_CANCEL_JOB;
		env.cancel_job = &cancel;
		break;
	case JOB_CALL_QUERY:
		query.call_id = call->id;
		query.shard = call->shard;
		query.job_id = id;
		env.body_case = BRIARPLANK__ENVELOPE__BODY_QUERY_JOB;
		env.query_job = &query;
		break;
	case JOB_CALL_RESULTS:
		results.call_id = call->id;
		results.shard = call->shard;
		results.job_id = id;
		results.from_item = call->from_item;
		results.max_bytes = RESULTS_PAGE_BYTES;
		env.body_case = BRIARPLANK__ENVELOPE__BODY_QUERY_RESULTS;
		env.query_results = &results;
		break;
	}
	return bus_send(call->jobs->super.node->bus, owner, &env) == BUS_OK;
}

void job_call_send(struct job_call *call)
{
	struct node *node = call->jobs->super.node;
	const char *owner = node_shard_owner(node, call->shard);
	uint64_t now = node_now_ms(node);

	if (owner && send_call(call, owner)) {
		call->was_sent = true;
		call->resend_ms = now + RESEND_MS;
	} else {
		call->resend_ms = now + NO_OWNER_WAIT_MS;
	}
}

static void on_reply(void *ctx, const Briarplank__Envelope *env)
{
	struct jobs *jobs = ctx;
	const Briarplank__JobReply *reply = env->job_reply;
	struct job_call *call =
		g_hash_table_lookup(jobs->by_id, &reply->call_id);

	if (!call || !call->resend_ms)
		return;
	if (reply->code == BRIARPLANK__JOB_REPLY__CODE__NOT_OWNER) {
		call->resend_ms =
			node_now_ms(jobs->super.node) + NO_OWNER_WAIT_MS;
		return;
	}
	call->resend_ms = 0;
	job_call_answer(call, reply);
}

static bool is_submission(const struct job_call *call)
{
	return call->kind == JOB_CALL_SUBMIT || call->kind == JOB_CALL_PART;
}

/*
 * Fails a call that timed out. A submission or cancellation may have taken
 * effect if it was sent.
 */
static void fail_timed_out(struct job_call *call)
{
	bool in_doubt = call->was_sent &&
			(is_submission(call) || call->kind == JOB_CALL_CANCEL);

	job_call_unavailable(
		call, RETRY_AFTER_MS,
		in_doubt ? "not confirmed in time; it may have taken effect, "
			   "send the same request again" :
		is_submission(call) ?
			   "not accepted: the job's shard has no owner now" :
			   "the job's shard has no reachable owner now");
}

static void call_tick(struct job_call *call, uint64_t now)
{
	/* No timeout applies while a slow caller reads results. */
	if (call->waiting_for_reader)
		call->deadline_ms = now + CALL_TIMEOUT_MS;
	if (now >= call->deadline_ms)
		fail_timed_out(call);
	else if (call->resend_ms && now >= call->resend_ms)
		job_call_send(call);
	else if (!call->resend_ms && is_submission(call))
		job_submit_step(call);
}

static void on_tick(uv_timer_t *timer)
{
	struct jobs *jobs = timer->data;
	uint64_t now = node_now_ms(jobs->super.node);
	GList *calls = g_hash_table_get_values(jobs->by_id);
	GList *pos;

	for (pos = calls; pos; pos = pos->next)
		call_tick(pos->data, now);
	g_list_free(calls);
}

/* Removes "/parts/N" and returns N; returns 0 if it is missing or invalid. */
static uint32_t parse_part(char *tail)
{
	char *at = strstr(tail, PARTS_INFIX);
	guint64 number;

	if (!at || !g_ascii_string_to_unsigned(at + strlen(PARTS_INFIX), 10, 1,
					       LEDGER_PARTS_MAX, &number, NULL))
		return 0;
	*at = '\0';
	return (uint32_t)number;
}

/* Parses "/v1/jobs/NAME[/results|/parts/N]"; returns NULL if invalid. */
static char *job_name(const char *path, bool *results, uint32_t *part)
{
	char *tail = g_strdup(path + strlen(JOBS_PREFIX));
	char *name;

	*part = parse_part(tail);
	*results = g_str_has_suffix(tail, RESULTS_SUFFIX);
	if (*results)
		tail[strlen(tail) - strlen(RESULTS_SUFFIX)] = '\0';
	name = strchr(tail, '/') ? NULL : g_uri_unescape_string(tail, NULL);
	g_free(tail);
	if (name && *name && strlen(name) <= NAME_MAX_BYTES &&
	    g_utf8_validate(name, -1, NULL))
		return name;
	g_free(name);
	return NULL;
}

static struct job_call *call_create(struct jobs *jobs, const char *caller,
				    char *name)
{
	struct node *node = jobs->super.node;
	struct job_call *call = g_new0(struct job_call, 1);

	call->id = ++jobs->next_id;
	call->jobs = jobs;
	call->caller = g_strdup(caller);
	call->name = name;
	hash128_pair(caller, name, call->job_id);
	call->shard =
		shard_of_hash(call->job_id, node->settings->ledger_shards);
	call->deadline_ms = node_now_ms(node) + CALL_TIMEOUT_MS;
	g_hash_table_insert(jobs->by_id, &call->id, call);
	return call;
}

static void call_run(struct job_call *call)
{
	if (is_submission(call))
		job_submit_start(call);
	else
		job_call_send(call);
}

static bool parse_kind(const char *method, bool results,
		       enum job_call_kind *kind)
{
	if (results)
		*kind = JOB_CALL_RESULTS;
	else if (!strcmp(method, "GET"))
		*kind = JOB_CALL_QUERY;
	else if (!strcmp(method, "PUT"))
		*kind = JOB_CALL_SUBMIT;
	else if (!strcmp(method, "DELETE"))
		*kind = JOB_CALL_CANCEL;
	else
		return false;
	return !results || !strcmp(method, "GET");
}

static void on_request(void *ctx, struct web_request *web)
{
	struct jobs *jobs = ctx;
	const char *caller = identify(jobs->super.node->access, web);
	enum job_call_kind kind;
	struct job_call *call;
	uint32_t part;
	bool results;
	char *name;

	if (!caller) {
		web_problem(web, 401, "Unknown key",
			    "the bearer key names no caller");
		return;
	}
	name = job_name(web_path(web), &results, &part);
	if (!name) {
		web_problem(web, 404, "Not found",
			    "a job name of 1 to %d bytes must follow %s",
			    NAME_MAX_BYTES, JOBS_PREFIX);
		return;
	}
	if (!parse_kind(web_method(web), results, &kind) ||
	    (part && (results || kind != JOB_CALL_SUBMIT))) {
		g_free(name);
		web_problem(web, 405, "Method not allowed",
			    "method %s is not allowed for this path",
			    web_method(web));
		return;
	}
	call = call_create(jobs, caller, name);
	call->kind = part ? JOB_CALL_PART : kind;
	call->part = part;
	call->web = web;
	web_on_close(web, on_close, call);
	call_run(call);
}

static bool jobs_start(struct task *base)
{
	struct jobs *jobs = (struct jobs *)base;
	struct node *node = base->node;

	jobs->by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	jobs->next_id = node->incarnation << 20;
	bus_set_handler(node->bus, BRIARPLANK__ENVELOPE__BODY_JOB_REPLY,
			on_reply, jobs);
	web_route(node->web, JOBS_PREFIX, on_request, jobs);
	uv_timer_init(&node->loop, &jobs->timer);
	jobs->timer.data = jobs;
	uv_timer_start(&jobs->timer, on_tick, TICK_MS, TICK_MS);
	return true;
}

static bool jobs_stopped(struct task *base)
{
	struct jobs *jobs = (struct jobs *)base;

	return !g_hash_table_size(jobs->by_id);
}

static void jobs_destroy(struct task *base)
{
	struct jobs *jobs = (struct jobs *)base;
	GList *calls, *pos;

	if (jobs->by_id) {
		calls = g_hash_table_get_values(jobs->by_id);
		for (pos = calls; pos; pos = pos->next) {
			struct job_call *call = pos->data;

			call->appending = false;
			job_call_end(call);
		}
		g_list_free(calls);
		g_hash_table_destroy(jobs->by_id);
		uv_close((uv_handle_t *)&jobs->timer, NULL);
		uv_run(&base->node->loop, UV_RUN_NOWAIT);
	}
	g_free(jobs);
}

static const struct task_ops jobs_ops = {
	.name = "jobs",
	.start = jobs_start,
	.stopped = jobs_stopped,
	.destroy = jobs_destroy,
};

static struct jobs *find_jobs(struct node *node)
{
	struct list *pos;

	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (task->ops == &jobs_ops)
			return (struct jobs *)task;
	}
	return NULL;
}

void jobs_request(struct node *node, const struct job_request *request)
{
	struct jobs *jobs = find_jobs(node);
	struct job_call *call =
		call_create(jobs, request->caller, g_strdup(request->name));

	call->kind = request->kind;
	call->done = request->done;
	call->done_ctx = request->ctx;
	call->query_text = g_strdup(request->query);
	call->body = g_memdup2(request->body, request->body_len);
	call->body_len = request->body_len;
	if (request->job_id) {
		memcpy(call->job_id, request->job_id, HASH128_BYTES);
		call->shard = shard_of_hash(
			call->job_id, (uint32_t)node->settings->ledger_shards);
	}
	call_run(call);
}

struct task *jobs_task_create(void)
{
	struct jobs *jobs = g_new0(struct jobs, 1);

	jobs->super.ops = &jobs_ops;
	return &jobs->super;
}
