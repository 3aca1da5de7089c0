#include <string.h>
#include <glib.h>

#include "core/quarantine.h"
#include "core/request_key.h"

/* An answer speaks for its keys for one to two of these periods, in ms. */
#define ANSWERED_PERIOD_MS 2000
/* Maximum number of keys that are remembered as answered in one period. */
#define ANSWERED_MAX 20000
/* Time after a crash in which an answer of the server shows that it had not ended,
 * in ms. Later it may have started again under the same id. */
#define ALIVE_MS 1500
/* Time by which the end of a connection must come later than a round trip for the
 * server to have ended after the request came, in ms. */
#define REACHED_MARGIN_MS 5
/* Time from the last data of a server within which it is taken to be alive when a
 * request is sent, in ms. */
#define DATA_MS 100
/* Maximum number of suspects. */
#define SUSPECTS_MAX 1024
/* Time after the last crash after which evidence is forgotten, in ms. */
#define EVIDENCE_MS (15 * 60 * 1000)
/* Time from the last crash to the first trial of a prompt that must hold a key that crashes
 * servers, and of one whose quarantined keys may only have been beside such a key, in ms.
 * Each trial in vain doubles it, up to TRIAL_DOUBLINGS_MAX times, which keeps it below
 * EVIDENCE_MS. */
#define TRIAL_MS 10000
#define TRIAL_BESIDE_MS 1000
#define TRIAL_DOUBLINGS_MAX 6
/* Time in which a trial that is due is claimed and its answer goes on, in ms. */
#define TRIAL_RESULT_MS 1000
/* Number of trials in vain from which a request is tried no more. A part is tried as long as
 * items with it may be owed. */
#define REQUEST_TRIALS_MAX 2
/* Time in which data comes after which an answer has gone on, and the part of a pause between
 * data that counts, in ms: this process may have stood still meanwhile. */
#define BEGINNING_MS 250
#define PAUSE_MS 100
/* Time after which a claim is taken to be lost, in ms. */
#define CLAIM_MS 2000
/* Time for which evidence that isn't quarantined is told in turn, in ms. */
#define TOLD_MS 60000

struct quarantine {
	struct quarantine_options options;
	/* Sets of the keys that were answered well in this period and in the
	 * one before. */
	GHashTable *answered;
	GHashTable *answered_before;
	uint64_t period_ms;
	struct list suspects;
	unsigned suspects_nr;
	/* Maps a key to its struct suspect *. */
	GHashTable *by_key;
	/* Maps a crashed server to the time at which this entry learnt of it, in
	 * ms. */
	GHashTable *crashed;
};

static GHashTable *key_set_create(void)
{
	return g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

struct quarantine *quarantine_create(const struct quarantine_options *options)
{
	struct quarantine *quarantine = g_new0(struct quarantine, 1);

	quarantine->options = *options;
	quarantine->answered = key_set_create();
	quarantine->answered_before = key_set_create();
	list_init(&quarantine->suspects);
	quarantine->by_key = g_hash_table_new(g_int64_hash, g_int64_equal);
	quarantine->crashed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						    g_free, g_free);
	return quarantine;
}

static void suspect_free(struct quarantine *quarantine, struct suspect *suspect)
{
	g_hash_table_remove(quarantine->by_key, &suspect->evidence.key);
	list_remove(&suspect->link);
	quarantine->suspects_nr--;
	g_free(suspect);
}

void quarantine_destroy(struct quarantine *quarantine)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &quarantine->suspects)
		suspect_free(quarantine, list_entry(pos, struct suspect, link));
	g_hash_table_destroy(quarantine->by_key);
	g_hash_table_destroy(quarantine->crashed);
	g_hash_table_destroy(quarantine->answered);
	g_hash_table_destroy(quarantine->answered_before);
	g_free(quarantine);
}

const char *quarantine_key_label(uint64_t key)
{
	return is_request_key(key) ? "key" : "part";
}

const char *quarantine_cause_name(enum quarantine_cause cause)
{
	static const char *const names[] = {
		[CAUSE_CRASH] = "crash",
		[CAUSE_ANSWER] = "answer",
		[CAUSE_ALIVE] = "alive",
		[CAUSE_TOLD] = "told",
	};

	return names[cause];
}

