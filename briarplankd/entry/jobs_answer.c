/*
 * Answers callers according to the replies of shard owners.
 */
#include <string.h>

#include <json-c/json.h>

#include "briarplankd/entry/jobs.h"

/* Size of results queued to a caller above which no page is read, in bytes. */
#define QUEUE_MAX_BYTES (1 << 20)
/* Retry-After where the owner's reply has none, in ms. */
#define RETRY_AFTER_MS 2000

static void answer_job(struct job_call *call, int status,
		       const Briarplank__JobReply *reply)
{
	struct json_object *root;
	const char *text;

	if (!reply->n_jobs) {
		job_call_fail(call, 502, "Bad answer",
			      "the reply of the shard's owner contains no job");
		return;
	}
	job_call_report(call, &(struct job_outcome){ .status = status,
						     .job = reply->jobs[0] });
	if (!call->web) {
		job_call_end(call);
		return;
	}
	root = job_state_json(reply->jobs[0]);
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	web_answer(call->web, status, "application/json", text, strlen(text));
	json_object_put(root);
	job_call_end(call);
}

static void answer_part(struct job_call *call)
{
	const struct submission *submission =
		submission_parser_result(call->parser);
	struct json_object *root = json_object_new_object();
	const char *text;

	json_object_object_add(root, "job", json_object_new_string(call->name));
	json_object_object_add(root, "part", json_object_new_int64(call->part));
	json_object_object_add(root, "line",
			       json_object_new_int64(call->first_line));
	json_object_object_add(root, "lines",
			       json_object_new_int64(submission->lines));
	json_object_object_add(root, "items",
			       json_object_new_int64(submission->items));
	text = json_object_to_json_string_ext(root, JSON_C_TO_STRING_PLAIN);
	web_answer(call->web, 200, "application/json", text, strlen(text));
	json_object_put(root);
	job_call_end(call);
}

static void append_string(GString *out, const char *text, size_t len)
{
	struct json_object *value = json_object_new_string_len(text, (int)len);

	g_string_append(out,
			json_object_to_json_string_ext(
				value, JSON_C_TO_STRING_PLAIN |
					       JSON_C_TO_STRING_NOSLASHESCAPE));
	json_object_put(value);
}

/* Writes a body as it is if it is JSON on one line, else as a string. */
static void append_body(GString *out, const Briarplank__ResultLine *line)
{
	const char *text = (const char *)line->body.data;
	struct json_tokener *tokener = json_tokener_new();
	struct json_object *value;
	bool whole;

	json_tokener_set_flags(tokener, JSON_TOKENER_STRICT);
	value = json_tokener_parse_ex(tokener, text, (int)line->body.len);
	whole = json_tokener_get_error(tokener) == json_tokener_success &&
		json_tokener_get_parse_end(tokener) == line->body.len &&
		!memchr(text, '\n', line->body.len);
	if (whole)
		g_string_append_len(out, text, (gssize)line->body.len);
	else
		append_string(out, text, line->body.len);
	json_object_put(value);
	json_tokener_free(tokener);
}

static void append_line(GString *out, const Briarplank__ResultLine *line)
{
	g_string_append(out, "{\"id\":");
	append_string(out, line->id, strlen(line->id));
	g_string_append_printf(out, ",\"status\":\"%s\"", line->status);
	if (line->body.len) {
		g_string_append(out, ",\"body\":");
		append_body(out, line);
	}
	if (*line->error) {
		g_string_append(out, ",\"error\":");
		append_string(out, line->error, strlen(line->error));
	}
	g_string_append(out, "}\n");
}

/*
 * Requests the next page of results once the caller has read enough of the last
 * one.
 */
static void on_results_read(void *ctx)
{
	struct job_call *call = ctx;

	if (!call->waiting_for_reader ||
	    web_stream_queued(call->web) > QUEUE_MAX_BYTES)
		return;
	call->waiting_for_reader = false;
	job_call_send(call);
}

static void answer_results(struct job_call *call,
			   const Briarplank__JobReply *reply)
{
	GString *out = g_string_new(NULL);
	size_t i;

	if (!call->streaming) {
		web_stream_begin(call->web, 200, "application/x-ndjson");
		web_on_flushed(call->web, on_results_read, call);
		call->streaming = true;
	}
	for (i = 0; i < reply->n_results; i++)
		append_line(out, reply->results[i]);
	web_stream_write(call->web, out->str, out->len);
	g_string_free(out, TRUE);
	if (!reply->more) {
		web_stream_end(call->web, true);
		job_call_end(call);
		return;
	}
	call->from_item = reply->next_item;
	if (web_stream_queued(call->web) > QUEUE_MAX_BYTES)
		call->waiting_for_reader = true;
	else
		job_call_send(call);
}

static void answer_ok(struct job_call *call, const Briarplank__JobReply *reply)
{
	if (call->kind == JOB_CALL_RESULTS)
		answer_results(call, reply);
	else if (call->kind == JOB_CALL_PART)
		answer_part(call);
	else
		answer_job(call, 200, reply);
}

static void answer_conflict(struct job_call *call,
			    const Briarplank__JobReply *reply)
{
	if (*reply->message)
		job_call_fail(call, 409, "Conflict", "job %s: %s", call->name,
			      reply->message);
	else
		job_call_fail(call, 409, "Conflict",
			      "job %s exists with other content", call->name);
}

void job_call_answer(struct job_call *call, const Briarplank__JobReply *reply)
{
	uint32_t retry =
		reply->retry_after_ms ? reply->retry_after_ms : RETRY_AFTER_MS;

	switch (reply->code) {
	case BRIARPLANK__JOB_REPLY__CODE__OK:
		answer_ok(call, reply);
		break;
	case BRIARPLANK__JOB_REPLY__CODE__CREATED:
		answer_job(call, 201, reply);
		break;
	case BRIARPLANK__JOB_REPLY__CODE__CONFLICT:
		answer_conflict(call, reply);
		break;
	case BRIARPLANK__JOB_REPLY__CODE__BAD_LINE:
		job_call_fail(call, 400, "Bad submission", "%s",
			      reply->message);
		break;
	case BRIARPLANK__JOB_REPLY__CODE__UNKNOWN_JOB:
		job_call_fail(call, 404, "Unknown job",
			      "no job %s for this caller", call->name);
		break;
	case BRIARPLANK__JOB_REPLY__CODE__EXPIRED:
		job_call_fail(call, 410, "Expired",
			      "job %s has ended and its keep time has passed",
			      call->name);
		break;
	case BRIARPLANK__JOB_REPLY__CODE__BAD_SUBMISSION:
		if (call->kind == JOB_CALL_PART && !call->part_unknown) {
			job_submit_append_part(call);
			break;
		}
		job_call_unavailable(call, retry,
				     "not accepted: parts of the submission "
				     "were lost, send it again");
		break;
	case BRIARPLANK__JOB_REPLY__CODE__OVERLOADED:
		job_call_unavailable(
			call, retry,
			"not accepted: too many records wait for the log");
		break;
	default:
		job_call_unavailable(call, retry,
				     *reply->message ?
					     reply->message :
					     "the log does not answer now");
		break;
	}
}
