/**
 * One shard of the job ledger: a fold over the records of its stream, and what
 * the shard's owner decides on top of it.
 *
 * Pure: records, messages and times go in; records to append, grants and
 * answers come out. Times named now_ms are of a monotonic clock, times named
 * wall_ms count from the epoch. Item bodies and results are not kept, only the
 * offsets of the appends that hold them.
 */
#ifndef BRIARPLANK_CORE_LEDGER_H
#define BRIARPLANK_CORE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "batch.pb-c.h"
#include "ledger.pb-c.h"

/** Largest number of items of one job; a grant id has 20 bits for it. */
#define LEDGER_ITEMS_MAX (1u << 20)
/** Most chunks of one submission. */
#define LEDGER_CHUNKS_MAX 65535u
/** Most parts of a job, and items of one part. */
#define LEDGER_PARTS_MAX 1024u
#define LEDGER_PART_ITEMS_MAX 32768u
/** Most parts of a checkpoint. */
#define LEDGER_CHECKPOINT_PARTS_MAX 256u

struct ledger;
struct ledger_job;

enum ledger_item_state {
	ITEM_WAITING,
	/** Non-idempotent, with a durable intent: may be running. */
	ITEM_INTENT,
	ITEM_DONE,
	ITEM_FAILED,
	ITEM_CANCELLED,
	ITEM_OUTCOME_UNKNOWN,
	LEDGER_ITEM_STATES,
};

/** What became of one append. */
enum ledger_fold_result {
	LEDGER_FOLDED,
	/** At or before the position: seen already. */
	LEDGER_OLD,
	/** Written under an epoch that is not in force. */
	LEDGER_VOID,
	/** A second copy of an append whose answer was lost. */
	LEDGER_REPEATED,
	/** A claim that names another previous claim than the one in force. */
	LEDGER_CLAIM_LOST,
	/** Not an append at all. */
	LEDGER_GARBAGE,
};

/** What became of a request to the owner. */
enum ledger_status {
	/** Already so; nothing was queued. */
	LEDGER_OK,
	/** A record is queued: the answer counts once it is durable. */
	LEDGER_QUEUED,
	LEDGER_CONFLICT,
	LEDGER_UNKNOWN_JOB,
	LEDGER_EXPIRED,
	LEDGER_NOT_OWNER,
	/** The chunks are not all there, or don't fit the seal. */
	LEDGER_BAD_SUBMISSION,
	LEDGER_OVERLOADED,
	/** A line of a part can't stand beside the other parts. */
	LEDGER_BAD_LINE,
	/** The grant is not in force and the item needs no outcome. */
	LEDGER_VOID_GRANT,
};

struct ledger_options {
	uint32_t shard;
	/** This node; owned by the caller. */
	const char *self;
	uint64_t incarnation;
	/** Time for which a grant holds unless renewed. */
	uint32_t lease_ms;
	/**
	 * Time after a takeover in which agents renew what they hold, before
	 * items that may be in flight are granted again.
	 */
	uint32_t adopt_ms;
	/** Bytes of queued records above which nothing more is granted. */
	size_t outbox_max_bytes;
};

/** Where the newest checkpoint that is known to be valid stands. */
struct ledger_checkpoint_place {
	uint64_t as_of_offset;
	uint64_t part_offsets[LEDGER_CHECKPOINT_PARTS_MAX];
	uint32_t parts;
};

/** One item to hand to an agent; the body is read at body_offset. */
struct ledger_grant_out {
	uint64_t grant_id;
	const uint8_t *job_id;
	uint32_t item;
	uint32_t attempt;
	uint64_t body_offset;
	/** Index of the item within its chunk. */
	uint32_t body_index;
	const char *path;
	bool idempotent;
	bool alone;
	/** Records that must be durable before the grant may be sent; 0: none. */
	uint64_t mark;
};

/** A grant that became void while its agent holds it. */
struct ledger_revoked {
	uint64_t grant_id;
	/** Epoch under which the agent holds it. */
	uint64_t epoch;
	char *agent;
};

/** Where an ended item's id and result are. */
struct ledger_result_place {
	uint32_t item;
	enum ledger_item_state state;
	uint64_t body_offset;
	uint32_t body_index;
	/** 0 when the state is all there is. */
	uint64_t result_offset;
};

