/*
 * Measures the baseline latency of a machine: a message travels over loopback
 * TCP through a chain of processes that only forward it, to the last one and
 * back. A chain of N processes takes 2 N wake-ups per round trip.
 */
#include <math.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <uv.h>

#define US_PER_S 1000000ULL
#define US_PER_MS 1000.0
/* Size of a message, that of a short request with its header fields. */
#define MESSAGE_BYTES 256

static char *label = "chain";
static int processes = 1;
static double rate = 200;
static double duration_s = 8;
static int seed = 1;

static const GOptionEntry options[] = {
	{ "label", 'l', 0, G_OPTION_ARG_STRING, &label,
	  "Label of the printed line", "TEXT" },
	{ "processes", 'n', 0, G_OPTION_ARG_INT, &processes,
	  "Processes after the first one", "N" },
	{ "rate", 'r', 0, G_OPTION_ARG_DOUBLE, &rate, "Messages per second",
	  "N" },
	{ "duration", 'd', 0, G_OPTION_ARG_DOUBLE, &duration_s,
	  "Seconds of load", "S" },
	{ "seed", 0, 0, G_OPTION_ARG_INT, &seed, "Seed of the arrivals", "N" },
	{ 0 },
};

/* A process, connected to the next and previous one; the last has no next. */
struct link {
	uv_loop_t loop;
	uv_tcp_t previous;
	uv_tcp_t next;
	bool has_previous;
	bool has_next;
};

struct source {
	struct link link;
	uv_timer_t arrival;
	GRand *random;
	uint64_t start_us;
	uint64_t next_us;
	uint64_t end_us;
	/* Send times of the messages in flight in us, in order. */
	GQueue sent;
	GArray *round_trips;
	size_t partial;
};

static char buffer[64 * 1024];
static const char message[MESSAGE_BYTES];

static uint64_t now_us(void)
{
	return uv_hrtime() / 1000;
}

static void fail(const char *what)
{
	perror(what);
	exit(1);
}

/* Creates a pair of sockets connected over loopback TCP. */
static void make_pair(int fds[2])
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	int listener = socket(AF_INET, SOCK_STREAM, 0);

	addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(listener, (struct sockaddr *)&addr, len) ||
	    listen(listener, 1) ||
	    getsockname(listener, (struct sockaddr *)&addr, &len))
		fail("chain: listen");
	fds[0] = socket(AF_INET, SOCK_STREAM, 0);
	if (connect(fds[0], (struct sockaddr *)&addr, len))
		fail("chain: connect");
	fds[1] = accept(listener, NULL, NULL);
	if (fds[1] < 0)
		fail("chain: accept");
	close(listener);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(buffer, sizeof(buffer));
}

static void write_to(uv_tcp_t *tcp, const char *data, size_t len)
{
	uv_buf_t buf = uv_buf_init((char *)data, (unsigned)len);

	if (uv_try_write((uv_stream_t *)tcp, &buf, 1) != (int)len)
		exit(1);
}

static void on_read(uv_stream_t *stream, ssize_t nr, const uv_buf_t *buf)
{
	struct link *link = stream->data;
	bool forward =
		stream == (uv_stream_t *)&link->previous && link->has_next;

	if (nr < 0)
		uv_stop(&link->loop);
	else if (nr)
		write_to(forward ? &link->next : &link->previous, buf->base,
			 (size_t)nr);
}

static void open_side(struct link *link, uv_tcp_t *tcp, int fd, uv_read_cb cb)
{
	uv_tcp_init(&link->loop, tcp);
	uv_tcp_open(tcp, fd);
	uv_tcp_nodelay(tcp, 1);
	tcp->data = link;
	uv_read_start((uv_stream_t *)tcp, on_alloc, cb);
}

static void link_open(struct link *link, int previous, int next, uv_read_cb cb)
{
	uv_loop_init(&link->loop);
	link->has_previous = previous >= 0;
	link->has_next = next >= 0;
	if (link->has_previous)
		open_side(link, &link->previous, previous, cb);
	if (link->has_next)
		open_side(link, &link->next, next, cb);
}

