/*
 * An agent whose answers a test writes down beforehand.
 *
 * fake_agent NAME SERVICE ENTRY ENTRY_ADDRESS
 *
 * The path of a request says what happens: /STEPS for the first attempt,
 * /STEPS/STEPS for the second one too, and so on; steps are parted by commas:
 *
 *   run              counts as a run of the server
 *   admit            Admitted
 *   head             AnswerHead with status 200
 *   piece:SEQ:TEXT   AnswerChunk; last:SEQ:TEXT is the final one
 *   keep:SEQ:TEXT    the same, but only sent when a Resume asks for it
 *   keeplast:SEQ:TEXT
 *   flood:BYTES      pieces of that many bytes in all, as credit allows; what
 *                    was sent is printed as "sent ID BYTES"
 *   refuse:NUMBER    Refused with this reason
 *   fail:CAUSE:BEGUN AnswerFailed
 *   older            the next steps carry the number of an older attempt
 *   same             the next steps carry the right ones again
 *   deaf             cancels are not answered from now on
 *   drop             the dispatch was lost: nothing is known of it
 *   wait:MS          goes on later
 *   cut:MS           closes all connections and the port for that long; only
 *                    behind a wait
 *   die, freeze      ends or stops the process
 *
 * Runs and cancels are printed: "ran ID ATTEMPT", "cancel ID ATTEMPT".
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
#define FLOOD_PIECE_BYTES 32768
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

struct piece {
	uint64_t sequence;
	char *text;
	bool last;
};

struct attempt {
	struct agent *agent;
	char *key;
	char *id;
	uint32_t number;
	/* Added to the number in what is sent. */
	int32_t number_shift;
	char **steps;
	size_t step;
	bool started;
	bool deaf;
	bool dropped;
	bool stopped;
	bool has_head;
	GArray *pieces;
	/* Bytes of a flood: to send, sent, and allowed by credit. */
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

static void send_piece(struct attempt *attempt, const struct piece *piece)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerChunk body = BRIARPLANK__ANSWER_CHUNK__INIT;

	body.request_id = attempt->id;
	body.attempt = number_of(attempt);
	body.sequence = piece->sequence;
	body.data.data = (uint8_t *)piece->text;
	body.data.len = strlen(piece->text);
	body.last = piece->last;
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

static void send_failed(struct attempt *attempt, int cause, bool begun)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__AnswerFailed body = BRIARPLANK__ANSWER_FAILED__INIT;

	body.request_id = attempt->id;
	body.attempt = number_of(attempt);
	body.cause = cause;
	body.started = begun;
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

static void add_piece(struct attempt *attempt, char **words, bool last,
		      bool send)
{
	struct piece piece = {
		.sequence = g_ascii_strtoull(words[1], NULL, 10),
		.text = g_strdup(words[2] ? words[2] : ""),
		.last = last,
	};

	g_array_append_val(attempt->pieces, piece);
	if (send)
		send_piece(attempt, &piece);
}

static void run_steps(struct attempt *attempt);

static void on_wait_over(uv_timer_t *timer)
{
	run_steps(timer->data);
}

static void mark_run(struct attempt *attempt)
{
	attempt->started = true;
	printf("ran %s %u\n", attempt->id, attempt->number);
}

static bool open_bus(struct agent *agent, const char *address);

/* The port may still be taken for a moment. */
static void on_cut_over(uv_timer_t *timer)
{
	struct agent *agent = timer->data;

	if (!open_bus(agent, agent->address))
		return;
	uv_timer_stop(timer);
}

static void cut(struct agent *agent, uint64_t ms)
{
	struct bus *bus = agent->bus;

	agent->bus = NULL;
	bus_destroy(bus);
	agent->cut_timer.data = agent;
	uv_timer_start(&agent->cut_timer, on_cut_over, ms, CUT_RETRY_MS);
}

static void end_process(int number)
{
	kill(getpid(), number);
}

/* Carries out the rarer steps; false for one that is not known. */
static bool run_odd_step(struct attempt *attempt, char **words)
{
	if (!strcmp(words[0], "older"))
		attempt->number_shift = -1;
	else if (!strcmp(words[0], "same"))
		attempt->number_shift = 0;
	else if (!strcmp(words[0], "deaf"))
		attempt->deaf = true;
	else if (!strcmp(words[0], "drop"))
		attempt->dropped = true;
	else if (!strcmp(words[0], "die"))
		end_process(SIGKILL);
	else if (!strcmp(words[0], "freeze"))
		end_process(SIGSTOP);
	else
		return false;
	return true;
}

static void begin_flood(struct attempt *attempt, const char *bytes)
{
	attempt->flood = g_ascii_strtoull(bytes, NULL, 10);
	attempt->next_sequence = attempt->pieces->len;
}

