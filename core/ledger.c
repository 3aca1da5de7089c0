/*
 * Creates, finds and frees the objects of a ledger shard: jobs, items,
 * submissions and idempotency keys.
 */
#include <string.h>

#include "core/ledger_state.h"

/* Time in ms for which the claim of an idempotency key is kept. */
#define KEY_KEEP_MS (24 * 60 * 60 * 1000ull)

static const char *const state_names[LEDGER_ITEM_STATES] = {
	"waiting", "running", "done", "failed", "cancelled", "outcome_unknown",
};

const char *ledger_item_status(enum ledger_item_state state)
{
	return state_names[state];
}

guint ledger_id_hash(gconstpointer id)
{
	guint hash;

	memcpy(&hash, id, sizeof(hash));
	return hash;
}

gboolean ledger_id_equal(gconstpointer a, gconstpointer b)
{
	return !memcmp(a, b, HASH128_BYTES);
}

ProtobufCBinaryData ledger_copy_bytes(const void *data, size_t len)
{
	ProtobufCBinaryData bytes = { .len = len, .data = g_malloc(len + 1) };

	if (len)
		memcpy(bytes.data, data, len);
	return bytes;
}

void ledger_chunk_free(gpointer data)
{
	struct ledger_chunk *chunk = data;

	g_free(chunk->idempotent);
	g_free(chunk->marks);
	g_free(chunk);
}

void ledger_submission_free(gpointer data)
{
	struct ledger_submission *submission = data;

	g_ptr_array_free(submission->chunks, TRUE);
	g_free(submission);
}

void ledger_key_free(gpointer data)
{
	struct ledger_key *key = data;

	g_free(key->request_id);
	g_free(key);
}

static void revoked_free(gpointer data)
{
	struct ledger_revoked *revoked = data;

	g_free(revoked->agent);
	g_free(revoked);
}

static GPtrArray *revoked_new(void)
{
	return g_ptr_array_new_with_free_func(revoked_free);
}

static void create_tables(struct ledger *ledger)
{
	ledger->jobs_by_id = g_hash_table_new(ledger_id_hash, ledger_id_equal);
	ledger->jobs_by_number = g_hash_table_new(NULL, NULL);
	ledger->submissions = g_hash_table_new_full(
		ledger_id_hash, ledger_id_equal, NULL, ledger_submission_free);
	ledger->drafts = g_hash_table_new_full(ledger_id_hash, ledger_id_equal,
					       NULL, ledger_draft_free);
	ledger->keys = g_hash_table_new_full(ledger_id_hash, ledger_id_equal,
					     NULL, ledger_key_free);
	ledger->grants_by_id = g_hash_table_new(g_int64_hash, g_int64_equal);
	ledger->sealing = g_hash_table_new_full(ledger_id_hash, ledger_id_equal,
						g_free, g_free);
	ledger->claiming = g_hash_table_new_full(
		ledger_id_hash, ledger_id_equal, g_free, g_free);
	ledger->revoked = revoked_new();
}

static void ledger_init(struct ledger *ledger,
			const struct ledger_options *options)
{
	ledger->options = *options;
	ledger->shard = options->shard;
	ledger->owner = g_strdup("");
	ledger->next_job_number = 1;
	list_init(&ledger->jobs);
	list_init(&ledger->open_jobs);
	list_init(&ledger->grants);
	g_queue_init(&ledger->outbox);
	create_tables(ledger);
}

struct ledger *ledger_create(const struct ledger_options *options)
{
	struct ledger *ledger = g_new0(struct ledger, 1);

	ledger_init(ledger, options);
	return ledger;
}

static void ledger_clear(struct ledger *ledger)
{
	struct list *pos, *tmp;

	ledger_clear_volatile(ledger);
	list_for_each_safe (pos, tmp, &ledger->jobs)
		ledger_job_free(list_entry(pos, struct ledger_job, link));
	g_hash_table_destroy(ledger->jobs_by_id);
	g_hash_table_destroy(ledger->jobs_by_number);
	g_hash_table_destroy(ledger->submissions);
	g_hash_table_destroy(ledger->drafts);
	g_hash_table_destroy(ledger->keys);
	g_hash_table_destroy(ledger->grants_by_id);
	g_hash_table_destroy(ledger->sealing);
	g_hash_table_destroy(ledger->claiming);
	g_ptr_array_free(ledger->revoked, TRUE);
	g_free(ledger->owner);
}

void ledger_destroy(struct ledger *ledger)
{
	ledger_clear(ledger);
	g_free(ledger);
}

