/*
 * Simulated crowd of clients that don't behave.
 *
 * POST /crowd?address=IP:PORT&send=PATTERN&clients=N&bytes=N&host=HOST&path=PATH opens
 * connections, each of which sends a request of that pattern up to this many bytes of it,
 * never reads, and stays open. One that is closed opens another, up to ATTEMPTS times.
 * GET /crowd tells how many connections are open, were closed by their peer, and have sent
 * all. POST /calm closes them all.
 */
#include <string.h>

#include "common/list.h"
#include "net/address.h"
#include "standin.h"

/* Number of connections that each client opens in all. */
#define ATTEMPTS 3
/* Bytes that are written at a time. */
#define PIECE_BYTES 65536
/* Time until a client that was closed opens another connection, in ms. */
#define PAUSE_MS 20

struct crowd;

/* What a client sends. */
struct pattern {
	const char *name;
	/* Adds the head of the request. */
	void (*head)(const struct crowd *crowd, GString *out);
	/* Adds a piece of up to PIECE_BYTES; NULL if the pattern has only a head. */
	void (*piece)(const struct crowd *crowd, GString *out);
};

struct crowd {
	struct standin *standin;
	const struct pattern *pattern;
	struct sockaddr_in address;
	char *host;
	char *path;
	size_t bytes;
	struct list clients;
	unsigned closed_nr;
	bool calm;
};

struct client {
	struct list link;
	struct crowd *crowd;
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connect;
	uv_write_t write;
	GString *out;
	size_t sent;
	unsigned attempts;
	bool open;
	bool done;
};

static void add_head(const struct crowd *crowd, GString *out,
		     const char *fields)
{
	g_string_append_printf(out,
			       "POST %s HTTP/1.1\r\nHost: %s\r\n"
			       "X-Attempt-Id: crowd\r\nX-Deadline-Ms: 6000\r\n"
			       "%s",
			       crowd->path, crowd->host, fields);
}

static void chunked_head(const struct crowd *crowd, GString *out)
{
	add_head(crowd, out, "Transfer-Encoding: chunked\r\n\r\n");
}

static void chunk_piece(const struct crowd *crowd, GString *out)
{
	(void)crowd;
	g_string_append(out, "f000\r\n");
	g_string_set_size(out, out->len + 0xf000);
	memset(out->str + out->len - 0xf000, 'x', 0xf000);
	g_string_append(out, "\r\n");
}

static void tiny_piece(const struct crowd *crowd, GString *out)
{
	(void)crowd;
	while (out->len < PIECE_BYTES / 2)
		g_string_append(out, "1\r\nx\r\n");
}

static void length_head(const struct crowd *crowd, GString *out)
{
	char *field = g_strdup_printf("Content-Length: %zu\r\n\r\n",
				      crowd->bytes + 1);

	add_head(crowd, out, field);
	g_free(field);
}

static void announced_head(const struct crowd *crowd, GString *out)
{
	add_head(crowd, out, "Content-Length: 999999999999\r\n\r\n");
}

static void fill_piece(const struct crowd *crowd, GString *out)
{
	(void)crowd;
	g_string_set_size(out, PIECE_BYTES);
	memset(out->str, 'x', PIECE_BYTES);
}

static void open_head(const struct crowd *crowd, GString *out)
{
	add_head(crowd, out, "");
}

static void field_piece(const struct crowd *crowd, GString *out)
{
	(void)crowd;
	while (out->len < PIECE_BYTES / 16)
		g_string_append(out, "X-Field: 0123456789abcdef0123456789\r\n");
}

static void whole_piece(const struct crowd *crowd, GString *out)
{
	char *field =
		g_strdup_printf("Content-Length: %d\r\n\r\n", PIECE_BYTES / 2);

	add_head(crowd, out, field);
	g_free(field);
	g_string_set_size(out, out->len + PIECE_BYTES / 2);
	memset(out->str + out->len - PIECE_BYTES / 2, 'x', PIECE_BYTES / 2);
}

