/*
 * Accepts a submission: parses its lines in steps, appends its chunks one after
 * the other, and then sends its seal, the message that completes it, to the
 * shard's owner.
 */
#include <string.h>

#include "briarplankd/entry/jobs.h"
#include "briarplankd/entry/record_cache.h"
#include "common/error.h"
#include "core/ledger.h"

/* Size of the items in a chunk, in bytes. */
#define CHUNK_BYTES (512 << 10)
/* Lines parsed per tick, to bound the time away from the event loop. */
#define STEP_LINES 500
/* Attempts to append a chunk, and the wait between them, in ms. */
#define APPEND_TRIES 5
#define APPEND_RETRY_MS 100
/* Retry-After for callers while the log can't be written, in ms. */
#define RETRY_AFTER_MS 2000
/* Time by which each chunk extends the timeout of its request, in ms. */
#define CHUNK_TIMEOUT_MS 1000
/* Default and maximum time for which a job is kept after its end, in ms. */
#define KEEP_DEFAULT_MS (72 * 3600 * 1000ull)
#define KEEP_MAX_MS (90 * 24 * 3600 * 1000ull)
#define STREAM_BYTES 32
#define MS_PER_S 1000

static const struct {
	char suffix;
	uint64_t ms;
} units[] = {
	{ 's', 1000 },
	{ 'm', 60 * 1000 },
	{ 'h', 3600 * 1000 },
	{ 'd', 24 * 3600 * 1000 },
};

bool jobs_parse_duration(const char *text, uint64_t *ms)
{
	char *end;
	guint64 value = g_ascii_strtoull(text, &end, 10);
	size_t i;

	if (end == text || !*end || end[1] || value > UINT32_MAX)
		return false;
	for (i = 0; i < G_N_ELEMENTS(units); i++) {
		if (units[i].suffix != *end)
			continue;
		*ms = value * units[i].ms;
		return true;
	}
	return false;
}

static bool parse_due(const char *text, uint64_t *ms)
{
	GTimeZone *utc = g_time_zone_new_utc();
	GDateTime *time = g_date_time_new_from_iso8601(text, utc);

	g_time_zone_unref(utc);
	if (!time)
		return false;
	*ms = (uint64_t)g_date_time_to_unix(time) * MS_PER_S;
	g_date_time_unref(time);
	return true;
}

static const char *query_text(const struct job_call *call)
{
	return call->web ? web_query(call->web) : call->query_text;
}

static bool parse_number(const char *text, uint32_t max, uint32_t *number)
{
	guint64 value;

	if (!g_ascii_string_to_unsigned(text, 10, 1, max, &value, NULL))
		return false;
	*number = (uint32_t)value;
	return true;
}

/*
 * Parses the number of a part's first line; the job's other parameters come
 * with the request that completes the job. Returns NULL, or an error message.
 */
static const char *parse_part_query(struct job_call *call)
{
	const char *line = g_hash_table_lookup(call->query, "line");

	if (!line || !parse_number(line, UINT32_MAX / 2, &call->first_line))
		return "line must be the number of the part's first line "
		       "within the job";
	return NULL;
}

/*
 * Parses the query parameters service, due, keep and parts; path is used as it
 * is. Returns NULL, or an error message.
 */
static const char *parse_job_query(struct job_call *call)
{
	const char *service, *due, *keep, *parts;

	service = g_hash_table_lookup(call->query, "service");
	due = g_hash_table_lookup(call->query, "due");
	keep = g_hash_table_lookup(call->query, "keep");
	parts = g_hash_table_lookup(call->query, "parts");
	if (!service || !*service)
		return "service is missing";
	if (due && !parse_due(due, &call->due_ms))
		return "due must be an RFC 3339 time";
	call->keep_ms = KEEP_DEFAULT_MS;
	if (keep && !jobs_parse_duration(keep, &call->keep_ms))
		return "keep must be a duration such as 72h";
	if (call->keep_ms > KEEP_MAX_MS)
		return "keep must be at most 90d";
	if (parts && !parse_number(parts, LEDGER_PARTS_MAX, &call->parts))
		return "parts must be a number from 1 to 1024";
	return NULL;
}

static const char *parse_query(struct job_call *call)
{
	call->query = g_uri_parse_params(query_text(call), -1, "&",
					 G_URI_PARAMS_NONE, NULL);
	if (!call->query)
		return "the query can't be parsed";
	return call->kind == JOB_CALL_PART ? parse_part_query(call) :
					     parse_job_query(call);
}