static void on_answer(uv_stream_t *stream, ssize_t nr, const uv_buf_t *buf)
{
	struct source *source = stream->data;

	(void)buf;
	if (nr < 0)
		fail("chain: a process exited");
	for (source->partial += (size_t)nr; source->partial >= MESSAGE_BYTES;
	     source->partial -= MESSAGE_BYTES) {
		uint64_t *at = g_queue_pop_head(&source->sent);
		uint32_t round_trip = (uint32_t)(now_us() - *at);

		g_array_append_val(source->round_trips, round_trip);
		g_free(at);
	}
}

static void on_arrival(uv_timer_t *timer)
{
	struct source *source = timer->data;
	uint64_t now = now_us();

	if (now >= source->end_us && g_queue_is_empty(&source->sent)) {
		uv_stop(&source->link.loop);
		return;
	}
	while (source->next_us <= now && source->next_us < source->end_us) {
		double u = g_rand_double(source->random);
		uint64_t *at = g_new(uint64_t, 1);

		*at = now_us();
		g_queue_push_tail(&source->sent, at);
		write_to(&source->link.next, message, MESSAGE_BYTES);
		source->next_us += (uint64_t)(-log(1 - u) * US_PER_S / rate);
	}
	uv_timer_start(
		timer, on_arrival,
		source->next_us > now ? (source->next_us - now) / 1000 + 1 : 1,
		0);
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	uint32_t x = *(const uint32_t *)a;
	uint32_t y = *(const uint32_t *)b;

	return (x > y) - (x < y);
}

static double quantile_ms(const GArray *times, double q)
{
	if (!times->len)
		return 0;
	return g_array_index(times, uint32_t, (guint)(q * (times->len - 1))) /
	       US_PER_MS;
}

static void run_source(int next)
{
	struct source source = { 0 };

	link_open(&source.link, -1, next, on_answer);
	source.link.next.data = &source;
	source.random = g_rand_new_with_seed((guint32)seed);
	source.round_trips = g_array_new(FALSE, FALSE, sizeof(uint32_t));
	g_queue_init(&source.sent);
	source.start_us = now_us();
	source.next_us = source.start_us;
	source.end_us = source.start_us + (uint64_t)(duration_s * US_PER_S);
	uv_timer_init(&source.link.loop, &source.arrival);
	source.arrival.data = &source;
	uv_timer_start(&source.arrival, on_arrival, 0, 0);
	uv_run(&source.link.loop, UV_RUN_DEFAULT);
	g_array_sort(source.round_trips, compare_times);
	printf("%s wakeups=%d sent=%u first_p50_ms=%.3f first_p95_ms=%.3f first_p99_ms=%.3f first_max_ms=%.3f\n",
	       label, 2 * processes, source.round_trips->len,
	       quantile_ms(source.round_trips, 0.5),
	       quantile_ms(source.round_trips, 0.95),
	       quantile_ms(source.round_trips, 0.99),
	       quantile_ms(source.round_trips, 1));
	g_array_free(source.round_trips, TRUE);
	g_rand_free(source.random);
}

/*
 * Forwards messages in a child process, which exits when its parent exits or
 * the connection to the previous process closes.
 */
static void run_process(int previous, int next)
{
	struct link link = { 0 };

	prctl(PR_SET_PDEATHSIG, SIGKILL);
	link_open(&link, previous, next, on_read);
	uv_run(&link.loop, UV_RUN_DEFAULT);
	exit(0);
}

/*
 * Starts the processes, the last one first, so that each inherits a connection
 * to its next one. Returns the socket to the first process.
 */
static int start_chain(void)
{
	int next = -1;
	int i;

	for (i = 0; i < processes; i++) {
		int fds[2];
		pid_t pid;

		make_pair(fds);
		pid = fork();
		if (pid < 0)
			fail("chain: fork");
		if (!pid) {
			close(fds[0]);
			run_process(fds[1], next);
		}
		close(fds[1]);
		if (next >= 0)
			close(next);
		next = fds[0];
	}
	return next;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error)) {
		fprintf(stderr, "chain: %s\n", error->message);
		return 2;
	}
	g_option_context_free(context);
	if (processes < 1 || rate <= 0) {
		fprintf(stderr, "chain: --processes or --rate too small\n");
		return 2;
	}
	run_source(start_chain());
	return 0;
}
