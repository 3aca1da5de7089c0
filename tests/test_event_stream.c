/* Tests the parsing of server-sent events that arrive in chunks of any size. */
#include <inttypes.h>
#include <string.h>

#include "core/event_stream.h"
#include "script.h"

struct state {
	struct event_stream *stream;
	GString *out;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->stream = event_stream_create();
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	event_stream_destroy(state->stream);
	g_free(state);
}

static void on_event(void *ctx, const struct stream_event *event)
{
	struct state *state = ctx;
	char *data = g_strescape(event->data, NULL);

	if (event->has_id)
		g_string_append_printf(state->out, "event %" PRIu64 ": ",
				       event->id);
	else
		g_string_append(state->out, "event: ");
	g_string_append_printf(state->out, "%zu bytes, data '%s'\n",
			       event->raw_len, data);
	g_free(data);
}

static void ignore_event(void *ctx, const struct stream_event *event)
{
	(void)ctx;
	(void)event;
}

/*
 * Runs a command: "feed BYTES", where \n and \r are escapes, "repeat TIMES
 * BYTES", "rest", "owed"
 * or "reset".
 */
static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	size_t len;

	state->out = out;
	if (!strcmp(argv[0], "feed")) {
		char *bytes = g_strcompress(argv[1]);

		event_stream_feed(state->stream, bytes, strlen(bytes), on_event,
				  state);
		g_free(bytes);
	} else if (!strcmp(argv[0], "repeat")) {
		char *bytes = g_strcompress(argv[2]);
		int64_t left = g_ascii_strtoll(argv[1], NULL, 10);

		for (; left > 0; left--)
			event_stream_feed(state->stream, bytes, strlen(bytes),
					  ignore_event, NULL);
		g_string_append(out, event_stream_overlong(state->stream) ?
					     "overlong\n" :
					     "ok\n");
		g_free(bytes);
	} else if (!strcmp(argv[0], "rest")) {
		event_stream_rest(state->stream, &len);
		g_string_append_printf(
			out, "%zu bytes%s\n", len,
			event_stream_broke_off(state->stream, false) ?
				", broke off" :
			event_stream_broke_off(state->stream, true) ?
				", broke off without a length" :
				"");
	} else if (!strcmp(argv[0], "owed")) {
		g_string_append(out, event_stream_owes_event(state->stream) ?
					     "an event\n" :
					     "nothing\n");
	} else if (!strcmp(argv[0], "reset")) {
		event_stream_reset(state->stream);
	}
}

static const struct script_driver driver = {
	.name = "event_stream",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
