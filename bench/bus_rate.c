/*
 * Measures the message rate and CPU time of the bus: one node sends answer chunks
 * to another over loopback, each with its own event loop and thread.
 */
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <glib.h>
#include <zmq.h>

#include "briarplankd/bus.h"

#define BATCH_MESSAGES 200

static int messages = 200000;
static int bytes = 60;
static gboolean with_keys;
static char public_key[41];
static char secret_key[41];

static const GOptionEntry options[] = {
	{ "messages", 'n', 0, G_OPTION_ARG_INT, &messages, "Messages to send",
	  "N" },
	{ "bytes", 'b', 0, G_OPTION_ARG_INT, &bytes, "Bytes of each chunk",
	  "N" },
	{ "keys", 'k', 0, G_OPTION_ARG_NONE, &with_keys, "Encrypt with CURVE",
	  NULL },
	{ 0 },
};

struct receiver {
	uv_loop_t loop;
	struct bus *bus;
	struct metrics *metrics;
	int received;
	double cpu_s;
};

struct sender {
	uv_loop_t loop;
	struct bus *bus;
	struct metrics *metrics;
	uv_timer_t timer;
	int sent;
	uint8_t *payload;
};

static double thread_cpu_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static double process_cpu_s(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return (double)now.tv_sec + (double)now.tv_nsec / 1e9;
}

static void on_chunk(void *ctx, const Briarplank__Envelope *env)
{
	struct receiver *receiver = ctx;

	(void)env;
	if (++receiver->received == messages)
		uv_stop(&receiver->loop);
}

static void *receive(void *data)
{
	struct receiver *receiver = data;

	uv_run(&receiver->loop, UV_RUN_DEFAULT);
	receiver->cpu_s = thread_cpu_s();
	return NULL;
}

static bool send_chunk(struct sender *sender)
{
	Briarplank__AnswerChunk chunk = BRIARPLANK__ANSWER_CHUNK__INIT;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;

	chunk.request_id = "0123456789abcdef";
	chunk.attempt = 1;
	chunk.sequence = sender->sent;
	chunk.data.data = sender->payload;
	chunk.data.len = bytes;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_CHUNK;
	env.answer_chunk = &chunk;
	return bus_send(sender->bus, "receiver", &env) == BUS_OK;
}

static void on_timer(uv_timer_t *timer)
{
	struct sender *sender = timer->data;
	int i;

	for (i = 0; i < BATCH_MESSAGES && sender->sent < messages; i++) {
		if (!send_chunk(sender))
			break;
		sender->sent++;
	}
	if (sender->sent == messages)
		uv_timer_stop(timer);
}

static struct bus *open_bus(uv_loop_t *loop, const char *name,
			    struct metrics *metrics)
{
	struct bus_options bus_options = {
		.loop = loop,
		.name = name,
		.incarnation = 1,
		.address = "127.0.0.1:0",
		.metrics = metrics,
	};

	if (with_keys)
		bus_options.keys = (struct bus_keys){ public_key, secret_key };
	uv_loop_init(loop);
	return bus_create(&bus_options);
}

/* Runs the sender's loop until all messages are sent. */
static void send_all(struct sender *sender)
{
	while (sender->sent < messages)
		uv_run(&sender->loop, UV_RUN_ONCE);
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	struct receiver receiver = { 0 };
	struct sender sender = { 0 };
	GThread *thread;
	gint64 start;
	double took_s, cpu_s;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL))
		return 2;
	g_option_context_free(context);
	zmq_curve_keypair(public_key, secret_key);
	receiver.metrics = metrics_create();
	sender.metrics = metrics_create();
	receiver.bus = open_bus(&receiver.loop, "receiver", receiver.metrics);
	sender.bus = open_bus(&sender.loop, "sender", sender.metrics);
	bus_set_handler(receiver.bus, BRIARPLANK__ENVELOPE__BODY_ANSWER_CHUNK,
			on_chunk, &receiver);
	bus_peer_set(sender.bus, "receiver", bus_address(receiver.bus));
	sender.payload = g_malloc0(bytes);
	uv_timer_init(&sender.loop, &sender.timer);
	sender.timer.data = &sender;
	uv_timer_start(&sender.timer, on_timer, 0, 1);
	start = g_get_monotonic_time();
	thread = g_thread_new("receiver", receive, &receiver);
	send_all(&sender);
	g_thread_join(thread);
	took_s = (double)(g_get_monotonic_time() - start) / 1e6;
	cpu_s = process_cpu_s();
	printf("bytes_%d%s messages=%d rate_per_s=%.0f "
	       "receiver_us=%.2f sender_us=%.2f all_us=%.2f\n",
	       bytes, with_keys ? "_keys" : "", messages, messages / took_s,
	       receiver.cpu_s * 1e6 / messages, thread_cpu_s() * 1e6 / messages,
	       cpu_s * 1e6 / messages);
	g_free(sender.payload);
	return 0;
}
