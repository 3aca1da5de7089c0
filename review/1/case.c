/*
 * A backend server in trouble sends events without end to an item of a batch job. The
 * platform kills a process that exceeds its memory. Streams of a sound server run at the
 * gateway that took the job; a second gateway takes the item over.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../harness/harness.h"

#define CLIENTS 8
#define DEADLINE_MS 5000
/* Time for which a stream waits for its turn at the sound server, in ms. */
#define QUEUED_MS 1500
#define EVENTS 45
/* Time per event of 5 tokens, in ms: a step of the engine takes 3.92 ms. */
#define EVENT_MS 20
/* MemoryMb of a front machine, in kB, and interval at which it is checked, in ms. */
#define MEMORY_KB (290 * 1024)
#define MEMORY_CHECK_MS 10
/* Time in which the second gateway takes the item over and runs it, in ms. */
#define TAKEN_OVER_MS 6000
/* "more than three times" */
#define CUTS_ALLOWED 3
/* Events of the item when the server is not in trouble. */
#define ITEM_EVENTS 20
/* Length of the data of one event that the server in trouble sends. */
#define ENDLESS_BYTES 4000

static const char config[] =
	"{\"Version\":1,\"Routes\":[{\"Name\":\"stream\",\"Host\":"
	"\"desk.example\",\"PathPrefix\":\"/stream/\",\"Kind\":\"stream\","
	"\"TimeoutMs\":5000,\"ObjectiveMs\":300,\"GapAimMs\":200,"
	"\"Priority\":0,\"Service\":\"model\",\"MaxAttempts\":2,"
	"\"Sticky\":true,\"CanResume\":true},{\"Name\":\"batch\",\"Host\":"
	"\"desk.example\",\"PathPrefix\":\"/batch/\",\"Kind\":\"batch\","
	"\"TimeoutMs\":15000,\"ObjectiveMs\":400,\"Priority\":2,"
	"\"Service\":\"drafts\",\"MaxAttempts\":3,\"CanResume\":true,"
	"\"CompletionMs\":18000,\"RetentionS\":60,\"MaxCount\":1300000}],"
	"\"Services\":[{\"Name\":\"model\",\"HealthPath\":\"/health\","
	"\"MaxConns\":370},{\"Name\":\"drafts\",\"HealthPath\":\"/health\","
	"\"MaxConns\":370}],\"Limits\":{\"MaxHeaderBytes\":16384,"
	"\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,"
	"\"IdleTimeoutMs\":15000}}";

/* "Tokens" and X-Token-Count allow an output of 400 tokens. */
static const char job[] =
	"{\"Items\":[{\"Id\":\"item-1\",\"Path\":\"/batch/1\",\"Headers\":"
	"{\"X-Model\":\"m\",\"X-Token-Count\":\"540,400\"},"
	"\"Body\":\"q83vEjRWeJA=\",\"Tokens\":940}]}";

struct client {
	pthread_t thread;
	struct conn conn;
	char id[TEXT_BYTES];
	bool cut;
};

struct gateway {
	const char *name;
	pid_t pid;
	pthread_t watcher;
	volatile bool killed;
};

static volatile bool done;

/* Sound server: sends all of its events. */
static void serve_stream(struct request *request)
{
	bool is_long = !strncmp(request->id, "long-", strlen("long-"));
	long i, nr = is_long ? EVENTS : 1;

	sleep_ms(is_long ? QUEUED_MS : 0);
	if (conn_ended(request->conn)) {
		record("i-1: the caller of %s closed before its turn",
		       request->id);
		conn_close(request->conn);
		return;
	}
	record("i-1: runs %s", request->id);
	if (!send_stream_head(request))
		return;
	for (i = request->last_event + 1; i < nr; i++) {
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

/* Sends numbered events until the caller closes. */
static void send_endless(struct request *request)
{
	char text[2 * ENDLESS_BYTES], data[ENDLESS_BYTES + 1];
	long i;

	memset(data, 'x', ENDLESS_BYTES);
	data[ENDLESS_BYTES] = '\0';
	for (i = request->last_event + 1;; i++) {
		snprintf(text, sizeof(text), "id: %ld\ndata: %s\n\n", i, data);
		if (!send_chunk(request->conn, text))
			break;
	}
	record("i-2: the caller of %s closed after event %ld", request->id, i);
	conn_close(request->conn);
}

static void serve_item(struct request *request)
{
	long i;

	record("i-2: runs %s after event %ld", request->id,
	       request->last_event);
	if (!send_stream_head(request))
		return;
	if (has_trouble()) {
		send_endless(request);
		return;
	}
	for (i = request->last_event + 1; i < ITEM_EVENTS; i++)
		send_event(request->conn, request->id, i);
	send_chunk(request->conn, "");
}

static long memory_kb(pid_t pid)
{
	char path[TEXT_BYTES], line[TEXT_BYTES];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file)) {
		if (!strncmp(line, "VmRSS:", strlen("VmRSS:")))
			kb = strtol(line + strlen("VmRSS:"), NULL, 10);
	}
	fclose(file);
	return kb;
}

