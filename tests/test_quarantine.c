/*
 * Tests of the quarantine of prompt parts: evidence from one entry, its exchange
 * between entries, and a fleet under load with one part that crashes servers.
 */
#include <string.h>

#include "common/hash.h"
#include "core/quarantine.h"
#include "core/request_key.h"
#include "quarantine_load.h"
#include "script.h"

#define ENTRIES_MAX 4
#define WALL_MS 1000000

struct entry {
	struct quarantine *quarantine;
	/* Number of records of the store that it has read. */
	guint read_nr;
};

struct state {
	struct entry entries[ENTRIES_MAX];
	/* Evidence in the store (struct evidence), in order. */
	GArray *records;
	uint64_t now_ms;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);
	size_t i;

	state->now_ms = 5000;
	state->records = g_array_new(FALSE, FALSE, sizeof(struct evidence));
	for (i = 0; i < ENTRIES_MAX; i++) {
		struct entry *entry = &state->entries[i];
		struct quarantine_options options = { .self = i + 1 };

		entry->quarantine = quarantine_create(&options);
	}
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;
	size_t i;

	for (i = 0; i < ENTRIES_MAX; i++)
		quarantine_destroy(state->entries[i].quarantine);
	g_array_free(state->records, TRUE);
	g_free(state);
}

static struct entry *entry_arg(struct state *state, const char *name)
{
	return &state->entries[(name[0] - 'a') % ENTRIES_MAX];
}

/* Parses the parts of a prompt and the target of the request: ID,ID...,@TARGET. Without
 * a target it is an item. */
static struct prompt prompt_arg(const char *text)
{
	struct prompt prompt = { .text = g_strdup(text) };
	char **ids = g_strsplit(text, ",", -1), **id;

	for (id = ids; *id; id++) {
		struct request_identity identity = {
			.method = "GET",
			.host = "desk.example",
			.target = *id + 1,
		};

		if (**id == '@')
			prompt.request = request_key(&identity);
		else
			prompt_add(&prompt, *id);
	}
	g_strfreev(ids);
	return prompt;
}

/* crash ENTRY PROMPT SERVER: the server ends after the head of its answer */
/* break ENTRY PROMPT SERVER: the server ends after its answer went on */
/* end ENTRY PROMPT SERVER [MS [ROUND_TRIP_MS [DATA_MS]]]: the server ends before the
 * head of an answer to a request that was sent this long ago (40), after data that came
 * so long before it was sent */
static void crash(struct state *state, int argc, char **argv)
{
	struct prompt prompt = prompt_arg(argv[2]);
	uint64_t ago_ms = argc > 4 ? g_ascii_strtoull(argv[4], NULL, 10) : 40;
	struct quarantine_crash crash = {
		.server = hash_string(argv[3], 0),
		.now_ms = state->now_ms,
		.wall_ms = WALL_MS + state->now_ms,
		.sent_ms = state->now_ms - ago_ms,
		.round_trip_ms =
			argc > 5 ? g_ascii_strtoull(argv[5], NULL, 10) : 1,
		.answer_begun = strcmp(argv[0], "end") != 0,
		.answer_went_on = !strcmp(argv[0], "break"),
	};

	if (argc > 6)
		crash.data_ms =
			crash.sent_ms - g_ascii_strtoull(argv[6], NULL, 10);

	quarantine_note_crash(entry_arg(state, argv[1])->quarantine, &prompt,
			      &crash);
	prompt_clear(&prompt);
}

/* alive ENTRY SERVER: the server answers a request that is sent now */
static void alive(struct state *state, char **argv)
{
	quarantine_note_alive(entry_arg(state, argv[1])->quarantine,
			      hash_string(argv[2], 0), state->now_ms,
			      state->now_ms + 20);
}

/* answer ENTRY PROMPT: a whole answer */
/* goes-on ENTRY PROMPT: an answer goes on */
static void answer(struct state *state, char **argv)
{
	struct prompt prompt = prompt_arg(argv[2]);

	quarantine_note_answer(entry_arg(state, argv[1])->quarantine, &prompt,
			       !strcmp(argv[0], "answer") ? ANSWER_WHOLE :
							    ANSWER_GOES_ON,
			       state->now_ms);
	prompt_clear(&prompt);
}

/* progress ENTRY PROMPT [whole] MS...: data of an answer comes at these times from now on,
 * and with "whole" the answer ends */
