/*
 * An agent without a backend server, for tests of the entry. The path of a
 * request names the steps by which the agent answers it.
 *
 * fake_agent NAME SERVICE ENTRY ENTRY_ADDRESS
 *
 * The path is /STEPS for the first attempt, /STEPS/STEPS for the second one
 * too, and so on. Steps are separated by commas:
 *
 *   run              prints that the server ran the attempt
 *   admit            Admitted
 *   head             AnswerHead with status 200
 *   piece:SEQ:TEXT   AnswerChunk; last:SEQ:TEXT is the final one
 *   keep:SEQ:TEXT    the same, but only sent when a Resume asks for it
 *   keeplast:SEQ:TEXT
 *   flood:BYTES      chunks of that many bytes in total, as credit allows; the
 *                    bytes sent so far are printed as "sent ID BYTES"
 *   refuse:NUMBER    Refused with this reason
 *   fail:CAUSE:STARTED  AnswerFailed
 *   older            the next steps send the number of the previous attempt
 *   same             the next steps send the right number again
 *   deaf             the agent no longer answers cancels
 *   drop             ignores the dispatch, as if it had been lost
 *   wait:MS          delays the next steps
 *   cut:MS           closes all connections and the port for that long; must
 *                    follow a wait
 *   die, freeze      sends the process SIGKILL or SIGSTOP
 *
 * Runs, cancels and resumes are printed: "ran ID ATTEMPT", "cancel ID ATTEMPT",
 * "resume ID ATTEMPT".
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "briarplankd/bus.h"
#include "common/error.h"
#include "common/log.h"

#define PING_INTERVAL_MS 100
#define INCARNATION 7000
#define FLOOD_CHUNK_BYTES 32768
#define CUT_RETRY_MS 50

struct agent {
	uv_loop_t loop;
	struct bus *bus;
	struct metrics *metrics;
	const char *name;
	const char *service;
	const char *entry;
	char *address;
	const char *entry_address;
	uv_timer_t ping_timer;
	uv_timer_t cut_timer;
	GHashTable *attempts;
};

struct chunk {
	uint64_t sequence;
	char *text;
	bool last;
};

struct attempt {
	struct agent *agent;
	char *key;
	char *id;
	uint32_t number;
	/* Number added to the attempt number in messages. */
	int32_t number_shift;
	char **steps;
	size_t step;
	bool started;
	bool ignores_cancels;
	bool dropped;
	bool stopped;
	bool has_head;
	GArray *chunks;
	/* Number of bytes of a flood: in total, sent, and allowed by credit. */
	uint64_t flood;
	uint64_t sent;
	uint64_t credit;
	uint64_t next_sequence;
	uv_timer_t timer;
};

static void send_env(struct attempt *attempt, Briarplank__Envelope *env)
{
	if (attempt->agent->bus)
		bus_send(attempt->agent->bus, attempt->agent->entry, env);
}

static uint32_t number_of(const struct attempt *attempt)
{
	return attempt->number + attempt->number_shift;
}

static void send_admitted(struct attempt *attempt)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Admitted body = BRIARPLANK__ADMITTED__INIT;

	body.request_id = attempt->id;
	body.attempt = number_of(attempt);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ADMITTED;
	env.admitted = &body;
	send_env(attempt, &env);
}

static void send_head(struct attempt *attempt)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerHead body = BRIARPLANK__ANSWER_HEAD__INIT;

	body.request_id = attempt->id;
	body.attempt = number_of(attempt);
	body.status = 200;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_HEAD;
	env.answer_head = &body;
	attempt->has_head = true;
	send_env(attempt, &env);
}

static void send_chunk(struct attempt *attempt, const struct chunk *chunk)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerChunk body = BRIARPLANK__ANSWER_CHUNK__INIT;

	body.request_id = attempt->id;
	body.attempt = number_of(attempt);
	body.sequence = chunk->sequence;
	body.data.data = (uint8_t *)chunk->text;
	body.data.len = strlen(chunk->text);
	body.last = chunk->last;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_CHUNK;
	env.answer_chunk = &body;
	send_env(attempt, &env);
}

