/* Tests how the store's client takes answers that are given byte by byte. */
#include <inttypes.h>
#include <string.h>

#include "loop_wait.h"
#include "platform/store.h"
#include "raw_peer.h"
#include "script.h"

#define TIMEOUT_MS 5000

struct state {
	uv_loop_t loop;
	struct metrics *metrics;
	struct raw_server *peer;
	struct store *store;
	GString *out;
	bool ended;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	uv_loop_init(&state->loop);
	state->metrics = metrics_create();
	return state;
}

static void stop_serving(struct state *state)
{
	if (state->store)
		store_destroy(state->store);
	if (state->peer)
		raw_server_destroy(state->peer);
	state->store = NULL;
	state->peer = NULL;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	stop_serving(state);
	loop_close(&state->loop);
	metrics_destroy(state->metrics);
	g_free(state);
}

/* serve BYTES [then=close|repeat]: a store that answers each call with the bytes and
 * closes, or repeats their last line until the client closes */
static void cmd_serve(void *data, int argc, char **argv)
{
	bool repeat =
		!strcmp(script_arg(argc, argv, "then", "close"), "repeat");
	struct state *state = data;
	char *bytes = g_strcompress(argv[1]);
	struct store_options options = { .loop = &state->loop,
					 .metrics = state->metrics };

	stop_serving(state);
	state->peer = raw_server_create(&state->loop, bytes,
					repeat ? RAW_REPEAT : RAW_CLOSE);
	options.address = raw_server_address(state->peer);
	state->store = store_create(&options);
	g_free(bytes);
}

static bool is_ended(void *ctx)
{
	return ((struct state *)ctx)->ended;
}

static void await_end(struct state *state)
{
	if (!loop_wait(&state->loop, is_ended, state, LOOP_WAIT_MS))
		g_string_append(state->out, "no end\n");
	state->ended = false;
}

static void on_appended(void *ctx, const struct store_append_result *result)
{
	struct state *state = ctx;

	state->ended = true;
	g_string_append(state->out, store_status_name(result->status));
	if (result->status == STORE_OK)
		g_string_append_printf(
			state->out, " first=%" PRIu64 " end=%" PRIu64,
			result->first_offset, result->end_offset);
	if (result->status == STORE_OUT_OF_SEQUENCE)
		g_string_append_printf(state->out, " expected=%" PRIu64,
				       result->expected_sequence);
	g_string_append_c(state->out, '\n');
}

static void cmd_append(void *data, int argc, char **argv)
{
	struct state *state = data;
	struct store_append append = {
		.topic = "jobs",
		.records = g_string_new(NULL),
		.producer = "p",
		.sequence = 1000,
		.timeout_ms = TIMEOUT_MS,
		.done = on_appended,
		.ctx = state,
	};

	(void)argc;
	(void)argv;
	store_add_record(append.records, "r", 1);
	store_append(state->store, &append);
	await_end(state);
}

static void on_read(void *ctx, const struct store_read_result *result)
{
	struct state *state = ctx;

	state->ended = true;
	g_string_append(state->out, store_status_name(result->status));
	if (result->status == STORE_OK)
		g_string_append_printf(state->out, " records=%zu",
				       result->records_nr);
	if (result->status == STORE_EXPIRED)
		g_string_append_printf(state->out, " first=%" PRIu64,
				       result->first_offset);
	g_string_append_c(state->out, '\n');
}

static void read_topic(struct state *state,
		       void (*read)(struct store *store,
				    const struct store_read *read))
{
	struct store_read call = {
		.topic = "jobs",
		.max_kb = 1024,
		.timeout_ms = TIMEOUT_MS,
		.done = on_read,
		.ctx = state,
	};

	read(state->store, &call);
	await_end(state);
}

static void cmd_read(void *data, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	read_topic(data, store_read);
}

static void cmd_newest(void *data, int argc, char **argv)
{
	(void)argc;
	(void)argv;
	read_topic(data, store_read_newest);
}

/* taken max_mb=N: tells whether the store could send no more than that */
static void cmd_taken(void *data, int argc, char **argv)
{
	struct state *state = data;
	uint64_t max = (uint64_t)script_arg_int(argc, argv, "max_mb", 0) << 20;

	g_string_append(state->out, raw_server_repeated(state->peer) <= max ?
					    "not more\n" :
					    "more\n");
}

static const struct script_command commands[] = {
	{ "append", cmd_append }, { "newest", cmd_newest },
	{ "read", cmd_read },	  { "serve", cmd_serve },
	{ "taken", cmd_taken },
};

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	state->out = out;
	script_dispatch(commands, G_N_ELEMENTS(commands), state, argc, argv,
			out);
}

static const struct script_driver driver = {
	.name = "store",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