unsigned evidence_crashes(const struct evidence *evidence)
{
	unsigned nr = 0, i;

	for (i = 0; i < evidence->crashes_nr; i++)
		nr += !evidence->crashes[i].refuted;
	return nr;
}

uint64_t evidence_crashed_ms(const struct evidence *evidence)
{
	return evidence->crashes_nr ? evidence->crashes[0].wall_ms : 0;
}

bool evidence_expired(const struct evidence *evidence, uint64_t wall_ms)
{
	return evidence_crashed_ms(evidence) + EVIDENCE_MS <= wall_ms;
}

struct list *quarantine_suspects(struct quarantine *quarantine)
{
	return &quarantine->suspects;
}

static struct suspect *find(const struct quarantine *quarantine, uint64_t key)
{
	return g_hash_table_lookup(quarantine->by_key, &key);
}

static size_t keys_nr(const struct prompt *prompt)
{
	return prompt->parts_nr + (prompt->request != 0);
}

/* Returns the key of a part, or of the request after the last part. */
static uint64_t key_at(const struct prompt *prompt, size_t i)
{
	return i < prompt->parts_nr ? prompt->parts[i] : prompt->request;
}

static void forget(struct quarantine *quarantine, struct suspect *suspect)
{
	if (quarantine->options.on_forget)
		quarantine->options.on_forget(quarantine->options.ctx, suspect);
	suspect_free(quarantine, suspect);
}

/* Forgets the suspect that matters least: the oldest one that is not
 * quarantined, or else the oldest one. */
static void forget_one(struct quarantine *quarantine)
{
	struct list *pos, *oldest = quarantine->suspects.next;

	list_for_each (pos, &quarantine->suspects) {
		if (list_entry(pos, struct suspect, link)->quarantined)
			continue;
		oldest = pos;
		break;
	}
	forget(quarantine, list_entry(oldest, struct suspect, link));
}

static struct suspect *get(struct quarantine *quarantine, uint64_t key)
{
	struct suspect *suspect = find(quarantine, key);

	if (suspect)
		return suspect;
	if (quarantine->suspects_nr >= SUSPECTS_MAX)
		forget_one(quarantine);
	suspect = g_new0(struct suspect, 1);
	suspect->evidence.key = key;
	list_append(&quarantine->suspects, &suspect->link);
	quarantine->suspects_nr++;
	g_hash_table_insert(quarantine->by_key, &suspect->evidence.key,
			    suspect);
	return suspect;
}

static void start_period(struct quarantine *quarantine, uint64_t now_ms)
{
	uint64_t age = now_ms - quarantine->period_ms;
	GHashTable *old = quarantine->answered_before;

	if (age < ANSWERED_PERIOD_MS)
		return;
	quarantine->period_ms = now_ms;
	quarantine->answered_before = quarantine->answered;
	quarantine->answered = old;
	g_hash_table_remove_all(quarantine->answered);
	if (age >= 2 * ANSWERED_PERIOD_MS)
		g_hash_table_remove_all(quarantine->answered_before);
}

static bool answered_lately(struct quarantine *quarantine, uint64_t key,
			    uint64_t now_ms)
{
	start_period(quarantine, now_ms);
	return g_hash_table_contains(quarantine->answered, &key) ||
	       g_hash_table_contains(quarantine->answered_before, &key);
}

unsigned evidence_trials_in_vain(const struct evidence *evidence)
{
	return evidence->trials - evidence->cleared_trials;
}

/* Returns the time from the last crash to the next trial, in ms; first_ms is the time to
 * the first one. */
static uint64_t trial_interval(const struct evidence *evidence,
			       uint64_t first_ms)
{
	return first_ms << MIN(evidence_trials_in_vain(evidence),
			       TRIAL_DOUBLINGS_MAX);
}

/* Handles a change of a suspect's evidence. */
static void changed(struct quarantine *quarantine, struct suspect *suspect,
		    enum quarantine_cause cause, uint64_t now_ms)
{
	unsigned crashes = evidence_crashes(&suspect->evidence);
	bool quarantined = crashes >= QUARANTINE_CRASHES;

