/**
 * State machine of one shard of the job ledger. It folds (applies, in order)
 * the records of the shard's stream into the state of the jobs. On the node
 * that owns the shard it also grants items to agents and queues new records.
 *
 * This module does no I/O. The caller passes in records, messages and times,
 * and takes out records to append, grants and answers. An argument now_ms is a
 * time of the monotonic clock, and wall_ms a time since the Unix epoch. Item
 * bodies and results are not kept, only the offsets of the appends that hold
 * them.
 */
#ifndef BRIARPLANK_CORE_LEDGER_H
#define BRIARPLANK_CORE_LEDGER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "batch.pb-c.h"
#include "ledger.pb-c.h"

/** Maximum number of items of a job; a grant id has 20 bits for the item. */
#define LEDGER_ITEMS_MAX (1u << 20)
/** Maximum number of chunks of a submission. */
#define LEDGER_CHUNKS_MAX 65535u
/** Maximum number of parts of a job sent in parts, and of items of a part. */
#define LEDGER_PARTS_MAX 1024u
#define LEDGER_PART_ITEMS_MAX 32768u
/** Maximum number of parts of a checkpoint. */
#define LEDGER_CHECKPOINT_PARTS_MAX 256u

struct ledger;
struct ledger_job;

enum ledger_item_state {
	ITEM_WAITING,
	/**
	 * The item is not idempotent and may be running: the record of the
	 * intent to run it is durable.
	 */
	ITEM_INTENT,
	ITEM_DONE,
	ITEM_FAILED,
	ITEM_CANCELLED,
	ITEM_OUTCOME_UNKNOWN,
	LEDGER_ITEM_STATES,
};

/** Result of folding (applying) one append. */
enum ledger_fold_result {
	LEDGER_FOLDED,
	/**
	 * The append's offset is not after that of the last record applied, so
	 * it was applied before.
	 */
	LEDGER_ALREADY_FOLDED,
	/**
	 * The append was written under an epoch that is not the current one.
	 */
	LEDGER_WRONG_EPOCH,
	/**
	 * The append is a duplicate: its writer got no reply and sent it again.
	 */
	LEDGER_DUPLICATE,
	/**
	 * The append is a claim that names a previous claim other than the
	 * current one.
	 */
	LEDGER_CLAIM_LOST,
	/**
	 * The append can't be decoded, or its fields are missing or invalid.
	 */
	LEDGER_MALFORMED,
};

/** Result of a request to the owner. */
enum ledger_status {
	/** The requested state already holds; nothing was queued. */
	LEDGER_OK,
	/** A record is queued; the reply must wait until it is durable. */
	LEDGER_QUEUED,
	LEDGER_CONFLICT,
	LEDGER_UNKNOWN_JOB,
	LEDGER_EXPIRED,
	LEDGER_NOT_OWNER,
	/**
	 * The request is invalid, or its chunks are missing or don't match it.
	 */
	LEDGER_BAD_SUBMISSION,
	LEDGER_OVERLOADED,
	/** The id of an item is already used in another part of the job. */
	LEDGER_BAD_LINE,
	/** The grant is not current, and the outcome is not accepted. */
	LEDGER_VOID_GRANT,
};

struct ledger_options {
	uint32_t shard;
	/** Name of this node; owned by the caller. */
	const char *self;
	uint64_t incarnation;
	/** Lease of a grant in ms; the agent must renew it within this time. */
	uint32_t lease_ms;
	/**
	 * Time in ms after a takeover in which agents can renew the grants that
	 * they hold. Items that may be in flight are granted again when it has
	 * passed.
	 */
	uint32_t adopt_ms;
	/**
	 * Limit in bytes of the records queued; no item is granted while it is
	 * exceeded.
	 */
	size_t outbox_max_bytes;
};

/** Location of a checkpoint in the stream. */
struct ledger_checkpoint_location {
	uint64_t as_of_offset;
	uint64_t part_offsets[LEDGER_CHECKPOINT_PARTS_MAX];
	uint32_t parts;
};

/** A granted item to send to an agent. */
struct ledger_granted_item {
	uint64_t grant_id;
	const uint8_t *job_id;
	uint32_t item;
	uint32_t attempt;
	/** Offset of the chunk that holds the item's body. */
	uint64_t body_offset;
	/** Index of the item within its chunk. */
	uint32_t body_index;
	const char *path;
	bool idempotent;
	bool alone;
	/**
	 * The grant may be sent once ledger_durable() has reached this number;
	 * 0 if it needn't wait.
	 */
	uint64_t required_durable;
};

/** A revoked grant whose agent must be notified. */
struct ledger_revoked {
	uint64_t grant_id;
	/** Epoch under which the item was granted. */
	uint64_t epoch;
	char *agent;
};

/** Location of the id and the result of an item that has ended. */
struct ledger_result_location {
	uint32_t item;
	enum ledger_item_state state;
	uint64_t body_offset;
	uint32_t body_index;
	/** Offset of the append with the result; 0 if there is none. */
	uint64_t result_offset;
};

