/**
 * Data structures of a ledger shard, private to core/ledger_*.c.
 *
 * State that is computed from records is the same for every reader. State that
 * only the shard's owner has (grants, leases, records not yet durable) is
 * marked volatile and is lost in a takeover.
 */
#ifndef BRIARPLANK_CORE_LEDGER_STATE_H
#define BRIARPLANK_CORE_LEDGER_STATE_H

#include <glib.h>

#include "batch.pb-c.h"
#include "common/hash.h"
#include "common/list.h"
#include "core/ledger.h"
#include "ledger.pb-c.h"

enum {
	/** The item may run more than once. */
	ITEM_IDEMPOTENT = 1 << 0,
	/**
	 * A server was lost while it ran the item, so the item next runs alone.
	 */
	ITEM_SUSPECT = 1 << 1,
	/** Volatile: the item is granted. */
	ITEM_GRANTED = 1 << 2,
	/** Volatile: a record that ends the item or an attempt is queued. */
	ITEM_ENDING = 1 << 3,
	/** Volatile: the item is in its job's retry queue. */
	ITEM_QUEUED = 1 << 4,
};

/**
 * Flags that are computed from records; only the shard's owner has the other
 * flags.
 */
#define ITEM_DURABLE_FLAGS (ITEM_IDEMPOTENT | ITEM_SUSPECT)

/** An item: its state, and the location of its body and result. */
struct ledger_item {
	/** Offset of the append that holds the result; 0 if there is none. */
	uint64_t result_offset;
	/** Index of the item's chunk in the job's chunks. */
	uint16_t chunk;
	/** Number of the last grant of the item; it wraps around. */
	uint16_t grant_number;
	uint8_t state;
	uint8_t attempts;
	uint8_t flags;
};

/**
 * Hash of an item's id, and the item's line, to find duplicate ids across the
 * parts of a job.
 */
struct ledger_item_mark {
	uint64_t id_hash;
	/** Line of the item within the whole job, counted from 1. */
	uint32_t line;
};

/** Location of consecutive items in the stream. */
struct ledger_chunk {
	uint64_t offset;
	uint32_t first_item;
	uint32_t items;
	/** Index of the chunk within its submission. */
	uint32_t index;
	/**
	 * One bit per item, set if the item is idempotent; NULL once the job is
	 * sealed.
	 */
	uint8_t *idempotent;
	/**
	 * One mark per item if the chunk is in a part of a job that is not
	 * sealed yet, else NULL.
	 */
	struct ledger_item_mark *marks;
};

struct ledger_job {
	struct list link;
	/** Link in the ledger's open_jobs while some items have not ended. */
	struct list open_link;
	struct ledger *ledger;
	uint8_t id[HASH128_BYTES];
	uint8_t content_hash[HASH128_BYTES];
	uint8_t submission_id[HASH128_BYTES];
	/** Submission ids of the job's parts; none for a job sent whole. */
	uint8_t (*part_ids)[HASH128_BYTES];
	uint32_t parts_nr;
	char *name;
	char *caller;
	char *service;
	char *path;
	uint64_t due_ms;
	uint64_t keep_ms;
	uint64_t sealed_ms;
	uint64_t cancelled_ms;
	uint64_t ended_ms;
	uint32_t number;
	uint32_t items_nr;
	struct ledger_item *items;
	struct ledger_chunk *chunks;
	uint32_t chunks_nr;
	uint32_t counts[LEDGER_ITEM_STATES];
	/**
	 * The job has expired: its items are freed and only its description is
	 * kept.
	 */
	bool expired;
	/**
	 * Intents (struct ledger_intent) of items that may be running, keyed by
	 * item.
	 */
	GHashTable *intents;

	/** Volatile: items from this index on have not been granted yet. */
	uint32_t cursor;
	/** Volatile: items to grant again, oldest first. */
	GQueue retry;
	/** Volatile: number of items that are granted. */
	uint32_t granted;
	/** Volatile: number of items that have the flag ITEM_ENDING. */
	uint32_t ending;
	/**
	 * Volatile: items below in_flight_end may be in flight under a previous
	 * owner and are not granted until this time.
	 */
	uint64_t adopt_until_ms;
	uint32_t in_flight_end;
	uint32_t frontier_cursor;
	/** Volatile: number of items that ended since rate_measured_ms. */
	uint32_t rate_ended;
	uint64_t rate_measured_ms;
	/** Smoothed number of items that end per second. */
	double rate_per_s;
	bool cancel_queued;
};

/** The chunks of a job, or of one part of it, that is not sealed yet. */
struct ledger_submission {
	uint8_t id[HASH128_BYTES];
	uint8_t job_id[HASH128_BYTES];
	uint64_t first_ms;
	/** Chunks (struct ledger_chunk), ordered by index; owned. */
	GPtrArray *chunks;
};

