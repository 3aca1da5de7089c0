/**
 * The data of a ledger shard, shared by the modules of core/ledger_*.c.
 *
 * What the fold makes of the records is the same for every reader. What the
 * owner alone knows (grants, leases, records not yet durable) is volatile and
 * gone after a takeover.
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
	/** A server was lost while it ran the item. */
	ITEM_SUSPECT = 1 << 1,
	/** Volatile: a grant on the item is in force. */
	ITEM_GRANTED = 1 << 2,
	/** Volatile: a record that ends the item is queued. */
	ITEM_ENDING = 1 << 3,
	/** Volatile: the item is in its job's retry queue. */
	ITEM_QUEUED = 1 << 4,
};

/** Flags that the fold makes, as against those of the owner. */
#define ITEM_DURABLE_FLAGS (ITEM_IDEMPOTENT | ITEM_SUSPECT)

/** One item: no body, no result, only where they are. */
struct ledger_item {
	/** Offset of the append that holds the result; 0 without one. */
	uint64_t result_offset;
	/** Index among the job's chunks. */
	uint16_t chunk;
	/** Number of the last grant on the item, modulo its bits. */
	uint16_t nonce;
	uint8_t state;
	uint8_t attempts;
	uint8_t flags;
};

/** What finds an id twice in two parts of a job, and names the lines. */
struct ledger_item_mark {
	uint64_t id_hash;
	/** Within the whole job, from 1 on. */
	uint32_t line;
};

/** Where a run of items stands in the stream. */
struct ledger_chunk {
	uint64_t offset;
	uint32_t first_item;
	uint32_t items;
	/** Place within the submission. */
	uint32_t index;
	/** One bit an item until the submission is sealed, then NULL. */
	uint8_t *idempotent;
	/** One an item of a part until the job is sealed, else NULL. */
	struct ledger_item_mark *marks;
};

struct ledger_job {
	struct list link;
	/** In the list of jobs with items that have not ended. */
	struct list open_link;
	struct ledger *ledger;
	uint8_t id[HASH128_BYTES];
	uint8_t content_hash[HASH128_BYTES];
	uint8_t submission_id[HASH128_BYTES];
	/** Submission ids of the parts; none of a job sent whole. */
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
	/** Only the name is left. */
	bool expired;
	/** Open intents (struct ledger_intent) by item. */
	GHashTable *intents;

	/** Volatile: first item that may never have been granted. */
	uint32_t cursor;
	/** Volatile: items that wait for another attempt. */
	GQueue retry;
	uint32_t granted;
	/** Volatile: items with a queued record that ends an attempt. */
	uint32_t ending;
	/** Volatile: items below the frontier wait until this time. */
	uint64_t held_until_ms;
	uint32_t frontier;
	uint32_t frontier_cursor;
	/** Volatile: items that ended since the last measurement. */
	uint32_t rate_ended;
	uint64_t rate_measured_ms;
	/** Smoothed items that end in a second. */
	double rate_per_s;
	bool cancel_queued;
};

/** Chunks whose seal is still missing. */
struct ledger_submission {
	uint8_t id[HASH128_BYTES];
	uint8_t job_id[HASH128_BYTES];
	uint64_t first_ms;
	/** Of struct ledger_chunk, by index; owned. */
	GPtrArray *chunks;
};

/** A stored part of a job that is not sealed. */
struct ledger_part {
	uint32_t first_line;
	uint32_t lines;
	struct ledger_submission *submission;
};

/** What is stored of a job that is sent in parts, until its seal. */
struct ledger_draft {
	uint8_t job_id[HASH128_BYTES];
	uint64_t first_ms;
	uint32_t items;
	uint32_t chunks;
	/** Of struct ledger_part, or NULL, by number less 1; owned. */
	GPtrArray *parts;
	/** struct ledger_item_mark of all items, by the hash of the id. */
	GHashTable *ids;
};

struct ledger_key {
	uint8_t hash[HASH128_BYTES];
	uint8_t content_hash[HASH128_BYTES];
	char *request_id;
	uint64_t claimed_ms;
};

/** A grant of a non-idempotent item that may be running. */
struct ledger_intent {
	uint64_t grant_id;
	/** Grant ids repeat in another epoch. */
	uint64_t epoch;
};

struct ledger_grant {
	struct list link;
	uint64_t id;
	struct ledger_job *job;
	uint32_t item;
	uint64_t expires_ms;
	/** Epoch under which the agent holds it. */
	uint64_t epoch;
	/** Its lease has lapsed, its outcome may still come. */
	bool grace;
	bool alone;
	char agent[];
};

struct ledger {
	struct ledger_options options;
	uint32_t shard;

	/** Offset of the last record folded. */
	uint64_t position;
	uint64_t time_ms;
	/** Older records are lost: the first claim counts. */
	bool headless;
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
	struct ledger_checkpoint_place checkpoint;
	/** Parts of a checkpoint of the epoch in force seen so far. */
	struct ledger_checkpoint_place partial;

	/** No item that needs an intent is granted. */
	bool intents_paused;
	struct list open_jobs;
	struct list grants;
	GHashTable *grants_by_id;
	/** Records that wait for the next append. */
	GQueue outbox;
	size_t outbox_bytes;
	uint64_t queued;
	uint64_t sent;
	uint64_t durable;
	/** Sequence of the append in flight and the records it covers. */
	uint64_t sequence;
	uint64_t sequence_mark;
	/** Jobs and keys with a queued record. */
	GHashTable *sealing;
	GHashTable *claiming;
	/** Items whose grant became void, with the agent; for the task. */
	GPtrArray *revoked;
};

