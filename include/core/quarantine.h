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

/** What is known of one key, from all entries. */
struct evidence {
	/** Key of a part (prompt_part_key()) or of a request (request_key()). */
	uint64_t key;
	/** Servers, by incarnation, that ended. */
	uint64_t crashes[EVIDENCE_CRASHES_MAX];
	unsigned crashes_nr;
	/** Bit i is set if the key was answered well around crashes[i]. */
	uint32_t refuted;
	/** Unix time of the last crash, in ms. */
	uint64_t crashed_ms;
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

/** A key with evidence against it. */
struct suspect {
	struct list link;
	struct evidence evidence;
	bool quarantined;
	/** What changed the evidence last. */
	enum quarantine_cause cause;
	/** Loop time from which one request may be sent as a trial, in ms. */
	uint64_t trial_ms;
	/** Loop time of the last change that other entries need, in ms. */
	uint64_t changed_ms;
	/** Loop time at which quarantine_changes() returned the last change, in ms; 0
	 * before that. */
	uint64_t reported_ms;
	/** The change must be stored. */
	bool unsaved;
};

struct quarantine_options {
	/** Tells whether this entry makes the trials of a key. */
	bool (*owns)(void *ctx, uint64_t key);
	/** Time by which this entry tries its items later than others, in ms. */
	uint64_t item_stagger_ms;
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

/** How an answer went, and for what it speaks. */
enum quarantine_answer {
	/** It went on after its beginning: for the parts. */
	ANSWER_GOES_ON,
	/** It is whole: for the request and the parts. */
	ANSWER_WHOLE,
	/** It is whole, but a failure, or may be shorter than it should: for the
	 * request, which the server survived. */
	ANSWER_FAILURE,
};

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

/** Result of a merge. */
struct quarantine_merged {
	/** This entry has learnt something. */
	bool is_new;
	/** The other evidence lacks something that this entry knows. */
	bool lacks;
};

/** Adds the evidence of another entry. */
struct quarantine_merged quarantine_merge(struct quarantine *quarantine,
					  const struct evidence *evidence,
					  uint64_t now_ms);

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

/** Decides whether a request with this prompt may be sent to a server. */
struct quarantine_verdict quarantine_check(struct quarantine *quarantine,
					   const struct prompt *prompt,
					   uint64_t now_ms, uint64_t wall_ms);

/** Records that a request was sent, which may be a trial. */
void quarantine_note_sent(struct quarantine *quarantine,
			  const struct prompt *prompt, uint64_t now_ms);

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
