#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "harness.h"

#define MS_PER_S 1000
#define NS_PER_MS 1000000
#define BACKLOG 128
#define READY_WAIT_MS 10000
#define READY_PAUSE_MS 50
#define CALL_WAIT_MS 2000

static FILE *record_file;
static uint64_t record_began_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t clock_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * MS_PER_S +
	       (uint64_t)now.tv_nsec / NS_PER_MS;
}

void sleep_ms(uint64_t ms)
{
	struct timespec pause = {
		.tv_sec = (time_t)(ms / MS_PER_S),
		.tv_nsec = (long)(ms % MS_PER_S) * NS_PER_MS,
	};

	nanosleep(&pause, NULL);
}

void record_open(void)
{
	const char *dir = getenv("RECORD_DIR");
	char path[4096];

	signal(SIGPIPE, SIG_IGN);
	snprintf(path, sizeof(path), "%s/record.txt", dir ? dir : ".");
	record_file = fopen(path, "w");
	record_began_ms = clock_ms();
	if (!record_file)
		exit(CASE_NOT_RUN);
}

static void record_line(const char *fmt, va_list args)
{
	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%6llu ms ",
		(unsigned long long)(clock_ms() - record_began_ms));
	vfprintf(record_file, fmt, args);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

void record(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	record_line(fmt, args);
	va_end(args);
}

void not_run(const char *fmt, ...)
{
	va_list args;

	va_start(args, fmt);
	record_line(fmt, args);
	va_end(args);
	exit(CASE_NOT_RUN);
}

bool has_trouble(void)
{
	const char *trouble = getenv("TROUBLE");

	return !trouble || strcmp(trouble, "0") != 0;
}

bool head_field(const struct message *message, const char *name, char *value,
		size_t len)
{
	size_t name_len = strlen(name);
	const char *line = strstr(message->head, "\r\n");

	while (line && line[2]) {
		line += 2;
		if (!strncasecmp(line, name, name_len) &&
		    line[name_len] == ':') {
			line += name_len + 1;
			line += strspn(line, " ");
			snprintf(value, len, "%.*s", (int)strcspn(line, "\r"),
				 line);
			return true;
		}
		line = strstr(line, "\r\n");
	}
	return false;
}

static bool parse_address(const char *text, struct sockaddr_in *addr)
{
	char ip[TEXT_BYTES];
	const char *colon = strchr(text, ':');

	memset(addr, 0, sizeof(*addr));
	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
	return inet_pton(AF_INET, ip, &addr->sin_addr) == 1;
}

bool conn_open(struct conn *conn, const char *address)
{
	struct sockaddr_in addr;

	conn->len = 0;
	conn->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (conn->fd >= 0 && parse_address(address, &addr) &&
	    !connect(conn->fd, (struct sockaddr *)&addr, sizeof(addr)))
		return true;
	conn_close(conn);
	return false;
}

void conn_close(struct conn *conn)
{
	if (conn->fd >= 0)
		close(conn->fd);
	conn->fd = -1;
}

