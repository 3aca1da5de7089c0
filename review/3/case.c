/*
 * A backend server fails an item of a batch job once, and sends a second copy of that
 * answer late, while the item runs again on the same connection.
 */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../harness/harness.h"

#define CALL_MS 5000
/* Items of the first job, all sound, and the part of its answers that the faulty server
 * may spoil. */
#define SOUND_ITEMS 120
#define SPOILED_MAX 0.03
#define EVENTS 40
/* Time per event of 5 tokens, in ms: a step of the engine takes 3.92 ms. */
#define EVENT_MS 20
/* Time from the failure to its second copy, in ms. */
#define COPY_AFTER_MS 450
#define READ_MS 8000
#define READ_PAUSE_MS 200

static const char config[] =
	"{\"Version\":1,\"Routes\":[{\"Name\":\"batch\",\"Host\":"
	"\"desk.example\",\"PathPrefix\":\"/batch/\",\"Kind\":\"batch\","
	"\"TimeoutMs\":15000,\"ObjectiveMs\":400,\"Priority\":2,"
	"\"Service\":\"drafts\",\"MaxAttempts\":2,\"CanResume\":true,"
	"\"CompletionMs\":18000,\"RetentionS\":60,\"MaxCount\":1300000}],"
	"\"Services\":[{\"Name\":\"drafts\",\"HealthPath\":\"/health\","
	"\"MaxConns\":370}],\"Limits\":{\"MaxHeaderBytes\":16384,"
	"\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
	"\"IdleTimeoutMs\":15000}}";

static const char fields[] = "Host: desk.example\r\nX-Attempt-Id: %s\r\n"
			     "X-Deadline-Ms: 4000\r\n";

/* Number of the failing item's runs, and of those that the server answered with 500. */
static volatile int runs, failures;
/* Number of answers of the server i-1. */
static volatile int answers;

static void send_failure(struct request *request)
{
	conn_printf(request->conn,
		    "HTTP/1.1 500 Internal Server Error\r\nX-Attempt-Id: %s\r\n"
		    "X-Server-Signature: sig.%s.%s\r\nContent-Length: 6\r\n\r\n"
		    "failed",
		    request->id, request->server->id, request->id);
}

/* Serves a run on a connection on which a second copy of an earlier answer may still be
 * due at copy_ms; 0 for none. */
static void serve_events(struct request *request, uint64_t copy_ms)
{
	bool head_sent = !copy_ms;
	long i;

	if (head_sent && !send_stream_head(request))
		return;
	for (i = request->last_event + 1; i < EVENTS; i++) {
		sleep_ms(EVENT_MS);
		if (!head_sent && clock_ms() >= copy_ms) {
			record("%s: sends a second copy of the failure of %s",
			       request->server->id, request->id);
			send_failure(request);
			head_sent = send_stream_head(request);
		}
		if (conn_ended(request->conn)) {
			record("%s: the caller of %s closed before event %ld",
			       request->server->id, request->id, i);
			conn_close(request->conn);
			return;
		}
		if (head_sent && !send_event(request->conn, request->id, i))
			return;
	}
	send_chunk(request->conn, "");
	record("%s: %s is complete", request->server->id, request->id);
}

static void serve_item(struct request *request)
{
	static uint64_t copy_ms;

	if (!strcmp(request->server->id, "i-1"))
		__atomic_add_fetch(&answers, 1, __ATOMIC_SEQ_CST);
	if (strcmp(request->id, "failing") != 0) {
		serve_events(request, 0);
		return;
	}
	record("%s: run %d of %s", request->server->id, ++runs, request->id);
	if (runs > 1) {
		serve_events(request, has_trouble() ? copy_ms : 0);
		return;
	}
	failures++;
	record("%s: answers %s with 500", request->server->id, request->id);
	send_failure(request);
	copy_ms = clock_ms() + COPY_AFTER_MS;
}

static int submit(const char *front, const char *job, const char *body,
		  struct message *answer)
{
	char head[TEXT_BYTES];
	int status;

	snprintf(head, sizeof(head), fields, job);
	status = call(front, "POST", "/batch/x", head, body, answer, CALL_MS);
	record("client: %s got %d", job, status);
	if (status != 202)
		not_run("the job was not accepted");
	return status;
}

/* Reads a job until it lists a number of results. */
static void read_results(const char *front, const char *job, int nr,
			 struct message *answer)
{
	uint64_t until_ms = clock_ms() + READ_MS;
	char target[TEXT_BYTES], next[TEXT_BYTES];

	snprintf(target, sizeof(target), "/lots/%s?After=0", job);
	snprintf(next, sizeof(next), "\"Next\":%d,", nr);
	while (clock_ms() < until_ms) {
		if (call(front, "GET", target, "Host: desk.example\r\n", "",
			 answer, CALL_MS) == 200 &&
		    strstr(answer->body, next))
			return;
		sleep_ms(READ_PAUSE_MS);
	}
	not_run("%s is not complete: %s", job, answer->body);
}

static void add_item(char *body, size_t size, const char *id, const char *end)
{
	size_t len = strlen(body);

	snprintf(
		body + len, size - len,
		"{\"Id\":\"%s\",\"Path\":\"/batch/1\",\"Headers\":{\"X-Model\":"
		"\"m\",\"X-Token-Count\":\"540,200\"},\"Body\":\"q83vEjRWeJA=\","
		"\"Tokens\":740}%s",
		id, end);
}

int main(int argc, char **argv)
{
	/* The first one is faulty; items go to the other region only if it is full. */
	static struct server servers[] = {
		{ .id = "i-1", .zone = "akl-a", .fn = serve_item },
		{ .id = "i-2", .zone = "chc-a", .fn = serve_item },
	};
	struct message *answer = calloc(1, sizeof(*answer));
	static char body[4 * HEAD_BYTES];
	char id[TEXT_BYTES];
	bool dead;
	int i;

	record_open();
	if (argc != 5)
		not_run("usage: case STORE FRONT READY GATEWAY");
	server_start(&servers[0]);
	server_start(&servers[1]);
	store_put(argv[1], "keyed.op", "config", config);
	store_list(argv[1], &servers[0], "drafts", 8);
	store_list(argv[1], &servers[1], "drafts", 8);
	wait_ready(argv[3]);
	sleep_ms(1000);
	snprintf(body, sizeof(body), "{\"Items\":[");
	for (i = 1; i <= SOUND_ITEMS; i++) {
		snprintf(id, sizeof(id), "sound-%d", i);
		add_item(body, sizeof(body), id, i < SOUND_ITEMS ? "," : "]}");
	}
	submit(argv[2], "job-1", body, answer);
	read_results(argv[2], "job-1", SOUND_ITEMS, answer);
	record("client: job-1 is complete, i-1 has given %d answers", answers);
	if (1 > SPOILED_MAX * answers)
		not_run("one more answer of i-1 would be too large a part");
	snprintf(body, sizeof(body), "{\"Items\":[");
	add_item(body, sizeof(body), "failing", "]}");
	submit(argv[2], "job-2", body, answer);
	read_results(argv[2], "job-2", 1, answer);
	record("client: job-2: %s", answer->body);
	dead = strstr(answer->body, "dead_lettered") != NULL;
	record("result: the item is %s after %d run(s) that the server "
	       "answered with 500; MaxAttempts is 2",
	       dead ? "dead-lettered" : "completed", failures);
	return dead && failures < 2 ? CASE_BROKEN : CASE_HELD;
}
