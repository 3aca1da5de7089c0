/*
 * HTTP adapter for the log service: appends are POSTs, reads are long-polling
 * GETs.
 */
#include <string.h>

#include <glib.h>

#include "logservice.pb-c.h"
#include "standalone/http_fetch.h"
#include "standalone/log_service.h"

#define CONNECT_TIMEOUT_MS 1000

struct log_http {
	struct log_service super;
	struct http_client *http;
	char *address;
	uint32_t timeout_ms;
};

/* A pending append or read. */
struct log_call {
	log_append_fn appended;
	log_read_fn read;
	void *ctx;
};

static enum log_service_status append_status(const struct http_answer *answer)
{
	if (http_answer_refused(answer))
		return LOG_SERVICE_REFUSED;
	if (answer->end == HTTP_COMPLETE && answer->status == 200)
		return LOG_SERVICE_OK;
	return LOG_SERVICE_UNKNOWN;
}

static uint64_t parse_offset(const struct http_answer *answer)
{
	Briarplank__LogAppended *appended = briarplank__log_appended__unpack(
		NULL, answer->len, (const uint8_t *)answer->body);
	uint64_t offset = appended ? appended->offset : 0;

	if (appended)
		briarplank__log_appended__free_unpacked(appended, NULL);
	return offset;
}

static void on_appended(void *ctx, const struct http_answer *answer)
{
	struct log_call *call = ctx;
	enum log_service_status status = append_status(answer);
	uint64_t offset = 0;

	if (status == LOG_SERVICE_OK)
		offset = parse_offset(answer);
	if (status == LOG_SERVICE_OK && !offset)
		status = LOG_SERVICE_UNKNOWN;
	call->appended(call->ctx, status, offset);
}

static void log_http_append(struct log_service *base, const char *stream,
			    const void *payload, size_t len, log_append_fn done,
			    void *ctx)
{
	struct log_http *service = (struct log_http *)base;
	struct log_call *call = g_new0(struct log_call, 1);
	char *path = g_strdup_printf("/v1/streams/%s/records", stream);
	struct http_call_options options = {
		.address = service->address,
		.method = "POST",
		.path = path,
		.body = payload,
		.body_len = len,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.first_byte_timeout_ms = service->timeout_ms,
		.idle_timeout_ms = service->timeout_ms,
		.on_free = g_free,
	};

	call->appended = done;
	call->ctx = ctx;
	http_fetch(service->http, &options, on_appended, call);
	g_free(path);
}

static void report_page(struct log_call *call,
			const Briarplank__LogEntries *answer)
{
	struct log_service_entry *entries =
		g_new0(struct log_service_entry, answer->n_entries);
	struct log_service_page page = {
		.first_offset = answer->first_offset,
		.end_offset = answer->end_offset,
		.entries = entries,
		.nr = answer->n_entries,
	};
	size_t i;

	for (i = 0; i < answer->n_entries; i++) {
		entries[i].offset = answer->entries[i]->offset;
		entries[i].stored_ms = answer->entries[i]->stored_ms;
		entries[i].payload = answer->entries[i]->payload.data;
		entries[i].len = answer->entries[i]->payload.len;
	}
	call->read(call->ctx, LOG_SERVICE_OK, &page);
	g_free(entries);
}

static void on_read(void *ctx, const struct http_answer *answer)
{
	struct log_call *call = ctx;
	Briarplank__LogEntries *entries = NULL;

	if (answer->end == HTTP_COMPLETE && answer->status == 200)
		entries = briarplank__log_entries__unpack(
			NULL, answer->len, (const uint8_t *)answer->body);
	if (entries) {
		report_page(call, entries);
		briarplank__log_entries__free_unpacked(entries, NULL);
	} else {
		call->read(call->ctx, LOG_SERVICE_UNAVAILABLE, NULL);
	}
}

static void log_http_read(struct log_service *base, const char *stream,
			  uint64_t from, uint32_t max_bytes, uint32_t wait_ms,
			  log_read_fn done, void *ctx)
{
	struct log_http *service = (struct log_http *)base;
	struct log_call *call = g_new0(struct log_call, 1);
	char *path =
		g_strdup_printf("/v1/streams/%s/records?from=%" G_GUINT64_FORMAT
				"&max_bytes=%u&wait_ms=%u",
				stream, from, max_bytes, wait_ms);
	struct http_call_options options = {
		.address = service->address,
		.method = "GET",
		.path = path,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.first_byte_timeout_ms = service->timeout_ms + wait_ms,
		.idle_timeout_ms = service->timeout_ms,
		.on_free = g_free,
	};

	call->read = done;
	call->ctx = ctx;
	http_fetch(service->http, &options, on_read, call);
	g_free(path);
}

static void log_http_destroy(struct log_service *base)
{
	struct log_http *service = (struct log_http *)base;

	g_free(service->address);
	g_free(service);
}

static const struct log_service_ops log_http_ops = {
	.append = log_http_append,
	.read = log_http_read,
	.destroy = log_http_destroy,
};

struct log_service *log_http_create(struct http_client *http,
				    const char *address, uint32_t timeout_ms)
{
	struct log_http *service = g_new0(struct log_http, 1);

	service->super.ops = &log_http_ops;
	service->http = http;
	service->address = g_strdup(address);
	service->timeout_ms = timeout_ms;
	return &service->super;
}
