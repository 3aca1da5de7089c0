/*
 * Stand-in for the platform's store, as PROTOCOL.md describes it: topics with partitions,
 * idempotent appends, long polling, the newest record of each key, and its limits.
 */
#include <errno.h>
#include <fcntl.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "http.h"
#include "rig.h"

#define PARTITIONS_MAX 64
#define PRODUCERS_MAX 256
#define REMEMBERED 5
#define APPEND_MS 2
#define PART_BYTES_PER_MS 20000
#define WAITING_MAX_MS 2000
#define MAX_KB 1024
#define EVENTS_MAX 256
#define LENGTH_BYTES 4
#define KEY_MAX 256

struct record {
	char *data;
	size_t len;
};

struct producer {
	char id[96];
	long long epoch;
	long long sequence;
	/* First and end offsets of its last appends, newest first. */
	size_t first[REMEMBERED];
	size_t end[REMEMBERED];
	int nr;
};

struct partition {
	char topic[64];
	int number;
	struct record *records;
	size_t nr;
	size_t allocated;
	/* Offset of the oldest record that is kept, and bytes of those that are. */
	size_t first;
	uint64_t bytes;
	uint64_t busy_until_ms;
	struct producer *producers;
	int producers_nr;
};

static struct rig_store_limits limits;
static struct partition partitions[PARTITIONS_MAX];
static int partitions_nr;
static uint64_t bytes_held;
static unsigned full_nr, too_long_nr, expired_nr;
static uint64_t second;
static unsigned reads, writes;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

uint64_t rig_store_bytes(void)
{
	uint64_t bytes;

	pthread_mutex_lock(&lock);
	bytes = bytes_held;
	pthread_mutex_unlock(&lock);
	return bytes;
}

uint64_t rig_store_fullest(void)
{
	uint64_t bytes = 0;
	int i;

	pthread_mutex_lock(&lock);
	for (i = 0; i < partitions_nr; i++) {
		if (partitions[i].bytes > bytes)
			bytes = partitions[i].bytes;
	}
	pthread_mutex_unlock(&lock);
	return bytes;
}

unsigned rig_store_full_nr(void)
{
	return full_nr;
}

unsigned rig_store_expired_nr(void)
{
	return expired_nr;
}

unsigned rig_store_too_long_nr(void)
{
	return too_long_nr;
}

/* To be called with the lock held, as all functions down to the handlers. */
static struct partition *partition_of(const char *topic, int number)
{
	int i;

	for (i = 0; i < partitions_nr; i++) {
		if (partitions[i].number == number &&
		    !strcmp(partitions[i].topic, topic))
			return &partitions[i];
	}
	if (partitions_nr == PARTITIONS_MAX)
		rig_fail("the store has too many partitions");
	snprintf(partitions[i].topic, sizeof(partitions[i].topic), "%s", topic);
	partitions[i].number = number;
	partitions[i].producers =
		calloc(PRODUCERS_MAX, sizeof(struct producer));
	partitions_nr++;
	return &partitions[i];
}

static void drop_oldest(struct partition *partition)
{
	struct record *record = &partition->records[partition->first++];

	partition->bytes -= record->len;
	bytes_held -= record->len;
	free(record->data);
	record->data = NULL;
	record->len = 0;
}

static void add_record(struct partition *partition, const char *data,
		       size_t len)
{
	struct record *record;

	if (partition->nr == partition->allocated) {
		partition->allocated = 2 * partition->allocated + 64;
		partition->records =
			realloc(partition->records,
				partition->allocated * sizeof(*record));
	}
	record = &partition->records[partition->nr++];
	record->data = malloc(len + 1);
	record->len = len;
	memcpy(record->data, data, len);
	bytes_held += len;
	partition->bytes += len;
	while (partition->bytes > RIG_PART_BYTES)
		drop_oldest(partition);
}

static size_t get_number(const char *at)
{
	size_t value = 0;
	int i;

	for (i = 0; i < LENGTH_BYTES; i++)
		value = value << 8 | (unsigned char)at[i];
	return value;
}

static char *put_number(char *at, uint64_t value, int bytes)
{
	while (bytes--)
		*at++ = (char)(value >> (8 * bytes));
	return at;
}