static void send_refused(struct attempt *attempt, int reason)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Refused body = BRIARPLANK__REFUSED__INIT;

	body.request_id = attempt->id;
	body.attempt = number_of(attempt);
	body.reason = reason;
	body.retry_after_ms = 2500;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_REFUSED;
	env.refused = &body;
	send_env(attempt, &env);
}

static void send_failed(struct attempt *attempt, int cause, bool started)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerFailed body = BRIARPLANK__ANSWER_FAILED__INIT;

	body.request_id = attempt->id;
	body.attempt = number_of(attempt);
	body.cause = cause;
	body.started = started;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_ANSWER_FAILED;
	env.answer_failed = &body;
	send_env(attempt, &env);
}

static void send_cancel_result(struct agent *agent,
			       const Briarplank__Cancel *cancel, int state)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__CancelResult body = BRIARPLANK__CANCEL_RESULT__INIT;

	body.request_id = cancel->request_id;
	body.attempt = cancel->attempt;
	body.state = state;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CANCEL_RESULT;
	env.cancel_result = &body;
	bus_send(agent->bus, agent->entry, &env);
}

static void add_chunk(struct attempt *attempt, char **words, bool last,
		      bool send)
{
	struct chunk chunk = {
		.sequence = g_ascii_strtoull(words[1], NULL, 10),
		.text = g_strdup(words[2] ? words[2] : ""),
		.last = last,
	};

	g_array_append_val(attempt->chunks, chunk);
	if (send)
		send_chunk(attempt, &chunk);
}

static void run_steps(struct attempt *attempt);

static void on_wait_end(uv_timer_t *timer)
{
	run_steps(timer->data);
}

static void record_run(struct attempt *attempt)
{
	attempt->started = true;
	printf("ran %s %u\n", attempt->id, attempt->number);
}

static bool open_bus(struct agent *agent, const char *address);

/* Opens the port again. This is retried, as the port may still be in use. */
static void on_cut_end(uv_timer_t *timer)
{
	struct agent *agent = timer->data;

	if (!open_bus(agent, agent->address))
		return;
	uv_timer_stop(timer);
}

static void close_bus_for(struct agent *agent, uint64_t ms)
{
	struct bus *bus = agent->bus;

	agent->bus = NULL;
	bus_destroy(bus);
	agent->cut_timer.data = agent;
	uv_timer_start(&agent->cut_timer, on_cut_end, ms, CUT_RETRY_MS);
}

static void signal_self(int number)
{
	kill(getpid(), number);
}

/* Runs a step that sends no message. Returns false if it is unknown. */
static bool run_control_step(struct attempt *attempt, char **words)
{
	if (!strcmp(words[0], "older"))
		attempt->number_shift = -1;
	else if (!strcmp(words[0], "same"))
		attempt->number_shift = 0;
	else if (!strcmp(words[0], "deaf"))
		attempt->ignores_cancels = true;
	else if (!strcmp(words[0], "drop"))
		attempt->dropped = true;
	else if (!strcmp(words[0], "die"))
		signal_self(SIGKILL);
	else if (!strcmp(words[0], "freeze"))
		signal_self(SIGSTOP);
	else
		return false;
	return true;
}

static void start_flood(struct attempt *attempt, const char *bytes)
{
	attempt->flood = g_ascii_strtoull(bytes, NULL, 10);
	attempt->next_sequence = attempt->chunks->len;
}

/* Sends as much of a flood as credit allows. */
static void continue_flood(struct attempt *attempt)
{
	char *text = g_strnfill(FLOOD_CHUNK_BYTES, 'x');
	struct chunk chunk = { .text = text };

	while (attempt->flood && attempt->sent < attempt->credit) {
		chunk.sequence = attempt->next_sequence++;
		chunk.last =
			attempt->sent + FLOOD_CHUNK_BYTES >= attempt->flood;
		send_chunk(attempt, &chunk);
		attempt->sent += FLOOD_CHUNK_BYTES;
		if (chunk.last)
			attempt->flood = 0;
	}
	printf("sent %s %" G_GUINT64_FORMAT "\n", attempt->id, attempt->sent);
	g_free(text);
}