struct ledger *ledger_create(const struct ledger_options *options);
void ledger_destroy(struct ledger *ledger);

/** Folds one append; offsets must rise. */
enum ledger_fold_result ledger_fold(struct ledger *ledger, uint64_t offset,
				    uint64_t stored_ms,
				    const Briarplank__ShardAppend *append);

/** Folds packed bytes. */
enum ledger_fold_result ledger_fold_bytes(struct ledger *ledger,
					  uint64_t offset, uint64_t stored_ms,
					  const uint8_t *bytes, size_t len);

/** Says what became of an append, for logs. */
const char *ledger_fold_text(enum ledger_fold_result result);

/** Forgets everything, as after ledger_create. */
void ledger_reset(struct ledger *ledger);

/**
 * Begins at a first record that is not the stream's first, without a
 * checkpoint: the first claim then counts whatever claim it names.
 */
void ledger_start_headless(struct ledger *ledger, uint64_t first_offset);

uint64_t ledger_position(const struct ledger *ledger);
/** Offset of the claim in force; 0 before any. */
uint64_t ledger_epoch(const struct ledger *ledger);
/** Name of the owner by the claim in force; empty without one. */
const char *ledger_owner(const struct ledger *ledger);
uint64_t ledger_owner_incarnation(const struct ledger *ledger);
/** The claim in force is this node's own. */
bool ledger_owned(const struct ledger *ledger);

/** Packs a claim on the shard, or its release. */
GByteArray *ledger_pack_claim(const struct ledger *ledger, bool release);

/** Begins to grant after a takeover; what may be in flight waits adopt_ms. */
void ledger_take_over(struct ledger *ledger, uint64_t now_ms);

/** Packs the next append of queued records; NULL when there is none. */
GByteArray *ledger_next_append(struct ledger *ledger, size_t max_bytes);
/** Packs a chunk that its owner appends anew. */
GByteArray *ledger_pack_chunk(struct ledger *ledger,
			      Briarplank__JobChunk *chunk);
/** Tells whether the append packed last was folded. */
bool ledger_append_folded(const struct ledger *ledger);
size_t ledger_outbox_bytes(const struct ledger *ledger);
/** Number of records ever queued, and of those known to be durable. */
uint64_t ledger_queued(const struct ledger *ledger);
uint64_t ledger_durable(const struct ledger *ledger);

enum ledger_status ledger_seal(struct ledger *ledger,
			       const Briarplank__SealJob *seal,
			       uint64_t wall_ms);
/**
 * Stores a part of a job whose chunks are in the stream. A message is set for
 * LEDGER_CONFLICT and LEDGER_BAD_LINE.
 */
enum ledger_status ledger_store_part(struct ledger *ledger,
				     const Briarplank__StorePart *store,
				     uint64_t wall_ms);
enum ledger_status ledger_cancel(struct ledger *ledger,
				 ProtobufCBinaryData job_id, uint64_t wall_ms);
enum ledger_status ledger_claim_key(struct ledger *ledger,
				    const Briarplank__ClaimKey *claim,
				    uint64_t wall_ms);
/** Compares a claim with the one in the ledger, once that is durable. */
Briarplank__ClaimKeyReply__Code ledger_key_result(
	const struct ledger *ledger, const Briarplank__ClaimKey *claim,
	const char **winner);

/** Finds a job; an expired one too. */
struct ledger_job *ledger_find(const struct ledger *ledger,
			       ProtobufCBinaryData job_id);
enum ledger_status ledger_job_status(const struct ledger_job *job,
				     uint64_t wall_ms);
bool ledger_job_same_content(const struct ledger_job *job,
			     ProtobufCBinaryData content_hash);
/** Tells whether a seal asks for just this job. */
bool ledger_seal_matches(const struct ledger_job *job,
			 const Briarplank__SealJob *seal);
/** Fills a state message; texts belong to the job. */
void ledger_job_state(const struct ledger_job *job, uint64_t wall_ms,
		      Briarplank__JobState *state);
/** Visits every job that has not expired. */
void ledger_each_job(struct ledger *ledger,
		     void (*fn)(void *ctx, struct ledger_job *job), void *ctx);
