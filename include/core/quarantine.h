/**
 * Parts of prompts that crash servers.
 *
 * A server that ends as it begins an answer is evidence against each shared part
 * of the prompt, and an answer that goes on is evidence for each of them. A part
 * is quarantined while QUARANTINE_CRASHES servers speak against it and nothing
 * speaks for it: requests with it are refused, but for a rare trial.
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

/** Number of crashed servers from which a part is quarantined. */
#define QUARANTINE_CRASHES 3
/** Maximum number of crashed servers that are remembered for a part. */
#define EVIDENCE_CRASHES_MAX 12

struct quarantine;

/** What is known of one part, from all entries. */
struct evidence {
	/** Hash of the part's id. */
	uint64_t part;
	/** Servers, by incarnation, that ended as they began to answer. */
	uint64_t crashes[EVIDENCE_CRASHES_MAX];
	unsigned crashes_nr;
	/** Bit i is set if the part was answered well around crashes[i]. */
	uint32_t refuted;
	/** Unix time of the last crash, in ms. */
	uint64_t crashed_ms;
};

/** A part with evidence against it. */
struct suspect {
	struct list link;
	struct evidence evidence;
	bool quarantined;
	/** Loop time from which one request may be sent as a trial, in ms. */
	uint64_t trial_ms;
	/** Loop time of the last change that other entries need, in ms. */
	uint64_t changed_ms;
	/** The change must be stored. */
	bool unsaved;
};

struct quarantine_options {
	/** Tells whether this entry makes the trials of a part. */
	bool (*owns)(void *ctx, uint64_t part);
	/** Called when a part is quarantined or released; may be NULL. */
	void (*on_change)(void *ctx, const struct suspect *suspect);
	/** Called before a suspect is forgotten; may be NULL. */
	void (*on_forget)(void *ctx, const struct suspect *suspect);
	void *ctx;
};

struct quarantine *quarantine_create(const struct quarantine_options *options);
void quarantine_destroy(struct quarantine *quarantine);

/** Returns the number of crashes that nothing refutes. */
unsigned evidence_crashes(const struct evidence *evidence);

/** Records that an answer to a prompt went on after its beginning. */
void quarantine_note_answer(struct quarantine *quarantine,
			    const struct prompt *prompt, uint64_t now_ms);

/** A server that ended as it began an answer. */
struct quarantine_crash {
	/** Hash of the server's incarnation. */
	uint64_t server;
	uint64_t now_ms;
	/** Unix time, in ms. */
	uint64_t wall_ms;
};

/** Records a crash as evidence against the shared parts of a prompt. */
void quarantine_note_crash(struct quarantine *quarantine,
			   const struct prompt *prompt,
			   const struct quarantine_crash *crash);

/**
 * Records that a server, by its incarnation, answered a request that was sent at
 * sent_ms. If that was after a crash of which it is suspected, there was none: the
 * connection broke.
 */
void quarantine_note_alive(struct quarantine *quarantine, uint64_t server,
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

/** Marks the evidence about a part as not stored, unless it is a single crash. */
void quarantine_save(struct quarantine *quarantine, uint64_t part);

/** Whether a request may be sent. */
struct quarantine_verdict {
	bool refused;
	/** The quarantined part, if any. */
	uint64_t part;
	unsigned crashes;
	/** Time after which a request with the part may be served, in ms. */
	uint64_t retry_after_ms;
};

/** Decides whether a request with this prompt may be sent to a server. */
struct quarantine_verdict quarantine_check(struct quarantine *quarantine,
					   const struct prompt *prompt,
					   uint64_t now_ms, uint64_t wall_ms);

/** Records that a request was sent, which may be a trial. */
void quarantine_note_sent(struct quarantine *quarantine,
			  const struct prompt *prompt, uint64_t now_ms);

/** Forgets old evidence. Called about once a second. */
void quarantine_sweep(struct quarantine *quarantine, uint64_t wall_ms);

/** Tells whether evidence is too old to count. */
bool evidence_expired(const struct evidence *evidence, uint64_t wall_ms);

/** Returns the list of suspects, linked by suspect->link, oldest first. */
struct list *quarantine_suspects(struct quarantine *quarantine);

#endif