static void run_step(struct attempt *attempt, char **words)
{
	const char *word = words[0];

	if (!strcmp(word, "run"))
		record_run(attempt);
	else if (!strcmp(word, "admit"))
		send_admitted(attempt);
	else if (!strcmp(word, "head"))
		send_head(attempt);
	else if (!strcmp(word, "piece"))
		add_chunk(attempt, words, false, true);
	else if (!strcmp(word, "last"))
		add_chunk(attempt, words, true, true);
	else if (!strcmp(word, "keep"))
		add_chunk(attempt, words, false, false);
	else if (!strcmp(word, "keeplast"))
		add_chunk(attempt, words, true, false);
	else if (!strcmp(word, "flood"))
		start_flood(attempt, words[1]);
	else if (!strcmp(word, "cut"))
		close_bus_for(attempt->agent,
			      g_ascii_strtoull(words[1], NULL, 10));
	else if (!strcmp(word, "refuse"))
		send_refused(attempt, atoi(words[1]));
	else if (!strcmp(word, "fail"))
		send_failed(attempt, atoi(words[1]), atoi(words[2]));
	else if (!run_control_step(attempt, words))
		fprintf(stderr, "unknown step: %s\n", word);
}

static void run_steps(struct attempt *attempt)
{
	while (attempt->steps[attempt->step] && !attempt->stopped) {
		char **words =
			g_strsplit(attempt->steps[attempt->step++], ":", 3);

		if (!strcmp(words[0], "wait")) {
			uv_timer_start(&attempt->timer, on_wait_end,
				       g_ascii_strtoull(words[1], NULL, 10), 0);
			g_strfreev(words);
			return;
		}
		run_step(attempt, words);
		g_strfreev(words);
	}
	if (attempt->flood)
		continue_flood(attempt);
}

static char *make_key(const char *id, uint32_t number)
{
	return g_strdup_printf("%s/%u", id, number);
}

static struct attempt *find_attempt(struct agent *agent, const char *id,
				    uint32_t number)
{
	char *key = make_key(id, number);
	struct attempt *attempt = g_hash_table_lookup(agent->attempts, key);

	g_free(key);
	return attempt;
}

/* Returns the steps of an attempt; later attempts repeat the last ones. */
static char **attempt_steps(const char *path, uint32_t number)
{
	char **attempts = g_strsplit(path + 1, "/", -1);
	guint nr = g_strv_length(attempts);
	char **steps = g_strsplit(attempts[MIN(number, nr) - 1], ",", -1);

	g_strfreev(attempts);
	return steps;
}

static void on_dispatch(void *ctx, const Briarplank__Envelope *env)
{
	struct agent *agent = ctx;
	const Briarplank__Dispatch *dispatch = env->dispatch;
	struct attempt *attempt;

	if (find_attempt(agent, dispatch->request_id, dispatch->attempt))
		return;
	attempt = g_new0(struct attempt, 1);
	attempt->agent = agent;
	attempt->id = g_strdup(dispatch->request_id);
	attempt->number = dispatch->attempt;
	attempt->credit = dispatch->credit_bytes;
	attempt->key = make_key(attempt->id, attempt->number);
	attempt->steps = attempt_steps(dispatch->path, dispatch->attempt);
	attempt->chunks = g_array_new(FALSE, TRUE, sizeof(struct chunk));
	uv_timer_init(&agent->loop, &attempt->timer);
	attempt->timer.data = attempt;
	g_hash_table_insert(agent->attempts, attempt->key, attempt);
	run_steps(attempt);
}

static void on_cancel(void *ctx, const Briarplank__Envelope *env)
{
	struct agent *agent = ctx;
	const Briarplank__Cancel *cancel = env->cancel;
	struct attempt *attempt =
		find_attempt(agent, cancel->request_id, cancel->attempt);
	int state = BRIARPLANK__CANCEL_RESULT__STATE__NEVER_STARTED;

	printf("cancel %s %u\n", cancel->request_id, cancel->attempt);
	if (attempt && attempt->ignores_cancels)
		return;
	if (attempt && attempt->started && cancel->only_if_not_started)
		state = BRIARPLANK__CANCEL_RESULT__STATE__RUNNING;
	else if (attempt && attempt->started)
		state = BRIARPLANK__CANCEL_RESULT__STATE__STOPPED;
	if (attempt && state != BRIARPLANK__CANCEL_RESULT__STATE__RUNNING)
		attempt->stopped = true;
	send_cancel_result(agent, cancel, state);
}