	suspect->cause = cause;
	suspect->changed_ms = now_ms;
	suspect->reported_ms = 0;
	suspect->trial_from_ms = now_ms;
	if (quarantined == suspect->quarantined)
		return;
	suspect->quarantined = quarantined;
	suspect->trial = TRIAL_NONE;
	if (quarantine->options.on_change)
		quarantine->options.on_change(quarantine->options.ctx, suspect);
}

/* Refutes all crashes; tells whether any was not. */
static bool refute(struct suspect *suspect)
{
	struct evidence *evidence = &suspect->evidence;
	unsigned i;

	if (!evidence_crashes(evidence))
		return false;
	for (i = 0; i < evidence->crashes_nr; i++)
		evidence->crashes[i].refuted = true;
	evidence->cleared_trials = evidence->trials;
	return true;
}

bool answer_progress_add(struct answer_progress *progress, uint64_t now_ms)
{
	if (!progress->begun_ms)
		progress->begun_ms = progress->data_ms = now_ms;
	progress->gone_ms += MIN(now_ms - progress->data_ms, PAUSE_MS);
	progress->data_ms = now_ms;
	if (progress->went_on || progress->gone_ms < BEGINNING_MS)
		return false;
	progress->went_on = true;
	return true;
}

enum quarantine_answer answer_progress_whole(
	const struct answer_progress *progress)
{
	return progress->went_on ? ANSWER_SURVIVED : ANSWER_WHOLE;
}

static void note_answered(struct quarantine *quarantine, uint64_t key,
			  uint64_t now_ms)
{
	struct suspect *suspect = find(quarantine, key);

	start_period(quarantine, now_ms);
	if (g_hash_table_size(quarantine->answered) < ANSWERED_MAX)
		g_hash_table_add(quarantine->answered,
				 g_memdup2(&key, sizeof(key)));
	if (!suspect || !refute(suspect))
		return;
	/* A single crash quarantines nothing elsewhere, so that its refutation need
	 * not be known there. */
	if (suspect->evidence.crashes_nr > 1)
		suspect->unsaved = true;
	changed(quarantine, suspect, CAUSE_ANSWER, now_ms);
}

void quarantine_note_answer(struct quarantine *quarantine,
			    const struct prompt *prompt,
			    enum quarantine_answer answer, uint64_t now_ms)
{
	size_t i;

	for (i = 0; answer != ANSWER_SURVIVED && i < prompt->parts_nr; i++)
		note_answered(quarantine, prompt->parts[i], now_ms);
	if (answer != ANSWER_GOES_ON && prompt->request)
		note_answered(quarantine, prompt->request, now_ms);
}

static struct evidence_crash *find_crash(struct evidence *evidence,
					 uint64_t server)
{
	unsigned i;

	for (i = 0; i < evidence->crashes_nr; i++) {
		if (evidence->crashes[i].server == server)
			return &evidence->crashes[i];
	}
	return NULL;
}

/* Tells whether a crash is newer than another; of two at the same time, entries agree on
 * one. */
static bool is_newer(const struct evidence_crash *a,
		     const struct evidence_crash *b)
{
	return a->wall_ms != b->wall_ms ? a->wall_ms > b->wall_ms :
					  a->server > b->server;
}

/* Adds a crash of a server that has none yet, unless the evidence is full of newer ones;
 * tells whether it was added. Whatever the order in which entries learn of crashes, they
 * keep the same ones. */
static bool add_crash(struct evidence *evidence,
		      const struct evidence_crash *crash)
{
	unsigned i = evidence->crashes_nr;

	if (i == EVIDENCE_CRASHES_MAX) {
		if (!is_newer(crash, &evidence->crashes[i - 1]))
			return false;
		i--;
	} else {
		evidence->crashes_nr++;
	}
	for (; i && is_newer(crash, &evidence->crashes[i - 1]); i--)
		evidence->crashes[i] = evidence->crashes[i - 1];
	evidence->crashes[i] = *crash;
	return true;
}

/* Remembers when a server crashed, and forgets earlier ones that are too old. */
static void note_crashed(struct quarantine *quarantine, uint64_t server,
			 uint64_t now_ms)
{
	GHashTableIter iter;
	gpointer value;

	if (g_hash_table_contains(quarantine->crashed, &server))
		return;
	g_hash_table_iter_init(&iter, quarantine->crashed);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (now_ms - *(uint64_t *)value > ALIVE_MS)
			g_hash_table_iter_remove(&iter);
	}
	g_hash_table_insert(quarantine->crashed,
			    g_memdup2(&server, sizeof(server)),
			    g_memdup2(&now_ms, sizeof(now_ms)));
}

