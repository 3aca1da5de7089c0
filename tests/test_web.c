/*
 * Tests of the web server with raw connections.
 */
#include <stdlib.h>
#include <string.h>

#include "briarplankd/web.h"
#include "loop_wait.h"
#include "raw_peer.h"
#include "script.h"

#define MAX_BODY_BYTES 1000
#define REQUEST_TIMEOUT_MS 400
#define PIECE_BYTES 65536

struct state {
	uv_loop_t loop;
	struct metrics *metrics;
	struct web *web;
	GHashTable *clients;
	GString *out;
	/* Log of the calls to the handlers, one line each. */
	GString *events;
	unsigned events_nr;
	unsigned events_wanted;
	struct raw_client *awaited;
	/* Request for /late, until it is answered or its caller disconnects. */
	struct web_request *late;
	/* Request for /stream, and the number of pieces yet to be written. */
	struct web_request *stream;
	unsigned pieces;
};

static void add_event(struct state *state, const char *text)
{
	g_string_append_printf(state->events, "%s\n", text);
	state->events_nr++;
}

static void on_echo(void *ctx, struct web_request *request)
{
	size_t len;
	const char *body = web_body(request, &len);

	(void)ctx;
	web_answer(request, 200, "text/plain", body, len);
}

static void on_fields(void *ctx, struct web_request *request)
{
	GString *out = g_string_new(NULL);
	const char *name, *value;
	size_t i;

	(void)ctx;
	g_string_printf(out, "%s %s ?%s", web_method(request),
			web_path(request), web_query(request));
	for (i = 0; i < web_headers_nr(request); i++) {
		web_header_at(request, i, &name, &value);
		g_string_append_printf(out, " %s=%s", name, value);
	}
	web_add_header(request, "Retry-After", "7");
	web_answer(request, 200, "text/plain", out->str, out->len);
	/* A second answer to the same request must have no effect. */
	web_answer(request, 500, "text/plain", "twice", 5);
	web_stream_end(request, false);
	g_string_free(out, TRUE);
}

static void on_broken(void *ctx, struct web_request *request)
{
	(void)ctx;
	web_stream_begin(request, 200, "text/plain");
	web_stream_write(request, "half", 4);
	web_stream_end(request, false);
}

static void on_unstarted(void *ctx, struct web_request *request)
{
	(void)ctx;
	web_stream_end(request, false);
}

static void on_cut(void *ctx, struct web_request *request)
{
	(void)ctx;
	web_abort(request);
}

static void on_late_closed(void *ctx, bool sent)
{
	struct state *state = ctx;

	add_event(state, sent ? "late: sent" : "late: caller disconnected");
	state->late = NULL;
}

static void on_late(void *ctx, struct web_request *request)
{
	struct state *state = ctx;

	state->late = request;
	web_on_close(request, on_late_closed, state);
	add_event(state, "late: received");
}

static void write_piece(struct state *state)
{
	char *piece = g_malloc(PIECE_BYTES);

	memset(piece, 'x', PIECE_BYTES);
	web_stream_write(state->stream, piece, PIECE_BYTES);
	g_free(piece);
	if (!--state->pieces)
		web_stream_end(state->stream, true);
}

static void on_flushed(void *ctx)
{
	struct state *state = ctx;

	if (state->stream && state->pieces)
		write_piece(state);
}

static void on_stream_closed(void *ctx, bool sent)
{
	struct state *state = ctx;

	add_event(state, sent ? "stream: sent" : "stream: caller disconnected");
	state->stream = NULL;
}