/* The platform: kills a process once it exceeds its memory. */
static void *watch_memory(void *data)
{
	struct gateway *gateway = data;
	long kb, most = 0;

	while (!done && !gateway->killed) {
		kb = memory_kb(gateway->pid);
		most = kb > most ? kb : most;
		if (kb > MEMORY_KB) {
			gateway->killed = true;
			kill(gateway->pid, SIGKILL);
			record("platform: %s has %ld kB, more than %d kB, and "
			       "is killed",
			       gateway->name, kb, MEMORY_KB);
		}
		sleep_ms(MEMORY_CHECK_MS);
	}
	record("platform: %s had %ld kB at most", gateway->name, most);
	return NULL;
}

static bool ask(struct client *client, const char *id, struct message *answer)
{
	conn_printf(&client->conn,
		    "POST /stream/x HTTP/1.1\r\nHost: desk.example\r\n"
		    "X-Attempt-Id: %s\r\nX-Model: m\r\n"
		    "X-Token-Count: 450,225\r\nX-Deadline-Ms: %d\r\n"
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
	record("client: %s ended after %llu ms: status %d, %s", client->id,
	       (unsigned long long)took_ms, answer->status,
	       answer->complete ? "complete" : "NOT complete");
	client->cut = !answer->status && took_ms < DEADLINE_MS;
	free(answer);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct server sound = { .id = "i-1", .fn = serve_stream };
	static struct server faulty = { .id = "i-2", .fn = serve_item };
	static struct client clients[CLIENTS];
	struct message *answer = calloc(1, sizeof(*answer));
	static struct gateway gateways[] = { { .name = "g1" },
					     { .name = "g2" } };
	int i, status, cut = 0;

	record_open();
	if (argc != 6)
		not_run("usage: case STORE FRONT READY GATEWAY GATEWAY");
	gateways[0].pid = (pid_t)strtol(argv[4], NULL, 10);
	gateways[1].pid = (pid_t)strtol(argv[5], NULL, 10);
	server_start(&sound);
	server_start(&faulty);
	store_put(argv[1], "keyed.op", "config", config);
	store_list(argv[1], &sound, "model", 8);
	store_list(argv[1], &faulty, "drafts", 8);
	wait_ready(argv[3]);
	sleep_ms(1000);
	for (i = 0; i < CLIENTS; i++) {
		snprintf(clients[i].id, TEXT_BYTES, "first-%d", i);
		if (!conn_open(&clients[i].conn, argv[2]) ||
		    !ask(&clients[i], clients[i].id, answer) ||
		    answer->status != 200)
			not_run("the stream %s was not served", clients[i].id);
		snprintf(clients[i].id, TEXT_BYTES, "long-%d", i);
	}
	for (i = 0; i < 2; i++)
		pthread_create(&gateways[i].watcher, NULL, watch_memory,
			       &gateways[i]);
	for (i = 0; i < CLIENTS; i++)
		pthread_create(&clients[i].thread, NULL, run_client,
			       &clients[i]);
	status = call(argv[2], "POST", "/batch/x",
		      "Host: desk.example\r\nX-Attempt-Id: job-1\r\n"
		      "X-Deadline-Ms: 4000\r\n",
		      job, answer, DEADLINE_MS);
	record("client: the job got %d", status);
	if (status != 202)
		not_run("the job was not accepted");
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(clients[i].thread, NULL);
		cut += clients[i].cut;
	}
	sleep_ms(TAKEN_OVER_MS);
	done = true;
	for (i = 0; i < 2; i++)
		pthread_join(gateways[i].watcher, NULL);
	record("result: %d of %d requests to a sound server got no answer; killed "
	       "for their memory: %d of 2 gateways",
	       cut, CLIENTS, gateways[0].killed + gateways[1].killed);
	return cut > CUTS_ALLOWED ? CASE_BROKEN : CASE_HELD;
}
