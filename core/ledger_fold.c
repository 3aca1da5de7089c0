/*
 * Folds (applies) records into the state of a shard. The result depends on the
 * records alone, so that all readers of the stream reach the same state.
 */
#include <string.h>

#include "core/ledger_state.h"

static bool id_valid(ProtobufCBinaryData id)
{
	return id.len == HASH128_BYTES;
}

/*
 * Advances the stream's time, which must be the same for all readers. It comes
 * from the log service's timestamps of chunks and from the times inside the
 * owner's records. The log service's timestamps of the owner's records are not
 * used: the owner applies its records without reading them back, and so does
 * not know these timestamps.
 */
static void advance_time(struct ledger *ledger, uint64_t time_ms)
{
	ledger->time_ms = MAX(ledger->time_ms, time_ms);
}

static enum ledger_fold_result fold_claim(struct ledger *ledger,
					  uint64_t offset,
					  const Briarplank__ShardClaim *claim)
{
	if (claim->previous_claim != ledger->epoch && !ledger->log_truncated)
		return LEDGER_CLAIM_LOST;
	ledger->log_truncated = false;
	ledger_clear_volatile(ledger);
	ledger->epoch = offset;
	g_free(ledger->owner);
	ledger->owner = g_strdup(claim->released ? "" : claim->owner);
	ledger->owner_incarnation = claim->incarnation;
	ledger->last_sequence = 0;
	ledger->pending_checkpoint.parts = 0;
	return LEDGER_FOLDED;
}

static uint8_t *make_idempotent_bits(const Briarplank__JobChunk *chunk)
{
	uint8_t *bits = g_malloc0(chunk->n_items / 8 + 1);
	size_t i;

	for (i = 0; i < chunk->n_items; i++) {
		if (chunk->items[i]->idempotent)
			bits[i / 8] |= 1 << i % 8;
	}
	return bits;
}

static struct ledger_item_mark *make_item_marks(
	const Briarplank__JobChunk *chunk)
{
	struct ledger_item_mark *marks =
		g_new0(struct ledger_item_mark, chunk->n_items);
	uint8_t hash[HASH128_BYTES];
	size_t i;

	for (i = 0; i < chunk->n_items; i++) {
		const char *id = chunk->items[i]->id;

		hash128_bytes(id, strlen(id), hash);
		memcpy(&marks[i].id_hash, hash, sizeof(marks[i].id_hash));
		marks[i].line = chunk->items[i]->line;
	}
	return marks;
}

/*
 * Returns the position of the chunk with this index in sorted chunks, or the
 * position at which to insert it.
 */
static guint chunk_position(const GPtrArray *chunks, uint32_t index)
{
	guint at = chunks->len;

	while (at > 0) {
		const struct ledger_chunk *other = chunks->pdata[at - 1];

		if (other->index < index)
			break;
		at--;
	}
	return at;
}

/* Keeps the first copy of a chunk; a resent one has the same content. */
static void fold_new_chunk(struct ledger *ledger, uint64_t offset,
			   const Briarplank__JobChunk *chunk)
{
	struct ledger_submission *submission = ledger_submission_get_or_create(
		ledger, chunk->submission_id, chunk->job_id);
	guint at = chunk_position(submission->chunks, chunk->index);
	struct ledger_chunk *entry;

	if (at < submission->chunks->len) {
		entry = submission->chunks->pdata[at];
		if (entry->index == chunk->index)
			return;
	}
	entry = g_new0(struct ledger_chunk, 1);
	entry->offset = offset;
	entry->index = chunk->index;
	entry->first_item = chunk->first_item;
	entry->items = chunk->n_items;
	entry->idempotent = make_idempotent_bits(chunk);
	if (chunk->part)
		entry->marks = make_item_marks(chunk);
	g_ptr_array_insert(submission->chunks, (gint)at, entry);
}