/** Creates an empty ledger; the options are copied. */
struct ledger *ledger_create(const struct ledger_options *options);
void ledger_destroy(struct ledger *ledger);

/** Folds (applies) one append. Offsets must increase from call to call. */
enum ledger_fold_result ledger_fold(struct ledger *ledger, uint64_t offset,
				    uint64_t stored_ms,
				    const Briarplank__ShardAppend *append);

/** Decodes and applies one append. */
enum ledger_fold_result ledger_fold_bytes(struct ledger *ledger,
					  uint64_t offset, uint64_t stored_ms,
					  const uint8_t *bytes, size_t len);

/**
 * Returns the result of folding an append as a predicate for logs, such as "is
 * a duplicate".
 */
const char *ledger_fold_result_text(enum ledger_fold_result result);

/** Returns the ledger to its state after ledger_create(). */
void ledger_reset(struct ledger *ledger);

/**
 * Sets the ledger to start at first_offset without a checkpoint, because older
 * records are no longer in the stream. The first claim is then accepted,
 * whatever previous claim it names.
 */
void ledger_start_truncated(struct ledger *ledger, uint64_t first_offset);

/** Returns the offset of the last record that was applied. */
uint64_t ledger_position(const struct ledger *ledger);
/** Returns the epoch: the offset of the current claim, or 0 without one. */
uint64_t ledger_epoch(const struct ledger *ledger);
/** Returns the name of the current owner; empty if there is none. */
const char *ledger_owner(const struct ledger *ledger);
uint64_t ledger_owner_incarnation(const struct ledger *ledger);
/** Returns true if this node made the current claim in this incarnation. */
bool ledger_owned(const struct ledger *ledger);

/** Packs an append that claims the shard, or releases it. */
GByteArray *ledger_pack_claim(const struct ledger *ledger, bool release);

/**
 * Prepares granting after a takeover. Items that may be in flight are not
 * granted again for adopt_ms.
 */
void ledger_take_over(struct ledger *ledger, uint64_t now_ms);

/** Packs queued records into an append; returns NULL if none are queued. */
GByteArray *ledger_next_append(struct ledger *ledger, size_t max_bytes);
/** Packs a chunk for the owner to append again. */
GByteArray *ledger_pack_chunk(struct ledger *ledger,
			      Briarplank__JobChunk *chunk);
/** Returns true if the append that was packed last has been applied. */
bool ledger_last_append_folded(const struct ledger *ledger);
/** Returns the size of the records that wait to be packed. */
size_t ledger_outbox_bytes(const struct ledger *ledger);
/** Returns the number of records queued since creation or ledger_reset(). */
uint64_t ledger_queued(const struct ledger *ledger);
/** Returns how many of the queued records are known to be durable. */
uint64_t ledger_durable(const struct ledger *ledger);

/**
 * Queues the record that seals a job, which makes its chunks or parts final.
 * Sets an error message if the stored parts don't match the request, else
 * clears the message.
 */
enum ledger_status ledger_seal(struct ledger *ledger,
			       const Briarplank__SealJob *seal,
			       uint64_t wall_ms);
/**
 * Stores a part of a job whose chunks are in the stream. An error message is
 * set for LEDGER_CONFLICT and LEDGER_BAD_LINE.
 */
enum ledger_status ledger_store_part(struct ledger *ledger,
				     const Briarplank__StorePart *store,
				     uint64_t wall_ms);
enum ledger_status ledger_cancel(struct ledger *ledger,
				 ProtobufCBinaryData job_id, uint64_t wall_ms);
/** Claims an idempotency key for a request, or releases it. */
enum ledger_status ledger_claim_key(struct ledger *ledger,
				    const Briarplank__ClaimKey *claim,
				    uint64_t wall_ms);
/** Returns the reply to a key's claim or release whose record is durable. */
Briarplank__ClaimKeyReply__Code ledger_claim_key_result(
	const struct ledger *ledger, const Briarplank__ClaimKey *claim,
	const char **winner);

/** Finds a job, including an expired one; NULL if there is none. */
struct ledger_job *ledger_find(const struct ledger *ledger,
			       ProtobufCBinaryData job_id);
/** Returns LEDGER_EXPIRED if the job has expired, else LEDGER_OK. */
enum ledger_status ledger_job_status(const struct ledger_job *job,
				     uint64_t wall_ms);
bool ledger_job_same_content(const struct ledger_job *job,
			     ProtobufCBinaryData content_hash);
/** Returns true if the request to seal a job has the job's content. */
bool ledger_seal_matches(const struct ledger_job *job,
			 const Briarplank__SealJob *seal);
/** Fills in a message with the job's state; strings stay owned by the job. */
void ledger_job_state(const struct ledger_job *job, uint64_t wall_ms,
		      Briarplank__JobState *state);
/** Calls fn for every job that has not expired. */
void ledger_each_job(struct ledger *ledger,
		     void (*fn)(void *ctx, struct ledger_job *job), void *ctx);
