/*
 * Stand-in for a server: signs its answers, runs as many requests as it has slots, refuses
 * others and those meant for another server, and resumes streams. It writes a line for each
 * run to its standard output.
 *
 * worker PORT ID SLOTS EVENTS EVENT_MS VERSION EVENT_BYTES
 *
 * A body that begins with "deadly" ends the process as the run begins. A path that begins
 * with /plain/ gets a plain answer, any other one a stream.
 */
#include <errno.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "http.h"

#define EVENT_BYTES_MAX 330

struct settings {
	const char *id;
	int slots;
	int events;
	int event_ms;
	const char *version;
	/* Text that makes each event longer. */
	char padding[EVENT_BYTES_MAX + 1];
};

static int running;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

static void tell(const char *id, const char *what)
{
	char line[160];
	int len = snprintf(line, sizeof(line), "%s %s\n", id, what);

	if (write(STDOUT_FILENO, line, (size_t)len) < 0)
		_exit(1);
}

static bool take_slot(const struct settings *settings)
{
	bool taken;

	pthread_mutex_lock(&lock);
	taken = running < settings->slots;
	running += taken;
	pthread_mutex_unlock(&lock);
	return taken;
}

static void leave_slot(void)
{
	pthread_mutex_lock(&lock);
	running--;
	pthread_mutex_unlock(&lock);
}

static void sleep_ms(int ms)
{
	struct timespec time = { .tv_sec = ms / 1000,
				 .tv_nsec = ms % 1000 * 1000000L };

	nanosleep(&time, NULL);
}

/* Tells whether the caller has closed the connection. */
static bool caller_left(int fd)
{
	char byte;
	ssize_t nr = recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);

	return !nr || (nr < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

/* Fields of all answers to a request. */
static int put_fields(char *out, size_t size, const struct settings *settings,
		      const char *id)
{
	return snprintf(out, size,
			"X-Attempt-Id: %s\r\nX-Server-Signature: %s.%s\r\n"
			"X-Server-Load: %d,0,%d\r\n",
			id, settings->id, settings->version, running,
			settings->slots);
}

static bool run_plain(const struct settings *settings,
		      const struct http_request *request, const char *id)
{
	char fields[512];

	sleep_ms(settings->event_ms);
	put_fields(fields, sizeof(fields), settings, id);
	tell(id, "done");
	return http_answer(request->fd, 200, fields, request->body,
			   request->len);
}

static bool send_event(const struct settings *settings, int fd, const char *id,
		       int event)
{
	char text[EVENT_BYTES_MAX + 320], chunk[EVENT_BYTES_MAX + 400];
	int len = snprintf(text, sizeof(text), "id: %d\ndata: %s-%d-%s%s\n\n",
			   event, id, event, settings->version,
			   settings->padding);

	len = snprintf(chunk, sizeof(chunk), "%x\r\n%s\r\n", len, text);
	return !caller_left(fd) && http_send(fd, chunk, (size_t)len);
}

/* Returns the number of events of an answer: an event holds a token or more. */
static int events_of(const struct settings *settings,
		     const struct http_request *request)
{
	char tokens[64];
	const char *comma;
	int most;

	if (!http_field(request->head, "X-Token-Count", tokens, sizeof(tokens)))
		return settings->events;
	comma = strchr(tokens, ',');
	most = comma ? atoi(comma + 1) : settings->events;
	return most < settings->events ? most : settings->events;
}

static bool run_stream(const struct settings *settings,
		       const struct http_request *request, const char *id)
{
	char fields[512], head[768], last[32] = "0";
	int events = events_of(settings, request), event, len;

	http_field(request->head, "Last-Event-Id", last, sizeof(last));
	put_fields(fields, sizeof(fields), settings, id);
	len = snprintf(head, sizeof(head),
		       "HTTP/1.1 200 OK\r\n%sContent-Type: text/event-stream"
		       "\r\nTransfer-Encoding: chunked\r\n\r\n",
		       fields);
	if (!http_send(request->fd, head, (size_t)len))
		return false;
	for (event = atoi(last) + 1; event <= events; event++) {
		sleep_ms(settings->event_ms);
		if (!send_event(settings, request->fd, id, event)) {
			tell(id, "cut");
			return false;
		}
	}
	tell(id, "done");
	return http_send(request->fd, "0\r\n\r\n", 5);
}

static bool on_request(void *ctx, const struct http_request *request)
{
	const struct settings *settings = ctx;
	char id[96] = "-", expected[64], fields[256];
	bool kept;

	http_field(request->head, "X-Attempt-Id", id, sizeof(id));
	snprintf(fields, sizeof(fields),
		 "X-Attempt-Id: %s\r\nX-Not-Executed: 1\r\n", id);
	if (http_field(request->head, "X-Expect-Instance", expected,
		       sizeof(expected)) &&
	    strcmp(expected, settings->id) != 0)
		return http_answer(request->fd, 421, fields, NULL, 0);
	if (!take_slot(settings))
		return http_answer(request->fd, 503, fields, NULL, 0);
	tell(id, "begun");
	if (!strncmp(request->body, "deadly", 6)) {
		tell(id, "crash");
		_exit(1);
	}
	kept = strncmp(request->target, "/plain/", 7) != 0 ?
		       run_stream(settings, request, id) :
		       run_plain(settings, request, id);
	leave_slot();
	return kept;
}

int main(int argc, char **argv)
{
	static struct settings settings;
	int listener;

	if (argc != 8 || atoi(argv[7]) > EVENT_BYTES_MAX)
		return 2;
	memset(settings.padding, '.', (size_t)atoi(argv[7]));
	settings.id = argv[2];
	settings.slots = atoi(argv[3]);
	settings.events = atoi(argv[4]);
	settings.event_ms = atoi(argv[5]);
	settings.version = argv[6];
	if (http_listen(atoi(argv[1]), &listener) < 0)
		return 2;
	http_serve(listener, on_request, &settings);
	tell("-", "listens");
	for (;;)
		pause();
}