/* Streams the number of pieces that the query gives. */
static void on_stream(void *ctx, struct web_request *request)
{
	struct state *state = ctx;

	state->stream = request;
	state->pieces = (unsigned)strtoul(web_query(request), NULL, 10);
	web_on_close(request, on_stream_closed, state);
	web_on_flushed(request, on_flushed, state);
	web_stream_begin(request, 200, "text/plain");
}

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);
	struct web_options options = {
		.loop = &state->loop,
		.address = "127.0.0.1:0",
		.max_body_bytes = MAX_BODY_BYTES,
		.request_timeout_ms = REQUEST_TIMEOUT_MS,
	};

	uv_loop_init(&state->loop);
	state->metrics = metrics_create();
	options.metrics = state->metrics;
	state->web = web_create(&options);
	state->clients = g_hash_table_new(g_str_hash, g_str_equal);
	state->events = g_string_new(NULL);
	web_route(state->web, "/echo", on_echo, state);
	web_route(state->web, "/fields", on_fields, state);
	web_route(state->web, "/broken", on_broken, state);
	web_route(state->web, "/unbegun", on_unstarted, state);
	web_route(state->web, "/cut", on_cut, state);
	web_route(state->web, "/late", on_late, state);
	web_route(state->web, "/stream", on_stream, state);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;
	GHashTableIter iter;
	gpointer name, client;

	web_destroy(state->web);
	g_hash_table_iter_init(&iter, state->clients);
	while (g_hash_table_iter_next(&iter, &name, &client)) {
		raw_client_destroy(client, false);
		g_free(name);
	}
	g_hash_table_destroy(state->clients);
	loop_close(&state->loop);
	metrics_destroy(state->metrics);
	g_string_free(state->events, TRUE);
	g_free(state);
}

/* Finds or opens a connection. */
static struct raw_client *client_find(struct state *state, const char *name)
{
	struct raw_client *client = g_hash_table_lookup(state->clients, name);

	if (client)
		return client;
	client = raw_client_create(&state->loop, web_address(state->web));
	g_hash_table_insert(state->clients, g_strdup(name), client);
	return client;
}

/* send CLIENT BYTES: sends raw bytes */
static void cmd_send(void *data, int argc, char **argv)
{
	struct state *state = data;
	char *bytes = g_strcompress(argv[2]);

	(void)argc;
	raw_client_send(client_find(state, argv[1]), bytes, strlen(bytes));
	g_free(bytes);
}

/* post CLIENT PATH BYTES: sends a POST with a body of this size */
static void cmd_post(void *data, int argc, char **argv)
{
	struct state *state = data;
	size_t len = strtoul(argv[3], NULL, 10);
	GString *text = g_string_new(NULL);

	(void)argc;
	g_string_printf(text, "POST %s HTTP/1.1\r\ncontent-length: %zu\r\n\r\n",
			argv[2], len);
	g_string_set_size(text, text->len + len);
	memset(text->str + text->len - len, 'b', len);
	raw_client_send(client_find(state, argv[1]), text->str, text->len);
	g_string_free(text, TRUE);
}

/* fill CLIENT BYTES: sends this number of bytes of a body */
static void cmd_fill(void *data, int argc, char **argv)
{
	struct state *state = data;
	size_t len = strtoul(argv[2], NULL, 10);
	char *bytes = g_malloc(len);

	(void)argc;
	memset(bytes, 'b', len);
	raw_client_send(client_find(state, argv[1]), bytes, len);
	g_free(bytes);
}

/* Returns the length of the first answer, or 0 while it isn't complete. */
static size_t answer_len(const GString *received)
{
	const char *head_end = strstr(received->str, "\r\n\r\n");
	const char *length, *end;
	size_t head_len, len;

	if (!head_end)
		return 0;
	head_len = head_end + 4 - received->str;
	length = strcasestr(received->str, "content-length: ");
	if (length && length < head_end) {
		len = head_len + strtoul(length + 16, NULL, 10);
		return received->len >= len ? len : 0;
	}
	end = strstr(received->str + head_len, "\r\n0\r\n\r\n");
	return end ? end + 7 - received->str : 0;
}

static bool has_answer(void *ctx)
{
	struct state *state = ctx;

	return raw_client_ended(state->awaited) ||
	       answer_len(raw_client_received(state->awaited));
}

/* Prints an answer without the headers that differ from run to run. */
static void print_answer(struct state *state, const char *text, size_t len)
{
	char *copy = g_strndup(text, len);
	char **lines = g_strsplit(copy, "\r\n", -1);
	char **line;

	for (line = lines; *line; line++) {
		if (!g_ascii_strncasecmp(*line, "date:", 5) ||
		    !g_ascii_strncasecmp(*line, "server:", 7) ||
		    !g_ascii_strncasecmp(*line, "connection:", 11))
			continue;
		if (**line)
			g_string_append_printf(state->out, "%s\n", *line);
	}
	g_strfreev(lines);
	g_free(copy);
}

