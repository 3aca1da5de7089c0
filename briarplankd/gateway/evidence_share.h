/**
 * Shares the evidence against parts of prompts between entries: in their load
 * reports, and in a topic of the store that an entry reads when it starts.
 */
#ifndef BRIARPLANKD_GATEWAY_EVIDENCE_SHARE_H
#define BRIARPLANKD_GATEWAY_EVIDENCE_SHARE_H

#include "core/quarantine.h"
#include "gateway.h"
#include "nodeload.pb-c.h"

struct evidence_share;

struct evidence_share *evidence_share_create(struct gateway *gateway);
void evidence_share_destroy(struct evidence_share *share);

struct quarantine *evidence_share_quarantine(struct evidence_share *share);

/** Tells whether the stored evidence was read. */
bool evidence_share_read(const struct evidence_share *share);

/**
 * Tells whether requests may be judged by the evidence: it was read, or can't be had for now.
 */
bool evidence_share_known(const struct evidence_share *share);

/**
 * Tells whether a request with this prompt may be sent. "verdict" is set in both
 * cases. While a starting entry does not know the evidence yet, only items without
 * shared parts may be sent.
 */
bool evidence_share_allows(struct evidence_share *share,
			   const struct prompt *prompt,
			   struct quarantine_verdict *verdict);

/** Adds evidence that the other entries may lack to a load report. */
void evidence_share_add_to_report(struct evidence_share *share, NodeLoad *load);

/**
 * Has the evidence told again: another entry is alive, which may have missed it behind a
 * cut, or knows what this one has missed.
 */
void evidence_share_peer_alive(struct evidence_share *share);

/** Frees what evidence_share_add_to_report() added. */
void evidence_share_free_report(NodeLoad *load);

/** Merges the evidence of another entry's load report. */
void evidence_share_apply_report(struct evidence_share *share,
				 const NodeLoad *load);

#endif
