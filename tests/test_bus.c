/*
 * Tests of the bus: several nodes in one event loop, and misbehaving peers.
 */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include <zmq.h>

#include "briarplankd/bus.h"
#include "common/error.h"
#include "loop_wait.h"
#include "raw_peer.h"
#include "script.h"

#define KEY_TEXT_BYTES 41

struct node {
	struct state *state;
	char *label;
	char *name;
	/*
	 * Address of the node. It is kept after the node stops, so that another
	 * node can reuse it.
	 */
	char *address;
	struct bus *bus;
	struct metrics *metrics;
	/* Pings received and not yet printed, one line each. */
	GString *received;
	unsigned received_nr;
	unsigned total;
	uint64_t last_nonce;
	bool in_order;
	bool answers;
	char *remove_on_ping;
};

struct key_pair {
	char public_key[KEY_TEXT_BYTES];
	char secret_key[KEY_TEXT_BYTES];
};

struct state {
	uv_loop_t loop;
	GHashTable *nodes;
	GHashTable *keys;
	void *zmq;
	GString *out;
	struct node *awaited;
	unsigned threshold;
	/* Arguments of send with until=STATUS. */
	struct bus_send_args {
		struct node *from;
		const char *to;
		uint64_t nonce;
		enum bus_status until;
	} send;
};

static const char *const status_names[] = { "ok", "unknown peer", "not sent",
					    "bad address" };

static void node_stop(struct node *node)
{
	if (!node->bus)
		return;
	bus_destroy(node->bus);
	metrics_destroy(node->metrics);
	node->bus = NULL;
}

static void node_free(void *data)
{
	struct node *node = data;

	node_stop(node);
	g_string_free(node->received, TRUE);
	g_free(node->remove_on_ping);
	g_free(node->address);
	g_free(node->label);
	g_free(node->name);
	g_free(node);
}

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	uv_loop_init(&state->loop);
	state->nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, node_free);
	state->keys =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	state->zmq = zmq_ctx_new();
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	g_hash_table_destroy(state->nodes);
	g_hash_table_destroy(state->keys);
	zmq_ctx_term(state->zmq);
	loop_close(&state->loop);
	g_free(state);
}

static enum bus_status send_ping(struct node *from, const char *to,
				 uint64_t nonce)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Ping ping = BRIARPLANK__PING__INIT;

	ping.nonce = nonce;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_PING;
	env.ping = &ping;
	return bus_send(from->bus, to, &env);
}

static void on_ping(void *ctx, const Briarplank__Envelope *env)
{
	struct node *node = ctx;

	g_string_append_printf(node->received,
			       "%s incarnation %" PRIu64 " nonce %" PRIu64 "\n",
			       env->sender, env->incarnation, env->ping->nonce);
	node->received_nr++;
	node->total++;
	node->in_order &= env->ping->nonce > node->last_nonce;
	node->last_nonce = env->ping->nonce;
	if (node->answers)
		send_ping(node, env->sender, env->ping->nonce + 1000);
	if (node->remove_on_ping)
		bus_peer_remove(node->bus, node->remove_on_ping);
}

static struct key_pair *key_find(struct state *state, const char *name)
{
	struct key_pair *pair = g_hash_table_lookup(state->keys, name);

	if (pair)
		return pair;
	pair = g_new0(struct key_pair, 1);
	zmq_curve_keypair(pair->public_key, pair->secret_key);
	g_hash_table_insert(state->keys, g_strdup(name), pair);
	return pair;
}

static struct node *node_find(struct state *state, const char *label)
{
	struct node *node = g_hash_table_lookup(state->nodes, label);

	g_assert(node);
	return node;
}

static struct node *node_make(struct state *state, const char *label)
{
	struct node *node = g_new0(struct node, 1);

	node->state = state;
	node->label = g_strdup(label);
	node->received = g_string_new(NULL);
	node->in_order = true;
	g_hash_table_insert(state->nodes, node->label, node);
	return node;
}