/* Tells whether a call exceeds the rate of its kind. */
static bool too_many(unsigned *calls, unsigned max)
{
	uint64_t now = rig_now_ms() / 1000;

	if (now != second) {
		second = now;
		reads = 0;
		writes = 0;
	}
	return ++*calls > max;
}

static struct producer *producer_of(struct partition *partition, const char *id)
{
	int i;

	for (i = 0; i < partition->producers_nr; i++) {
		if (!strcmp(partition->producers[i].id, id))
			return &partition->producers[i];
	}
	if (i == PRODUCERS_MAX)
		rig_fail("the store has too many producers");
	partition->producers_nr++;
	snprintf(partition->producers[i].id, sizeof(partition->producers[i].id),
		 "%s", id);
	return &partition->producers[i];
}

struct append_outcome {
	int status;
	char text[160];
};

static void say_offsets(struct append_outcome *outcome, size_t first,
			size_t end)
{
	outcome->status = 200;
	snprintf(outcome->text, sizeof(outcome->text),
		 "{\"Offset\":%zu,\"EndOffset\":%zu}", first, end);
}

/* Checks the producer; returns it if the append is new, or NULL with the outcome. */
static struct producer *check_producer(struct partition *partition,
				       const char *target,
				       struct append_outcome *outcome)
{
	long long epoch = http_query(target, "epoch", 0);
	long long sequence = http_query(target, "Sequence", 0);
	struct producer *producer;
	char id[96];
	long long age;

	if (!http_query_text(target, "ProducerId", id, sizeof(id)))
		return NULL;
	producer = producer_of(partition, id);
	age = producer->sequence - sequence;
	if (epoch < producer->epoch) {
		outcome->status = 409;
		snprintf(outcome->text, sizeof(outcome->text),
			 "{\"why\":\"fenced\"}");
	} else if (epoch == producer->epoch && producer->nr && age >= 0 &&
		   age < producer->nr) {
		say_offsets(outcome, producer->first[age], producer->end[age]);
	} else if (epoch == producer->epoch && producer->nr && age != -1) {
		outcome->status = 409;
		snprintf(outcome->text, sizeof(outcome->text),
			 "{\"why\":\"seq\",\"Sequence\":%lld}",
			 producer->sequence + 1);
	} else {
		producer->epoch = epoch;
		producer->sequence = sequence;
	}
	return producer;
}

/* Returns 0 if the records of a call may be appended, else the status. */
static int check_records(const struct http_request *request)
{
	size_t at = 0;

	while (at + LENGTH_BYTES <= request->len) {
		size_t len = get_number(request->body + at);

		at += LENGTH_BYTES + len;
		if (len <= RIG_RECORD_BYTES && at <= request->len)
			continue;
		too_long_nr += len > RIG_RECORD_BYTES;
		return 413;
	}
	if (request->len > RIG_CALL_BYTES + RIG_CALL_BYTES / 16)
		return 413;
	if (limits.bytes_max && bytes_held + request->len > limits.bytes_max) {
		full_nr++;
		return 507;
	}
	return 0;
}

/* Returns the time until which the answer waits. */
static uint64_t append(const struct http_request *request,
		       struct append_outcome *outcome)
{
	uint64_t now = rig_now_ms(), start;
	struct partition *partition;
	struct producer *producer;
	size_t at = 0, first;
	char topic[64];

	http_query_text(request->target, "Topic", topic, sizeof(topic));
	partition = partition_of(topic,
				 (int)http_query(request->target, "part", 0));
	start = partition->busy_until_ms > now ? partition->busy_until_ms : now;
	outcome->status = check_records(request);
	if (too_many(&writes, RIG_WRITES_PER_S))
		outcome->status = 429;
	else if (start - now > WAITING_MAX_MS)
		outcome->status = 503;
	if (outcome->status)
		return now;
	producer = check_producer(partition, request->target, outcome);
	if (outcome->status)
		return now;
	first = partition->nr;
	while (at + LENGTH_BYTES <= request->len) {
		size_t len = get_number(request->body + at);

		add_record(partition, request->body + at + LENGTH_BYTES, len);
		at += LENGTH_BYTES + len;
	}
	if (producer) {
		memmove(producer->first + 1, producer->first,
			(REMEMBERED - 1) * sizeof(*producer->first));
		memmove(producer->end + 1, producer->end,
			(REMEMBERED - 1) * sizeof(*producer->end));
		producer->first[0] = first;
		producer->end[0] = partition->nr;
		producer->nr += producer->nr < REMEMBERED;
	}
	say_offsets(outcome, first, partition->nr);
	partition->busy_until_ms =
		start + APPEND_MS + request->len / PART_BYTES_PER_MS;
	return partition->busy_until_ms;
}

