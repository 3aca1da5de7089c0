/*
 * Tests of HTTP connections to servers whose answers are valid, malformed,
 * duplicate, truncated or missing.
 */
#include <string.h>

#include "loop_wait.h"
#include "net/address.h"
#include "net/http_link.h"
#include "raw_peer.h"
#include "script.h"

/* Timeout for establishing a connection, in ms. */
#define CONNECT_TIMEOUT_MS 2000
/* Time for which a link reads nothing, in ms. */
#define READ_LATE_MS 200

struct state {
	uv_loop_t loop;
	struct raw_server *peer;
	struct http_link *link;
	GString *events;
	/* Expected value of the field X-Id. Answers with another value are
	 * skipped; NULL accepts any answer. */
	char *id;
	bool ended;
	bool closed;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	uv_loop_init(&state->loop);
	state->events = g_string_new(NULL);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	if (state->link)
		http_link_close(state->link);
	if (state->peer)
		raw_server_destroy(state->peer);
	loop_close(&state->loop);
	g_string_free(state->events, TRUE);
	g_free(state->id);
	g_free(state);
}

static bool on_head(void *ctx, const struct http_link_head *head)
{
	struct state *state = ctx;
	const char *id = http_link_head_field(head, "X-ID");

	if (state->id && id && strcmp(id, state->id) != 0) {
		g_string_append_printf(state->events, "skipped %s\n", id);
		return false;
	}
	g_string_append_printf(state->events, "head %d%s\n", head->status,
			       head->framing == HTTP_LINK_UNTIL_CLOSE ?
				       " without a length" :
				       "");
	return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct state *state = ctx;

	g_string_append_printf(state->events, "body '%.*s'\n", (int)len, data);
}

static void on_end(void *ctx, enum http_link_end end)
{
	static const char *const names[] = { "complete", "unsent", "no head",
					     "truncated", "malformed" };
	struct state *state = ctx;

	g_string_append_printf(state->events, "end: %s%s\n", names[end],
			       http_link_reusable(state->link) ? ", reusable" :
								 "");
	state->ended = true;
}

static const struct http_link_handlers handlers = {
	.on_head = on_head,
	.on_body = on_body,
	.on_end = on_end,
};

static void on_idle_close(void *ctx, struct http_link *link)
{
	struct state *state = ctx;

	(void)link;
	g_string_append(state->events, "closed between exchanges\n");
	state->closed = true;
}

static bool is_ended(void *ctx)
{
	return ((struct state *)ctx)->ended;
}

static bool is_closed(void *ctx)
{
	return ((struct state *)ctx)->closed;
}

static void open_link(struct state *state, const char *address,
		      bool framed_only)
{
	struct http_link_options options = {
		.loop = &state->loop,
		.address = address,
		.connect_timeout_ms = CONNECT_TIMEOUT_MS,
		.framed_only = framed_only,
		.on_idle_close = on_idle_close,
		.ctx = state,
	};

	state->link = http_link_open(&options);
}

static enum raw_close_mode parse_then(const char *text)
{
	if (!strcmp(text, "close"))
		return RAW_CLOSE;
	if (!strcmp(text, "repeat"))
		return RAW_REPEAT;
	if (!strcmp(text, "finish"))
		return RAW_FINISH;
	return strcmp(text, "reset") ? RAW_KEEP_OPEN : RAW_RESET;
}

static void serve(struct state *state, int argc, char **argv)
{
	char *bytes = g_strcompress(argv[1]);

	state->peer = raw_server_create(
		&state->loop, bytes,
		parse_then(script_arg(argc, argv, "then", "hold")));
	open_link(state, raw_server_address(state->peer),
		  script_arg_int(argc, argv, "framed_only", 0));
	g_free(bytes);
}

static bool is_connected(void *ctx)
{
	return http_link_connected_ms(((struct state *)ctx)->link) != 0;
}

/* Reads nothing until the server has ended the connection, while the request is still
 * being written. */
static void read_late(struct state *state)
{
	loop_wait(&state->loop, is_connected, state, LOOP_WAIT_MS);
	http_link_pause(state->link, true);
	loop_sleep(&state->loop, READ_LATE_MS);
	http_link_pause(state->link, false);
}