/*
 * bus LABEL [as=NAME] [incarnation=N] [at=LABEL] [public=KEYS] [secret=KEYS]
 * [other=KEYS]: starts a node, with at= on the address of a stopped one
 */
static void cmd_bus(void *data, int argc, char **argv)
{
	struct state *state = data;
	struct node *node = node_make(state, argv[1]);
	const char *at = script_arg(argc, argv, "at", NULL);
	const char *public_keys = script_arg(argc, argv, "public", NULL);
	const char *secret_keys = script_arg(argc, argv, "secret", NULL);
	const char *other_keys = script_arg(argc, argv, "other", NULL);
	struct bus_options options = {
		.loop = &state->loop,
		.incarnation = script_arg_int(argc, argv, "incarnation", 1),
		.address = at ? node_find(state, at)->address : "127.0.0.1:0",
	};

	node->name = g_strdup(script_arg(argc, argv, "as", argv[1]));
	node->metrics = metrics_create();
	options.name = node->name;
	options.metrics = node->metrics;
	if (public_keys)
		options.keys.public_key =
			key_find(state, public_keys)->public_key;
	if (secret_keys)
		options.keys.secret_key =
			key_find(state, secret_keys)->secret_key;
	if (other_keys)
		options.keys.other_public_key =
			key_find(state, other_keys)->public_key;
	node->bus = bus_create(&options);
	if (!node->bus) {
		g_string_append_printf(state->out, "%s\n", error_last());
		if (at)
			g_string_replace(state->out, options.address, "ADDRESS",
					 0);
		metrics_destroy(node->metrics);
		return;
	}
	node->address = g_strdup(bus_address(node->bus));
	bus_set_handler(node->bus, BRIARPLANK__ENVELOPE__BODY_PING, on_ping,
			node);
}

static void cmd_stop(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	node_stop(node_find(state, argv[1]));
}

/* peer A B: sets the address of peer B at A */
static void cmd_peer(void *data, int argc, char **argv)
{
	struct state *state = data;
	struct node *peer = node_find(state, argv[2]);

	(void)argc;
	bus_peer_set(node_find(state, argv[1])->bus, peer->name, peer->address);
}

/* remove A NAME: removes a peer at A */
static void cmd_remove(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	bus_peer_remove(node_find(state, argv[1])->bus, argv[2]);
}

/* answers A: A answers each ping with a nonce 1000 higher */
static void cmd_answers(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	node_find(state, argv[1])->answers = true;
}

/* remove-on-ping A NAME: A removes a peer while it handles a ping */
static void cmd_remove_on_ping(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	node_find(state, argv[1])->remove_on_ping = g_strdup(argv[2]);
}

static bool status_reached(void *ctx)
{
	struct bus_send_args *args = ctx;

	return send_ping(args->from, args->to, args->nonce) == args->until;
}

/* send A NAME NONCE [until=ok|not-sent]: sends a ping, until= repeats it */
static void cmd_send(void *data, int argc, char **argv)
{
	struct state *state = data;
	const char *until = script_arg(argc, argv, "until", NULL);
	uint64_t nonce = strtoul(argv[3], NULL, 10);
	struct node *from = node_find(state, argv[1]);

	state->send = (struct bus_send_args){ from, argv[2], nonce, BUS_OK };
	if (!until) {
		g_string_append_printf(
			state->out, "%s\n",
			status_names[send_ping(from, argv[2], nonce)]);
		return;
	}
	if (!strcmp(until, "not-sent"))
		state->send.until = BUS_NOT_SENT;
	if (!loop_wait(&state->loop, status_reached, &state->send,
		       LOOP_WAIT_MS))
		g_string_append(state->out, "never\n");
}