/** Returns the name of an item state as callers see it. */
const char *ledger_item_status(enum ledger_item_state state);
/**
 * Adds the locations of ended items from an index on, until locations holds
 * max_nr. Returns the index to continue from, and sets more if items follow.
 */
uint32_t ledger_results(const struct ledger_job *job, uint32_t from_item,
			GArray *locations, uint32_t max_nr, bool *more);
uint32_t ledger_job_items(const struct ledger_job *job);
uint32_t ledger_job_shard(const struct ledger_job *job);

/**
 * Grants one item of a job to an agent. Returns false if none can be granted.
 */
bool ledger_grant(struct ledger_job *job, const char *agent, bool want_alone,
		  uint64_t now_ms, struct ledger_granted_item *out);
/** Returns true if the job has an item that can be granted now. */
bool ledger_grantable(struct ledger_job *job, bool alone, uint64_t now_ms);
/**
 * Stops or resumes the granting of non-idempotent items. They need a durable
 * record of the intent to run them, which can't be written while the log is
 * unavailable.
 */
void ledger_pause_intents(struct ledger *ledger, bool pause);
/** Returns true if a grant is current. Check this before sending it. */
bool ledger_grant_is_current(const struct ledger *ledger, uint64_t grant_id,
			     uint64_t epoch);
/** Withdraws a grant that was never sent. */
void ledger_grant_withdraw(struct ledger *ledger, uint64_t grant_id);
/**
 * Renews a lease, or adopts a grant of a previous owner. Returns false if the
 * grant is not valid any more.
 */
bool ledger_renew(struct ledger *ledger, const Briarplank__GrantRef *ref,
		  const char *agent, uint64_t now_ms);
/**
 * Handles an agent's report of an outcome. An item fails after attempts_max
 * attempts.
 */
enum ledger_status ledger_complete(struct ledger *ledger,
				   const Briarplank__ItemOutcome *outcome,
				   uint32_t attempts_max, uint64_t wall_ms);
/** Returns the maximum number of attempts of an item of the service. */
typedef uint32_t (*ledger_attempts_fn)(void *ctx, const char *service);
/** Ends the grants whose lease has expired. */
void ledger_expire_leases(struct ledger *ledger,
			  ledger_attempts_fn attempts_max, void *ctx,
			  uint64_t now_ms, uint64_t wall_ms);
/**
 * Returns the number of an agent's grants, and sets alone if one of their items
 * must run alone.
 */
uint32_t ledger_agent_grants(const struct ledger *ledger, const char *agent,
			     bool *alone);
/** Returns the service of the job that a grant belongs to, or NULL. */
const char *ledger_grant_service(const struct ledger *ledger,
				 uint64_t grant_id);
/**
 * Returns the grants (struct ledger_revoked) revoked since the last call. The
 * caller frees the array with g_ptr_array_free().
 */
GPtrArray *ledger_take_revoked(struct ledger *ledger);
unsigned ledger_grants_nr(const struct ledger *ledger);

/**
 * Packs a checkpoint of the state after the last record applied; each part is a
 * GByteArray.
 */
GPtrArray *ledger_checkpoint_parts(const struct ledger *ledger);
/** Packs the append that holds one part of a checkpoint. */
GByteArray *ledger_pack_checkpoint_part(struct ledger *ledger,
					const GByteArray *state, uint64_t as_of,
					uint32_t part, uint32_t parts);
/** Packs an append that holds only a pointer to the newest checkpoint. */
GByteArray *ledger_pack_hint(struct ledger *ledger);
/** Loads one part of a checkpoint; the ledger must start empty. */
bool ledger_load_checkpoint_part(struct ledger *ledger,
				 const Briarplank__Checkpoint *part);
/** Sets the location of the checkpoint that was loaded. */
void ledger_set_checkpoint(struct ledger *ledger,
			   const struct ledger_checkpoint_location *location);
/**
 * Returns the location of the newest checkpoint whose parts were all applied;
 * its field parts is 0 if there is none.
 */
const struct ledger_checkpoint_location *ledger_checkpoint(
	const struct ledger *ledger);

/**
 * Lists, in order, the offsets up to horizon of appends that hold chunks or
 * results still needed.
 */
void ledger_list_old_offsets(const struct ledger *ledger, uint64_t horizon,
			     GArray *offsets);
/**
 * Queues the results of an old append that are still needed. Returns true if
 * the append is a chunk that is still needed; the caller then appends it with
 * ledger_pack_chunk().
 */
bool ledger_reappend(struct ledger *ledger, uint64_t offset,
		     Briarplank__ShardAppend *append);

/** Updates the smoothed rate at which the items of each open job end. */
void ledger_update_rates(struct ledger *ledger, uint64_t wall_ms);

/**
 * Frees the items of expired jobs, and expired keys, chunks and parts of jobs.
 */
void ledger_remove_expired(struct ledger *ledger, uint64_t wall_ms);

#endif