/*
 * Sets the new offset of a chunk that the owner has appended again because
 * retention will delete the old copy.
 */
static void move_chunk(struct ledger_job *job, uint64_t offset,
		       const Briarplank__JobChunk *chunk)
{
	struct ledger_chunk *entry;

	if (chunk->index >= job->chunks_nr)
		return;
	entry = &job->chunks[chunk->index];
	if (entry->first_item == chunk->first_item &&
	    entry->items == chunk->n_items)
		entry->offset = offset;
}

static enum ledger_fold_result fold_chunk(struct ledger *ledger,
					  uint64_t offset,
					  const Briarplank__JobChunk *chunk,
					  bool by_owner)
{
	struct ledger_job *job = ledger_job_find(ledger, chunk->job_id);

	if (!id_valid(chunk->job_id) || !id_valid(chunk->submission_id) ||
	    chunk->index >= LEDGER_CHUNKS_MAX || !chunk->n_items)
		return LEDGER_MALFORMED;
	if (job && !memcmp(job->submission_id, chunk->submission_id.data,
			   HASH128_BYTES)) {
		if (by_owner && job->items)
			move_chunk(job, offset, chunk);
		return LEDGER_FOLDED;
	}
	fold_new_chunk(ledger, offset, chunk);
	return LEDGER_FOLDED;
}

bool ledger_submission_complete(const struct ledger_submission *submission,
				const uint8_t *job_id, uint32_t items)
{
	uint32_t next = 0;
	guint i;

	if (memcmp(submission->job_id, job_id, HASH128_BYTES))
		return false;
	for (i = 0; i < submission->chunks->len; i++) {
		const struct ledger_chunk *chunk = submission->chunks->pdata[i];

		if (chunk->index != i || chunk->first_item != next)
			return false;
		next += chunk->items;
	}
	return next == items && items > 0 && items <= LEDGER_ITEMS_MAX;
}

static void add_chunk_items(struct ledger_job *job, uint16_t chunk,
			    const uint8_t *idempotent)
{
	const struct ledger_chunk *entry = &job->chunks[chunk];
	uint32_t i;

	for (i = 0; i < entry->items; i++) {
		struct ledger_item *item = &job->items[entry->first_item + i];

		item->chunk = chunk;
		if (idempotent[i / 8] >> i % 8 & 1)
			item->flags |= ITEM_IDEMPOTENT;
	}
}

static void make_items(struct ledger_job *job,
		       const struct ledger_submission *submission)
{
	guint i;

	job->items = g_new0(struct ledger_item, job->items_nr);
	job->chunks_nr = submission->chunks->len;
	job->chunks = g_new0(struct ledger_chunk, job->chunks_nr);
	for (i = 0; i < job->chunks_nr; i++) {
		const struct ledger_chunk *chunk = submission->chunks->pdata[i];

		job->chunks[i] = *chunk;
		job->chunks[i].idempotent = NULL;
		job->chunks[i].marks = NULL;
		add_chunk_items(job, i, chunk->idempotent);
	}
	job->counts[ITEM_WAITING] = job->items_nr;
}

/*
 * Removes and returns the chunks that a seal record names; returns NULL if some
 * are missing.
 */
static struct ledger_submission *take_chunks(
	struct ledger *ledger, const Briarplank__JobSealed *sealed)
{
	struct ledger_submission *submission;

	if (sealed->n_part_ids)
		return ledger_join_parts(ledger, sealed);
	submission = ledger_submission_find(ledger, sealed->submission_id);
	if (!submission ||
	    !ledger_submission_complete(submission, sealed->job_id.data,
					sealed->items))
		return NULL;
	g_hash_table_steal(ledger->submissions, submission->id);
	return submission;
}