unsigned quarantine_note_alive(struct quarantine *quarantine, uint64_t server,
			       uint64_t sent_ms, uint64_t now_ms)
{
	const uint64_t *crashed_ms =
		g_hash_table_lookup(quarantine->crashed, &server);
	unsigned refuted_nr = 0;
	struct list *pos;

	if (!crashed_ms || sent_ms <= *crashed_ms ||
	    now_ms - *crashed_ms > ALIVE_MS)
		return 0;
	g_hash_table_remove(quarantine->crashed, &server);
	list_for_each (pos, &quarantine->suspects) {
		struct suspect *suspect = list_entry(pos, struct suspect, link);
		struct evidence_crash *crash =
			find_crash(&suspect->evidence, server);

		if (!crash || crash->refuted)
			continue;
		crash->refuted = true;
		suspect->unsaved |= suspect->evidence.crashes_nr > 1;
		changed(quarantine, suspect, CAUSE_ALIVE, now_ms);
		refuted_nr++;
	}
	return refuted_nr;
}

static void blame(struct quarantine *quarantine, uint64_t key,
		  const struct quarantine_crash *crash)
{
	struct evidence_crash new = {
		.server = crash->server,
		.wall_ms = crash->wall_ms,
	};
	struct suspect *suspect;

	if (answered_lately(quarantine, key, crash->now_ms))
		return;
	suspect = get(quarantine, key);
	if (find_crash(&suspect->evidence, crash->server) ||
	    !add_crash(&suspect->evidence, &new))
		return;
	suspect->unsaved |= evidence_crashes(&suspect->evidence) > 1;
	changed(quarantine, suspect, CAUSE_CRASH, crash->now_ms);
}

/* Tells whether the server still ran when the request reached it. The kernel resets
 * connections to one that had ended within a round trip. */
static bool was_reached(const struct quarantine *quarantine,
			const struct quarantine_crash *crash)
{
	const uint64_t *crashed_ms =
		g_hash_table_lookup(quarantine->crashed, &crash->server);

	if (crash->answer_begun)
		return true;
	if (crashed_ms && crash->sent_ms > *crashed_ms)
		return false;
	return crash->now_ms > crash->sent_ms + crash->round_trip_ms +
				       REACHED_MARGIN_MS ||
	       (crash->data_ms && crash->data_ms + DATA_MS >= crash->sent_ms);
}

void quarantine_note_crash(struct quarantine *quarantine,
			   const struct prompt *prompt,
			   const struct quarantine_crash *crash)
{
	size_t i;

	if (!was_reached(quarantine, crash) ||
	    (!crash->answer_begun && !prompt->request))
		return;
	if (keys_nr(prompt))
		note_crashed(quarantine, crash->server, crash->now_ms);
	for (i = 0; crash->answer_begun && !crash->answer_went_on &&
		    i < prompt->parts_nr;
	     i++)
		blame(quarantine, prompt->parts[i], crash);
	if (prompt->request)
		blame(quarantine, prompt->request, crash);
}

/* Adds one crash of another entry's evidence. */
static void merge_crash(struct evidence *own,
			const struct evidence_crash *crash,
			struct quarantine_merged *merged)
{
	struct evidence_crash *known = find_crash(own, crash->server);

	if (!known) {
		merged->is_new |= add_crash(own, crash);
		return;
	}
	merged->is_new |= crash->refuted && !known->refuted;
	merged->lacks |= known->refuted && !crash->refuted;
	known->refuted |= crash->refuted;
}

/* Adds the trials of another entry's evidence. */
static void merge_trials(struct suspect *suspect, const struct evidence *other,
			 struct quarantine_merged *merged)
{
	struct evidence *own = &suspect->evidence;

