#include <string.h>

#include "common/hash.h"
#include "core/quarantine.h"
#include "core/request_key.h"
#include "quarantine_load.h"
#include "script.h"

/* Times of a call: its first byte, the crash that it causes, the end of its
 * beginning, and its end, in ms. */
#define FIRST_MS 40
#define CRASH_MS 60
#define WENT_ON_MS 290
#define CALL_MS 750
/* Time for which a server that crashed is down, in ms. */
#define DOWN_MS 6000
/* Time between two exchanges of evidence, and the share of lost ones. */
#define EXCHANGE_MS 90
#define LOST_SHARE 0.3
/* Bound of the requests that are sent after the fifth crash is known, and the
 * time in which it gets known, in ms. */
#define KNOWN_MS 4000
#define LATE_MAX 3
#define SESSIONS 40
/* Time from the start at which a sound item of the caller waits at each entry, and time in
 * which all must be sent, in ms. */
#define CALLER_ITEMS_MS 5000
#define CALLER_ITEMS_MAX_MS 18000
/* Number of different requests of a plain service, and time of a call of one. */
#define PLAIN_TARGETS 25
#define PLAIN_CALL_MS 30
/* Servers that one attempt of a request of a plain service is sent to. */
#define PLAIN_SENDS 2

enum load_kind {
	/* A sound request with a prompt of its own. */
	LOAD_SOUND,
	/* A request with the part that crashes servers. */
	LOAD_BAD_PART,
	/* An item with that part. */
	LOAD_BAD_ITEM,
	/* A request of a caller who has been quiet, with parts of the caller and the part that
	 * crashes servers, and a sound item of that caller. */
	LOAD_BAD_CALLER,
	LOAD_CALLER_ITEM,
	/* A sound request that others are equal to. */
	LOAD_PLAIN,
	/* The request that crashes servers, before its answer begins. */
	LOAD_REPEATED,
};

struct call {
	struct list link;
	unsigned entry;
	unsigned server;
	uint64_t sent_ms;
	enum load_kind kind;
	unsigned sends;
	bool went_on;
	struct prompt prompt;
};

struct server {
	uint64_t incarnation;
	uint64_t up_ms;
};

struct load {
	unsigned entries_nr;
	unsigned servers_nr;
	struct quarantine **entries;
	struct server *servers;
	struct list calls;
	/* Evidence in the store (struct evidence), by key. */
	GHashTable *stored;
	GRand *random;
	uint64_t now_ms;
	/* Time until which one half of the entries is cut off from the other and from the
	 * store, in ms. */
	uint64_t cut_ms;
	/* Crashes by the part and by the repeated request, the times of the fifth and of
	 * the third of them, and the sends later than KNOWN_MS after these. */
	unsigned crashes_bad;
	uint64_t fifth_ms;
	unsigned bad_late;
	unsigned crashes_repeated;
	uint64_t third_ms;
	unsigned repeated_late;
	/* Number of the caller's parts, for each entry whether its item waits, the number of
	 * items that do, and the time in which all were sent. */
	unsigned caller_parts;
	bool *waits;
	unsigned waiting;
	uint64_t caller_ms;
	unsigned sound;
	unsigned sound_refused;
};

static struct quarantine *entry_create(unsigned entry)
{
	struct quarantine_options options = { .self = entry + 1 };

	return quarantine_create(&options);
}

static uint64_t target_key(const char *prefix, gint32 nr)
{
	char *target = g_strdup_printf("%s%d", prefix, nr);
	struct request_identity identity = { .target = target };
	uint64_t key = request_key(&identity);

	g_free(target);
	return key;
}

static void add_caller_parts(const struct load *load, struct prompt *prompt)
{
	unsigned i;

	for (i = 0; i < load->caller_parts; i++) {
		char *id = g_strdup_printf("caller%u", i);

		prompt_add(prompt, id);
		g_free(id);
	}
}

static struct prompt make_prompt(struct load *load, enum load_kind kind)
{
	struct prompt prompt = { .text = g_strdup("") };
	char *session;

	if (kind == LOAD_PLAIN || kind == LOAD_REPEATED) {
		prompt.request =
			kind == LOAD_REPEATED ?
				target_key("crash", 0) :
				target_key("plain",
					   g_rand_int_range(load->random, 0,
							    PLAIN_TARGETS));
		return prompt;
	}
	session = g_strdup_printf("s%d",
				  g_rand_int_range(load->random, 0, SESSIONS));
	prompt.request =
		target_key("unequal", (gint32)g_rand_int(load->random));
	if (kind == LOAD_BAD_ITEM || kind == LOAD_CALLER_ITEM)
		prompt.request = 0;
	prompt_add(&prompt, "root");
	if (kind == LOAD_BAD_CALLER || kind == LOAD_CALLER_ITEM)
		add_caller_parts(load, &prompt);
	if (kind == LOAD_SOUND)
		prompt_add(&prompt, session);
	else if (kind != LOAD_CALLER_ITEM)
		prompt_add(&prompt, "bad");
	g_free(session);
	return prompt;
}