/* receive CLIENT: prints the next answer, or its part before a disconnect */
static void cmd_receive(void *data, int argc, char **argv)
{
	struct state *state = data;
	GString *received;
	size_t len;

	(void)argc;
	state->awaited = client_find(state, argv[1]);
	received = raw_client_received(state->awaited);
	if (!loop_wait(&state->loop, has_answer, state, LOOP_WAIT_MS)) {
		g_string_append(state->out, "no answer\n");
		return;
	}
	len = answer_len(received);
	print_answer(state, received->str, len ? len : received->len);
	if (!len)
		g_string_append(state->out, "ended\n");
	g_string_erase(received, 0, len ? (gssize)len : -1);
}

static bool has_ended(void *ctx)
{
	return raw_client_ended(((struct state *)ctx)->awaited);
}

/* ended CLIENT: waits for the end and prints how many bytes are unread */
static void cmd_ended(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	state->awaited = client_find(state, argv[1]);
	if (loop_wait(&state->loop, has_ended, state, LOOP_WAIT_MS))
		g_string_append_printf(
			state->out, "ended, %zu bytes left\n",
			raw_client_received(state->awaited)->len);
	else
		g_string_append(state->out, "still open\n");
}

static void cmd_half_close(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	raw_client_half_close(client_find(state, argv[1]));
}

/* close CLIENT [reset=1]: closes the connection, with reset=1 by a reset */
static void cmd_close(void *data, int argc, char **argv)
{
	struct state *state = data;
	gpointer name, client;

	g_hash_table_steal_extended(state->clients, argv[1], &name, &client);
	raw_client_destroy(client, script_arg_int(argc, argv, "reset", 0));
	g_free(name);
}

/* read CLIENT on|off: starts or stops reading from the connection */
static void cmd_read(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	raw_client_read(client_find(state, argv[1]), !strcmp(argv[2], "on"));
}

static bool has_events(void *ctx)
{
	struct state *state = ctx;

	return state->events_nr >= state->events_wanted;
}

/* events NR: waits for this number of events and prints them */
static void cmd_events(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	state->events_wanted = (unsigned)strtoul(argv[1], NULL, 10);
	if (!loop_wait(&state->loop, has_events, state, LOOP_WAIT_MS))
		g_string_append(state->out, "too few\n");
	g_string_append(state->out, state->events->str);
	g_string_truncate(state->events, 0);
	state->events_nr = 0;
}

/* answer: answers the request for /late */
static void cmd_answer(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	(void)argv;
	if (state->late)
		web_answer(state->late, 200, "text/plain", "late", 4);
	else
		g_string_append(state->out, "no request waits\n");
}

static void cmd_sleep(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	loop_sleep(&state->loop, strtoul(argv[1], NULL, 10));
}

/* queued: prints whether the stream has queued more than one piece */
static void cmd_queued(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	(void)argv;
	g_string_append_printf(state->out, "%s, pieces left: %s\n",
			       web_stream_queued(state->stream) > PIECE_BYTES ?
				       "more than a piece" :
				       "at most a piece",
			       state->pieces ? "some" : "none");
}

static void cmd_running(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	(void)argv;
	g_string_append_printf(state->out, "%u\n",
			       web_running_requests(state->web));
}

/* state CLIENT: prints whether the connection has ended, without waiting */
static void cmd_state(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	g_string_append(state->out,
			raw_client_ended(client_find(state, argv[1])) ?
				"ended\n" :
				"open\n");
}

/* close-idle [age=MS]: closes the connections without a request that are as old */
static void cmd_close_idle(void *data, int argc, char **argv)
{
	struct state *state = data;

	web_close_idle(state->web,
		       (uint64_t)script_arg_int(argc, argv, "age", 0));
}

static const struct script_command commands[] = {
	{ "answer", cmd_answer },
	{ "close", cmd_close },
	{ "close-idle", cmd_close_idle },
	{ "ended", cmd_ended },
	{ "events", cmd_events },
	{ "fill", cmd_fill },
	{ "half-close", cmd_half_close },
	{ "post", cmd_post },
	{ "queued", cmd_queued },
	{ "read", cmd_read },
	{ "receive", cmd_receive },
	{ "running", cmd_running },
	{ "send", cmd_send },
	{ "sleep", cmd_sleep },
	{ "state", cmd_state },
};

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	state->out = out;
	script_dispatch(commands, G_N_ELEMENTS(commands), state, argc, argv,
			out);
}

static const struct script_driver driver = {
	.name = "web",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
