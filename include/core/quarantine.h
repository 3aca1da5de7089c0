/**
 * Requests, and parts of prompts, that crash servers.
 *
 * Evidence is kept by key: of the request as a whole, which is the same when it comes
 * again under another id, and of each shared part of its prompt. A server that ends
 * while it has a request is evidence against the request, and against the parts as it
 * begins the answer. An answer that goes on is evidence for the parts, a whole one also
 * for the request. A key is quarantined while QUARANTINE_CRASHES servers speak against it and nothing speaks for
 * it: requests with it are refused, but for a rare trial.
 *
 * Items of jobs have no key of their own: they are owed, and are held only for a part.
 *
 * Now and then one request or item is sent with a quarantined key, as a trial of all
 * quarantined keys that it holds. The entries claim trials in the store, whose order decides,
 * so that the fleet makes one at a time for each key and makes them ever more rarely, however
 * many entries have such requests. A prompt whose keys may only have been beside one that
 * crashes servers is tried soon.
 *
 * Entries exchange their evidence. Merging it is commutative and idempotent, so
 * that it may arrive in any order, repeatedly, and by several ways.
 */
#ifndef BRIARPLANK_CORE_QUARANTINE_H
#define BRIARPLANK_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/list.h"
#include "core/prompt.h"

/** Number of crashed servers from which a key is quarantined. */
#define QUARANTINE_CRASHES 3
/** Maximum number of crashed servers that are remembered for a key. */
#define EVIDENCE_CRASHES_MAX 12

struct quarantine;

/** A server that ended. */
struct evidence_crash {
	/** Hash of the server's incarnation. */
	uint64_t server;
	/** Unix time of the crash at the entry that saw it, in ms. */
	uint64_t wall_ms;
	/** The key was answered well around it. */
	bool refuted;
};

/** What is known of one key, from all entries. */
struct evidence {
	/** Key of a part (prompt_part_key()) or of a request (request_key()). */
	uint64_t key;
	/** The newest crashes, newest first. */
	struct evidence_crash crashes[EVIDENCE_CRASHES_MAX];
	unsigned crashes_nr;
	/** Number of trials that all entries together have claimed, and the entry that
	 * claimed the last one. */
	unsigned trials;
	uint64_t claimant;
	/** Number of trials when the key was answered well last. */
	unsigned cleared_trials;
};

/** What changed the evidence about a key last. */
enum quarantine_cause {
	/** A server ended. */
	CAUSE_CRASH,
	/** It was answered well here. */
	CAUSE_ANSWER,
	/** A server that was taken to have ended answered. */
	CAUSE_ALIVE,
	/** Another entry, or the store, has told of it. */
	CAUSE_TOLD,
};

/** How far a trial of this entry is. */
enum quarantine_trial {
	TRIAL_NONE,
	/** A request came that may be the trial once the entry has claimed it. */
	TRIAL_WANTED,
	/** The claim isn't confirmed yet. */
	TRIAL_CLAIMED,
	/** The next request with the key is the trial. */
	TRIAL_GRANTED,
	/** The request was sent. */
	TRIAL_SENT,
};

/** A key with evidence against it. */
struct suspect {
	struct list link;
	struct evidence evidence;
	bool quarantined;
	/** What changed the evidence last. */
	enum quarantine_cause cause;
	/** State of this entry's trial, and loop time from which the time to the next
	 * one counts, in ms. */
	enum quarantine_trial trial;
	uint64_t trial_from_ms;
	/** Number of the trial that this entry has claimed last, and loop time of the
	 * claim, in ms. */
	unsigned claimed_trial;
	uint64_t claimed_ms;
	/** Loop time of the last change that other entries need, in ms. */
	uint64_t changed_ms;
	/** Loop time at which quarantine_changes() returned the last change, in ms; 0
	 * before that. */
	uint64_t reported_ms;
	/** The change must be stored. */
	bool unsaved;
};

struct quarantine_options {
	/** Hash that identifies this process as a claimant; not 0. */
	uint64_t self;
	/** Time by which this entry claims trials later than others, in ms. */
	uint64_t stagger_ms;
	/** Called when a key is quarantined or released; may be NULL. */
	void (*on_change)(void *ctx, const struct suspect *suspect);
	/** Called before a suspect is forgotten; may be NULL. */
	void (*on_forget)(void *ctx, const struct suspect *suspect);
	void *ctx;
};

struct quarantine *quarantine_create(const struct quarantine_options *options);
void quarantine_destroy(struct quarantine *quarantine);

/** Returns how logs and operators call a key: "part" or, for a request, "key". */
const char *quarantine_key_label(uint64_t key);

/** Returns the name of a cause for logs and metrics. */
const char *quarantine_cause_name(enum quarantine_cause cause);

/** Returns the number of crashes that nothing refutes. */
unsigned evidence_crashes(const struct evidence *evidence);

/** Returns the Unix time of the last crash, in ms. */
uint64_t evidence_crashed_ms(const struct evidence *evidence);

/** Returns the number of trials since the key was answered well last. */
unsigned evidence_trials_in_vain(const struct evidence *evidence);

/** How an answer went, and for what it speaks. */
enum quarantine_answer {
	/** It went on after its beginning: for the parts. */
	ANSWER_GOES_ON,
	/** It is whole: for the request and the parts. */
	ANSWER_WHOLE,
	/** It is whole, but a failure, or may be shorter than it should, or went on
	 * before: for the request, which the server survived. */
	ANSWER_SURVIVED,
};

