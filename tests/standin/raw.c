/*
 * Simulated servers that send given bytes, valid HTTP or not.
 *
 * POST /peer?then=open|close|reset|finish|repeat|trickle|replies opens a port whose connections answer
 * with the call's body and then do what "then" says; it returns the address.
 * GET /peer?address=IP:PORT returns how many connections the port had, how many
 * are open, how many bytes its repetitions wrote, and how many requests got a reply.
 */
#include <inttypes.h>
#include <string.h>

#include "raw_peer.h"
#include "standin.h"

struct raw_state {
	struct standin *standin;
	/* Maps an address to its struct raw_server *. */
	GHashTable *peers;
};

static enum raw_close_mode parse_mode(const char *text)
{
	static const char *const names[] = {
		[RAW_KEEP_OPEN] = "open",  [RAW_CLOSE] = "close",
		[RAW_RESET] = "reset",	   [RAW_FINISH] = "finish",
		[RAW_REPEAT] = "repeat",   [RAW_TRICKLE] = "trickle",
		[RAW_REPLIES] = "replies",
	};
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!g_strcmp0(text, names[i]))
			return (enum raw_close_mode)i;
	}
	return RAW_KEEP_OPEN;
}

static void open_peer(struct raw_state *state, struct web_request *request)
{
	char *then = standin_query(request, "then");
	size_t len;
	const char *body = web_body(request, &len);
	char *bytes = g_strndup(body, len);
	struct raw_server *peer = raw_server_create(
		standin_loop(state->standin), bytes, parse_mode(then));
	const char *address = raw_server_address(peer);

	g_hash_table_insert(state->peers, g_strdup(address), peer);
	web_answer(request, 200, "text/plain", address, strlen(address));
	g_free(bytes);
	g_free(then);
}

static void show_peer(struct raw_state *state, struct web_request *request)
{
	char *address = standin_query(request, "address");
	const struct raw_server *peer =
		address ? g_hash_table_lookup(state->peers, address) : NULL;
	char *text;

	if (peer) {
		text = g_strdup_printf(
			"accepted=%u open=%u repeated=%" PRIu64 " replies=%u\n",
			raw_server_accepted(peer), raw_server_open(peer),
			raw_server_repeated(peer), raw_server_replies(peer));
		web_answer(request, 200, "text/plain", text, strlen(text));
		g_free(text);
	} else {
		web_problem(request, 404, "No such peer", "no peer at %s",
			    address ? address : "-");
	}
	g_free(address);
}

static void on_peer(void *ctx, struct web_request *request)
{
	if (!strcmp(web_method(request), "POST"))
		open_peer(ctx, request);
	else
		show_peer(ctx, request);
}

static void peer_destroy(gpointer peer)
{
	raw_server_destroy(peer);
}

static void *raw_create(struct standin *standin, const void *settings)
{
	struct raw_state *state = g_new0(struct raw_state, 1);

	(void)settings;
	state->standin = standin;
	state->peers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					     peer_destroy);
	standin_route(standin, "/peer", on_peer, state);
	return state;
}

static void raw_destroy(void *data)
{
	struct raw_state *state = data;

	g_hash_table_destroy(state->peers);
	g_free(state);
}

static const struct standin_option raw_options[] = { { 0 } };

const struct standin_command raw_command = {
	.name = "raw",
	.options = raw_options,
	.create = raw_create,
	.destroy = raw_destroy,
};