static void fold_sealed(struct ledger *ledger,
			const Briarplank__JobSealed *sealed)
{
	struct ledger_submission *submission;
	struct ledger_job *job;

	if (!id_valid(sealed->job_id) || !id_valid(sealed->submission_id))
		return;
	g_hash_table_remove(ledger->sealing, sealed->job_id.data);
	if (ledger_job_find(ledger, sealed->job_id))
		return;
	submission = take_chunks(ledger, sealed);
	if (!submission)
		return;
	job = ledger_job_create(ledger, sealed);
	advance_time(ledger, sealed->sealed_ms);
	job->number = ledger->next_job_number++;
	make_items(job, submission);
	ledger_job_add(ledger, job);
	g_hash_table_remove(ledger->drafts, sealed->job_id.data);
	ledger_submission_free(submission);
}

static void end_item(struct ledger_job *job, uint32_t item,
		     enum ledger_item_state state)
{
	struct ledger_grant *grant =
		ledger_grant_on_item(job->ledger, job, item);

	if (grant)
		ledger_grant_revoke(job->ledger, grant);
	ledger_item_set_ending(job, item, false);
	job->items[item].flags &= ITEM_DURABLE_FLAGS;
	ledger_item_set_state(job, item, state);
}

/*
 * Cancels a job. A non-idempotent item that may be running ends with outcome
 * unknown.
 */
static void fold_cancelled(struct ledger *ledger,
			   const Briarplank__JobCancelled *cancelled)
{
	struct ledger_job *job = ledger_job_find(ledger, cancelled->job_id);
	uint32_t i;

	if (!job || job->cancelled_ms || !job->items)
		return;
	advance_time(ledger, cancelled->cancelled_ms);
	job->cancelled_ms = cancelled->cancelled_ms;
	for (i = 0; i < job->items_nr; i++) {
		if (job->items[i].state == ITEM_WAITING)
			end_item(job, i, ITEM_CANCELLED);
		else if (job->items[i].state == ITEM_INTENT)
			end_item(job, i, ITEM_OUTCOME_UNKNOWN);
	}
}

static struct ledger_job *find_item(struct ledger *ledger,
				    ProtobufCBinaryData job_id, uint32_t item)
{
	struct ledger_job *job = ledger_job_find(ledger, job_id);

	return job && job->items && item < job->items_nr ? job : NULL;
}

static void fold_intent(struct ledger *ledger,
			const Briarplank__ItemIntent *intent)
{
	struct ledger_job *job =
		find_item(ledger, intent->job_id, intent->item);
	struct ledger_intent *open;

	if (!job || job->items[intent->item].state != ITEM_WAITING)
		return;
	ledger_item_set_state(job, intent->item, ITEM_INTENT);
	open = g_new(struct ledger_intent, 1);
	open->grant_id = intent->grant_id;
	open->epoch = ledger->epoch;
	g_hash_table_insert(job->intents, GUINT_TO_POINTER(intent->item), open);
}

static enum ledger_item_state state_of_ended(Briarplank__ItemEnded__State state)
{
	switch (state) {
	case BRIARPLANK__ITEM_ENDED__STATE__DONE:
		return ITEM_DONE;
	case BRIARPLANK__ITEM_ENDED__STATE__CANCELLED:
		return ITEM_CANCELLED;
	case BRIARPLANK__ITEM_ENDED__STATE__OUTCOME_UNKNOWN:
		return ITEM_OUTCOME_UNKNOWN;
	default:
		return ITEM_FAILED;
	}
}

static void fold_item_ended(struct ledger *ledger, uint64_t offset,
			    const Briarplank__ItemEnded *ended)
{
	struct ledger_job *job = find_item(ledger, ended->job_id, ended->item);
	struct ledger_item *item;

	if (!job)
		return;
	item = &job->items[ended->item];
	if (ledger_item_ended(item)) {
		if (ended->reappended &&
		    item->state == state_of_ended(ended->state))
			item->result_offset = offset;
		return;
	}
	if (ended->reappended)
		return;
	item->attempts = MIN(ended->attempts, UINT8_MAX);
	item->result_offset = offset;
	advance_time(ledger, ended->ended_ms);
	end_item(job, ended->item, state_of_ended(ended->state));
	job->rate_ended++;
}

