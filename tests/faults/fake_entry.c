/*
 * An entry that sends an agent the messages of a test script, and checks the
 * messages that it gets back. The script is read from stdin.
 *
 * fake_entry AGENT_NAME AGENT_ADDRESS <COMMANDS
 *
 *   dispatch ID ATTEMPT [incarnation=old] [service=S] [tokens=N] [credit=N]
 *            [ms=N] [once=1] [caller=C]
 *   cancel ID ATTEMPT [only_if_not_started=1]
 *   credit ID ATTEMPT NEXT BYTES
 *   resume ID ATTEMPT FROM BYTES
 *   expect TEXT      waits until the agent has sent this message
 *   never TEXT       fails if the agent has sent this message so far and no
 *                    expect has consumed it
 *   sleep MS
 *
 * Each message of the agent is printed: "admitted ID-ATTEMPT", "refused
 * ID-ATTEMPT REASON", "head ID-ATTEMPT STATUS", "chunk ID-ATTEMPT SEQUENCE",
 * "complete ID-ATTEMPT TOKENS" once all chunks have arrived, "failed ID-ATTEMPT
 * CAUSE", "cancelled ID-ATTEMPT STATE".
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "briarplankd/bus.h"
#include "common/error.h"
#include "script.h"

#define INCARNATION 9000
/* Timeout of expect, of sending, and of the first ping, in ms. */
#define TIMEOUT_MS 10000
#define POLL_MS 10
#define DEFAULT_CREDIT 100000
#define DEFAULT_REMAINING_MS 10000

struct entry {
	uv_loop_t loop;
	uv_timer_t timer;
	struct bus *bus;
	struct metrics *metrics;
	const char *agent;
	uint64_t incarnation;
	/* Messages of the agent, as text, that no "expect" has consumed. */
	GPtrArray *messages;
	/* Received parts of responses: struct response by attempt. */
	GHashTable *responses;
};

struct response {
	uint64_t next_sequence;
	unsigned tokens;
};

static void add_message(struct entry *entry, char *line)
{
	printf("%s\n", line);
	g_ptr_array_add(entry->messages, line);
}

static const char *enum_name(const ProtobufCEnumDescriptor *type, int value)
{
	return protobuf_c_enum_descriptor_get_value(type, value)->name;
}

static struct response *get_response(struct entry *entry,
				     const Briarplank__AnswerChunk *chunk)
{
	char *key = g_strdup_printf("%s-%u", chunk->request_id, chunk->attempt);
	struct response *response = g_hash_table_lookup(entry->responses, key);

	if (response) {
		g_free(key);
		return response;
	}
	response = g_new0(struct response, 1);
	g_hash_table_insert(entry->responses, key, response);
	return response;
}

static unsigned count_tokens(const Briarplank__AnswerChunk *chunk)
{
	char *text = chunk->data.len ? g_strndup((const char *)chunk->data.data,
						 chunk->data.len) :
				       g_strdup("");
	const char *at = text;
	unsigned nr = 0;

	while ((at = strstr(at, "data: {")) != NULL) {
		nr++;
		at++;
	}
	g_free(text);
	return nr;
}

/*
 * Counts tokens instead of chunks, as the split into chunks varies between
 * runs.
 */
static void on_chunk(struct entry *entry, const Briarplank__AnswerChunk *chunk)
{
	struct response *response = get_response(entry, chunk);

	add_message(entry,
		    g_strdup_printf("chunk %s-%u %u", chunk->request_id,
				    chunk->attempt, (unsigned)chunk->sequence));
	if (chunk->sequence != response->next_sequence)
		return;
	response->next_sequence++;
	response->tokens += count_tokens(chunk);
	if (chunk->last)
		add_message(entry,
			    g_strdup_printf("complete %s-%u %u",
					    chunk->request_id, chunk->attempt,
					    response->tokens));
}

static void on_refused(struct entry *entry, const Briarplank__Refused *body)
{
	add_message(entry,
		    g_strdup_printf(
			    "refused %s-%u %s", body->request_id, body->attempt,
			    enum_name(&briarplank__refused__reason__descriptor,
				      body->reason)));
}

static void on_failed(struct entry *entry, const Briarplank__AnswerFailed *body)
{
	add_message(
		entry,
		g_strdup_printf(
			"failed %s-%u %s", body->request_id, body->attempt,
			enum_name(&briarplank__answer_failed__cause__descriptor,
				  body->cause)));
}

