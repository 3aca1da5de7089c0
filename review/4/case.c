/*
 * A gateway gets SIGTERM. Clients that have kept a connection open send streams on it a
 * little more than three seconds later, which their backend server would finish within
 * the grace period and within their time limit.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../harness/harness.h"

#define CLIENTS 8
#define DEADLINE_MS 5000
#define GRACE_MS 8000
/* Times after SIGTERM at which the clients send, in ms. */
#define FIRST_SENT_MS 3100
#define SENT_STEP_MS 40
#define EVENTS 213
/* Time per event of 5 tokens, in ms: a step of the engine takes 3.92 ms. */
#define EVENT_MS 20

static const char config[] =
	"{\"Version\":1,\"Routes\":[{\"Name\":\"once\",\"Host\":\"desk.example\","
	"\"PathPrefix\":\"/once/\",\"Kind\":\"stream\",\"TimeoutMs\":5000,"
	"\"ObjectiveMs\":300,\"GapAimMs\":200,\"Priority\":0,"
	"\"Service\":\"model\",\"MaxAttempts\":1,\"Sticky\":true,"
	"\"CanResume\":false}],\"Services\":[{\"Name\":\"model\","
	"\"HealthPath\":\"/health\",\"MaxConns\":370}],"
	"\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,"
	"\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000}}";

struct client {
	pthread_t thread;
	const char *front;
	struct conn conn;
	char id[TEXT_BYTES];
	uint64_t send_ms;
	uint64_t term_ms;
	bool broken;
};

/* Number of events that the server has sent of each client's stream. */
static volatile long events_sent[CLIENTS];

/* A stream of EVENTS events for "long-N", and of one event for all others. */
static void serve_stream(struct request *request)
{
	bool is_long = !strncmp(request->id, "long-", strlen("long-"));
	long i, nr = is_long ? EVENTS : 1;
	int client = (int)strtol(request->id + strlen("long-"), NULL, 10);

	record("server: runs %s", request->id);
	if (!send_stream_head(request))
		return;
	for (i = 1; i <= nr; i++) {
		sleep_ms(EVENT_MS);
		if (conn_ended(request->conn) ||
		    !send_event(request->conn, request->id, i)) {
			record("server: the caller of %s closed after event %ld",
			       request->id, i - 1);
			conn_close(request->conn);
			return;
		}
		if (is_long)
			events_sent[client] = i;
	}
	send_chunk(request->conn, "");
	record("server: %s is complete", request->id);
}

static bool ask(struct client *client, const char *id, struct message *answer)
{
	conn_printf(&client->conn,
		    "POST /once/x HTTP/1.1\r\nHost: desk.example\r\n"
		    "X-Attempt-Id: %s\r\nX-Model: m\r\n"
		    "X-Token-Count: 450,1065\r\nX-Deadline-Ms: %d\r\n"
		    "Content-Length: 4\r\n\r\nbody",
		    id, DEADLINE_MS);
	return conn_read_answer(&client->conn, answer, DEADLINE_MS);
}

static void *run_client(void *data)
{
	struct client *client = data;
	struct message *answer = calloc(1, sizeof(*answer));
	uint64_t now = clock_ms(), sent_ms, took_ms;
	int nr = (int)strtol(client->id + strlen("long-"), NULL, 10);

	if (now < client->send_ms)
		sleep_ms(client->send_ms - now);
	sent_ms = clock_ms();
	record("client: sends %s, %llu ms after SIGTERM", client->id,
	       (unsigned long long)(sent_ms - client->term_ms));
	ask(client, client->id, answer);
	took_ms = clock_ms() - sent_ms;
	record("client: %s ended after %llu ms: status %d, %s, %ld events "
	       "sent by the server",
	       client->id, (unsigned long long)took_ms, answer->status,
	       answer->complete ? "complete" : "NOT complete", events_sent[nr]);
	/* Not read by the gateway, or at its time limit: no fault of it. */
	client->broken =
		!answer->complete && events_sent[nr] && took_ms < DEADLINE_MS;
	free(answer);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct server server = { .id = "i-1", .fn = serve_stream };
	static struct client clients[CLIENTS];
	struct message *answer = calloc(1, sizeof(*answer));
	uint64_t term_ms;
	int i, broken = 0;

	record_open();
	if (argc != 5)
		not_run("usage: case STORE FRONT READY GATEWAY");
	server_start(&server);
	store_put(argv[1], "keyed.op", "config", config);
	store_list(argv[1], &server, "model", 8);
	wait_ready(argv[3]);
	sleep_ms(1000);
	for (i = 0; i < CLIENTS; i++) {
		struct client *client = &clients[i];

		client->front = argv[2];
		snprintf(client->id, sizeof(client->id), "first-%d", i);
		if (!conn_open(&client->conn, client->front) ||
		    !ask(client, client->id, answer) || answer->status != 200)
			not_run("the stream %s was not served", client->id);
		record("client: %s is complete", client->id);
		snprintf(client->id, sizeof(client->id), "long-%d", i);
	}
	term_ms = clock_ms();
	if (has_trouble()) {
		kill((pid_t)strtol(argv[4], NULL, 10), SIGTERM);
		record("platform: SIGTERM");
	}
	for (i = 0; i < CLIENTS; i++) {
		clients[i].term_ms = term_ms;
		clients[i].send_ms =
			term_ms + FIRST_SENT_MS + (uint64_t)i * SENT_STEP_MS;
		pthread_create(&clients[i].thread, NULL, run_client,
			       &clients[i]);
	}
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(clients[i].thread, NULL);
		broken += clients[i].broken;
	}
	record("result: %d of %d streams were cut by the gateway before "
	       "their time limit and before the end of the grace period of "
	       "%d ms",
	       broken, CLIENTS, GRACE_MS);
	return broken ? CASE_BROKEN : CASE_HELD;
}