static bool is_sound(enum load_kind kind)
{
	return kind == LOAD_SOUND || kind == LOAD_PLAIN;
}

static bool has_bad_part(enum load_kind kind)
{
	return kind == LOAD_BAD_PART || kind == LOAD_BAD_ITEM ||
	       kind == LOAD_BAD_CALLER;
}

static void call_free(struct call *call)
{
	list_remove(&call->link);
	prompt_clear(&call->prompt);
	g_free(call);
}

/* Returns the number of a server that is up, or -1. */
static int choose_server(struct load *load)
{
	unsigned i, first = (unsigned)g_rand_int_range(
			    load->random, 0, (gint32)load->servers_nr);

	for (i = 0; i < load->servers_nr; i++) {
		unsigned at = (first + i) % load->servers_nr;

		if (load->servers[at].up_ms <= load->now_ms)
			return (int)at;
	}
	return -1;
}

/* Counts a request that is sent although the fleet must know that it crashes servers. */
static void count_late(struct load *load, enum load_kind kind)
{
	load->bad_late += has_bad_part(kind) && load->fifth_ms &&
			  load->now_ms > load->fifth_ms + KNOWN_MS;
	load->repeated_late += kind == LOAD_REPEATED && load->third_ms &&
			       load->now_ms > load->third_ms + KNOWN_MS;
}

/* Sends a call to a server, if the entry allows it; returns whether it does. */
static bool send_call(struct load *load, struct call *call)
{
	struct quarantine *quarantine = load->entries[call->entry];
	struct quarantine_verdict verdict = quarantine_check(
		quarantine, &call->prompt, load->now_ms, load->now_ms);
	int server = choose_server(load);

	load->sound_refused += is_sound(call->kind) && verdict.refused;
	if (verdict.refused || server < 0)
		return false;
	count_late(load, call->kind);
	quarantine_note_sent(quarantine, &call->prompt);
	call->server = (unsigned)server;
	call->sent_ms = load->now_ms;
	call->sends++;
	return true;
}

/* Returns whether the request was sent. */
static bool request_at(struct load *load, enum load_kind kind, unsigned entry)
{
	struct call *call = g_new0(struct call, 1);

	call->entry = entry;
	call->prompt = make_prompt(load, kind);
	call->kind = kind;
	list_init(&call->link);
	load->sound += is_sound(kind);
	if (!send_call(load, call)) {
		call_free(call);
		return false;
	}
	list_append(&load->calls, &call->link);
	return true;
}

/* Sends the caller's items that wait. */
static void send_caller_items(struct load *load, uint64_t since_ms)
{
	unsigned i;

	for (i = 0; i < load->entries_nr; i++) {
		if (!load->waits[i] || !request_at(load, LOAD_CALLER_ITEM, i))
			continue;
		load->waits[i] = false;
		load->waiting--;
		load->caller_ms = load->now_ms - since_ms;
	}
}

static void request(struct load *load, enum load_kind kind)
{
	request_at(load, kind,
		   (unsigned)g_rand_int_range(load->random, 0,
					      (gint32)load->entries_nr));
}

/* Handles the end of the server of a call. */
static void call_crashed(struct load *load, struct call *call,
			 struct quarantine_crash *crash)
{
	bool plain = call->kind == LOAD_PLAIN || call->kind == LOAD_REPEATED;

	crash->answer_begun = !plain;
	crash->sent_ms = call->sent_ms;
	if (!call->went_on)
		quarantine_note_crash(load->entries[call->entry], &call->prompt,
				      crash);
	if (!plain || call->sends >= PLAIN_SENDS || !send_call(load, call))
		call_free(call);
}

static void crash_server(struct load *load, unsigned at)
{
	struct server *server = &load->servers[at];
	struct quarantine_crash crash = {
		.server = hash_combine(at, server->incarnation),
		.now_ms = load->now_ms,
		.wall_ms = load->now_ms,
	};
	struct list *pos, *tmp;

	server->incarnation++;
	server->up_ms = load->now_ms + DOWN_MS;
	list_for_each_safe (pos, tmp, &load->calls) {
		struct call *call = list_entry(pos, struct call, link);

		if (call->server == at)
			call_crashed(load, call, &crash);
	}
}

/* Crashes the server of a call under which it ends. */
static void crash_by_call(struct load *load, const struct call *call)
{
	bool repeated = call->kind == LOAD_REPEATED;

	crash_server(load, call->server);
	if (repeated && ++load->crashes_repeated == 3)
		load->third_ms = load->now_ms;
	if (!repeated && ++load->crashes_bad == 5)
		load->fifth_ms = load->now_ms;
}