/*
 * Sends the message that completes a job from its stored parts; the shard's
 * owner reports any part that is missing.
 */
static void seal_parts(struct job_call *call, size_t body_len)
{
	if (body_len)
		job_call_fail(call, 400, "Bad submission",
			      "a request with parts must have no body");
	else
		job_call_send(call);
}

void job_submit_start(struct job_call *call)
{
	const struct node *node = call->jobs->super.node;
	struct submission_options options = {
		.writer = node->settings->name,
		.writer_incarnation = node->incarnation,
		.caller = call->caller,
		.name = call->name,
		.query = query_text(call),
		.chunk_bytes = CHUNK_BYTES,
	};
	const char *error = parse_query(call);

	if (error) {
		job_call_fail(call, 400, "Bad submission", "%s", error);
		return;
	}
	if (!node->log) {
		job_call_unavailable(call, RETRY_AFTER_MS,
				     "not accepted: this entry has no log");
		return;
	}
	options.part = call->part;
	options.first_line = call->first_line;
	options.body = call->body;
	options.body_len = call->body_len;
	if (call->web)
		options.body = web_body(call->web, &options.body_len);
	call->parser = submission_parser_create(&options);
	call->offsets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	if (call->parts)
		seal_parts(call, options.body_len);
	else
		job_submit_step(call);
}

static void fail_log_unavailable(struct job_call *call)
{
	job_call_unavailable(call, RETRY_AFTER_MS,
			     "not accepted: the log can't be written now");
}

static void append_chunk(struct job_call *call);

static void on_appended(void *ctx, enum log_service_status status,
			uint64_t offset)
{
	struct job_call *call = ctx;

	call->appending = false;
	if (call->free_after_append) {
		call->free_after_append = false;
		call->web = NULL;
		job_call_end(call);
		return;
	}
	if (status == LOG_SERVICE_OK) {
		call->append_attempts = 0;
		g_array_append_val(call->offsets, offset);
		append_chunk(call);
		return;
	}
	/*
	 * A chunk that is stored twice counts once, and a chunk of a submission
	 * that is never completed is ignored, so both a retry and a refusal are
	 * safe.
	 */
	if (++call->append_attempts == APPEND_TRIES ||
	    status == LOG_SERVICE_UNKNOWN)
		fail_log_unavailable(call);
	else
		call->next_append_ms =
			node_now_ms(call->jobs->super.node) + APPEND_RETRY_MS;
}

static void append_chunk(struct job_call *call)
{
	const struct submission *submission =
		submission_parser_result(call->parser);
	struct node *node = call->jobs->super.node;
	char stream[STREAM_BYTES];
	const GByteArray *chunk;

	if (call->offsets->len == submission->chunks->len) {
		job_call_send(call);
		return;
	}
	chunk = submission->chunks->pdata[call->offsets->len];
	shard_stream_name(call->shard, stream, sizeof(stream));
	call->appending = true;
	call->next_append_ms = 0;
	node->log->ops->append(node->log, stream, chunk->data, chunk->len,
			       on_appended, call);
}

/*
 * Continues a submission after its body was parsed, or answers with the error
 * that parsing found.
 */
static void parse_done(struct job_call *call, enum submission_status status)
{
	const struct submission *submission =
		submission_parser_result(call->parser);

	if (status != SUBMISSION_OK) {
		job_call_fail(call, 400, "Bad submission", "%s", error_last());
		return;
	}
	call->deadline_ms +=
		(uint64_t)submission->chunks->len * CHUNK_TIMEOUT_MS;
	/*
	 * The shard's owner may have stored the part already, so ask it before
	 * appending the chunks.
	 */
	if (call->kind == JOB_CALL_PART) {
		job_call_send(call);
		return;
	}
	call->next_append_ms = 1;
	append_chunk(call);
}

void job_submit_append_part(struct job_call *call)
{
	call->part_unknown = true;
	call->was_sent = false;
	call->next_append_ms = 1;
	append_chunk(call);
}

void job_submit_step(struct job_call *call)
{
	enum submission_status status;

	if (call->appending)
		return;
	if (call->next_append_ms) {
		if (node_now_ms(call->jobs->super.node) >= call->next_append_ms)
			append_chunk(call);
		return;
	}
	status = submission_parser_step(call->parser, STEP_LINES);
	if (status != SUBMISSION_MORE)
		parse_done(call, status);
}
