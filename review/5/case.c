/*
 * A backend server preempts streams for a moment, as its memory runs out; the only other
 * server of the service is full. The gateway is being stopped as planned.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../harness/harness.h"

#define CLIENTS 8
#define DEADLINE_MS 5000
#define EVENTS 30
#define EVENT_MS 40
/* Number of streams, the newest ones, that are preempted, after which event, and for how
 * long, in ms. */
#define PREEMPTED 4
#define PREEMPTED_AFTER 10
#define PREEMPTED_MS 1600
/* Time from SIGTERM to the requests, in ms. */
#define SENT_AFTER_MS 300

static const char config[] =
	"{\"Version\":1,\"Routes\":[{\"Name\":\"stream\",\"Host\":"
	"\"desk.example\",\"PathPrefix\":\"/stream/\",\"Kind\":\"stream\","
	"\"TimeoutMs\":5000,\"ObjectiveMs\":300,\"GapAimMs\":200,"
	"\"Priority\":0,\"Service\":\"model\",\"MaxAttempts\":2,"
	"\"Sticky\":true,\"CanResume\":true}],\"Services\":[{\"Name\":"
	"\"model\",\"HealthPath\":\"/health\",\"MaxConns\":370}],"
	"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

struct client {
	pthread_t thread;
	struct conn conn;
	char id[TEXT_BYTES];
	bool broken;
};

static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static int begun;

/* Tells whether a stream is one of the newest. */
static bool is_preempted(bool is_long)
{
	bool preempted;

	pthread_mutex_lock(&lock);
	begun += is_long;
	preempted = is_long && begun > CLIENTS - PREEMPTED;
	pthread_mutex_unlock(&lock);
	return preempted && has_trouble();
}

/* Sound server: sends its events, with a pause while the stream is preempted. */
static void serve_stream(struct request *request)
{
	bool is_long = !strncmp(request->id, "long-", strlen("long-"));
	long i, nr = is_long ? EVENTS : 1;
	bool preempted = is_preempted(is_long);

	record("i-1: runs %s after event %ld", request->id,
	       request->last_event);
	if (!send_stream_head(request))
		return;
	for (i = request->last_event + 1; i < nr; i++) {
		if (preempted && i == PREEMPTED_AFTER) {
			record("i-1: preempts %s for %d ms", request->id,
			       PREEMPTED_MS);
			sleep_ms(PREEMPTED_MS);
		}
		sleep_ms(EVENT_MS);
		if (conn_ended(request->conn) ||
		    !send_event(request->conn, request->id, i)) {
			record("i-1: the caller of %s closed before event %ld",
			       request->id, i);
			conn_close(request->conn);
			return;
		}
	}
	send_chunk(request->conn, "");
	record("i-1: %s is complete", request->id);
}

/* Full server. */
static void refuse(struct request *request)
{
	record("i-2: is full, does not run %s", request->id);
	conn_printf(request->conn,
		    "HTTP/1.1 503 Service Unavailable\r\nX-Attempt-Id: %s\r\n"
		    "X-Not-Executed: 1\r\nX-Server-Load: 8,24,8\r\n"
		    "Content-Length: 0\r\n\r\n",
		    request->id);
}

static bool ask(struct client *client, const char *id, struct message *answer)
{
	conn_printf(&client->conn,
		    "POST /stream/x HTTP/1.1\r\nHost: desk.example\r\n"
		    "X-Attempt-Id: %s\r\nX-Model: m\r\n"
		    "X-Token-Count: 450,150\r\nX-Deadline-Ms: %d\r\n"
		    "Content-Length: 4\r\n\r\nbody",
		    id, DEADLINE_MS);
	return conn_read_answer(&client->conn, answer, DEADLINE_MS);
}

static void *run_client(void *data)
{
	struct client *client = data;
	struct message *answer = calloc(1, sizeof(*answer));
	uint64_t sent_ms = clock_ms(), took_ms;

	record("client: sends %s", client->id);
	ask(client, client->id, answer);
	took_ms = clock_ms() - sent_ms;
	record("client: %s ended after %llu ms: status %d, %s, %zu bytes",
	       client->id, (unsigned long long)took_ms, answer->status,
	       answer->complete ? "complete" : "NOT complete",
	       answer->body_len);
	client->broken = !(answer->complete && answer->status == 200) &&
			 took_ms < DEADLINE_MS;
	free(answer);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct server sound = { .id = "i-1", .fn = serve_stream };
	static struct server full = { .id = "i-2", .fn = refuse };
	static struct client clients[CLIENTS];
	struct message *answer = calloc(1, sizeof(*answer));
	int i, broken = 0;

	record_open();
	if (argc != 5)
		not_run("usage: case STORE FRONT READY GATEWAY");
	server_start(&sound);
	server_start(&full);
	store_put(argv[1], "keyed.op", "config", config);
	store_list(argv[1], &sound, "model", 8);
	store_list(argv[1], &full, "model", 8);
	wait_ready(argv[3]);
	sleep_ms(1000);
	for (i = 0; i < CLIENTS; i++) {
		struct client *client = &clients[i];

		snprintf(client->id, sizeof(client->id), "first-%d", i);
		if (!conn_open(&client->conn, argv[2]) ||
		    !ask(client, client->id, answer) || answer->status != 200)
			not_run("the stream %s was not served", client->id);
		record("client: %s is complete", client->id);
		snprintf(client->id, sizeof(client->id), "long-%d", i);
	}
	kill((pid_t)strtol(argv[4], NULL, 10), SIGTERM);
	record("platform: SIGTERM");
	sleep_ms(SENT_AFTER_MS);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i].thread, NULL, run_client,
			       &clients[i]);
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(clients[i].thread, NULL);
		broken += clients[i].broken;
	}
	record("result: %d of %d streams of a sound server were cut by the "
	       "gateway before their time limit",
	       broken, CLIENTS);
	return broken ? CASE_BROKEN : CASE_HELD;
}
