/*
 * Tests how an entry takes the pages of another one, given byte by byte.
 */
#include <string.h>

#include "../briarplankd/gateway/peers.h"
#include "../briarplankd/gateway/reader_client.h"
#include "loop_wait.h"
#include "net/address.h"
#include "raw_peer.h"
#include "script.h"

/* Time for which an answer may send nothing, in ms. */
#define TIMEOUT_MS 2000

struct state {
	uv_loop_t loop;
	struct gateway gateway;
	struct raw_server *peer;
	struct reader_client *client;
	GString *out;
	bool ended;
};

/* The only reader, as a packed address. */
static uint64_t reader;

uint64_t peers_choose_reader(const struct peers *peers, uint64_t avoided)
{
	(void)peers;
	(void)avoided;
	return reader;
}

static bool on_done(void *ctx, const uint8_t *body, size_t len)
{
	struct state *state = ctx;

	if (body)
		g_string_append_printf(state->out, "page '%.*s'\n", (int)len,
				       (const char *)body);
	else
		g_string_append(state->out, "no page\n");
	state->ended = true;
	return body != NULL;
}

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);
	struct reader_client_options options = {
		.gateway = &state->gateway,
		.name = "pages",
		.timeout_ms = TIMEOUT_MS,
		.done = on_done,
		.ctx = state,
	};

	uv_loop_init(&state->loop);
	state->gateway.loop = &state->loop;
	state->client = reader_client_create(&options);
	reader = 0;
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	reader_client_destroy(state->client);
	if (state->peer)
		raw_server_destroy(state->peer);
	loop_close(&state->loop);
	g_free(state);
}

/* serve BYTES [then=hold|close|reset|repeat]: an entry that answers with the bytes */
static void cmd_serve(void *data, int argc, char **argv)
{
	static const char *const names[] = {
		[RAW_KEEP_OPEN] = "hold",
		[RAW_CLOSE] = "close",
		[RAW_RESET] = "reset",
		[RAW_REPEAT] = "repeat",
	};
	struct state *state = data;
	const char *then = script_arg(argc, argv, "then", "hold");
	char *bytes = g_strcompress(argv[1]);
	enum raw_close_mode mode = RAW_KEEP_OPEN;
	struct sockaddr_in addr;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (names[i] && !strcmp(names[i], then))
			mode = (enum raw_close_mode)i;
	}
	state->peer = raw_server_create(&state->loop, bytes, mode);
	address_parse(raw_server_address(state->peer), &addr);
	reader = address_pack(&addr);
	g_free(bytes);
}

static bool is_ended(void *ctx)
{
	return ((struct state *)ctx)->ended;
}

/* fetch: asks the entry for a page */
static void cmd_fetch(void *data, int argc, char **argv)
{
	struct state *state = data;

	(void)argc;
	(void)argv;
	state->ended = false;
	reader_client_choose(state->client);
	reader_client_fetch(state->client, "/page");
	if (!loop_wait(&state->loop, is_ended, state, LOOP_WAIT_MS))
		g_string_append(state->out, "no end\n");
}

/* taken max_mb=N: tells whether the entry could send no more than that */
static void cmd_taken(void *data, int argc, char **argv)
{
	struct state *state = data;
	uint64_t max = (uint64_t)script_arg_int(argc, argv, "max_mb", 0) << 20;

	g_string_append(state->out, raw_server_repeated(state->peer) <= max ?
					    "not more\n" :
					    "more\n");
}

static const struct script_command commands[] = {
	{ "fetch", cmd_fetch },
	{ "serve", cmd_serve },
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
	.name = "reader_client",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