static void on_cancelled(struct entry *entry,
			 const Briarplank__CancelResult *body)
{
	add_message(
		entry,
		g_strdup_printf(
			"cancelled %s-%u %s", body->request_id, body->attempt,
			enum_name(&briarplank__cancel_result__state__descriptor,
				  body->state)));
}

static void on_message(void *ctx, const Briarplank__Envelope *env)
{
	struct entry *entry = ctx;

	entry->incarnation = env->incarnation;
	switch (env->body_case) {
	case BRIARPLANK__ENVELOPE__BODY_ADMITTED:
		add_message(entry, g_strdup_printf("admitted %s-%u",
						   env->admitted->request_id,
						   env->admitted->attempt));
		break;
	case BRIARPLANK__ENVELOPE__BODY_ANSWER_HEAD:
		add_message(entry, g_strdup_printf("head %s-%u %u",
						   env->answer_head->request_id,
						   env->answer_head->attempt,
						   env->answer_head->status));
		break;
	case BRIARPLANK__ENVELOPE__BODY_ANSWER_CHUNK:
		on_chunk(entry, env->answer_chunk);
		break;
	case BRIARPLANK__ENVELOPE__BODY_REFUSED:
		on_refused(entry, env->refused);
		break;
	case BRIARPLANK__ENVELOPE__BODY_ANSWER_FAILED:
		on_failed(entry, env->answer_failed);
		break;
	case BRIARPLANK__ENVELOPE__BODY_CANCEL_RESULT:
		on_cancelled(entry, env->cancel_result);
		break;
	default:
		break;
	}
}

static void on_timer(uv_timer_t *timer)
{
	(void)timer;
}

static void run_for(struct entry *entry, int64_t ms)
{
	uint64_t end = uv_hrtime() / 1000000 + (uint64_t)ms;

	do {
		uv_run(&entry->loop, UV_RUN_ONCE);
	} while (uv_hrtime() / 1000000 < end);
}

static bool take_message(struct entry *entry, const char *text)
{
	guint i;

	for (i = 0; i < entry->messages->len; i++) {
		if (!strcmp(entry->messages->pdata[i], text)) {
			g_ptr_array_remove_index(entry->messages, i);
			return true;
		}
	}
	return false;
}

static bool expect(struct entry *entry, const char *text)
{
	int waited;

	for (waited = 0; waited < TIMEOUT_MS; waited += POLL_MS) {
		if (take_message(entry, text))
			return true;
		run_for(entry, POLL_MS);
	}
	printf("FAILED: expected %s\n", text);
	return false;
}

static void send_env(struct entry *entry, Briarplank__Envelope *env)
{
	int tries = TIMEOUT_MS / POLL_MS;

	while (bus_send(entry->bus, entry->agent, env) != BUS_OK && tries--)
		run_for(entry, POLL_MS);
}

/* Stores the agent's incarnation from its reply to a ping. */
static void learn_incarnation(struct entry *entry)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Ping ping = BRIARPLANK__PING__INIT;
	int tries = TIMEOUT_MS / POLL_MS;

	env.body_case = BRIARPLANK__ENVELOPE__BODY_PING;
	env.ping = &ping;
	while (!entry->incarnation && tries--) {
		send_env(entry, &env);
		run_for(entry, POLL_MS);
	}
}

static void dispatch(struct entry *entry, int argc, char **argv)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Dispatch body = BRIARPLANK__DISPATCH__INIT;
	char *text = g_strdup_printf(
		"{\"prompt\":\"p\",\"max_tokens\":%d,\"stream\":true}",
		(int)script_arg_int(argc, argv, "tokens", 2));

	body.request_id = argv[1];
	body.attempt = (uint32_t)g_ascii_strtoull(argv[2], NULL, 10);
	body.agent_incarnation = entry->incarnation;
	if (!strcmp(script_arg(argc, argv, "incarnation", ""), "old"))
		body.agent_incarnation--;
	body.service = (char *)script_arg(argc, argv, "service", "chat");
	body.caller = (char *)script_arg(argc, argv, "caller", "depot");
	body.method = "POST";
	body.path = "/v1/completions";
	body.body.data = (uint8_t *)text;
	body.body.len = strlen(text);
	body.idempotent = !script_arg_int(argc, argv, "once", 0);
	body.remaining_ms = (uint32_t)script_arg_int(argc, argv, "ms",
						     DEFAULT_REMAINING_MS);
	body.credit_bytes =
		(uint32_t)script_arg_int(argc, argv, "credit", DEFAULT_CREDIT);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_DISPATCH;
	env.dispatch = &body;
	send_env(entry, &env);
	g_free(text);
}