static void on_resume(void *ctx, const Briarplank__Envelope *env)
{
	struct agent *agent = ctx;
	const Briarplank__Resume *resume = env->resume;
	struct attempt *attempt =
		find_attempt(agent, resume->request_id, resume->attempt);
	guint i;

	printf("resume %s %u\n", resume->request_id, resume->attempt);
	if (!attempt)
		return;
	if (!resume->from_sequence && attempt->has_head)
		send_head(attempt);
	for (i = 0; i < attempt->chunks->len; i++) {
		const struct chunk *chunk =
			&g_array_index(attempt->chunks, struct chunk, i);

		if (chunk->sequence >= resume->from_sequence)
			send_chunk(attempt, chunk);
	}
}

static void on_credit(void *ctx, const Briarplank__Envelope *env)
{
	struct agent *agent = ctx;
	const Briarplank__Credit *credit = env->credit;
	struct attempt *attempt =
		find_attempt(agent, credit->request_id, credit->attempt);

	if (!attempt)
		return;
	attempt->credit += credit->bytes;
	if (attempt->flood)
		continue_flood(attempt);
}

static void on_ping(void *ctx, const Briarplank__Envelope *env)
{
	struct agent *agent = ctx;
	Briarplank__Envelope answer = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Pong pong = BRIARPLANK__PONG__INIT;

	pong.nonce = env->ping->nonce;
	answer.body_case = BRIARPLANK__ENVELOPE__BODY_PONG;
	answer.pong = &pong;
	bus_send(agent->bus, env->sender, &answer);
}

static void on_ping_timer(uv_timer_t *timer)
{
	struct agent *agent = timer->data;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Ping ping = BRIARPLANK__PING__INIT;
	Briarplank__NodeFacts facts = BRIARPLANK__NODE_FACTS__INIT;

	if (!agent->bus)
		return;
	facts.role = 1;
	facts.address = (char *)bus_address(agent->bus);
	facts.data_centre = "d";
	facts.region = "r";
	facts.service = (char *)agent->service;
	ping.nonce = 1;
	ping.facts = &facts;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_PING;
	env.ping = &ping;
	bus_send(agent->bus, agent->entry, &env);
}

static bool open_bus(struct agent *agent, const char *address)
{
	struct bus_options options = {
		.loop = &agent->loop,
		.name = agent->name,
		.incarnation = INCARNATION,
		.address = address,
		.metrics = agent->metrics,
	};

	agent->bus = bus_create(&options);
	if (!agent->bus)
		return false;
	bus_peer_set(agent->bus, agent->entry, agent->entry_address);
	bus_set_handler(agent->bus, BRIARPLANK__ENVELOPE__BODY_DISPATCH,
			on_dispatch, agent);
	bus_set_handler(agent->bus, BRIARPLANK__ENVELOPE__BODY_CANCEL,
			on_cancel, agent);
	bus_set_handler(agent->bus, BRIARPLANK__ENVELOPE__BODY_RESUME,
			on_resume, agent);
	bus_set_handler(agent->bus, BRIARPLANK__ENVELOPE__BODY_CREDIT,
			on_credit, agent);
	bus_set_handler(agent->bus, BRIARPLANK__ENVELOPE__BODY_PING, on_ping,
			agent);
	return true;
}

static struct agent agent;

int main(int argc, char **argv)
{
	if (argc != 5)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	log_open(LOG_LEVEL_INFO);
	uv_loop_init(&agent.loop);
	agent.name = argv[1];
	agent.service = argv[2];
	agent.entry = argv[3];
	agent.entry_address = argv[4];
	agent.metrics = metrics_create();
	agent.attempts = g_hash_table_new(g_str_hash, g_str_equal);
	if (!open_bus(&agent, "127.0.0.1:0")) {
		fprintf(stderr, "%s\n", error_last());
		return 1;
	}
	agent.address = g_strdup(bus_address(agent.bus));
	uv_timer_init(&agent.loop, &agent.cut_timer);
	uv_timer_init(&agent.loop, &agent.ping_timer);
	agent.ping_timer.data = &agent;
	uv_timer_start(&agent.ping_timer, on_ping_timer, 0, PING_INTERVAL_MS);
	return uv_run(&agent.loop, UV_RUN_DEFAULT);
}
