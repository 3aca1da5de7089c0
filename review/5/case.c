/*
 * The memory of a backend server runs out, so that it preempts its newest stream until
 * another one ends; the only other server of the service is full. The gateway is being
 * stopped as planned.
 */
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "../harness/harness.h"

#define CLIENTS 8
#define DEADLINE_MS 5000
/* Events of each stream, but fewer of the newest one. */
#define EVENTS 165
#define EVENTS_NEWEST 60
/* Time per event, in ms, and its tokens: a step of the engine takes 3.92 ms. */
#define EVENT_MS 20
#define EVENT_TOKENS 5
/* Memory of the server, in tokens, and prompt tokens that it reads in a ms. */
#define KV_TOKENS 101495
#define READ_PER_MS 51.2
/* Prompt tokens of each stream; with the small ones memory does not run out. */
#define PROMPT_TOKENS 12418
#define PROMPT_TOKENS_SMALL 450
/* Time from SIGTERM to the first request, and between two requests, in ms. */
#define SENT_AFTER_MS 300
#define SENT_EACH_MS 250

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

/* The engine's memory: tokens held by each stream, 0 if it does not run. */
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static long held[CLIENTS];

static long prompt_tokens(void)
{
	return has_trouble() ? PROMPT_TOKENS : PROMPT_TOKENS_SMALL;
}

static long held_by_all(void)
{
	long sum = 0;
	int i;

	for (i = 0; i < CLIENTS; i++)
		sum += held[i];
	return sum;
}

static bool is_newest(int nr)
{
	int i;

	for (i = nr + 1; i < CLIENTS; i++) {
		if (held[i])
			return false;
	}
	return true;
}

static void hold(int nr, long tokens)
{
	pthread_mutex_lock(&lock);
	held[nr] = tokens;
	pthread_mutex_unlock(&lock);
}

/* Adds the tokens of an event; returns false if memory has run out, and the stream, as the
 * newest one, is preempted. */
static bool grow(int nr)
{
	bool fits;

	pthread_mutex_lock(&lock);
	held[nr] += EVENT_TOKENS;
	fits = held_by_all() <= KV_TOKENS || !is_newest(nr);
	if (!fits)
		held[nr] = 0;
	pthread_mutex_unlock(&lock);
	return fits;
}

static bool admit(int nr, long tokens)
{
	bool fits;

	pthread_mutex_lock(&lock);
	fits = held_by_all() + tokens <= KV_TOKENS;
	if (fits)
		held[nr] = tokens;
	pthread_mutex_unlock(&lock);
	return fits;
}

static void read_prompt(long tokens)
{
	sleep_ms((uint64_t)((double)tokens / READ_PER_MS));
}

/* Waits until a preempted stream fits again, and reads it from the start. */
static void wait_for_memory(int nr, long tokens)
{
	while (!admit(nr, tokens))
		sleep_ms(EVENT_MS);
	read_prompt(tokens);
}

/* Runs the stream "long-N". */
static void run_long(struct request *request)
{
	int nr = (int)strtol(request->id + strlen("long-"), NULL, 10);
	long i, events = nr == CLIENTS - 1 ? EVENTS_NEWEST : EVENTS;

	hold(nr, prompt_tokens());
	read_prompt(prompt_tokens());
	for (i = request->last_event + 1; i < events; i++) {
		long tokens = prompt_tokens() + (i + 1) * EVENT_TOKENS;
		uint64_t since_ms = clock_ms();

		if (!grow(nr)) {
			record("i-1: memory runs out, preempts %s before "
			       "event %ld",
			       request->id, i);
			wait_for_memory(nr, tokens);
			record("i-1: goes on with %s after %llu ms",
			       request->id,
			       (unsigned long long)(clock_ms() - since_ms));
		}
		sleep_ms(EVENT_MS);
		if (conn_ended(request->conn) ||
		    !send_event(request->conn, request->id, i)) {
			record("i-1: the caller of %s closed before event %ld",
			       request->id, i);
			conn_close(request->conn);
			hold(nr, 0);
			return;
		}
	}
	hold(nr, 0);
	send_chunk(request->conn, "");
	record("i-1: %s is complete", request->id);
}

/* Sound server. */
static void serve_stream(struct request *request)
{
	record("i-1: runs %s after event %ld", request->id,
	       request->last_event);
	if (!send_stream_head(request))
		return;
	if (!strncmp(request->id, "long-", strlen("long-"))) {
		run_long(request);
		return;
	}
	send_event(request->conn, request->id, 0);
	send_chunk(request->conn, "");
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
		    "X-Token-Count: %ld,%d\r\nX-Deadline-Ms: %d\r\n"
		    "Content-Length: 4\r\n\r\nbody",
		    id, prompt_tokens(), EVENTS * EVENT_TOKENS, DEADLINE_MS);
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
	for (i = 0; i < CLIENTS; i++) {
		pthread_create(&clients[i].thread, NULL, run_client,
			       &clients[i]);
		sleep_ms(SENT_EACH_MS);
	}
	for (i = 0; i < CLIENTS; i++) {
		pthread_join(clients[i].thread, NULL);
		broken += clients[i].broken;
	}
	record("result: %d of %d streams of a sound server were cut by the "
	       "gateway before their time limit",
	       broken, CLIENTS);
	return broken ? CASE_BROKEN : CASE_HELD;
}