/* Lets a sound call answer; frees it at its end. */
static void advance_call(struct load *load, struct call *call)
{
	bool plain = call->kind == LOAD_PLAIN;
	uint64_t age = load->now_ms - call->sent_ms;

	if (!call->went_on && age >= (plain ? PLAIN_CALL_MS : WENT_ON_MS)) {
		call->went_on = true;
		quarantine_note_answer(
			load->entries[call->entry], &call->prompt,
			plain ? ANSWER_WHOLE : ANSWER_GOES_ON, load->now_ms);
	}
	if (age >= (plain ? PLAIN_CALL_MS : CALL_MS))
		call_free(call);
}

static void advance_calls(struct load *load)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &load->calls) {
		struct call *call = list_entry(pos, struct call, link);

		if (!has_bad_part(call->kind) && call->kind != LOAD_REPEATED) {
			advance_call(load, call);
		} else if (load->now_ms - call->sent_ms >= CRASH_MS) {
			crash_by_call(load, call);
			advance_calls(load);
			return;
		}
	}
}

static void merge(struct load *load, unsigned entry,
		  const struct evidence *evidence,
		  enum quarantine_source source)
{
	struct quarantine_news news = {
		.evidence = evidence,
		.source = source,
		.now_ms = load->now_ms,
		.wall_ms = load->now_ms,
	};
	struct quarantine_merged merged =
		quarantine_merge(load->entries[entry], &news);

	/* One of all entries stores what is reported, and what another record has
	 * replaced. */
	if (entry == evidence->key % load->entries_nr &&
	    (source == SOURCE_REPORT ? merged.is_new : merged.lacks))
		quarantine_save(load->entries[entry], evidence->key);
}

static bool is_cut_off(const struct load *load, unsigned entry)
{
	return load->now_ms < load->cut_ms && entry % 2;
}

/* Stores the evidence of an entry, which all others read. */
static void store(struct load *load, const struct evidence *evidence)
{
	struct evidence *copy = g_memdup2(evidence, sizeof(*copy));
	unsigned i;

	g_hash_table_replace(load->stored, &copy->key, copy);
	for (i = 0; i < load->entries_nr; i++) {
		if (!is_cut_off(load, i))
			merge(load, i, evidence, SOURCE_RECORDS);
	}
}

/* Stores all claims of trials that entries have at this moment, before they read any. */
static void store_claims(struct load *load)
{
	GArray *claims = g_array_new(FALSE, FALSE, sizeof(struct evidence));
	struct evidence claim;
	guint i;

	for (i = 0; i < load->entries_nr; i++) {
		while (!is_cut_off(load, i) &&
		       quarantine_claim(load->entries[i], load->now_ms, &claim))
			g_array_append_val(claims, claim);
	}
	for (i = 0; i < claims->len; i++)
		store(load, &g_array_index(claims, struct evidence, i));
	g_array_free(claims, TRUE);
}

/* Sends the evidence of each entry to the others and to the store. */
static void exchange(struct load *load)
{
	unsigned i, j;
	struct list *pos;

	for (i = 0; i < load->entries_nr; i++) {
		list_for_each (pos, quarantine_suspects(load->entries[i])) {
			struct suspect *suspect =
				list_entry(pos, struct suspect, link);

			if (load->now_ms - suspect->changed_ms > 1500)
				continue;
			for (j = 0; j < load->entries_nr; j++) {
				if (j != i &&
				    is_cut_off(load, i) ==
					    is_cut_off(load, j) &&
				    g_rand_double(load->random) >= LOST_SHARE)
					merge(load, j, &suspect->evidence,
					      SOURCE_REPORT);
			}
			if (!suspect->unsaved || is_cut_off(load, i))
				continue;
			suspect->unsaved = false;
			store(load, &suspect->evidence);
		}
	}
	store_claims(load);
}

static void restart_entries(struct load *load)
{
	GHashTableIter iter;
	gpointer evidence;
	unsigned i;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &load->calls)
		call_free(list_entry(pos, struct call, link));
	for (i = 0; i < load->entries_nr; i++) {
		quarantine_destroy(load->entries[i]);
		load->entries[i] = entry_create(i);
		g_hash_table_iter_init(&iter, load->stored);
		while (g_hash_table_iter_next(&iter, NULL, &evidence))
			merge(load, i, evidence, SOURCE_SNAPSHOT);
	}
}