/** A stored part of a job that is not sealed yet. */
struct ledger_part {
	uint32_t first_line;
	uint32_t lines;
	struct ledger_submission *submission;
};

/** A job that is sent in parts and not sealed yet. */
struct ledger_draft {
	uint8_t job_id[HASH128_BYTES];
	uint64_t first_ms;
	uint32_t items;
	uint32_t chunks;
	/**
	 * Stored parts (struct ledger_part) at index part number - 1, NULL if
	 * not stored; owned.
	 */
	GPtrArray *parts;
	/**
	 * Marks (struct ledger_item_mark) of all items, keyed by the id's hash.
	 */
	GHashTable *ids;
};

/** An idempotency key that a request has claimed. */
struct ledger_key {
	uint8_t hash[HASH128_BYTES];
	uint8_t content_hash[HASH128_BYTES];
	char *request_id;
	uint64_t claimed_ms;
};

/** The grant under which a non-idempotent item may be running. */
struct ledger_intent {
	uint64_t grant_id;
	/**
	 * Epoch of the grant, needed because grant ids repeat in other epochs.
	 */
	uint64_t epoch;
};

struct ledger_grant {
	struct list link;
	uint64_t id;
	struct ledger_job *job;
	uint32_t item;
	uint64_t expires_ms;
	/** Epoch under which the item was granted. */
	uint64_t epoch;
	/** The lease has expired, but an outcome is still accepted. */
	bool in_grace_period;
	bool alone;
	char agent[];
};

struct ledger {
	struct ledger_options options;
	uint32_t shard;

	/** Offset of the last record applied. */
	uint64_t position;
	/** Latest time in the records applied, in ms since the Unix epoch. */
	uint64_t time_ms;
	/**
	 * The start of the stream is deleted, so the first claim is accepted
	 * whatever previous claim it names.
	 */
	bool log_truncated;
	uint64_t epoch;
	char *owner;
	uint64_t owner_incarnation;
	uint64_t last_sequence;
	uint32_t next_job_number;
	struct list jobs;
	GHashTable *jobs_by_id;
	GHashTable *jobs_by_number;
	GHashTable *submissions;
	GHashTable *drafts;
	GHashTable *keys;
	struct ledger_checkpoint_location checkpoint;
	/**
	 * Checkpoint of the current epoch that still lacks some of its parts.
	 */
	struct ledger_checkpoint_location pending_checkpoint;

	/**
	 * The granting of non-idempotent items, which need an intent, is
	 * stopped.
	 */
	bool intents_paused;
	struct list open_jobs;
	struct list grants;
	GHashTable *grants_by_id;
	/** Records that wait to be packed into an append. */
	GQueue outbox;
	size_t outbox_bytes;
	/**
	 * Numbers of records that were queued, that were packed, and that are
	 * known to be durable.
	 */
	uint64_t queued;
	uint64_t sent;
	uint64_t durable;
	/**
	 * Sequence number of the append in flight, and the value of the field
	 * sent when it was packed.
	 */
	uint64_t sequence;
	uint64_t sequence_sent;
	/**
	 * Content hashes, by job id, of the jobs whose seal record is queued.
	 */
	GHashTable *sealing;
	/**
	 * Request ids, by key hash, of the key claims whose record is queued.
	 */
	GHashTable *claiming;
	/**
	 * Grants (struct ledger_revoked) that were revoked since the last call
	 * of ledger_take_revoked().
	 */
	GPtrArray *revoked;
};

/**
 * Time in ms after which chunks and parts of a job that is not sealed expire.
 */
#define LEDGER_SUBMISSION_KEEP_MS (60 * 60 * 1000ull)

/** Hash and equality of 16-byte ids, for GHashTable. */
guint ledger_id_hash(gconstpointer id);
gboolean ledger_id_equal(gconstpointer a, gconstpointer b);

struct ledger_job *ledger_job_create(struct ledger *ledger,
				     const Briarplank__JobSealed *sealed);
void ledger_job_free(struct ledger_job *job);
/** Marks a job as expired and frees its items. */
void ledger_job_expire(struct ledger_job *job);
/**
 * Adds a job to the ledger's tables, and to open_jobs if it has items that have
 * not ended.
 */
void ledger_job_add(struct ledger *ledger, struct ledger_job *job);
struct ledger_job *ledger_job_find(const struct ledger *ledger,
				   ProtobufCBinaryData id);
/** Returns the number of items that have not ended. */
uint32_t ledger_job_open_nr(const struct ledger_job *job);
/** Sets an item's state and updates the job's counts. */
void ledger_item_set_state(struct ledger_job *job, uint32_t item,
			   enum ledger_item_state state);
bool ledger_item_ended(const struct ledger_item *item);

