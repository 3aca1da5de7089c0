#include <string.h>

#include "common/log.h"
#include "net/address.h"
#include "net/http_pool.h"
#include "peers.h"
#include "reader_client.h"

/* Timeouts of connections to another entry, in ms. They allow for round trips
 * within a region and for a busy entry. */
#define CONNECT_TIMEOUT_MS 300
#define UNACKED_TIMEOUT_MS 1000
#define REUSE_LIMIT_MS 4000
/* Maximum time that an answer may take while its bytes arrive, in ms. */
#define TRANSFER_MAX_MS 5000
/* Maximum size of an answer, in bytes: several times that of a list of all servers with
 * the configuration. */
#define ANSWER_BYTES_MAX (8 << 20)
/* Time for which a reader isn't chosen after a failed fetch, in ms. */
#define AVOID_MS 2000

struct reader_client {
	struct reader_client_options options;
	/* Packed address of the reader; 0 for none. */
	uint64_t reader;
	struct http_pool *pool;
	/* Connection of the fetch in progress; NULL for none. */
	struct http_link *http;
	uint64_t sent_ms;
	int status;
	GByteArray *body;
	uv_timer_t timer;
	/* Packed address of the reader from which a fetch failed last, and the
	 * loop time until which it isn't chosen. */
	uint64_t avoided;
	uint64_t avoid_until_ms;
};

uint64_t reader_query_number(const char *query, const char *name)
{
	char **pairs = g_strsplit(query, "&", -1);
	size_t len = strlen(name);
	uint64_t number = 0;
	char **pair;

	for (pair = pairs; *pair; pair++) {
		if (!strncmp(*pair, name, len) && (*pair)[len] == '=')
			number = g_ascii_strtoull(*pair + len + 1, NULL, 10);
	}
	g_strfreev(pairs);
	return number;
}

void reader_client_cancel(struct reader_client *client)
{
	uv_timer_stop(&client->timer);
	if (client->http)
		http_link_close(client->http);
	client->http = NULL;
}

/* Ends the fetch in progress, with its answer or, on failure, NULL. */
static void fetch_end(struct reader_client *client, GByteArray *body)
{
	const struct reader_client_options *options = &client->options;

	reader_client_cancel(client);
	if (options->done(options->ctx, body ? body->data : NULL,
			  body ? body->len : 0))
		return;
	client->avoided = client->reader;
	client->avoid_until_ms = uv_now(options->gateway->loop) + AVOID_MS;
}

static void on_timeout(uv_timer_t *timer)
{
	fetch_end(timer->data, NULL);
}

static bool on_head(void *ctx, const struct http_link_head *head)
{
	struct reader_client *client = ctx;

	client->status = head->status;
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct reader_client *client = ctx;
	uint64_t now = uv_now(client->options.gateway->loop);

	if (client->body->len + len > ANSWER_BYTES_MAX) {
		log_event("directory", LOG_LEVEL_WARN,
			  "%s: the reader's answer is too long bytes=%zu",
			  client->options.name, client->body->len + len);
		fetch_end(client, NULL);
		return;
	}
	g_byte_array_append(client->body, (const guint8 *)data, (guint)len);
	if (now - client->sent_ms < TRANSFER_MAX_MS)
		uv_timer_start(&client->timer, on_timeout,
			       client->options.timeout_ms, 0);
}

static void on_end(void *ctx, enum http_link_end end)
{
	struct reader_client *client = ctx;
	bool complete = end == HTTP_LINK_COMPLETE && client->status == 200;

	if (end == HTTP_LINK_COMPLETE) {
		http_pool_release(client->pool, client->http);
		client->http = NULL;
	}
	fetch_end(client, complete ? client->body : NULL);
}

static const struct http_link_handlers handlers = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static void pool_close(struct reader_client *client)
{
	if (!client->pool)
		return;
	http_pool_close(client->pool);
	http_pool_unref(client->pool);
	client->pool = NULL;
}

bool reader_client_choose(struct reader_client *client)
{
	struct gateway *gateway = client->options.gateway;
	uint64_t now = uv_now(gateway->loop);
	uint64_t reader = peers_choose_reader(
		gateway->peers,
		now < client->avoid_until_ms ? client->avoided : 0);
	struct sockaddr_in addr = address_unpack(reader);
	char *text = address_format(&addr);
	struct http_pool_options options = {
		.loop = gateway->loop,
		.address = text,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.unacked_timeout_ms = UNACKED_TIMEOUT_MS,
		.framed_only = true,
		.idle_max = 1,
		.reuse_limit_ms = REUSE_LIMIT_MS,
	};

	if (reader != client->reader) {
		log_event("directory", LOG_LEVEL_INFO, "%s follows %s%s",
			  client->options.name,
			  reader ? "the entry at " : "the store itself",
			  reader ? text : "");
		pool_close(client);
		if (reader)
			client->pool = http_pool_create(&options);
		client->reader = reader;
	}
	g_free(text);
	return reader != 0;
}

uint64_t reader_client_reader(const struct reader_client *client)
{
	return client->reader;
}

bool reader_client_busy(const struct reader_client *client)
{
	return client->http != NULL;
}

void reader_client_fetch(struct reader_client *client, const char *target)
{
	GString *request = g_string_new(NULL);

	g_string_append_printf(
		request, "GET %s HTTP/1.1\r\nHost: directory\r\n\r\n", target);
	client->status = 0;
	client->sent_ms = uv_now(client->options.gateway->loop);
	g_byte_array_set_size(client->body, 0);
	client->http = http_pool_acquire(client->pool, REUSE_LIMIT_MS, 0);
	uv_timer_start(&client->timer, on_timeout, client->options.timeout_ms,
		       0);
	http_link_send(client->http, request, &handlers, client);
}

struct reader_client *reader_client_create(
	const struct reader_client_options *options)
{
	struct reader_client *client = g_new0(struct reader_client, 1);

	client->options = *options;
	client->body = g_byte_array_new();
	uv_timer_init(options->gateway->loop, &client->timer);
	client->timer.data = client;
	return client;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void reader_client_destroy(struct reader_client *client)
{
	reader_client_cancel(client);
	pool_close(client);
	g_byte_array_free(client->body, TRUE);
	uv_close((uv_handle_t *)&client->timer, on_closed);
}