static void play(struct load *load, int argc, char **argv)
{
	uint64_t seconds = (uint64_t)script_arg_int(argc, argv, "seconds", 40);
	uint64_t restart = (uint64_t)script_arg_int(argc, argv, "restart", 0);
	double sound = (double)script_arg_int(argc, argv, "sound", 50);
	double bad = (double)script_arg_int(argc, argv, "bad", 0);
	double plain = (double)script_arg_int(argc, argv, "plain", 0);
	double repeated = (double)script_arg_int(argc, argv, "repeated", 0);
	unsigned crashes = (unsigned)script_arg_int(argc, argv, "crashes", 0);
	unsigned items = (unsigned)script_arg_int(argc, argv, "items", 0);
	double caller = (double)script_arg_int(argc, argv, "caller", 0);
	uint64_t caller_for_ms =
		1000 * (uint64_t)script_arg_int(argc, argv, "caller_for", 40);
	uint64_t start_ms = load->now_ms;
	unsigned i;

	while (load->now_ms < start_ms + seconds * 1000) {
		uint64_t ms = load->now_ms - start_ms;

		if (g_rand_double(load->random) < sound / 200)
			request(load, LOAD_SOUND);
		if (g_rand_double(load->random) < plain / 200)
			request(load, LOAD_PLAIN);
		if (ms > 2000 && g_rand_double(load->random) < bad / 200)
			request(load, LOAD_BAD_PART);
		if (ms > 2000 && g_rand_double(load->random) < repeated / 200)
			request(load, LOAD_REPEATED);
		if (ms > 2000 && ms < 2000 + caller_for_ms &&
		    g_rand_double(load->random) < caller / 200)
			request(load, LOAD_BAD_CALLER);
		if (caller > 0 && ms == CALLER_ITEMS_MS) {
			memset(load->waits, true, load->entries_nr);
			load->waiting = load->entries_nr;
		}
		if (load->waiting && ms % 1000 == 0)
			send_caller_items(load, start_ms + CALLER_ITEMS_MS);
		for (i = 0; ms > 2000 && ms % 250 == 0 && i < items; i++)
			request_at(load, LOAD_BAD_ITEM, i);
		if (load->now_ms == load->cut_ms) {
			for (i = 0; i < load->entries_nr; i++)
				quarantine_tell_again(load->entries[i],
						      load->now_ms);
		}
		if (ms % 2000 == 1000) {
			for (i = 0; i < MIN(crashes, load->servers_nr); i++)
				crash_server(load, i);
		}
		if (restart && ms == restart * 1000)
			restart_entries(load);
		advance_calls(load);
		if (ms % EXCHANGE_MS == 0)
			exchange(load);
		load->now_ms += 5;
	}
}

void quarantine_load(int argc, char **argv, GString *out)
{
	struct load load = {
		.entries_nr =
			(unsigned)script_arg_int(argc, argv, "entries", 8),
		.servers_nr =
			(unsigned)script_arg_int(argc, argv, "servers", 9),
		.now_ms = 100000,
	};
	struct list *pos, *tmp;
	unsigned i;

	load.caller_parts =
		(unsigned)script_arg_int(argc, argv, "caller_parts", 2);
	load.waits = g_new0(bool, load.entries_nr);
	load.entries = g_new0(struct quarantine *, load.entries_nr);
	load.servers = g_new0(struct server, load.servers_nr);
	load.stored = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL,
					    g_free);
	load.cut_ms = load.now_ms +
		      1000 * (uint64_t)script_arg_int(argc, argv, "cut", 0);
	load.random = g_rand_new_with_seed(
		(guint32)script_arg_int(argc, argv, "seed", 1));
	list_init(&load.calls);
	for (i = 0; i < load.entries_nr; i++)
		load.entries[i] = entry_create(i);
	play(&load, argc, argv);
	g_string_append_printf(
		out, "late %s, sound refused %s\n",
		MAX(load.bad_late, load.repeated_late) <= LATE_MAX ?
			"within the bound" :
			"over the bound",
		load.sound_refused * 100 <= load.sound ? "under 1 in 100" :
							 "over 1 in 100");
	if (script_arg_int(argc, argv, "caller", 0))
		g_string_append_printf(
			out, "items of the caller sent %s\n",
			load.waiting || load.caller_ms > CALLER_ITEMS_MAX_MS ?
				"too late or not at all" :
				"in time");
	if (script_arg_int(argc, argv, "figures", 0))
		g_string_append_printf(
			out,
			"crashes=%u+%u late=%u+%u refused=%u/%u items=%u"
			" ms=%" G_GUINT64_FORMAT "\n",
			load.crashes_bad, load.crashes_repeated, load.bad_late,
			load.repeated_late, load.sound_refused, load.sound,
			load.waiting, load.caller_ms);
	list_for_each_safe (pos, tmp, &load.calls)
		call_free(list_entry(pos, struct call, link));
	for (i = 0; i < load.entries_nr; i++)
		quarantine_destroy(load.entries[i]);
	g_hash_table_destroy(load.stored);
	g_rand_free(load.random);
	g_free(load.entries);
	g_free(load.servers);
	g_free(load.waits);
}