void ledger_reset(struct ledger *ledger)
{
	struct ledger_options options = ledger->options;

	ledger_clear(ledger);
	memset(ledger, 0, sizeof(*ledger));
	ledger_init(ledger, &options);
}

static void copy_id(uint8_t out[HASH128_BYTES], ProtobufCBinaryData id)
{
	if (id.len == HASH128_BYTES)
		memcpy(out, id.data, HASH128_BYTES);
}

static void copy_part_ids(struct ledger_job *job,
			  const Briarplank__JobSealed *sealed)
{
	size_t i;

	job->parts_nr = sealed->n_part_ids;
	job->part_ids = g_malloc0_n(job->parts_nr + 1, HASH128_BYTES);
	for (i = 0; i < sealed->n_part_ids; i++)
		copy_id(job->part_ids[i], sealed->part_ids[i]);
}

struct ledger_job *ledger_job_create(struct ledger *ledger,
				     const Briarplank__JobSealed *sealed)
{
	struct ledger_job *job = g_new0(struct ledger_job, 1);

	job->ledger = ledger;
	copy_id(job->id, sealed->job_id);
	copy_id(job->content_hash, sealed->content_hash);
	copy_id(job->submission_id, sealed->submission_id);
	copy_part_ids(job, sealed);
	job->name = g_strdup(sealed->name);
	job->caller = g_strdup(sealed->caller);
	job->service = g_strdup(sealed->service);
	job->path = g_strdup(sealed->path);
	job->due_ms = sealed->due_ms;
	job->keep_ms = sealed->keep_ms;
	job->sealed_ms = sealed->sealed_ms;
	job->items_nr = sealed->items;
	job->intents = g_hash_table_new_full(NULL, NULL, NULL, g_free);
	list_init(&job->link);
	list_init(&job->open_link);
	g_queue_init(&job->retry);
	return job;
}

static void job_free_items(struct ledger_job *job)
{
	g_free(job->items);
	job->items = NULL;
	g_free(job->chunks);
	job->chunks = NULL;
	job->chunks_nr = 0;
	g_hash_table_remove_all(job->intents);
	g_queue_clear(&job->retry);
}

void ledger_job_free(struct ledger_job *job)
{
	list_remove(&job->link);
	list_remove(&job->open_link);
	job_free_items(job);
	g_hash_table_destroy(job->intents);
	g_free(job->part_ids);
	g_free(job->name);
	g_free(job->caller);
	g_free(job->service);
	g_free(job->path);
	g_free(job);
}

void ledger_job_expire(struct ledger_job *job)
{
	job->expired = true;
	job_free_items(job);
}

void ledger_job_add(struct ledger *ledger, struct ledger_job *job)
{
	list_append(&ledger->jobs, &job->link);
	g_hash_table_insert(ledger->jobs_by_id, job->id, job);
	g_hash_table_insert(ledger->jobs_by_number,
			    GUINT_TO_POINTER(job->number), job);
	if (ledger_job_open_nr(job))
		list_append(&ledger->open_jobs, &job->open_link);
}

struct ledger_job *ledger_job_find(const struct ledger *ledger,
				   ProtobufCBinaryData id)
{
	if (id.len != HASH128_BYTES)
		return NULL;
	return g_hash_table_lookup(ledger->jobs_by_id, id.data);
}

struct ledger_job *ledger_find(const struct ledger *ledger,
			       ProtobufCBinaryData job_id)
{
	return ledger_job_find(ledger, job_id);
}

uint32_t ledger_job_open_nr(const struct ledger_job *job)
{
	return job->counts[ITEM_WAITING] + job->counts[ITEM_INTENT];
}

uint32_t ledger_job_items(const struct ledger_job *job)
{
	return job->items_nr;
}

uint32_t ledger_job_shard(const struct ledger_job *job)
{
	return job->ledger->shard;
}

bool ledger_item_ended(const struct ledger_item *item)
{
	return item->state >= ITEM_DONE;
}

void ledger_item_set_state(struct ledger_job *job, uint32_t item,
			   enum ledger_item_state state)
{
	struct ledger_item *it = &job->items[item];

	job->counts[it->state]--;
	job->counts[state]++;
	it->state = state;
	if (state != ITEM_INTENT)
		g_hash_table_remove(job->intents, GUINT_TO_POINTER(item));
	if (ledger_job_open_nr(job) || job->ended_ms)
		return;
	job->ended_ms = job->ledger->time_ms;
	list_remove(&job->open_link);
}