/* A request whose body is complete, and as long as the pattern's bytes. */
static void body_head(const struct crowd *crowd, GString *out)
{
	char *field =
		g_strdup_printf("Content-Length: %zu\r\n\r\n", crowd->bytes);

	add_head(crowd, out, field);
	g_free(field);
	g_string_append_len(out, "hold 3", 6);
	while (out->len < crowd->bytes)
		g_string_append_c(out, ' ');
}

/* A job of so many values that they are much larger decoded. */
static void values_head(const struct crowd *crowd, GString *out)
{
	char *field =
		g_strdup_printf("Content-Length: %zu\r\n\r\n", crowd->bytes);
	size_t begin;

	add_head(crowd, out, field);
	g_free(field);
	begin = out->len;
	g_string_append(out, "{\"Items\":[[]");
	while (out->len - begin < crowd->bytes - 4)
		g_string_append(out, ",[]");
	g_string_append(out, "]}    ");
	g_string_truncate(out, begin + crowd->bytes);
}

static void read_head(const struct crowd *crowd, GString *out)
{
	g_string_append_printf(out,
			       "GET %s HTTP/1.1\r\nHost: %s\r\n"
			       "X-Deadline-Ms: 6000\r\n\r\n",
			       crowd->path, crowd->host);
}

static void silent_head(const struct crowd *crowd, GString *out)
{
	(void)crowd;
	(void)out;
}

static const struct pattern patterns[] = {
	{ "announced", announced_head, fill_piece },
	{ "bodies", body_head, NULL },
	{ "chunks", chunked_head, chunk_piece },
	{ "fields", open_head, field_piece },
	{ "length", length_head, fill_piece },
	{ "pipelined", silent_head, whole_piece },
	{ "reads", read_head, NULL },
	{ "silent", silent_head, NULL },
	{ "tiny-chunks", chunked_head, tiny_piece },
	{ "values", values_head, NULL },
};

static void client_open(struct client *client);

static void on_pause_over(uv_timer_t *timer)
{
	client_open(timer->data);
}

static void on_tcp_closed(uv_handle_t *handle)
{
	struct client *client = handle->data;

	client->open = false;
	client->crowd->closed_nr++;
	client->sent = 0;
	if (!client->crowd->calm && client->attempts < ATTEMPTS)
		uv_timer_start(&client->timer, on_pause_over, PAUSE_MS, 0);
	else
		client->done = true;
}

static void client_close(struct client *client)
{
	if (!uv_is_closing((uv_handle_t *)&client->tcp))
		uv_close((uv_handle_t *)&client->tcp, on_tcp_closed);
}

static void send_piece(struct client *client);

static void on_written(uv_write_t *write, int status)
{
	struct client *client = write->data;

	if (status < 0) {
		client_close(client);
		return;
	}
	client->sent += client->out->len;
	send_piece(client);
}

static void write_out(struct client *client)
{
	uv_buf_t buf =
		uv_buf_init(client->out->str, (unsigned)client->out->len);

	client->write.data = client;
	if (uv_write(&client->write, (uv_stream_t *)&client->tcp, &buf, 1,
		     on_written))
		client_close(client);
}

static void send_piece(struct client *client)
{
	const struct crowd *crowd = client->crowd;
	size_t left = crowd->bytes - MIN(client->sent, crowd->bytes);

	g_string_truncate(client->out, 0);
	if (!crowd->pattern->piece || !left) {
		client->done = true;
		return;
	}
	crowd->pattern->piece(crowd, client->out);
	g_string_truncate(client->out, MIN(client->out->len, left));
	write_out(client);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct client *client = connect->data;

	if (status < 0) {
		client_close(client);
		return;
	}
	g_string_truncate(client->out, 0);
	client->crowd->pattern->head(client->crowd, client->out);
	if (client->out->len)
		write_out(client);
	else
		send_piece(client);
}

static void client_open(struct client *client)
{
	client->attempts++;
	uv_tcp_init(standin_loop(client->crowd->standin), &client->tcp);
	client->tcp.data = client;
	client->connect.data = client;
	client->open = true;
	if (uv_tcp_connect(&client->connect, &client->tcp,
			   (struct sockaddr *)&client->crowd->address,
			   on_connected))
		client_close(client);
}