static void progress(struct state *state, int argc, char **argv)
{
	struct quarantine *quarantine = entry_arg(state, argv[1])->quarantine;
	struct prompt prompt = prompt_arg(argv[2]);
	struct answer_progress progress = { 0 };
	bool whole = !strcmp(argv[3], "whole");
	uint64_t now_ms = state->now_ms;
	int i;

	for (i = whole ? 4 : 3; i < argc; i++) {
		now_ms = state->now_ms + g_ascii_strtoull(argv[i], NULL, 10);
		if (answer_progress_add(&progress, now_ms))
			quarantine_note_answer(quarantine, &prompt,
					       ANSWER_GOES_ON, now_ms);
	}
	state->now_ms = now_ms;
	if (whole)
		quarantine_note_answer(quarantine, &prompt,
				       answer_progress_whole(&progress),
				       now_ms);
	prompt_clear(&prompt);
}

/* survive ENTRY PROMPT: the server answers with a failure, as a whole */
static void survive(struct state *state, char **argv)
{
	struct prompt prompt = prompt_arg(argv[2]);

	quarantine_note_answer(entry_arg(state, argv[1])->quarantine, &prompt,
			       ANSWER_SURVIVED, state->now_ms);
	prompt_clear(&prompt);
}

/* changes ENTRY MAX: crashes of the suspects that a report has room for */
static void changes(struct state *state, char **argv, GString *out)
{
	unsigned max = (unsigned)g_ascii_strtoull(argv[2], NULL, 10), nr, i;
	struct suspect **list = g_new(struct suspect *, max);

	nr = quarantine_changes(entry_arg(state, argv[1])->quarantine,
				state->now_ms - 1500, state->now_ms, list, max);
	g_string_append(out, "crashes");
	for (i = 0; i < nr; i++)
		g_string_append_printf(out, " %u",
				       evidence_crashes(&list[i]->evidence));
	g_string_append(out, "\n");
	g_free(list);
}

static void merge(struct state *state, struct entry *entry,
		  const struct evidence *evidence,
		  enum quarantine_source source)
{
	struct quarantine_news news = {
		.evidence = evidence,
		.source = source,
		.now_ms = state->now_ms,
		.wall_ms = WALL_MS + state->now_ms,
	};

	quarantine_merge(entry->quarantine, &news);
}

/* tell FROM TO: merges all evidence of one entry into another
 * start FROM TO: the same, as the newest values that an entry reads at its start */
static void tell(struct state *state, char **argv)
{
	struct quarantine *from = entry_arg(state, argv[1])->quarantine;
	struct list *pos;

	list_for_each (pos, quarantine_suspects(from))
		merge(state, entry_arg(state, argv[2]),
		      &list_entry(pos, struct suspect, link)->evidence,
		      strcmp(argv[0], "start") ? SOURCE_REPORT :
						 SOURCE_SNAPSHOT);
}

/* claim ENTRY: an entry's claims of trials reach the store */
static void claim(struct state *state, char **argv, GString *out)
{
	struct quarantine *quarantine = entry_arg(state, argv[1])->quarantine;
	struct evidence evidence;

	while (quarantine_claim(quarantine, state->now_ms, &evidence)) {
		g_array_append_val(state->records, evidence);
		g_string_append_printf(out, "trial=%u\n", evidence.trials);
	}
}

/* read ENTRY: an entry reads the records of the store that it hasn't read */
static void read_records(struct state *state, char **argv)
{
	struct entry *entry = entry_arg(state, argv[1]);

	for (; entry->read_nr < state->records->len; entry->read_nr++)
		merge(state, entry,
		      &g_array_index(state->records, struct evidence,
				     entry->read_nr),
		      SOURCE_RECORDS);
}

/* check ENTRY PROMPT [send|item]: the verdict; with "send" the request is sent. A prompt
 * without a target is that of a request that no other is equal to, or of an item. */
static void check(struct state *state, int argc, char **argv, GString *out)
{
	struct quarantine *quarantine = entry_arg(state, argv[1])->quarantine;
	struct prompt prompt = prompt_arg(argv[2]);
	struct request_identity unequal = { .target = "unequal" };
	struct quarantine_verdict verdict;

	if (!prompt.request && !(argc > 3 && !strcmp(argv[3], "item")))
		prompt.request = request_key(&unequal);
	verdict = quarantine_check(quarantine, &prompt, state->now_ms,
				   WALL_MS + state->now_ms);
	if (verdict.refused)
		g_string_append_printf(out,
				       "refused crashes=%u "
				       "retry_after_s=%" G_GUINT64_FORMAT "\n",
				       verdict.crashes,
				       verdict.retry_after_ms / 1000);
	else
		g_string_append_printf(out, "%s\n",
				       verdict.crashes ? "trial" : "allowed");
	if (argc > 3 && !strcmp(argv[3], "send"))
		quarantine_note_sent(quarantine, &prompt);
	prompt_clear(&prompt);
}