/* A connection, with the request that it reads or the answer that it sends. */
struct connection {
	int fd;
	/* It is a listener. */
	bool listens;
	char *in;
	size_t in_len;
	size_t in_size;
	char *out;
	size_t out_len;
	size_t out_at;
	/* Time at which an answer that is ready may leave; 0 for none. */
	uint64_t due_ms;
	/* A read that waits for a record, and the time until which it does. */
	const struct partition *awaited;
	size_t from;
	size_t max;
	uint64_t until_ms;
	/* Neighbours in the list of those that wait. */
	struct connection *next;
	struct connection *prev;
	bool listed;
};

static struct connection *waiting;
static int epoll_fd;

static void list_connection(struct connection *conn)
{
	if (conn->listed)
		return;
	conn->listed = true;
	conn->prev = NULL;
	conn->next = waiting;
	if (waiting)
		waiting->prev = conn;
	waiting = conn;
}

static void unlist_connection(struct connection *conn)
{
	if (!conn->listed)
		return;
	conn->listed = false;
	if (conn->prev)
		conn->prev->next = conn->next;
	else
		waiting = conn->next;
	if (conn->next)
		conn->next->prev = conn->prev;
}

static void close_connection(struct connection *conn)
{
	unlist_connection(conn);
	close(conn->fd);
	free(conn->in);
	free(conn->out);
	free(conn);
}

/* Prepares an answer that leaves at a time. */
static void answer_at(struct connection *conn, uint64_t due_ms, int status,
		      const void *body, size_t len)
{
	char head[96];
	int head_len = snprintf(head, sizeof(head),
				"HTTP/1.1 %d X\r\nContent-Length: %zu\r\n\r\n",
				status, len);

	conn->out = malloc((size_t)head_len + len);
	memcpy(conn->out, head, (size_t)head_len);
	if (len)
		memcpy(conn->out + head_len, body, len);
	conn->out_len = (size_t)head_len + len;
	conn->out_at = 0;
	conn->due_ms = due_ms;
	list_connection(conn);
}

static void on_append(struct connection *conn,
		      const struct http_request *request)
{
	struct append_outcome outcome = { 0 };
	uint64_t until = append(request, &outcome);

	answer_at(conn, until, outcome.status, outcome.text,
		  strlen(outcome.text));
}

/* Copies records from an offset on; returns the text, which the caller frees. */
static char *copy_records(const struct partition *partition, size_t from,
			  size_t max, size_t *len)
{
	size_t bytes = 16, i;
	char *text, *at;

	for (i = from; i < partition->nr; i++) {
		size_t more = LENGTH_BYTES + partition->records[i].len;

		if (i > from && bytes + more > max)
			break;
		bytes += more;
	}
	text = malloc(bytes);
	at = put_number(text, partition->nr, 8);
	at = put_number(at, partition->first, 8);
	for (i = from; (size_t)(at - text) < bytes; i++) {
		const struct record *record = &partition->records[i];

		at = put_number(at, record->len, LENGTH_BYTES);
		memcpy(at, record->data, record->len);
		at += record->len;
	}
	*len = bytes;
	return text;
}

static void answer_read(struct connection *conn)
{
	size_t len;
	char *text = copy_records(conn->awaited, conn->from, conn->max, &len);

	conn->awaited = NULL;
	answer_at(conn, rig_now_ms(), 200, text, len);
	free(text);
}

static void on_read(struct connection *conn, const struct http_request *request)
{
	struct partition *partition;
	char topic[64], text[64];

	if (too_many(&reads, RIG_READS_PER_S)) {
		answer_at(conn, rig_now_ms(), 429, NULL, 0);
		return;
	}
	http_query_text(request->target, "Topic", topic, sizeof(topic));
	partition = partition_of(topic,
				 (int)http_query(request->target, "part", 0));
	conn->from = (size_t)http_query(request->target, "From", 0);
	if (conn->from < partition->first) {
		snprintf(text, sizeof(text), "{\"StartOffset\":%zu}",
			 partition->first);
		expired_nr++;
		answer_at(conn, rig_now_ms(), 410, text, strlen(text));
		return;
	}
	conn->awaited = partition;
	conn->max = (size_t)http_query(request->target, "MaxKb", MAX_KB) * 1024;
	conn->until_ms = rig_now_ms() +
			 (uint64_t)http_query(request->target, "WaitMs", 0);
	list_connection(conn);
}