const char *ledger_item_status(enum ledger_item_state state);
/** Lists ended items from an index on; returns the index to go on from. */
uint32_t ledger_results(const struct ledger_job *job, uint32_t from_item,
			GArray *places, uint32_t max_nr, bool *more);
uint32_t ledger_job_items(const struct ledger_job *job);
uint32_t ledger_job_shard(const struct ledger_job *job);

/** Grants one item of a job to an agent; false when none may be granted. */
bool ledger_grant(struct ledger_job *job, const char *agent, bool want_alone,
		  uint64_t now_ms, struct ledger_grant_out *out);
/** Tells whether a job has an item that may be granted now. */
bool ledger_grantable(struct ledger_job *job, bool alone, uint64_t now_ms);
/** Grants no item that needs an intent, such as while the log is out. */
void ledger_pause_intents(struct ledger *ledger, bool pause);
/** Tells whether a grant is in force, such as before it is sent. */
bool ledger_grant_live(const struct ledger *ledger, uint64_t grant_id,
		       uint64_t epoch);
/** Takes back a grant that was never sent. */
void ledger_ungrant(struct ledger *ledger, uint64_t grant_id);
/** Renews a lease, or adopts a grant of an earlier owner. */
bool ledger_renew(struct ledger *ledger, const Briarplank__GrantRef *ref,
		  const char *agent, uint64_t now_ms);
/** Takes an outcome; attempts_max bounds the attempts of an item. */
enum ledger_status ledger_complete(struct ledger *ledger,
				   const Briarplank__ItemOutcome *outcome,
				   uint32_t attempts_max, uint64_t wall_ms);
/** Bound of the attempts of a service's items. */
typedef uint32_t (*ledger_attempts_fn)(void *ctx, const char *service);
/** Lapses leases. */
void ledger_expire(struct ledger *ledger, ledger_attempts_fn attempts_max,
		   void *ctx, uint64_t now_ms, uint64_t wall_ms);
/** Counts an agent's grants; alone tells whether one must run alone. */
uint32_t ledger_agent_grants(const struct ledger *ledger, const char *agent,
			     bool *alone);
/** Service of the job that a grant belongs to, or NULL. */
const char *ledger_grant_service(const struct ledger *ledger,
				 uint64_t grant_id);
/** Takes the grants that became void; free with g_ptr_array_free. */
GPtrArray *ledger_take_revoked(struct ledger *ledger);
unsigned ledger_grants_nr(const struct ledger *ledger);

/** Packs the parts of a checkpoint as of the position (GByteArray each). */
GPtrArray *ledger_checkpoint_parts(const struct ledger *ledger);
/** Packs the append of one part. */
GByteArray *ledger_pack_part(struct ledger *ledger, const GByteArray *state,
			     uint64_t as_of, uint32_t part, uint32_t parts);
/** Packs an append that only points to the newest checkpoint. */
GByteArray *ledger_pack_hint(struct ledger *ledger);
/** Loads one part into an empty ledger. */
bool ledger_load_part(struct ledger *ledger,
		      const Briarplank__Checkpoint *part);
/** Notes where the checkpoint stands that was loaded. */
void ledger_set_checkpoint(struct ledger *ledger,
			   const struct ledger_checkpoint_place *place);
/** The newest checkpoint that was folded whole; parts is 0 without one. */
const struct ledger_checkpoint_place *ledger_checkpoint(
	const struct ledger *ledger);

/** Lists the offsets up to the horizon that are still needed, in order. */
void ledger_stale(const struct ledger *ledger, uint64_t horizon,
		  GArray *offsets);
/**
 * Queues the still needed results of an old append anew. True when it is a
 * chunk that is needed, which the caller appends.
 */
bool ledger_refresh(struct ledger *ledger, uint64_t offset,
		    Briarplank__ShardAppend *append);

/** Smoothes the rate at which the items of each open job end. */
void ledger_measure(struct ledger *ledger, uint64_t wall_ms);

/** Forgets chunks that were never sealed, old keys, and expired items. */
void ledger_sweep(struct ledger *ledger, uint64_t wall_ms);

#endif