/*
 * Applies the record of an attempt that did not end its item. The record closes
 * the item's intent, because the outcome of the attempt is known.
 */
static void fold_attempt(struct ledger *ledger,
			 const Briarplank__ItemAttempt *attempt)
{
	struct ledger_job *job =
		find_item(ledger, attempt->job_id, attempt->item);
	struct ledger_item *item;

	if (!job)
		return;
	item = &job->items[attempt->item];
	if (ledger_item_ended(item))
		return;
	item->attempts = MIN(attempt->attempts, UINT8_MAX);
	if (attempt->killed_server)
		item->flags |= ITEM_SUSPECT;
	ledger_item_set_ending(job, attempt->item, false);
	ledger_item_set_state(job, attempt->item, ITEM_WAITING);
	ledger_item_requeue(job, attempt->item);
}

/* Releases the claim of a key. A request can release only its own claim. */
static void fold_key_released(struct ledger *ledger,
			      const Briarplank__KeyClaimed *released)
{
	const struct ledger_key *key =
		ledger_key_find(ledger, released->key_hash);

	if (key && !strcmp(key->request_id, released->request_id))
		g_hash_table_remove(ledger->keys, released->key_hash.data);
}

static void fold_key_claimed(struct ledger *ledger,
			     const Briarplank__KeyClaimed *claimed)
{
	struct ledger_key *key;

	if (!id_valid(claimed->key_hash))
		return;
	if (claimed->released) {
		fold_key_released(ledger, claimed);
		return;
	}
	g_hash_table_remove(ledger->claiming, claimed->key_hash.data);
	if (ledger_key_find(ledger, claimed->key_hash))
		return;
	g_hash_table_remove(ledger->keys, claimed->key_hash.data);
	advance_time(ledger, claimed->claimed_ms);
	key = g_new0(struct ledger_key, 1);
	memcpy(key->hash, claimed->key_hash.data, HASH128_BYTES);
	if (id_valid(claimed->content_hash))
		memcpy(key->content_hash, claimed->content_hash.data,
		       HASH128_BYTES);
	key->request_id = g_strdup(claimed->request_id);
	key->claimed_ms = claimed->claimed_ms;
	g_hash_table_insert(ledger->keys, key->hash, key);
}

static void fold_record(struct ledger *ledger, uint64_t offset,
			const Briarplank__LedgerRecord *record)
{
	switch (record->body_case) {
	case BRIARPLANK__LEDGER_RECORD__BODY_SEALED:
		fold_sealed(ledger, record->sealed);
		break;
	case BRIARPLANK__LEDGER_RECORD__BODY_PART:
		ledger_fold_part_stored(ledger, record->part);
		break;
	case BRIARPLANK__LEDGER_RECORD__BODY_CANCELLED:
		fold_cancelled(ledger, record->cancelled);
		break;
	case BRIARPLANK__LEDGER_RECORD__BODY_INTENT:
		fold_intent(ledger, record->intent);
		break;
	case BRIARPLANK__LEDGER_RECORD__BODY_ENDED:
		fold_item_ended(ledger, offset, record->ended);
		break;
	case BRIARPLANK__LEDGER_RECORD__BODY_ATTEMPT:
		fold_attempt(ledger, record->attempt);
		break;
	case BRIARPLANK__LEDGER_RECORD__BODY_KEY:
		fold_key_claimed(ledger, record->key);
		break;
	default:
		break;
	}
}

/*
 * Applies a part of a checkpoint. The checkpoint is valid once all its parts
 * were applied under one epoch.
 */