static size_t key_len(const struct record *record)
{
	return record->len ? (unsigned char)record->data[0] : 0;
}

/* Tells whether a record is the newest of its key and has a value. */
static bool is_newest(const struct partition *partition, size_t index)
{
	const struct record *record = &partition->records[index];
	size_t len = key_len(record), i;

	if (record->len <= len + 1)
		return false;
	for (i = index + 1; i < partition->nr; i++) {
		const struct record *later = &partition->records[i];

		if (key_len(later) == len &&
		    !memcmp(later->data, record->data, len + 1))
			return false;
	}
	return true;
}

static char *put_base64(char *out, const char *data, size_t len)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklm"
				     "nopqrstuvwxyz0123456789+/";
	size_t i;

	for (i = 0; i < len; i += 3) {
		unsigned value = (unsigned)(unsigned char)data[i] << 16;

		if (i + 1 < len)
			value |= (unsigned)(unsigned char)data[i + 1] << 8;
		if (i + 2 < len)
			value |= (unsigned char)data[i + 2];
		*out++ = digits[value >> 18];
		*out++ = digits[value >> 12 & 63];
		*out++ = i + 1 < len ? digits[value >> 6 & 63] : '=';
		*out++ = i + 2 < len ? digits[value & 63] : '=';
	}
	return out;
}

/* All values of the topics that have keys fit in one page here. */
static void on_newest(struct connection *conn,
		      const struct http_request *request)
{
	const struct partition *partition;
	char topic[64], *text, *at;
	size_t bytes = 128, i;

	if (too_many(&reads, RIG_READS_PER_S)) {
		answer_at(conn, rig_now_ms(), 429, NULL, 0);
		return;
	}
	http_query_text(request->target, "Topic", topic, sizeof(topic));
	partition = partition_of(topic, 0);
	for (i = 0; i < partition->nr; i++)
		bytes += 2 * partition->records[i].len + 128;
	text = malloc(bytes);
	at = text + sprintf(text, "{\"Items\":[");
	for (i = 0; i < partition->nr; i++) {
		const struct record *record = &partition->records[i];
		size_t len = key_len(record);

		if (!is_newest(partition, i))
			continue;
		at += sprintf(at, "%s{\"Key\":\"%.*s\",\"Value\":\"",
			      at[-1] == '[' ? "" : ",", (int)len,
			      record->data + 1);
		at = put_base64(at, record->data + len + 1,
				record->len - len - 1);
		at += sprintf(at, "\",\"Offset\":%zu}", i);
	}
	at += sprintf(at, "],\"HasMore\":false,\"EndOffset\":%zu}",
		      partition->nr);
	answer_at(conn, rig_now_ms(), 200, text, (size_t)(at - text));
	free(text);
}

static void handle(struct connection *conn, const struct http_request *request)
{
	pthread_mutex_lock(&lock);
	if (!strncmp(request->target, "/log-append", 11))
		on_append(conn, request);
	else if (!strncmp(request->target, "/log-read", 9))
		on_read(conn, request);
	else if (!strncmp(request->target, "/log-newest", 11))
		on_newest(conn, request);
	else
		answer_at(conn, rig_now_ms(), 404, NULL, 0);
	pthread_mutex_unlock(&lock);
}

/* Handles a request if it is whole; returns false for bytes that are none. */
static bool parse(struct connection *conn)
{
	struct http_request request = { .fd = conn->fd };
	char length[32], *end, *body;

	end = conn->in_len ? memmem(conn->in, conn->in_len, "\r\n\r\n", 4) :
			     NULL;
	if (!end)
		return conn->in_len < HTTP_HEAD_MAX;
	body = end + 4;
	conn->in[conn->in_len] = '\0';
	end[2] = '\0';
	if (http_field(conn->in, "Content-Length", length, sizeof(length)))
		request.len = strtoul(length, NULL, 10);
	if (conn->in_len - (size_t)(body - conn->in) < request.len) {
		end[2] = '\r';
		return true;
	}
	if (!http_parse_head(&request, conn->in))
		return false;
	request.body = body;
	handle(conn, &request);
	conn->in_len -= (size_t)(body - conn->in) + request.len;
	memmove(conn->in, body + request.len, conn->in_len);
	return true;
}