bool conn_send(struct conn *conn, const char *bytes, size_t len)
{
	while (len) {
		ssize_t sent = send(conn->fd, bytes, len, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		bytes += sent;
		len -= (size_t)sent;
	}
	return true;
}

bool conn_printf(struct conn *conn, const char *fmt, ...)
{
	char text[HEAD_BYTES];
	va_list args;
	int len;

	va_start(args, fmt);
	len = vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	return len >= 0 && (size_t)len < sizeof(text) &&
	       conn_send(conn, text, (size_t)len);
}

bool conn_ended(struct conn *conn)
{
	struct pollfd fd = { .fd = conn->fd, .events = POLLRDHUP };

	return poll(&fd, 1, 0) > 0;
}

/* Reads more bytes; returns false at the end, on an error and after the time. */
static bool conn_fill(struct conn *conn, uint64_t until_ms)
{
	struct pollfd fd = { .fd = conn->fd, .events = POLLIN };
	uint64_t now = clock_ms();
	ssize_t got;

	if (conn->len == sizeof(conn->bytes) || now >= until_ms ||
	    poll(&fd, 1, (int)(until_ms - now)) <= 0)
		return false;
	got = recv(conn->fd, conn->bytes + conn->len,
		   sizeof(conn->bytes) - conn->len, 0);
	if (got <= 0)
		return false;
	conn->len += (size_t)got;
	return true;
}

static void conn_drop(struct conn *conn, size_t len)
{
	memmove(conn->bytes, conn->bytes + len, conn->len - len);
	conn->len -= len;
}

static char *find(struct conn *conn, const char *text)
{
	return memmem(conn->bytes, conn->len, text, strlen(text));
}

static bool read_head(struct conn *conn, struct message *message,
		      uint64_t until_ms)
{
	char *end;
	size_t len;

	memset(message, 0, sizeof(*message));
	while (!(end = find(conn, "\r\n\r\n"))) {
		if (!conn_fill(conn, until_ms))
			return false;
	}
	len = (size_t)(end - conn->bytes) + 4;
	if (len >= sizeof(message->head))
		return false;
	memcpy(message->head, conn->bytes, len);
	conn_drop(conn, len);
	return true;
}

static bool read_bytes(struct conn *conn, struct message *message, size_t len,
		       uint64_t until_ms)
{
	while (len) {
		size_t part = len < conn->len ? len : conn->len;

		if (message->body_len + part >= sizeof(message->body))
			return false;
		memcpy(message->body + message->body_len, conn->bytes, part);
		message->body_len += part;
		conn_drop(conn, part);
		len -= part;
		if (len && !conn_fill(conn, until_ms))
			return false;
	}
	return true;
}

static bool read_chunks(struct conn *conn, struct message *message,
			uint64_t until_ms)
{
	for (;;) {
		char *end;
		size_t len;

		while (!(end = find(conn, "\r\n"))) {
			if (!conn_fill(conn, until_ms))
				return false;
		}
		len = strtoul(conn->bytes, NULL, 16);
		conn_drop(conn, (size_t)(end - conn->bytes) + 2);
		if (!read_bytes(conn, message, len, until_ms))
			return false;
		while (conn->len < 2) {
			if (!conn_fill(conn, until_ms))
				return false;
		}
		conn_drop(conn, 2);
		if (!len)
			return true;
	}
}

static bool read_body(struct conn *conn, struct message *message,
		      uint64_t until_ms)
{
	char value[TEXT_BYTES];

	if (head_field(message, "transfer-encoding", value, sizeof(value)))
		return read_chunks(conn, message, until_ms);
	if (head_field(message, "content-length", value, sizeof(value)))
		return read_bytes(conn, message, strtoul(value, NULL, 10),
				  until_ms);
	return true;
}

bool conn_read_answer(struct conn *conn, struct message *answer,
		      uint64_t wait_ms)
{
	uint64_t until_ms = clock_ms() + wait_ms;

	if (!read_head(conn, answer, until_ms))
		return false;
	answer->status =
		(int)strtol(answer->head + strlen("HTTP/1.1 "), NULL, 10);
	answer->complete = read_body(conn, answer, until_ms);
	return answer->complete;
}

int call(const char *address, const char *method, const char *target,
	 const char *fields, const char *body, struct message *answer,
	 uint64_t wait_ms)
{
	struct conn conn;
	int status = 0;

	answer->status = 0;
	answer->complete = false;
	if (!conn_open(&conn, address))
		return 0;
	if (conn_printf(&conn,
			"%s %s HTTP/1.1\r\n%sContent-Length: %zu\r\n\r\n",
			method, target, fields, strlen(body)) &&
	    conn_send(&conn, body, strlen(body)) &&
	    conn_read_answer(&conn, answer, wait_ms))
		status = answer->status;
	conn_close(&conn);
	return status;
}

struct served {
	struct server *server;
	int fd;
};

static bool read_request(struct request *request)
{
	char value[TEXT_BYTES];

	if (!read_head(request->conn, &request->message, UINT64_MAX / 2) ||
	    !read_body(request->conn, &request->message, UINT64_MAX / 2))
		return false;
	if (!head_field(&request->message, "x-attempt-id", request->id,
			sizeof(request->id)))
		request->id[0] = '\0';
	request->last_event = -1;
	if (head_field(&request->message, "last-event-id", value,
		       sizeof(value)))
		request->last_event = strtol(value, NULL, 10);
	return true;
}

/* Answers a request that is meant for another server. */
static bool is_misdirected(struct request *request)
{
	char expected[TEXT_BYTES];

	if (!head_field(&request->message, "x-expect-instance", expected,
			sizeof(expected)) ||
	    !strcmp(expected, request->server->id))
		return false;
	conn_printf(request->conn,
		    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: %s\r\n"
		    "X-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
		    request->id, request->server->id);
	return true;
}

static void *serve(void *data)
{
	struct served *served = data;
	struct conn *conn = calloc(1, sizeof(*conn));
	struct request *request = calloc(1, sizeof(*request));

	conn->fd = served->fd;
	request->server = served->server;
	request->conn = conn;
	while (conn->fd >= 0 && read_request(request)) {
		if (!is_misdirected(request))
			served->server->fn(request);
	}
	conn_close(conn);
	free(request);
	free(conn);
	free(served);
	return NULL;
}

static void start_thread(void *(*fn)(void *), void *data)
{
	pthread_t thread;

	if (pthread_create(&thread, NULL, fn, data))
		not_run("no thread could be started");
	pthread_detach(thread);
}

static void *accept_all(void *data)
{
	struct served *listener = data;
	int fd;

	while ((fd = accept(listener->fd, NULL, NULL)) >= 0) {
		struct served *served = calloc(1, sizeof(*served));

		served->server = listener->server;
		served->fd = fd;
		start_thread(serve, served);
	}
	return NULL;
}

void server_start(struct server *server)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	socklen_t len = sizeof(addr);
	struct served *listener = calloc(1, sizeof(*listener));

	listener->server = server;
	listener->fd = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(listener->fd, (struct sockaddr *)&addr, len) ||
	    listen(listener->fd, BACKLOG) ||
	    getsockname(listener->fd, (struct sockaddr *)&addr, &len))
		not_run("the server %s can't listen", server->id);
	snprintf(server->address, sizeof(server->address), "127.0.0.1:%u",
		 ntohs(addr.sin_port));
	start_thread(accept_all, listener);
}