/* Sends what credit allows of a flood, and its end. */
static void go_on_flooding(struct attempt *attempt)
{
	char *text = g_strnfill(FLOOD_PIECE_BYTES, 'x');
	struct piece piece = { .text = text };

	while (attempt->flood && attempt->sent < attempt->credit) {
		piece.sequence = attempt->next_sequence++;
		piece.last =
			attempt->sent + FLOOD_PIECE_BYTES >= attempt->flood;
		send_piece(attempt, &piece);
		attempt->sent += FLOOD_PIECE_BYTES;
		if (piece.last)
			attempt->flood = 0;
	}
	printf("sent %s %" G_GUINT64_FORMAT "\n", attempt->id, attempt->sent);
	g_free(text);
}

static void run_step(struct attempt *attempt, char **words)
{
	const char *word = words[0];

	if (!strcmp(word, "run"))
		mark_run(attempt);
	else if (!strcmp(word, "admit"))
		send_admitted(attempt);
	else if (!strcmp(word, "head"))
		send_head(attempt);
	else if (!strcmp(word, "piece"))
		add_piece(attempt, words, false, true);
	else if (!strcmp(word, "last"))
		add_piece(attempt, words, true, true);
	else if (!strcmp(word, "keep"))
		add_piece(attempt, words, false, false);
	else if (!strcmp(word, "keeplast"))
		add_piece(attempt, words, true, false);
	else if (!strcmp(word, "flood"))
		begin_flood(attempt, words[1]);
	else if (!strcmp(word, "cut"))
		cut(attempt->agent, g_ascii_strtoull(words[1], NULL, 10));
	else if (!strcmp(word, "refuse"))
		send_refused(attempt, atoi(words[1]));
	else if (!strcmp(word, "fail"))
		send_failed(attempt, atoi(words[1]), atoi(words[2]));
	else if (!run_odd_step(attempt, words))
		fprintf(stderr, "no such step: %s\n", word);
}

static void run_steps(struct attempt *attempt)
{
	while (attempt->steps[attempt->step] && !attempt->stopped) {
		char **words =
			g_strsplit(attempt->steps[attempt->step++], ":", 3);

		if (!strcmp(words[0], "wait")) {
			uv_timer_start(&attempt->timer, on_wait_over,
				       g_ascii_strtoull(words[1], NULL, 10), 0);
			g_strfreev(words);
			return;
		}
		run_step(attempt, words);
		g_strfreev(words);
	}
	if (attempt->flood)
		go_on_flooding(attempt);
}

static char *make_key(const char *id, uint32_t number)
{
	return g_strdup_printf("%s/%u", id, number);
}

static struct attempt *find(struct agent *agent, const char *id,
			    uint32_t number)
{
	char *key = make_key(id, number);
	struct attempt *attempt = g_hash_table_lookup(agent->attempts, key);

	g_free(key);
	return attempt;
}

/* The steps of an attempt; those of the last one hold for later ones too. */
static char **steps_of(const char *path, uint32_t number)
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

	if (find(agent, dispatch->request_id, dispatch->attempt))
		return;
	attempt = g_new0(struct attempt, 1);
	attempt->agent = agent;
	attempt->id = g_strdup(dispatch->request_id);
	attempt->number = dispatch->attempt;
	attempt->credit = dispatch->credit_bytes;
	attempt->key = make_key(attempt->id, attempt->number);
	attempt->steps = steps_of(dispatch->path, dispatch->attempt);
	attempt->pieces = g_array_new(FALSE, TRUE, sizeof(struct piece));
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
		find(agent, cancel->request_id, cancel->attempt);
	int state = BRIARPLANK__CANCEL_RESULT__STATE__NEVER_STARTED;

	printf("cancel %s %u\n", cancel->request_id, cancel->attempt);
	if (attempt && attempt->deaf)
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
		find(agent, resume->request_id, resume->attempt);
	guint i;

	printf("resume %s %u\n", resume->request_id, resume->attempt);
	if (!attempt)
		return;
	if (!resume->from_sequence && attempt->has_head)
		send_head(attempt);
	for (i = 0; i < attempt->pieces->len; i++) {
		const struct piece *piece =
			&g_array_index(attempt->pieces, struct piece, i);

		if (piece->sequence >= resume->from_sequence)
			send_piece(attempt, piece);
	}
}

static void on_credit(void *ctx, const Briarplank__Envelope *env)
{
	struct agent *agent = ctx;
	const Briarplank__Credit *credit = env->credit;
	struct attempt *attempt =
		find(agent, credit->request_id, credit->attempt);

	if (!attempt)
		return;
	attempt->credit += credit->bytes;
	if (attempt->flood)
		go_on_flooding(attempt);
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
	bus_handle(agent->bus, BRIARPLANK__ENVELOPE__BODY_DISPATCH, on_dispatch,
		   agent);
	bus_handle(agent->bus, BRIARPLANK__ENVELOPE__BODY_CANCEL, on_cancel,
		   agent);
	bus_handle(agent->bus, BRIARPLANK__ENVELOPE__BODY_RESUME, on_resume,
		   agent);
	bus_handle(agent->bus, BRIARPLANK__ENVELOPE__BODY_CREDIT, on_credit,
		   agent);
	bus_handle(agent->bus, BRIARPLANK__ENVELOPE__BODY_PING, on_ping, agent);
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