static const struct pattern *pattern_find(const char *name)
{
	size_t i;

	for (i = 0; name && i < G_N_ELEMENTS(patterns); i++) {
		if (!strcmp(patterns[i].name, name))
			return &patterns[i];
	}
	return NULL;
}

static void gather(struct crowd *crowd, struct web_request *request)
{
	char *address = standin_query(request, "address");
	char *send = standin_query(request, "send");
	int64_t nr = standin_query_int(request, "clients", 1);

	crowd->pattern = pattern_find(send);
	crowd->bytes = (size_t)standin_query_int(request, "bytes", 0);
	g_free(crowd->host);
	g_free(crowd->path);
	crowd->host = standin_query(request, "host");
	crowd->path = standin_query(request, "path");
	if (!crowd->pattern || !address ||
	    !address_parse(address, &crowd->address)) {
		web_problem(request, 400, "Bad crowd", "%s", send ? send : "-");
		nr = 0;
	} else {
		web_answer(request, 200, NULL, "", 0);
	}
	while (nr-- > 0) {
		struct client *client = g_new0(struct client, 1);

		client->crowd = crowd;
		client->out = g_string_new(NULL);
		uv_timer_init(standin_loop(crowd->standin), &client->timer);
		client->timer.data = client;
		list_append(&crowd->clients, &client->link);
		client_open(client);
	}
	g_free(address);
	g_free(send);
}

static void show(struct crowd *crowd, struct web_request *request)
{
	unsigned open = 0, done = 0, all = 0;
	struct list *pos;
	char *text;

	list_for_each (pos, &crowd->clients) {
		const struct client *client =
			list_entry(pos, struct client, link);

		all++;
		open += client->open;
		done += client->done;
	}
	text = g_strdup_printf("clients=%u open=%u done=%u closed=%u\n", all,
			       open, done, crowd->closed_nr);
	web_answer(request, 200, "text/plain", text, strlen(text));
	g_free(text);
}

static void on_crowd(void *ctx, struct web_request *request)
{
	if (!strcmp(web_method(request), "POST"))
		gather(ctx, request);
	else
		show(ctx, request);
}

static void on_calm(void *ctx, struct web_request *request)
{
	struct crowd *crowd = ctx;
	struct list *pos;

	crowd->calm = true;
	list_for_each (pos, &crowd->clients)
		client_close(list_entry(pos, struct client, link));
	web_answer(request, 200, NULL, "", 0);
}

static void *crowd_create(struct standin *standin, const void *settings)
{
	struct crowd *crowd = g_new0(struct crowd, 1);

	(void)settings;
	crowd->standin = standin;
	list_init(&crowd->clients);
	standin_route(standin, "/crowd", on_crowd, crowd);
	standin_route(standin, "/calm", on_calm, crowd);
	return crowd;
}

static void on_client_closed(uv_handle_t *handle)
{
	struct client *client = handle->data;

	g_string_free(client->out, TRUE);
	g_free(client);
}

static void crowd_destroy(void *data)
{
	struct crowd *crowd = data;
	struct list *pos, *tmp;

	crowd->calm = true;
	list_for_each (pos, &crowd->clients)
		client_close(list_entry(pos, struct client, link));
	uv_run(standin_loop(crowd->standin), UV_RUN_NOWAIT);
	list_for_each_safe (pos, tmp, &crowd->clients) {
		struct client *client = list_entry(pos, struct client, link);

		list_remove(&client->link);
		uv_close((uv_handle_t *)&client->timer, on_client_closed);
	}
	uv_run(standin_loop(crowd->standin), UV_RUN_NOWAIT);
	g_free(crowd->host);
	g_free(crowd->path);
	g_free(crowd);
}

static const struct standin_option crowd_options[] = { { 0 } };

const struct standin_command crowd_command = {
	.name = "crowd",
	.options = crowd_options,
	.create = crowd_create,
	.destroy = crowd_destroy,
};