/* Reads what has come; returns false at the end of the connection. */
static bool receive(struct connection *conn)
{
	for (;;) {
		ssize_t nr;

		if (conn->in_size - conn->in_len < 4097) {
			conn->in_size = 2 * conn->in_size + 8192;
			conn->in = realloc(conn->in, conn->in_size);
		}
		nr = recv(conn->fd, conn->in + conn->in_len,
			  conn->in_size - conn->in_len - 1, 0);
		if (nr < 0)
			return errno == EAGAIN;
		if (!nr)
			return false;
		conn->in_len += (size_t)nr;
	}
}

/* Sends what it can of an answer; returns false if the connection is broken. */
static bool send_answer(struct connection *conn)
{
	while (conn->out_at < conn->out_len) {
		ssize_t nr = send(conn->fd, conn->out + conn->out_at,
				  conn->out_len - conn->out_at, MSG_NOSIGNAL);

		if (nr < 0)
			return errno == EAGAIN;
		conn->out_at += (size_t)nr;
	}
	free(conn->out);
	conn->out = NULL;
	unlist_connection(conn);
	return parse(conn);
}

/* Goes on with those whose time has come. */
static void serve_waiting(void)
{
	uint64_t now = rig_now_ms();
	struct connection *conn, *next;

	pthread_mutex_lock(&lock);
	for (conn = waiting; conn; conn = conn->next) {
		if (conn->awaited &&
		    (conn->awaited->nr > conn->from || now >= conn->until_ms))
			answer_read(conn);
	}
	pthread_mutex_unlock(&lock);
	for (conn = waiting; conn; conn = next) {
		next = conn->next;
		if (conn->out && now >= conn->due_ms && !send_answer(conn))
			close_connection(conn);
	}
}

static void accept_all(int listener)
{
	struct epoll_event event = { .events = EPOLLIN };
	int on = 1, fd;

	while ((fd = accept4(listener, NULL, NULL,
			     SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0) {
		struct connection *conn = calloc(1, sizeof(*conn));

		conn->fd = fd;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		event.data.ptr = conn;
		epoll_ctl(epoll_fd, EPOLL_CTL_ADD, fd, &event);
	}
}

static void *serve(void *arg)
{
	struct epoll_event events[EVENTS_MAX];
	int nr, i;

	(void)arg;
	for (;;) {
		nr = epoll_wait(epoll_fd, events, EVENTS_MAX, 1);
		for (i = 0; i < nr; i++) {
			struct connection *conn = events[i].data.ptr;

			if (conn->listens)
				accept_all(conn->fd);
			else if (!receive(conn) ||
				 (!conn->out && !conn->awaited && !parse(conn)))
				close_connection(conn);
		}
		serve_waiting();
	}
	return NULL;
}

void rig_store_put(const char *topic, const char *key, const char *value)
{
	char *data;
	int len = asprintf(&data, "%c%s%s", (int)strlen(key), key, value);

	if (len < 0)
		rig_fail("no memory");
	pthread_mutex_lock(&lock);
	add_record(partition_of(topic, 0), data, (size_t)len);
	pthread_mutex_unlock(&lock);
	free(data);
}

int rig_store_listen(void)
{
	struct epoll_event event = { .events = EPOLLIN };
	struct connection *conn = calloc(1, sizeof(*conn));
	int port = http_listen(0, &conn->fd);

	if (port < 0)
		rig_fail("the store has no port");
	conn->listens = true;
	event.data.ptr = conn;
	fcntl(conn->fd, F_SETFL, O_NONBLOCK);
	epoll_ctl(epoll_fd, EPOLL_CTL_ADD, conn->fd, &event);
	return port;
}

void rig_store_start(const struct rig_store_limits *wanted)
{
	pthread_t thread;

	limits = *wanted;
	epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	pthread_create(&thread, NULL, serve, NULL);
	pthread_detach(thread);
}