	merged->lacks |= own->trials > other->trials ||
			 own->cleared_trials > other->cleared_trials;
	own->cleared_trials = MAX(own->cleared_trials, other->cleared_trials);
	own->trials = MAX(own->trials, own->cleared_trials);
	if (other->trials <= own->trials)
		return;
	own->trials = other->trials;
	own->claimant = other->claimant;
	/* This entry's trial, if it has one, is another's now. */
	if (suspect->trial != TRIAL_CLAIMED)
		suspect->trial = TRIAL_NONE;
	merged->is_new = true;
}

/* Settles this entry's claim as its own record, or one before it, is read. */
static void settle_claim(const struct quarantine *quarantine,
			 struct suspect *suspect, const struct evidence *record)
{
	if (suspect->trial != TRIAL_CLAIMED ||
	    record->trials < suspect->claimed_trial)
		return;
	suspect->trial =
		record->claimant == quarantine->options.self &&
				suspect->evidence.claimant ==
					record->claimant &&
				suspect->evidence.trials == record->trials ?
			TRIAL_GRANTED :
			TRIAL_NONE;
}

/* Returns how long ago the last crash was, in ms; 0 by a clock that is behind. */
static uint64_t crash_age(const struct evidence *evidence, uint64_t wall_ms)
{
	uint64_t crashed_ms = evidence_crashed_ms(evidence);

	return wall_ms > crashed_ms ? wall_ms - crashed_ms : 0;
}

struct quarantine_merged quarantine_merge(struct quarantine *quarantine,
					  const struct quarantine_news *news)
{
	const struct evidence *evidence = news->evidence;
	struct suspect *suspect = get(quarantine, evidence->key);
	struct evidence *own = &suspect->evidence;
	struct quarantine_merged merged = {
		.lacks = own->crashes_nr > evidence->crashes_nr,
	};
	unsigned i;

	for (i = 0; i < evidence->crashes_nr; i++) {
		const struct evidence_crash *crash = &evidence->crashes[i];

		/* A server that crashed a while ago may have started again. */
		if (!find_crash(own, crash->server) &&
		    crash->wall_ms + ALIVE_MS > news->wall_ms)
			note_crashed(quarantine, crash->server, news->now_ms);
		merge_crash(own, crash, &merged);
	}
	merge_trials(suspect, evidence, &merged);
	if (news->source == SOURCE_RECORDS)
		settle_claim(quarantine, suspect, evidence);
	if (!merged.is_new)
		return merged;
	/* The other entries must learn that this one answers it well. */
	if (answered_lately(quarantine, own->key, news->now_ms) &&
	    refute(suspect))
		suspect->unsaved = own->crashes_nr > 1;
	changed(quarantine, suspect, CAUSE_TOLD, news->now_ms);
	if (news->source == SOURCE_SNAPSHOT)
		suspect->trial_from_ms -= MIN(suspect->trial_from_ms,
					      crash_age(own, news->wall_ms));
	return merged;
}

void quarantine_save(struct quarantine *quarantine, uint64_t key)
{
	struct suspect *suspect = find(quarantine, key);

	if (suspect && suspect->evidence.crashes_nr > 1)
		suspect->unsaved = true;
}

/* Returns the quarantined suspect with a key of a prompt, or NULL. */
static struct suspect *quarantined_at(const struct quarantine *quarantine,
				      const struct prompt *prompt, size_t i)
{
	struct suspect *suspect = find(quarantine, key_at(prompt, i));

	return suspect && suspect->quarantined ? suspect : NULL;
}

static bool has_key(const struct prompt *prompt, uint64_t key)
{
	size_t i;

	for (i = 0; i < keys_nr(prompt); i++) {
		if (key_at(prompt, i) == key)
			return true;
	}
	return false;
}

/* Tells whether a key may have caused a crash that is evidence against another key. Crashes
 * that are older than all of a full list may have been dropped from it. */
static bool may_have_caused(struct evidence *evidence,
			    const struct evidence_crash *crash)
{
	const struct evidence_crash *known =
		find_crash(evidence, crash->server);

	if (known)
		return !known->refuted;
	return evidence->crashes_nr == EVIDENCE_CRASHES_MAX &&
	       is_newer(&evidence->crashes[EVIDENCE_CRASHES_MAX - 1], crash);
}