/* not-run ENTRY PROMPT: the server did not run a request that was sent */
static void not_run(struct state *state, char **argv)
{
	struct prompt prompt = prompt_arg(argv[2]);

	quarantine_note_not_run(entry_arg(state, argv[1])->quarantine, &prompt);
	prompt_clear(&prompt);
}

/* suspects ENTRY: number of suspects, quarantined and to be stored */
static void suspects(struct state *state, char **argv, GString *out)
{
	unsigned all = 0, quarantined = 0, unsaved = 0;
	struct list *pos;

	list_for_each (pos, quarantine_suspects(
				    entry_arg(state, argv[1])->quarantine)) {
		const struct suspect *suspect =
			list_entry(pos, struct suspect, link);

		all++;
		quarantined += suspect->quarantined;
		unsaved += suspect->unsaved;
	}
	g_string_append_printf(out, "all=%u quarantined=%u unsaved=%u\n", all,
			       quarantined, unsaved);
}

/* flood ENTRY NR: crashes of one server under NR different parts */
static void flood(struct state *state, char **argv)
{
	int64_t i, nr = g_ascii_strtoll(argv[2], NULL, 10);

	for (i = 0; i < nr; i++) {
		char *id = g_strdup_printf("f%" G_GINT64_FORMAT, i);
		char *args[] = { "crash", argv[1], id, "flood" };

		crash(state, G_N_ELEMENTS(args), args);
		g_free(id);
	}
}

/* same FIELD... - FIELD...: whether two requests, each of a method, host, target,
 * account and body, have the same key; an account "none" is missing */
static void same(char **argv, GString *out)
{
	uint64_t keys[2];
	size_t i;

	for (i = 0; i < 2; i++) {
		char **field = argv + 1 + 6 * i;
		struct request_identity identity = {
			.method = field[0],
			.host = field[1],
			.target = field[2],
			.account = strcmp(field[3], "none") ? field[3] : NULL,
			.body = field[4],
			.body_len = strlen(field[4]),
		};

		keys[i] = request_key(&identity);
		if (!is_request_key(keys[i]))
			g_string_append(out, "not the key of a request\n");
	}
	g_string_append(out, keys[0] == keys[1] ? "same\n" : "different\n");
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	const char *name = argv[0];

	if (!strcmp(name, "crash") || !strcmp(name, "end") ||
	    !strcmp(name, "break"))
		crash(state, argc, argv);
	else if (!strcmp(name, "survive"))
		survive(state, argv);
	else if (!strcmp(name, "changes"))
		changes(state, argv, out);
	else if (!strcmp(name, "answer") || !strcmp(name, "goes-on"))
		answer(state, argv);
	else if (!strcmp(name, "alive"))
		alive(state, argv);
	else if (!strcmp(name, "tell") || !strcmp(name, "start"))
		tell(state, argv);
	else if (!strcmp(name, "progress"))
		progress(state, argc, argv);
	else if (!strcmp(name, "claim"))
		claim(state, argv, out);
	else if (!strcmp(name, "read"))
		read_records(state, argv);
	else if (!strcmp(name, "not-run"))
		not_run(state, argv);
	else if (!strcmp(name, "tell-again"))
		quarantine_tell_again(entry_arg(state, argv[1])->quarantine,
				      state->now_ms);
	else if (!strcmp(name, "check"))
		check(state, argc, argv, out);
	else if (!strcmp(name, "suspects"))
		suspects(state, argv, out);
	else if (!strcmp(name, "flood"))
		flood(state, argv);
	else if (!strcmp(name, "same"))
		same(argv, out);
	else if (!strcmp(name, "wait"))
		state->now_ms += g_ascii_strtoull(argv[1], NULL, 10);
	else if (!strcmp(name, "sweep"))
		quarantine_sweep(entry_arg(state, argv[1])->quarantine,
				 WALL_MS + state->now_ms);
	else if (!strcmp(name, "load"))
		quarantine_load(argc, argv, out);
	else
		g_string_append_printf(out, "unknown command %s\n", name);
}

static const struct script_driver driver = {
	.name = "quarantine",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