static void cancel(struct entry *entry, int argc, char **argv)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Cancel body = BRIARPLANK__CANCEL__INIT;

	body.request_id = argv[1];
	body.attempt = (uint32_t)g_ascii_strtoull(argv[2], NULL, 10);
	body.only_if_not_started =
		script_arg_int(argc, argv, "only_if_not_started", 0);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CANCEL;
	env.cancel = &body;
	send_env(entry, &env);
}

static void credit(struct entry *entry, char **argv)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Credit body = BRIARPLANK__CREDIT__INIT;

	body.request_id = argv[1];
	body.attempt = (uint32_t)g_ascii_strtoull(argv[2], NULL, 10);
	body.next_sequence = g_ascii_strtoull(argv[3], NULL, 10);
	body.bytes = (uint32_t)g_ascii_strtoull(argv[4], NULL, 10);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CREDIT;
	env.credit = &body;
	send_env(entry, &env);
}

static void resume(struct entry *entry, char **argv)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Resume body = BRIARPLANK__RESUME__INIT;

	body.request_id = argv[1];
	body.attempt = (uint32_t)g_ascii_strtoull(argv[2], NULL, 10);
	body.from_sequence = g_ascii_strtoull(argv[3], NULL, 10);
	body.credit_bytes = (uint32_t)g_ascii_strtoull(argv[4], NULL, 10);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_RESUME;
	env.resume = &body;
	send_env(entry, &env);
}

static bool run_command(struct entry *entry, char *line)
{
	char **argv = g_strsplit(line, " ", -1);
	int argc = (int)g_strv_length(argv);
	const char *rest = strchr(line, ' ');
	bool ok = true;

	if (!strcmp(argv[0], "dispatch"))
		dispatch(entry, argc, argv);
	else if (!strcmp(argv[0], "cancel"))
		cancel(entry, argc, argv);
	else if (!strcmp(argv[0], "credit"))
		credit(entry, argv);
	else if (!strcmp(argv[0], "resume"))
		resume(entry, argv);
	else if (!strcmp(argv[0], "sleep"))
		run_for(entry, g_ascii_strtoll(argv[1], NULL, 10));
	else if (!strcmp(argv[0], "expect"))
		ok = expect(entry, rest + 1);
	else if (!strcmp(argv[0], "never"))
		ok = !take_message(entry, rest + 1);
	if (!ok)
		printf("FAILED: %s\n", line);
	g_strfreev(argv);
	return ok;
}

static void open_entry(struct entry *entry)
{
	struct bus_options options = {
		.loop = &entry->loop,
		.name = "entry",
		.incarnation = INCARNATION,
		.address = "127.0.0.1:0",
	};

	uv_loop_init(&entry->loop);
	entry->metrics = metrics_create();
	options.metrics = entry->metrics;
	entry->bus = bus_create(&options);
	entry->messages = g_ptr_array_new_with_free_func(g_free);
	entry->responses =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	uv_timer_init(&entry->loop, &entry->timer);
	uv_timer_start(&entry->timer, on_timer, POLL_MS, POLL_MS);
	bus_set_observer(entry->bus, on_message, entry);
}

int main(int argc, char **argv)
{
	struct entry entry = { 0 };
	char line[512];
	bool ok = argc == 3;

	if (!ok)
		return 2;
	setvbuf(stdout, NULL, _IOLBF, 0);
	entry.agent = argv[1];
	open_entry(&entry);
	bus_peer_set(entry.bus, argv[1], argv[2]);
	learn_incarnation(&entry);
	while (ok && fgets(line, sizeof(line), stdin)) {
		g_strchomp(line);
		if (*line && *line != '#')
			ok = run_command(&entry, line);
	}
	bus_destroy(entry.bus);
	uv_close((uv_handle_t *)&entry.timer, NULL);
	uv_run(&entry.loop, UV_RUN_DEFAULT);
	uv_loop_close(&entry.loop);
	metrics_destroy(entry.metrics);
	g_ptr_array_free(entry.messages, TRUE);
	g_hash_table_destroy(entry.responses);
	return ok ? EXIT_SUCCESS : EXIT_FAILURE;
}