static void send_request(struct state *state, int argc, char **argv)
{
	gsize len = (gsize)script_arg_int(argc, argv, "upload", 0);
	GString *request = g_string_new(NULL);

	g_string_append_printf(
		request,
		"%s / HTTP/1.1\r\nHost: h\r\nContent-Length: %zu\r\n\r\n",
		script_arg(argc, argv, "method", "POST"), len);
	g_string_set_size(request, request->len + len);
	memset(request->str + request->len - len, 'x', len);
	g_free(state->id);
	state->id = g_strdup(script_arg(argc, argv, "id", NULL));
	state->ended = false;
	http_link_send(state->link, request, &handlers, state);
	if (script_arg_int(argc, argv, "pause", 0))
		read_late(state);
}

static void close_all(struct state *state)
{
	http_link_close(state->link);
	raw_server_destroy(state->peer);
	state->link = NULL;
	state->peer = NULL;
	g_string_truncate(state->events, 0);
}

/* Sends a request for each beginning of a head that lacks its last byte or more, and prints
 * the ends that differ from that of a connection without a head. */
static void cuts(struct state *state, int argc, char **argv, GString *out)
{
	char *bytes = g_strcompress(argv[1]);
	size_t len, nr = 0;

	for (len = strlen(bytes) - 1; len; len--, nr++) {
		bytes[len] = '\0';
		state->peer = raw_server_create(
			&state->loop, bytes,
			parse_then(script_arg(argc, argv, "then", "close")));
		open_link(state, raw_server_address(state->peer), false);
		send_request(state, argc, argv);
		if (!loop_wait(&state->loop, is_ended, state, LOOP_WAIT_MS) ||
		    strcmp(state->events->str, "end: no head\n") != 0)
			g_string_append_printf(out, "after %zu bytes: %s\n",
					       len, state->events->str);
		close_all(state);
	}
	g_string_append_printf(out, "cuts: %zu\n", nr);
	g_free(bytes);
}

/* Prints what an address is taken for. */
static void parse_address(const char *text, GString *out)
{
	struct sockaddr_storage addr;
	const struct sockaddr_in6 *v6 = (const struct sockaddr_in6 *)&addr;
	const struct sockaddr_in *v4 = (const struct sockaddr_in *)&addr;

	if (!address_parse_any(text, &addr))
		g_string_append(out, "no address\n");
	else if (addr.ss_family == AF_INET6)
		g_string_append_printf(out, "IPv6, port %u\n",
				       ntohs(v6->sin6_port));
	else
		g_string_append_printf(out, "IPv4, port %u\n",
				       ntohs(v4->sin_port));
}

/* Commands: serve BYTES then=hold|close|reset|finish|repeat
 * framed_only=0|1, no_listener, send id=ID method=METHOD upload=BYTES pause=0|1,
 * await_close, idle_limit, parse ADDRESS, cuts HEAD then=close|reset|finish. */
static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	if (!strcmp(argv[0], "serve")) {
		serve(state, argc, argv);
	} else if (!strcmp(argv[0], "cuts")) {
		cuts(state, argc, argv, out);
	} else if (!strcmp(argv[0], "no_listener")) {
		/* Port 1 of the loopback has no listener. */
		open_link(state, "127.0.0.1:1", false);
	} else if (!strcmp(argv[0], "send")) {
		send_request(state, argc, argv);
		if (!loop_wait(&state->loop, is_ended, state, LOOP_WAIT_MS))
			g_string_append(out, "no end\n");
	} else if (!strcmp(argv[0], "await_close")) {
		if (!loop_wait(&state->loop, is_closed, state, LOOP_WAIT_MS))
			g_string_append(out, "not closed\n");
	} else if (!strcmp(argv[0], "parse")) {
		parse_address(argv[1], out);
	} else if (!strcmp(argv[0], "idle_limit")) {
		g_string_append_printf(
			out, "%" G_GUINT64_FORMAT " ms\n",
			(guint64)http_link_idle_timeout_ms(state->link));
	}
	g_string_append(out, state->events->str);
	g_string_truncate(state->events, 0);
}

static const struct script_driver driver = {
	.name = "http_link",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