/* big A NAME BYTES: sends a message with a payload of this size */
static void cmd_big(void *data, int argc, char **argv)
{
	struct state *state = data;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerChunk chunk = BRIARPLANK__ANSWER_CHUNK__INIT;

	(void)argc;
	chunk.data.len = strtoul(argv[3], NULL, 10);
	chunk.data.data = g_malloc0(chunk.data.len);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_CHUNK;
	env.answer_chunk = &chunk;
	g_string_append_printf(
		state->out, "%s\n",
		status_names[bus_send(node_find(state, argv[1])->bus, argv[2],
				      &env)]);
	g_free(chunk.data.data);
}

static bool has_received(void *ctx)
{
	struct state *state = ctx;

	return state->awaited->received_nr >= state->threshold;
}

static void print_received(struct state *state, struct node *node)
{
	g_string_append(state->out, node->received->str);
	g_string_truncate(node->received, 0);
	node->received_nr = 0;
}

/* receive A NR: waits for this number of pings and prints them */
static void cmd_receive(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	state->awaited = node_find(state, argv[1]);
	state->threshold = (unsigned)strtoul(argv[2], NULL, 10);
	if (!loop_wait(&state->loop, has_received, state, LOOP_WAIT_MS))
		g_string_append(state->out, "too few\n");
	print_received(state, state->awaited);
}

/* quiet A MS: waits and prints the pings received by then */
static void cmd_quiet(void *data, int argc, char **argv)
{
	struct state *state = data;
	(void)argc;
	loop_sleep(&state->loop, strtoul(argv[2], NULL, 10));
	print_received(state, node_find(state, argv[1]));
}

static bool has_counted(void *ctx)
{
	struct state *state = ctx;
	struct counter *counter =
		metrics_counter(state->awaited->metrics, state->send.to, "");

	return counter_value(counter) >= state->threshold;
}

/* count A METRIC NR: waits until a counter has reached a value */
static void cmd_count(void *data, int argc, char **argv)
{
	struct state *state = data;
	char *name = g_strdup_printf("briarplank_bus_%s_total", argv[2]);

	(void)argc;
	state->awaited = node_find(state, argv[1]);
	state->send.to = name;
	state->threshold = (unsigned)strtoul(argv[3], NULL, 10);
	loop_wait(&state->loop, has_counted, state, LOOP_WAIT_MS);
	g_string_append_printf(state->out, "%s\n",
			       has_counted(state) ? "counted" : "too few");
	g_free(name);
}

/* bytes A BYTES: sends raw bytes to the port of A */
static void cmd_bytes(void *data, int argc, char **argv)
{
	struct state *state = data;
	char *bytes = g_strcompress(argv[2]);
	struct raw_client *client = raw_client_create(
		&state->loop, node_find(state, argv[1])->address);

	(void)argc;
	raw_client_send(client, bytes, strlen(bytes));
	loop_sleep(&state->loop, 50);
	raw_client_destroy(client, false);
	g_free(bytes);
}

/* Returns a serialized ping of a sender. */
static GByteArray *pack_ping(const char *sender, uint64_t incarnation)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Ping ping = BRIARPLANK__PING__INIT;
	GByteArray *bytes = g_byte_array_new();

	env.sender = (char *)sender;
	env.incarnation = incarnation;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_PING;
	env.ping = &ping;
	ping.nonce = 7;
	g_byte_array_set_size(bytes,
			      briarplank__envelope__get_packed_size(&env));
	briarplank__envelope__pack(&env, bytes->data);
	return bytes;
}