/** How far an answer is. */
struct answer_progress {
	/** Loop time of the first and of the last data, in ms; 0 before any. */
	uint64_t begun_ms;
	uint64_t data_ms;
	/** Time in which data came, in ms. */
	uint64_t gone_ms;
	/** The answer went on after its beginning. */
	bool went_on;
};

/** Records that data came; returns whether the answer goes on from now on. */
bool answer_progress_add(struct answer_progress *progress, uint64_t now_ms);

/**
 * Returns for what a whole answer speaks. For the parts it has spoken as it went on: their
 * next answer may crash its server since.
 */
enum quarantine_answer answer_progress_whole(
	const struct answer_progress *progress);

/** Records an answer. */
void quarantine_note_answer(struct quarantine *quarantine,
			    const struct prompt *prompt,
			    enum quarantine_answer answer, uint64_t now_ms);

/** A server that ended while it had a request. */
struct quarantine_crash {
	/** Hash of the server's incarnation. */
	uint64_t server;
	uint64_t now_ms;
	/** Unix time, in ms. */
	uint64_t wall_ms;
	/** Loop time at which the request was sent, in ms. */
	uint64_t sent_ms;
	/** Time of a round trip to the server, in ms. */
	uint64_t round_trip_ms;
	/** Loop time of the last data from the server, in ms; 0 without any. */
	uint64_t data_ms;
	/** The head of the answer came, and the answer went on after its beginning. */
	bool answer_begun;
	bool answer_went_on;
};

/** Records a crash as evidence against a request and the parts of its prompt. */
void quarantine_note_crash(struct quarantine *quarantine,
			   const struct prompt *prompt,
			   const struct quarantine_crash *crash);

/**
 * Records that a server, by its incarnation, answered a request that was sent at
 * sent_ms. If that was after a crash of which it is suspected, there was none: the
 * connection broke. Returns the number of keys for which this refutes the crash.
 */
unsigned quarantine_note_alive(struct quarantine *quarantine, uint64_t server,
			       uint64_t sent_ms, uint64_t now_ms);

/** Where evidence came from. */
enum quarantine_source {
	/** From the report of another entry. */
	SOURCE_REPORT,
	/** From the newest values in the store, which this entry reads at its start. */
	SOURCE_SNAPSHOT,
	/** From the records of the store, in their order. */
	SOURCE_RECORDS,
};

/** Evidence of another entry, or of this one as the store returns it. */
struct quarantine_news {
	const struct evidence *evidence;
	enum quarantine_source source;
	uint64_t now_ms;
	/** Unix time, in ms. */
	uint64_t wall_ms;
};

/** Result of a merge. */
struct quarantine_merged {
	/** This entry has learnt something. */
	bool is_new;
	/** The other evidence lacks something that this entry knows. */
	bool lacks;
};

/** Adds evidence. */
struct quarantine_merged quarantine_merge(struct quarantine *quarantine,
					  const struct quarantine_news *news);

/**
 * Claims a trial that is wanted: fills in the evidence to be stored, and returns whether
 * there is one. The first claim among the store's records wins.
 */
bool quarantine_claim(struct quarantine *quarantine, uint64_t now_ms,
		      struct evidence *claim);

/** Has the evidence told once more to the other entries. */
void quarantine_tell_again(struct quarantine *quarantine, uint64_t now_ms);

/** Tells whether a suspect is told in turn, though it hasn't changed. */
bool quarantine_told_in_turn(const struct suspect *suspect, uint64_t wall_ms);

/** Marks the evidence about a key as not stored, unless it is a single crash. */
void quarantine_save(struct quarantine *quarantine, uint64_t key);

/** Whether a request may be sent. */
struct quarantine_verdict {
	bool refused;
	/** The quarantined key, if any. */
	uint64_t key;
	unsigned crashes;
	/** Time after which a request with the key may be served, in ms. */
	uint64_t retry_after_ms;
};

/**
 * Decides whether a request with this prompt may be sent to a server. One that is refused
 * while a trial is due has the trial claimed.
 */
struct quarantine_verdict quarantine_check(struct quarantine *quarantine,
					   const struct prompt *prompt,
					   uint64_t now_ms, uint64_t wall_ms);

/** Records that a request was sent, which may be a trial. */
void quarantine_note_sent(struct quarantine *quarantine,
			  const struct prompt *prompt);

/** Records that a server did not run a request that was sent. */
void quarantine_note_not_run(struct quarantine *quarantine,
			     const struct prompt *prompt);

/**
 * Returns up to changes_max suspects that have changed since a time, those that were
 * returned longest ago first, then those with most crashes.
 */
unsigned quarantine_changes(struct quarantine *quarantine, uint64_t since_ms,
			    uint64_t now_ms, struct suspect **changes,
			    unsigned changes_max);

/** Forgets old evidence. Called about once a second. */
void quarantine_sweep(struct quarantine *quarantine, uint64_t wall_ms);

/** Tells whether evidence is too old to count. */
bool evidence_expired(const struct evidence *evidence, uint64_t wall_ms);

/** Returns the list of suspects, linked by suspect->link, oldest first. */
struct list *quarantine_suspects(struct quarantine *quarantine);

#endif
