#include "job_calls_private.h"
#include "platform/codec.h"

/* Deadline of a call that has none of its own, in ms. */
#define DEFAULT_DEADLINE_MS 4000
/* Margin before the deadline at which an open call is answered, in ms. */
#define ANSWER_MARGIN_MS 60

struct web_request *job_call_detach(struct web_request **web)
{
	struct web_request *request = *web;

	*web = NULL;
	web_on_close(request, NULL, NULL);
	return request;
}

uint64_t job_call_deadline(struct gateway *gateway, struct web_request *web)
{
	const char *text = web_header(web, platform_fields.deadline_ms);
	uint64_t ms =
		text ? g_ascii_strtoull(text, NULL, 10) : DEFAULT_DEADLINE_MS;

	return uv_now(gateway->loop) +
	       (ms > ANSWER_MARGIN_MS ? ms - ANSWER_MARGIN_MS : 1);
}

struct job_calls *job_calls_create(struct gateway *gateway)
{
	struct job_calls *calls = g_new0(struct job_calls, 1);

	calls->gateway = gateway;
	list_init(&calls->submissions);
	list_init(&calls->reads);
	job_outputs_init(calls);
	return calls;
}

void job_calls_stop(struct job_calls *calls)
{
	job_submissions_stop(calls);
	job_reads_stop(calls);
}

void job_calls_destroy(struct job_calls *calls)
{
	job_submissions_free(calls);
	job_reads_free(calls);
	job_outputs_clear(calls);
	g_free(calls);
}
