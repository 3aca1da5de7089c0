/*
 * Tests how calls of an HTTP client end, and destroys the client with calls in
 * every state: each call must be freed exactly once, no other callback may run,
 * and no handle may stay on the loop.
 */
#include <string.h>

#include "loop_wait.h"
#include "standalone/http_client.h"
#include "raw_peer.h"
#include "script.h"

struct state {
	uv_loop_t loop;
	struct http_client *http;
	struct raw_server *peer;
	GString *out;
	/* State of the latest call. */
	struct http_call *call;
	GString *seen;
	bool ended;
	bool pause;
	unsigned started;
	unsigned freed;
	/* Number of calls that on_free still starts, and a timer that starts
	 * one. */
	unsigned on_free;
	uv_timer_t late_start_timer;
};

struct wait_context {
	struct state *state;
	const char *text;
};

struct call_params {
	bool fresh;
	/* Length of the request's body, in bytes. */
	size_t upload;
};

static void start_call(struct state *state, const struct call_params *params);

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	uv_loop_init(&state->loop);
	uv_timer_init(&state->loop, &state->late_start_timer);
	state->late_start_timer.data = state;
	state->http = http_client_create(&state->loop);
	state->seen = g_string_new(NULL);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	if (state->http)
		http_client_destroy(state->http);
	if (state->peer)
		raw_server_destroy(state->peer);
	loop_close(&state->loop);
	g_string_free(state->seen, TRUE);
	g_free(state);
}

static void on_sent(void *ctx)
{
	g_string_append(((struct state *)ctx)->seen, "sent ");
}

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	(void)fields;
	(void)nr;
	g_string_append_printf(((struct state *)ctx)->seen, "head=%d ", status);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct state *state = ctx;

	g_string_append_printf(state->seen, "body=%.*s ", (int)len, data);
	if (state->pause)
		http_call_pause(state->call, true);
}

static void on_end(void *ctx, enum http_result end)
{
	struct state *state = ctx;

	g_string_append_printf(state->seen, "end=%d ", end);
	state->call = NULL;
}

static void on_free(void *ctx)
{
	struct state *state = ctx;

	state->freed++;
	if (!state->on_free)
		return;
	state->on_free--;
	start_call(state, &(struct call_params){ 0 });
}

static void start_call(struct state *state, const struct call_params *params)
{
	char *body = g_malloc0(params->upload);
	struct http_call_options options = {
		.address = raw_server_address(state->peer),
		.method = params->upload ? "POST" : "GET",
		.path = "/",
		.body = body,
		.body_len = params->upload,
		.fresh_connection = params->fresh,
		.connect_timeout_ms = LOOP_WAIT_MS,
		.first_byte_timeout_ms = LOOP_WAIT_MS,
		.idle_timeout_ms = LOOP_WAIT_MS,
		.on_sent = on_sent,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.on_free = on_free,
		.ctx = state,
	};

	state->started++;
	state->call = http_call_start(state->http, &options);
	g_free(body);
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

/* peer BYTES [then=hold|close|reset|finish|repeat]: starts a server that replies with the
 * bytes */
static void cmd_peer(void *data, int argc, char **argv)
{
	struct state *state = data;
	char *bytes = g_strcompress(argv[1]);

	state->peer = raw_server_create(
		&state->loop, bytes,
		parse_then(script_arg(argc, argv, "then", "hold")));
	g_free(bytes);
}

/* call [fresh=1] [pause=1] [nr=N] [upload=BYTES]: starts calls; pause=1 pauses them at
 * the first body data */
static void cmd_call(void *data, int argc, char **argv)
{
	struct state *state = data;
	int64_t nr = script_arg_int(argc, argv, "nr", 1);
	struct call_params params = {
		.fresh = script_arg_int(argc, argv, "fresh", 0),
		.upload = (size_t)script_arg_int(argc, argv, "upload", 0),
	};

	state->pause = script_arg_int(argc, argv, "pause", 0);
	while (nr--)
		start_call(state, &params);
}

static void on_late_start(uv_timer_t *timer)
{
	start_call(timer->data, &(struct call_params){ 0 });
}

/* late_start timer | late_start free=N: starts calls during the destruction */
static void cmd_late_start(void *data, int argc, char **argv)
{
	struct state *state = data;

	state->on_free = (unsigned)script_arg_int(argc, argv, "free", 0);
	if (!state->on_free)
		uv_timer_start(&state->late_start_timer, on_late_start, 0, 0);
}

/* iterate N: runs N loop iterations without blocking */
static void cmd_iterate(void *data, int argc, char **argv)
{
	struct state *state = data;
	int64_t nr = g_ascii_strtoll(argv[1], NULL, 10);

	(void)argc;
	while (nr--)
		uv_run(&state->loop, UV_RUN_NOWAIT);
}

static bool callback_seen(void *ctx)
{
	struct wait_context *wait_context = ctx;

	return strstr(wait_context->state->seen->str, wait_context->text) !=
	       NULL;
}

/* wait TEXT: waits for a callback: sent, head=, body= or end= */
static void cmd_wait(void *data, int argc, char **argv)
{
	struct state *state = data;
	struct wait_context wait_context = { state, argv[1] };

	(void)argc;
	if (!loop_wait(&state->loop, callback_seen, &wait_context,
		       LOOP_WAIT_MS))
		g_string_append(state->out, "timed out\n");
}

/* seen: prints the callbacks so far */
static void cmd_seen(void *data, int argc, char **argv)
{
	struct state *state = data;

	(void)argc;
	(void)argv;
	g_string_append_printf(state->out, "%s\n",
			       g_strchomp(state->seen->str));
}

static void cmd_cancel(void *data, int argc, char **argv)
{
	struct state *state = data;

	(void)argc;
	(void)argv;
	http_call_cancel(state->call);
	state->call = NULL;
}

static void count_active(uv_handle_t *handle, void *ctx)
{
	if (uv_is_active(handle) && uv_has_ref(handle))
		++*(unsigned *)ctx;
}

/* destroy: destroys the client and the server, and counts active handles */
static void cmd_destroy(void *data, int argc, char **argv)
{
	struct state *state = data;
	unsigned left = 0;

	(void)argc;
	(void)argv;
	g_string_truncate(state->seen, 0);
	http_client_destroy(state->http);
	state->http = NULL;
	raw_server_destroy(state->peer);
	state->peer = NULL;
	cmd_iterate(state, 2, (char *[]){ "iterate", "4" });
	uv_walk(&state->loop, count_active, &left);
	g_string_append_printf(state->out, "freed %u of %u, %u handles left\n",
			       state->freed, state->started, left);
	if (state->seen->len)
		g_string_append_printf(state->out, "unexpected callbacks: %s\n",
				       state->seen->str);
}

static const struct script_command commands[] = {
	{ "call", cmd_call },	    { "cancel", cmd_cancel },
	{ "destroy", cmd_destroy }, { "late_start", cmd_late_start },
	{ "peer", cmd_peer },	    { "iterate", cmd_iterate },
	{ "seen", cmd_seen },	    { "wait", cmd_wait },
};

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	state->out = out;
	script_dispatch(commands, G_N_ELEMENTS(commands), state, argc, argv,
			out);
}

static const struct script_driver driver = {
	.name = "http_client",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