/** Creates a submission without chunks. */
struct ledger_submission *ledger_submission_new(void);
/** Returns the submission with this id, and creates it if needed. */
struct ledger_submission *ledger_submission_get_or_create(
	struct ledger *ledger, ProtobufCBinaryData submission_id,
	ProtobufCBinaryData job_id);
/** Returns a submission that has not expired, or NULL. */
struct ledger_submission *ledger_submission_find(struct ledger *ledger,
						 ProtobufCBinaryData id);
/**
 * Returns true if the submission's chunks hold exactly the items that a seal
 * record names, in order.
 */
bool ledger_submission_complete(const struct ledger_submission *submission,
				const uint8_t *job_id, uint32_t items);
/** Returns the claim of a key that has not expired, or NULL. */
struct ledger_key *ledger_key_find(const struct ledger *ledger,
				   ProtobufCBinaryData hash);
void ledger_submission_free(gpointer data);
/** Returns a job's draft that has not expired, or NULL. */
struct ledger_draft *ledger_draft_find(const struct ledger *ledger,
				       ProtobufCBinaryData job_id);
bool ledger_draft_expired(const struct ledger *ledger,
			  const struct ledger_draft *draft);
void ledger_draft_free(gpointer data);
/**
 * Adds a submission as a part to the draft of its job, unless it conflicts with
 * a stored part.
 */
void ledger_fold_part_stored(struct ledger *ledger,
			     const Briarplank__PartStored *stored);
/**
 * Adds a part of a job from a checkpoint, and takes ownership of its chunks.
 */
void ledger_load_job_part(struct ledger *ledger,
			  const Briarplank__CheckpointSubmission *in,
			  struct ledger_submission *submission);
/**
 * Fills in the record that seals a job from the job's draft. Sets an error
 * message on a conflict.
 */
enum ledger_status ledger_seal_draft(struct ledger *ledger,
				     const Briarplank__SealJob *seal,
				     Briarplank__JobSealed *sealed);
/**
 * Removes a draft and joins its parts into one submission, which the caller
 * frees. Returns NULL if the parts are not those that the record that seals the
 * job names.
 */
struct ledger_submission *ledger_join_parts(
	struct ledger *ledger, const Briarplank__JobSealed *sealed);
void ledger_chunk_free(gpointer data);
void ledger_key_free(gpointer data);

/** Clears the state that only the owner has. */
void ledger_clear_volatile(struct ledger *ledger);
/** Ends a grant without notifying its agent. */
void ledger_grant_remove(struct ledger *ledger, struct ledger_grant *grant);
/**
 * Ends a grant and adds it to the revoked grants, so that its agent is
 * notified.
 */
void ledger_grant_revoke(struct ledger *ledger, struct ledger_grant *grant);
/** Returns the current grant of an item, or NULL. */
struct ledger_grant *ledger_grant_on_item(struct ledger *ledger,
					  const struct ledger_job *job,
					  uint32_t item);
/** Returns the id of the last grant of an item. */
uint64_t ledger_grant_id(const struct ledger_job *job, uint32_t item);
/**
 * Returns the job that a grant id names, and sets item; NULL if there is none.
 */
struct ledger_job *ledger_grant_find_item(const struct ledger *ledger,
					  uint64_t id, uint32_t *item);
/** Returns the current grant with this id, or NULL. */
struct ledger_grant *ledger_grant_find(const struct ledger *ledger,
				       uint64_t id);
/** Returns the current grant with this id and epoch, or NULL. */
struct ledger_grant *ledger_grant_find_ref(const struct ledger *ledger,
					   const Briarplank__GrantRef *ref);
/** Returns true if the item has an intent and it names this grant. */
bool ledger_intent_matches(const struct ledger_job *job, uint32_t item,
			   const Briarplank__GrantRef *ref);
/** Sets or clears ITEM_ENDING and updates the job's count. */
void ledger_item_set_ending(struct ledger_job *job, uint32_t item, bool ending);
/** Adds an item to the retry queue, unless it is already queued. */
void ledger_item_requeue(struct ledger_job *job, uint32_t item);

/** Queues a record for the next append and takes ownership of it. */
void ledger_queue_record(struct ledger *ledger,
			 Briarplank__LedgerRecord *record);
/** Creates an empty record of the given kind. */
Briarplank__LedgerRecord *ledger_record_new(
	Briarplank__LedgerRecord__BodyCase kind);
/** Queues a record that ends an item. */
void ledger_queue_item_ended(struct ledger_job *job, uint32_t item,
			     Briarplank__ItemEnded__State state,
			     uint64_t wall_ms, ProtobufCBinaryData body,
			     const char *error);
/** Returns a copy of the bytes as a message field. */
ProtobufCBinaryData ledger_copy_bytes(const void *data, size_t len);

#endif