/* Tells whether a quarantined key that the prompt doesn't hold may have caused a crash. */
static bool has_other_cause(const struct quarantine *quarantine,
			    const struct prompt *prompt,
			    const struct evidence_crash *crash)
{
	struct list *pos;

	list_for_each (pos, &quarantine->suspects) {
		struct suspect *other = list_entry(pos, struct suspect, link);

		if (other->quarantined &&
		    may_have_caused(&other->evidence, crash) &&
		    !has_key(prompt, other->evidence.key))
			return true;
	}
	return false;
}

/* Tells whether the quarantined keys of a prompt may all have been only beside one that
 * crashes servers: each of their crashes has a possible cause that the prompt doesn't hold.
 * A trial of such a prompt tells them apart. */
static bool was_only_beside(const struct quarantine *quarantine,
			    const struct prompt *prompt)
{
	size_t i;
	unsigned j;

	for (i = 0; i < keys_nr(prompt); i++) {
		const struct suspect *suspect =
			quarantined_at(quarantine, prompt, i);

		for (j = 0; suspect && j < suspect->evidence.crashes_nr; j++) {
			const struct evidence_crash *crash =
				&suspect->evidence.crashes[j];

			if (!crash->refuted &&
			    !has_other_cause(quarantine, prompt, crash))
				return false;
		}
	}
	return true;
}

/* Returns the loop time from which a trial of a suspect may be claimed, in ms; UINT64_MAX if
 * it is tried no more. */
static uint64_t trial_due_ms(const struct quarantine *quarantine,
			     const struct suspect *suspect, uint64_t first_ms)
{
	const struct evidence *evidence = &suspect->evidence;

	if (is_request_key(evidence->key) &&
	    evidence_trials_in_vain(evidence) >= REQUEST_TRIALS_MAX)
		return UINT64_MAX;
	return suspect->trial_from_ms + trial_interval(evidence, first_ms) +
	       quarantine->options.stagger_ms;
}

static bool is_claiming(const struct suspect *suspect, uint64_t now_ms)
{
	return suspect->trial == TRIAL_CLAIMED &&
	       now_ms - suspect->claimed_ms < CLAIM_MS;
}

/* Has the trials claimed that this entry lacks for a prompt once all of them are due: what
 * is sent is a trial of each quarantined key that it holds. Returns the loop time from which
 * they are, in ms. */
static uint64_t want_trials(struct quarantine *quarantine,
			    const struct prompt *prompt, uint64_t first_ms,
			    uint64_t now_ms)
{
	bool claiming = false;
	uint64_t due_ms = 0;
	size_t i;

	for (i = 0; i < keys_nr(prompt); i++) {
		struct suspect *suspect = quarantined_at(quarantine, prompt, i);

		if (!suspect || suspect->trial == TRIAL_GRANTED)
			continue;
		claiming |= is_claiming(suspect, now_ms);
		due_ms = MAX(due_ms,
			     trial_due_ms(quarantine, suspect, first_ms));
	}
	for (i = 0; !claiming && due_ms <= now_ms && i < keys_nr(prompt); i++) {
		struct suspect *suspect = quarantined_at(quarantine, prompt, i);

		if (suspect && suspect->trial != TRIAL_GRANTED)
			suspect->trial = TRIAL_WANTED;
	}
	return due_ms;
}

struct quarantine_verdict quarantine_check(struct quarantine *quarantine,
					   const struct prompt *prompt,
					   uint64_t now_ms, uint64_t wall_ms)
{
	struct quarantine_verdict verdict = { 0 };
	uint64_t due_ms;
	bool beside;
	size_t i;

	for (i = 0; i < keys_nr(prompt); i++) {
		const struct suspect *suspect =
			quarantined_at(quarantine, prompt, i);
		uint64_t end_ms;

		if (!suspect)
			continue;
		verdict.refused |= suspect->trial != TRIAL_GRANTED;
		verdict.key = suspect->evidence.key;
		verdict.crashes = evidence_crashes(&suspect->evidence);
		/* No trial is certain to succeed, so that the evidence holds
		 * until it is forgotten. */
		end_ms = evidence_crashed_ms(&suspect->evidence) + EVIDENCE_MS;
		if (end_ms > wall_ms)
			verdict.retry_after_ms =
				MAX(verdict.retry_after_ms, end_ms - wall_ms);
	}
	if (!verdict.refused)
		return verdict;
	beside = was_only_beside(quarantine, prompt);
	due_ms = want_trials(quarantine, prompt,
			     beside ? TRIAL_BESIDE_MS : TRIAL_MS, now_ms);
	if (beside && due_ms != UINT64_MAX)
		verdict.retry_after_ms =
			MIN(verdict.retry_after_ms,
			    MAX(due_ms, now_ms) - now_ms + TRIAL_RESULT_MS);
	return verdict;
}