void store_put(const char *store, const char *topic, const char *key,
	       const char *value)
{
	struct message *answer = calloc(1, sizeof(*answer));
	char target[TEXT_BYTES];

	snprintf(target, sizeof(target), "/put?Topic=%s&Key=%s", topic, key);
	if (call(store, "POST", target, "Host: store\r\n", value, answer,
		 CALL_WAIT_MS) != 200)
		not_run("the store did not accept %s", key);
	record("operator: %s %s", key, value);
	free(answer);
}

void store_list(const char *store, const struct server *server,
		const char *service, unsigned slots)
{
	char entry[HEAD_BYTES];

	snprintf(entry, sizeof(entry),
		 "{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"%s\","
		 "\"Version\":\"v1\",\"Capacity\":%u,\"State\":\"ready\","
		 "\"WarmupMs\":0,\"Sequence\":1,\"born\":1}",
		 service, server->address,
		 server->zone ? server->zone : "akl-a", slots);
	store_put(store, "keyed.servers", server->id, entry);
}

void wait_ready(const char *address)
{
	struct message *answer = calloc(1, sizeof(*answer));
	uint64_t until_ms = clock_ms() + READY_WAIT_MS;

	while (call(address, "GET", "/ready", "Host: ready\r\n", "", answer,
		    CALL_WAIT_MS) != 200) {
		if (clock_ms() >= until_ms)
			not_run("the gateway does not get ready");
		sleep_ms(READY_PAUSE_MS);
	}
	free(answer);
}

bool send_chunk(struct conn *conn, const char *text)
{
	return conn_printf(conn, "%zx\r\n%s\r\n", strlen(text), text);
}

bool send_event(struct conn *conn, const char *id, long event)
{
	char text[TEXT_BYTES];

	snprintf(text, sizeof(text), "id: %ld\ndata: %s-%ld\n\n", event, id,
		 event);
	return send_chunk(conn, text);
}

bool send_stream_head(struct request *request)
{
	return conn_printf(request->conn,
			   "HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\n"
			   "X-Server-Signature: sig.%s.%s\r\n"
			   "Content-Type: text/event-stream\r\n"
			   "Transfer-Encoding: chunked\r\n\r\n",
			   request->id, request->server->id, request->id);
}
