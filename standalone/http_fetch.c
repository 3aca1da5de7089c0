#include <glib.h>

#include "standalone/http_fetch.h"

struct fetch {
	http_fetch_fn done;
	void *ctx;
	void (*free_ctx)(void *ctx);
	int status;
	struct http_call *call;
	size_t bytes_max;
	GByteArray *body;
};

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	struct fetch *fetch = ctx;

	(void)fields;
	(void)nr;
	fetch->status = status;
}

static void on_end(void *ctx, enum http_result end)
{
	struct fetch *fetch = ctx;
	struct http_answer answer = {
		.end = end,
		.status = fetch->status,
		.body = (const char *)fetch->body->data,
		.len = fetch->body->len,
	};

	fetch->done(fetch->ctx, &answer);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct fetch *fetch = ctx;

	if (fetch->body->len + len <= fetch->bytes_max) {
		g_byte_array_append(fetch->body, (const guint8 *)data,
				    (guint)len);
		return;
	}
	on_end(fetch, HTTP_TRUNCATED);
	http_call_cancel(fetch->call);
}

static void on_free(void *ctx)
{
	struct fetch *fetch = ctx;

	g_byte_array_free(fetch->body, TRUE);
	if (fetch->free_ctx)
		fetch->free_ctx(fetch->ctx);
	g_free(fetch);
}

void http_fetch(struct http_client *client,
		const struct http_call_options *options, http_fetch_fn done,
		void *ctx)
{
	struct http_call_options own = *options;
	struct fetch *fetch = g_new0(struct fetch, 1);

	fetch->done = done;
	fetch->ctx = ctx;
	fetch->free_ctx = options->on_free;
	fetch->bytes_max = options->collect_bytes_max ?
				   options->collect_bytes_max :
				   HTTP_FETCH_MAX_BYTES;
	fetch->body = g_byte_array_new();
	own.on_sent = NULL;
	own.on_head = on_head;
	own.on_body = on_body;
	own.on_end = on_end;
	own.on_free = on_free;
	own.ctx = fetch;
	fetch->call = http_call_start(client, &own);
}

bool http_answer_refused(const struct http_answer *answer)
{
	if (answer->end == HTTP_NOT_SENT)
		return true;
	return answer->end == HTTP_COMPLETE &&
	       (answer->status == 503 ||
		(answer->status >= 400 && answer->status < 500));
}