bool quarantine_claim(struct quarantine *quarantine, uint64_t now_ms,
		      struct evidence *claim)
{
	struct list *pos;

	list_for_each (pos, &quarantine->suspects) {
		struct suspect *suspect = list_entry(pos, struct suspect, link);

		if (suspect->trial != TRIAL_WANTED)
			continue;
		suspect->trial = TRIAL_CLAIMED;
		suspect->claimed_ms = now_ms;
		suspect->claimed_trial = suspect->evidence.trials + 1;
		*claim = suspect->evidence;
		claim->trials = suspect->claimed_trial;
		claim->claimant = quarantine->options.self;
		return true;
	}
	return false;
}

/* Moves this entry's trials of a prompt's keys from one state to another. */
static void move_trials(struct quarantine *quarantine,
			const struct prompt *prompt, enum quarantine_trial from,
			enum quarantine_trial to)
{
	size_t i;

	for (i = 0; i < keys_nr(prompt); i++) {
		struct suspect *suspect = find(quarantine, key_at(prompt, i));

		if (suspect && suspect->trial == from)
			suspect->trial = to;
	}
}

void quarantine_note_sent(struct quarantine *quarantine,
			  const struct prompt *prompt)
{
	move_trials(quarantine, prompt, TRIAL_GRANTED, TRIAL_SENT);
}

void quarantine_note_not_run(struct quarantine *quarantine,
			     const struct prompt *prompt)
{
	move_trials(quarantine, prompt, TRIAL_SENT, TRIAL_GRANTED);
}

void quarantine_tell_again(struct quarantine *quarantine, uint64_t now_ms)
{
	struct list *pos;

	list_for_each (pos, &quarantine->suspects) {
		struct suspect *suspect = list_entry(pos, struct suspect, link);

		/* Others may miss that more crashes than one are refuted. */
		if (suspect->evidence.crashes_nr > 1 ||
		    evidence_crashes(&suspect->evidence))
			suspect->changed_ms = now_ms;
	}
}

bool quarantine_told_in_turn(const struct suspect *suspect, uint64_t wall_ms)
{
	return suspect->quarantined ||
	       (evidence_crashes(&suspect->evidence) &&
		crash_age(&suspect->evidence, wall_ms) < TOLD_MS);
}

/* Tells which of two changes is reported first: the one whose last report is longer
 * ago, then the one with more crashes. */
static bool comes_before(const struct suspect *a, const struct suspect *b)
{
	if (a->reported_ms != b->reported_ms)
		return a->reported_ms < b->reported_ms;
	return evidence_crashes(&a->evidence) > evidence_crashes(&b->evidence);
}

unsigned quarantine_changes(struct quarantine *quarantine, uint64_t since_ms,
			    uint64_t now_ms, struct suspect **changes,
			    unsigned changes_max)
{
	unsigned nr = 0, i;
	struct list *pos;

	list_for_each (pos, &quarantine->suspects) {
		struct suspect *suspect = list_entry(pos, struct suspect, link);

		if (suspect->changed_ms < since_ms)
			continue;
		/* Inserts it behind those that come before it. */
		for (i = nr; i && comes_before(suspect, changes[i - 1]); i--) {
			if (i < changes_max)
				changes[i] = changes[i - 1];
		}
		if (i >= changes_max)
			continue;
		changes[i] = suspect;
		nr = MIN(nr + 1, changes_max);
	}
	for (i = 0; i < nr; i++)
		changes[i]->reported_ms = now_ms;
	return nr;
}

void quarantine_sweep(struct quarantine *quarantine, uint64_t wall_ms)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &quarantine->suspects) {
		struct suspect *suspect = list_entry(pos, struct suspect, link);

		if (evidence_expired(&suspect->evidence, wall_ms))
			forget(quarantine, suspect);
	}
}