void ledger_item_set_ending(struct ledger_job *job, uint32_t item, bool ending)
{
	struct ledger_item *it = &job->items[item];

	if (!(it->flags & ITEM_ENDING) == !ending)
		return;
	it->flags ^= ITEM_ENDING;
	job->ending += ending ? 1 : -1;
}

/*
 * Finds a submission that has not expired. Expiry is decided by the time of the
 * stream's records, so that all readers agree.
 */
struct ledger_submission *ledger_submission_find(struct ledger *ledger,
						 ProtobufCBinaryData id)
{
	struct ledger_submission *submission;

	if (id.len != HASH128_BYTES)
		return NULL;
	submission = g_hash_table_lookup(ledger->submissions, id.data);
	if (submission &&
	    ledger->time_ms > submission->first_ms + LEDGER_SUBMISSION_KEEP_MS)
		return NULL;
	return submission;
}

struct ledger_key *ledger_key_find(const struct ledger *ledger,
				   ProtobufCBinaryData hash)
{
	struct ledger_key *key;

	if (hash.len != HASH128_BYTES)
		return NULL;
	key = g_hash_table_lookup(ledger->keys, hash.data);
	if (key && ledger->time_ms > key->claimed_ms + KEY_KEEP_MS)
		return NULL;
	return key;
}

struct ledger_submission *ledger_submission_new(void)
{
	struct ledger_submission *submission =
		g_new0(struct ledger_submission, 1);

	submission->chunks = g_ptr_array_new_with_free_func(ledger_chunk_free);
	return submission;
}

struct ledger_submission *ledger_submission_get_or_create(
	struct ledger *ledger, ProtobufCBinaryData id,
	ProtobufCBinaryData job_id)
{
	struct ledger_submission *submission;

	submission = ledger_submission_find(ledger, id);
	if (submission)
		return submission;
	g_hash_table_remove(ledger->submissions, id.data);
	submission = ledger_submission_new();
	copy_id(submission->id, id);
	copy_id(submission->job_id, job_id);
	submission->first_ms = ledger->time_ms;
	g_hash_table_insert(ledger->submissions, submission->id, submission);
	return submission;
}

uint64_t ledger_position(const struct ledger *ledger)
{
	return ledger->position;
}

uint64_t ledger_epoch(const struct ledger *ledger)
{
	return ledger->epoch;
}

const char *ledger_owner(const struct ledger *ledger)
{
	return ledger->owner;
}

uint64_t ledger_owner_incarnation(const struct ledger *ledger)
{
	return ledger->owner_incarnation;
}

bool ledger_owned(const struct ledger *ledger)
{
	return ledger->epoch && !strcmp(ledger->owner, ledger->options.self) &&
	       ledger->owner_incarnation == ledger->options.incarnation;
}

GPtrArray *ledger_take_revoked(struct ledger *ledger)
{
	GPtrArray *revoked = ledger->revoked;

	ledger->revoked = revoked_new();
	return revoked;
}

unsigned ledger_grants_nr(const struct ledger *ledger)
{
	return g_hash_table_size(ledger->grants_by_id);
}

static gboolean submission_expired(gpointer id, gpointer value, gpointer ctx)
{
	const struct ledger_submission *submission = value;
	const struct ledger *ledger = ctx;

	(void)id;
	return ledger->time_ms >
	       submission->first_ms + LEDGER_SUBMISSION_KEEP_MS;
}

static gboolean draft_expired(gpointer id, gpointer draft, gpointer ledger)
{
	(void)id;
	return ledger_draft_expired(ledger, draft);
}

static gboolean key_expired(gpointer hash, gpointer value, gpointer ctx)
{
	const struct ledger_key *key = value;
	const struct ledger *ledger = ctx;

	(void)hash;
	return ledger->time_ms > key->claimed_ms + KEY_KEEP_MS;
}

void ledger_remove_expired(struct ledger *ledger, uint64_t wall_ms)
{
	struct list *pos;

	g_hash_table_foreach_remove(ledger->submissions, submission_expired,
				    ledger);
	g_hash_table_foreach_remove(ledger->drafts, draft_expired, ledger);
	g_hash_table_foreach_remove(ledger->keys, key_expired, ledger);
	list_for_each (pos, &ledger->jobs) {
		struct ledger_job *job =
			list_entry(pos, struct ledger_job, link);

		if (!job->expired &&
		    ledger_job_status(job, wall_ms) == LEDGER_EXPIRED)
			ledger_job_expire(job);
	}
}