static void fold_checkpoint(struct ledger *ledger, uint64_t offset,
			    const Briarplank__Checkpoint *checkpoint)
{
	struct ledger_checkpoint_location *pending_checkpoint =
		&ledger->pending_checkpoint;

	if (checkpoint->parts > LEDGER_CHECKPOINT_PARTS_MAX)
		return;
	if (checkpoint->part == 0) {
		pending_checkpoint->as_of_offset = checkpoint->as_of_offset;
		pending_checkpoint->parts = 0;
	}
	if (pending_checkpoint->as_of_offset != checkpoint->as_of_offset ||
	    pending_checkpoint->parts != checkpoint->part)
		return;
	pending_checkpoint->part_offsets[pending_checkpoint->parts++] = offset;
	if (pending_checkpoint->parts < checkpoint->parts)
		return;
	ledger->checkpoint = *pending_checkpoint;
	pending_checkpoint->parts = 0;
}

static void mark_durable(struct ledger *ledger)
{
	if (ledger_owned(ledger) && ledger->last_sequence == ledger->sequence)
		ledger->durable = ledger->sequence_sent;
}

static enum ledger_fold_result fold_owned(struct ledger *ledger,
					  uint64_t offset,
					  const Briarplank__ShardAppend *append)
{
	size_t i;

	if (append->epoch != ledger->epoch)
		return LEDGER_WRONG_EPOCH;
	if (append->sequence <= ledger->last_sequence)
		return LEDGER_DUPLICATE;
	ledger->last_sequence = append->sequence;
	if (append->chunk)
		fold_chunk(ledger, offset, append->chunk, true);
	for (i = 0; i < append->n_records; i++)
		fold_record(ledger, offset, append->records[i]);
	if (append->checkpoint)
		fold_checkpoint(ledger, offset, append->checkpoint);
	mark_durable(ledger);
	return LEDGER_FOLDED;
}

enum ledger_fold_result ledger_fold(struct ledger *ledger, uint64_t offset,
				    uint64_t stored_ms,
				    const Briarplank__ShardAppend *append)
{
	if (offset <= ledger->position)
		return LEDGER_ALREADY_FOLDED;
	ledger->position = offset;
	if (append->claim)
		return fold_claim(ledger, offset, append->claim);
	if (append->epoch)
		return fold_owned(ledger, offset, append);
	if (!append->chunk)
		return LEDGER_MALFORMED;
	advance_time(ledger, stored_ms);
	return fold_chunk(ledger, offset, append->chunk, false);
}

enum ledger_fold_result ledger_fold_bytes(struct ledger *ledger,
					  uint64_t offset, uint64_t stored_ms,
					  const uint8_t *bytes, size_t len)
{
	Briarplank__ShardAppend *append =
		briarplank__shard_append__unpack(NULL, len, bytes);
	enum ledger_fold_result result;

	if (!append) {
		if (offset > ledger->position)
			ledger->position = offset;
		return LEDGER_MALFORMED;
	}
	result = ledger_fold(ledger, offset, stored_ms, append);
	briarplank__shard_append__free_unpacked(append, NULL);
	return result;
}

static const char *const result_texts[] = {
	[LEDGER_FOLDED] = "was folded",
	[LEDGER_ALREADY_FOLDED] = "was folded before",
	[LEDGER_WRONG_EPOCH] = "is void: its epoch is not current",
	[LEDGER_DUPLICATE] = "is a duplicate",
	[LEDGER_CLAIM_LOST] = "is a claim that lost to an earlier one",
	[LEDGER_MALFORMED] = "can't be decoded or is invalid",
};

const char *ledger_fold_result_text(enum ledger_fold_result result)
{
	return result_texts[result];
}

void ledger_start_truncated(struct ledger *ledger, uint64_t first_offset)
{
	ledger->position = first_offset - 1;
	ledger->log_truncated = true;
}

bool ledger_last_append_folded(const struct ledger *ledger)
{
	return ledger_owned(ledger) &&
	       ledger->last_sequence >= ledger->sequence;
}
