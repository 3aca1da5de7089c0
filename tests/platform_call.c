/*
 * Command that sends requests to backend servers and prints their results and
 * whether the tokens are correct.
 */
#include <stdio.h>
#include <string.h>

#include "common/hash.h"
#include "engine.h"
#include "loop_wait.h"
#include "platform_state.h"
#include "script.h"

#define DEFAULT_PROMPT "p"

const char *const http_result_names[] = { "whole", "not sent", "no answer",
					  "broken", "timeout" };

/*
 * Returns the number of tokens in a stream, which starts at index 0, and checks
 * them against the expected tokens of the prompt. Drops an incomplete last
 * event.
 */
static unsigned check_tokens(struct state *state, bool *right, bool *done)
{
	const char *last = g_strrstr(state->body->str, "\n\n");
	uint64_t hash = hash_string(state->prompt, 0);
	unsigned nr = 0;
	char **lines, **line;

	g_string_truncate(state->body, last ? last + 2 - state->body->str : 0);
	lines = g_strsplit(state->body->str, "\n\n", -1);
	*right = true;
	*done = false;
	for (line = lines; *line; line++) {
		char text[32], expected[32];
		unsigned index;

		*done |= !strcmp(*line, "data: [DONE]");
		if (sscanf(*line, "data: {\"token\":\"%31[^\"]\",\"index\":%u}",
			   text, &index) != 2)
			continue;
		engine_token(hash, index, expected);
		*right &= index == nr++ && !strcmp(text, expected);
	}
	g_strfreev(lines);
	return nr;
}

/* Prints the number of tokens only for complete streams, as it depends on
 * timing for others. */
static void print_tokens(struct state *state)
{
	bool right, done;
	unsigned nr = check_tokens(state, &right, &done);

	if (!nr)
		return;
	g_string_append(state->out, right ? "right tokens" : "wrong tokens");
	if (done)
		g_string_append_printf(state->out, " 0 to %u, done", nr - 1);
	g_string_append_c(state->out, '\n');
}

static void on_sent(void *ctx)
{
	struct state *state = ctx;

	g_string_append(state->out, state->call ? "sent\n" : "sent early\n");
}

static void on_head(void *ctx, int status, const struct http_field *fields,
		    size_t nr)
{
	struct state *state = ctx;

	(void)fields;
	(void)nr;
	g_string_append_printf(state->out, "head %d\n", status);
}

static void finish_call(struct state *state)
{
	if (state->stream)
		print_tokens(state);
	else if (state->body->len && !state->quiet)
		g_string_append_printf(state->out, "body %s\n",
				       state->body->str);
	state->done = true;
}

static void on_pause_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void on_pause_over(uv_timer_t *timer)
{
	struct state *state = timer->data;

	if (state->body->len > state->body_at_pause)
		g_string_append(state->out, "data while paused\n");
	state->backend->ops->pause(state->call, false);
	uv_close((uv_handle_t *)timer, on_pause_closed);
}

static void pause_call(struct state *state)
{
	uv_timer_t *timer = g_new0(uv_timer_t, 1);

	uv_timer_init(&state->loop, timer);
	timer->data = state;
	uv_timer_start(timer, on_pause_over, state->pause_ms, 0);
	state->pause_ms = 0;
	state->body_at_pause = state->body->len;
	state->backend->ops->pause(state->call, true);
}

static void on_body(void *ctx, const char *data, size_t len)
{
	struct state *state = ctx;

	g_string_append_len(state->body, data, (gssize)len);
	if (state->pause_ms)
		pause_call(state);
	if (!state->cancel_after || state->body->len < state->cancel_after)
		return;
	state->backend->ops->cancel(state->call);
	g_string_append(state->out, "cancelled\n");
	finish_call(state);
}

static void on_end(void *ctx, enum http_result end)
{
	struct state *state = ctx;

	finish_call(state);
	g_string_append_printf(state->out, "%s\n", http_result_names[end]);
	state->ended = true;
}

static char *completion_body(int argc, char **argv, const char *prompt)
{
	return g_strdup_printf(
		"{\"prompt\":\"%s\",\"max_tokens\":%d,\"stream\":%s}", prompt,
		(int)script_arg_int(argc, argv, "tokens", 4),
		script_arg_int(argc, argv, "stream", 1) ? "true" : "false");
}

static uint32_t resume_from(struct state *state, int argc, char **argv)
{
	const char *text = script_arg(argc, argv, "resume", "0");
	bool right, done;

	if (!strcmp(text, "next"))
		return check_tokens(state, &right, &done);
	g_string_truncate(state->body, 0);
	return (uint32_t)g_ascii_strtoull(text, NULL, 10);
}

/*
 * call METHOD PATH [id=ID] [body=B | tokens=N [prompt=P] [stream=0]] [fresh=1]
 * [resume=N|next] [first=MS] [idle=MS] [cancel=BYTES] [pause=MS]
 * [field=NAME:VALUE] [quiet=1]; resume=next continues the previous call.
 */
void cmd_call(void *data, int argc, char **argv)
{
	struct state *state = data;
	const char *field = script_arg(argc, argv, "field", NULL);
	char **pair = g_strsplit(field ? field : "x:y", ":", 2);
	struct http_field fields[] = { { pair[0], g_strcompress(pair[1]) } };
	char *path = g_strcompress(argv[2]);
	struct backend_call_options options = {
		.method = argv[1],
		.path = path,
		.call_id = script_arg(argc, argv, "id", NULL),
		.fields = fields,
		.fields_nr = field ? 1 : 0,
		.idempotent = !script_arg_int(argc, argv, "fresh", 0),
		.resume_from = resume_from(state, argc, argv),
		.first_byte_timeout_ms =
			script_arg_int(argc, argv, "first", LOOP_WAIT_MS),
		.idle_timeout_ms =
			script_arg_int(argc, argv, "idle", LOOP_WAIT_MS),
		.on_sent = on_sent,
		.on_head = on_head,
		.on_body = on_body,
		.on_end = on_end,
		.ctx = state,
	};
	const char *literal_body = script_arg(argc, argv, "body", NULL);
	char *body;

	state->prompt = script_arg(argc, argv, "prompt", DEFAULT_PROMPT);
	state->stream =
		!literal_body && script_arg_int(argc, argv, "stream", 1);
	body = literal_body ? g_strdup(literal_body) :
			      completion_body(argc, argv, state->prompt);
	options.body = body;
	options.body_len = strlen(body);
	state->cancel_after = script_arg_int(argc, argv, "cancel", 0);
	state->pause_ms = script_arg_int(argc, argv, "pause", 0);
	state->call = NULL;
	state->ended = false;
	state->quiet = script_arg_int(argc, argv, "quiet", 0);
	state->call = state->backend->ops->call(state->backend, &options);
	g_free(body);
	if (script_arg_int(argc, argv, "wait", 1))
		wait_done(state);
	g_free((char *)fields[0].value);
	g_strfreev(pair);
	g_free(path);
}