/** Time after which chunks and parts without a seal lapse, in ms. */
#define LEDGER_SUBMISSION_KEEP_MS (60 * 60 * 1000ull)

/** Hash and equality of 16-byte ids. */
guint ledger_id_hash(gconstpointer id);
gboolean ledger_id_equal(gconstpointer a, gconstpointer b);

struct ledger_job *ledger_job_create(struct ledger *ledger,
				     const Briarplank__JobSealed *sealed);
void ledger_job_free(struct ledger_job *job);
/** Frees what an expired job no longer needs. */
void ledger_job_expire(struct ledger_job *job);
/** Adds a job to the tables, and to the open jobs while items are open. */
void ledger_job_add(struct ledger *ledger, struct ledger_job *job);
struct ledger_job *ledger_job_find(const struct ledger *ledger,
				   ProtobufCBinaryData id);
/** Items that have not ended. */
uint32_t ledger_job_open_nr(const struct ledger_job *job);
/** Moves an item to another state and keeps the counts. */
void ledger_item_set(struct ledger_job *job, uint32_t item,
		     enum ledger_item_state state);
bool ledger_item_ended(const struct ledger_item *item);

/** Makes an empty set of chunks. */
struct ledger_submission *ledger_submission_new(void);
struct ledger_submission *ledger_submission_get(
	struct ledger *ledger, ProtobufCBinaryData submission_id,
	ProtobufCBinaryData job_id);
/** Returns a set of chunks that has not lapsed, or NULL. */
struct ledger_submission *ledger_submission_find(struct ledger *ledger,
						 ProtobufCBinaryData id);
/** Tells whether the chunks hold exactly the items of a seal, in order. */
bool ledger_submission_complete(const struct ledger_submission *submission,
				const uint8_t *job_id, uint32_t items);
/** Returns the claim of a key that has not lapsed, or NULL. */
struct ledger_key *ledger_key_find(const struct ledger *ledger,
				   ProtobufCBinaryData hash);
void ledger_submission_free(gpointer data);
/** Returns what is stored of a job and has not lapsed, or NULL. */
struct ledger_draft *ledger_draft_find(const struct ledger *ledger,
				       ProtobufCBinaryData job_id);
bool ledger_draft_lapsed(const struct ledger *ledger,
			 const struct ledger_draft *draft);
void ledger_draft_free(gpointer data);
/** Makes a set of chunks a part, unless what is stored forbids it. */
void ledger_fold_part(struct ledger *ledger,
		      const Briarplank__PartStored *stored);
/** Adds a part from a checkpoint; takes ownership of its chunks. */
void ledger_load_stored_part(struct ledger *ledger,
			     const Briarplank__CheckpointSubmission *in,
			     struct ledger_submission *submission);
/** Fills a seal's record from the stored parts; a message is set on a fault. */
enum ledger_status ledger_seal_draft(struct ledger *ledger,
				     const Briarplank__SealJob *seal,
				     Briarplank__JobSealed *sealed);
/** Joins the parts that a seal names, or NULL; to be freed. */
struct ledger_submission *ledger_take_parts(
	struct ledger *ledger, const Briarplank__JobSealed *sealed);
void ledger_chunk_free(gpointer data);
void ledger_key_free(gpointer data);

/** Forgets all that only the owner knows. */
void ledger_drop_volatile(struct ledger *ledger);
/** Ends a grant without a word to the agent. */
void ledger_grant_remove(struct ledger *ledger, struct ledger_grant *grant);
/** Ends a grant whose agent must be told. */
void ledger_grant_revoke(struct ledger *ledger, struct ledger_grant *grant);
/** Finds the grant in force on an item, or NULL. */
struct ledger_grant *ledger_grant_of(struct ledger *ledger,
				     const struct ledger_job *job,
				     uint32_t item);
uint64_t ledger_grant_id(const struct ledger_job *job, uint32_t item);
/** Finds the job and item that a grant id names, or NULL. */
struct ledger_job *ledger_grant_target(const struct ledger *ledger, uint64_t id,
				       uint32_t *item);
/** Finds a grant in force by its id, or NULL. */
struct ledger_grant *ledger_grant_find(const struct ledger *ledger,
				       uint64_t id);
/** Finds the grant that an agent means: ids repeat in another epoch. */
struct ledger_grant *ledger_grant_of_ref(const struct ledger *ledger,
					 const Briarplank__GrantRef *ref);
/** Tells whether the item's open intent names this grant. */
bool ledger_intent_of_ref(const struct ledger_job *job, uint32_t item,
			  const Briarplank__GrantRef *ref);
/** Notes that a record on the item's end is queued, or no longer. */
void ledger_item_set_ending(struct ledger_job *job, uint32_t item, bool ending);
/** Puts an item back so that it is granted again. */
void ledger_item_requeue(struct ledger_job *job, uint32_t item);

/** Queues a record for the next append; takes ownership. */
void ledger_queue(struct ledger *ledger, Briarplank__LedgerRecord *record);
/** Makes an empty record of a kind. */
Briarplank__LedgerRecord *ledger_record_new(
	Briarplank__LedgerRecord__BodyCase kind);
/** Queues a record that ends an item. */
void ledger_queue_end(struct ledger_job *job, uint32_t item,
		      Briarplank__ItemEnded__State state, uint64_t wall_ms,
		      ProtobufCBinaryData body, const char *error);
/** Copies bytes into a message field. */
ProtobufCBinaryData ledger_bytes(const void *data, size_t len);

#endif