/* Connects a bare ZeroMQ socket to a node. */
static void *connect_socket(struct state *state, const char *label,
			    const char *identity, const struct key_pair *server,
			    const struct key_pair *own)
{
	char *endpoint =
		g_strdup_printf("tcp://%s", node_find(state, label)->address);
	void *socket = zmq_socket(state->zmq, ZMQ_DEALER);
	int linger = 0;

	zmq_setsockopt(socket, ZMQ_LINGER, &linger, sizeof(linger));
	zmq_setsockopt(socket, ZMQ_ROUTING_ID, identity, strlen(identity));
	if (server) {
		zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, server->public_key,
			       KEY_TEXT_BYTES);
		zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, own->public_key,
			       KEY_TEXT_BYTES);
		zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, own->secret_key,
			       KEY_TEXT_BYTES);
	}
	zmq_connect(socket, endpoint);
	g_free(endpoint);
	return socket;
}

static void send_frames(void *socket, int argc, char **argv)
{
	int i;

	for (i = 0; i < argc; i++) {
		int more = i + 1 < argc ? ZMQ_SNDMORE : 0;
		GByteArray *bytes = NULL;

		if (*argv[i] == '@')
			bytes = pack_ping(argv[i] + 1, 1);
		if (bytes)
			zmq_send(socket, bytes->data, bytes->len, more);
		else
			zmq_send(socket, argv[i], strlen(argv[i]), more);
		if (bytes)
			g_byte_array_free(bytes, TRUE);
	}
}

/* frames A ID FRAME...: sends frames to A; @NAME is a ping of sender NAME */
static void cmd_frames(void *data, int argc, char **argv)
{
	struct state *state = data;
	void *socket = connect_socket(state, argv[1], argv[2], NULL, NULL);

	send_frames(socket, argc - 3, argv + 3);
	loop_sleep(&state->loop, 100);
	zmq_close(socket);
}

/* curve A SERVER-KEYS OWN-KEYS FRAME...: frames with keys and the id x#1 */
static void cmd_curve(void *data, int argc, char **argv)
{
	struct state *state = data;
	void *socket =
		connect_socket(state, argv[1], "x#1", key_find(state, argv[2]),
			       key_find(state, argv[3]));

	send_frames(socket, argc - 4, argv + 4);
	loop_sleep(&state->loop, 200);
	zmq_close(socket);
}

static bool has_total(void *ctx)
{
	struct state *state = ctx;

	return state->awaited->total >= state->threshold;
}

/* flood A B: sends pings without a pause until one is refused */
static void cmd_flood(void *data, int argc, char **argv)
{
	struct state *state = data;
	struct node *from = node_find(state, argv[1]);
	struct node *to = node_find(state, argv[2]);
	unsigned before = to->total;
	unsigned nr = 0;

	(void)argc;
	to->last_nonce = 0;
	to->in_order = true;
	while (send_ping(from, to->name, nr + 1) == BUS_OK && nr < 1000000)
		nr++;
	g_string_append(state->out,
			nr < 1000000 ? "refused\n" : "never refused\n");
	state->awaited = to;
	state->threshold = before + nr;
	if (!loop_wait(&state->loop, has_total, state, LOOP_WAIT_MS))
		g_string_append(state->out, "lost some\n");
	loop_sleep(&state->loop, 20);
	g_string_append(state->out, to->total == before + nr && to->in_order ?
					    "all others came in order\n" :
					    "wrong\n");
	g_string_truncate(to->received, 0);
	to->received_nr = 0;
}

static const struct script_command commands[] = {
	{ "answers", cmd_answers },
	{ "big", cmd_big },
	{ "bus", cmd_bus },
	{ "bytes", cmd_bytes },
	{ "count", cmd_count },
	{ "curve", cmd_curve },
	{ "flood", cmd_flood },
	{ "frames", cmd_frames },
	{ "peer", cmd_peer },
	{ "quiet", cmd_quiet },
	{ "receive", cmd_receive },
	{ "remove", cmd_remove },
	{ "remove-on-ping", cmd_remove_on_ping },
	{ "send", cmd_send },
	{ "stop", cmd_stop },
};

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	state->out = out;
	script_dispatch(commands, G_N_ELEMENTS(commands), state, argc, argv,
			out);
}

static const struct script_driver driver = {
	.name = "bus",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
