/*
 * Stores jobs that are sent in parts, until they are sealed.
 *
 * Each part is a submission with chunks of its own. The record that stores a
 * part adds it to the job's draft. The record that seals the job joins the
 * chunks of all parts.
 */
#include <string.h>

#include "common/error.h"
#include "core/ledger_state.h"

#define DRAFT_KEEP_MS LEDGER_SUBMISSION_KEEP_MS

static void part_free(gpointer data)
{
	struct ledger_part *part = data;

	if (!part)
		return;
	ledger_submission_free(part->submission);
	g_free(part);
}

void ledger_draft_free(gpointer data)
{
	struct ledger_draft *draft = data;

	g_hash_table_destroy(draft->ids);
	g_ptr_array_free(draft->parts, TRUE);
	g_free(draft);
}

bool ledger_draft_expired(const struct ledger *ledger,
			  const struct ledger_draft *draft)
{
	return ledger->time_ms > draft->first_ms + DRAFT_KEEP_MS;
}

struct ledger_draft *ledger_draft_find(const struct ledger *ledger,
				       ProtobufCBinaryData job_id)
{
	struct ledger_draft *draft;

	if (job_id.len != HASH128_BYTES)
		return NULL;
	draft = g_hash_table_lookup(ledger->drafts, job_id.data);
	return draft && !ledger_draft_expired(ledger, draft) ? draft : NULL;
}

/*
 * Finds a draft for the owner, which also checks the wall clock: without new
 * records the stream's time stands still, and the draft would still be found
 * after the log's retention has deleted its chunks.
 */
static const struct ledger_draft *draft_find_at(const struct ledger *ledger,
						ProtobufCBinaryData job_id,
						uint64_t wall_ms)
{
	const struct ledger_draft *draft = ledger_draft_find(ledger, job_id);

	if (!draft || wall_ms > draft->first_ms + DRAFT_KEEP_MS)
		return NULL;
	return draft;
}

static struct ledger_draft *draft_get(struct ledger *ledger,
				      ProtobufCBinaryData job_id)
{
	struct ledger_draft *draft = ledger_draft_find(ledger, job_id);

	if (draft)
		return draft;
	g_hash_table_remove(ledger->drafts, job_id.data);
	draft = g_new0(struct ledger_draft, 1);
	memcpy(draft->job_id, job_id.data, HASH128_BYTES);
	draft->first_ms = ledger->time_ms;
	draft->parts = g_ptr_array_new_with_free_func(part_free);
	draft->ids = g_hash_table_new(g_int64_hash, g_int64_equal);
	g_hash_table_insert(ledger->drafts, draft->job_id, draft);
	return draft;
}

static struct ledger_part *part_find(const struct ledger_draft *draft,
				     uint32_t number)
{
	if (!draft || !number || number > draft->parts->len)
		return NULL;
	return draft->parts->pdata[number - 1];
}

/* Checks that a part adjoins the lines of the stored parts next to it. */
static bool check_lines(const struct ledger_draft *draft, uint32_t number,
			uint32_t first_line, uint32_t lines)
{
	const struct ledger_part *before = part_find(draft, number - 1);
	const struct ledger_part *after = part_find(draft, number + 1);

	if (number == 1 && first_line != 1) {
		error_set("part 1 must begin at line 1, not %u", first_line);
		return false;
	}
	if (before && before->first_line + before->lines != first_line) {
		error_set("part %u must begin at line %u, not %u: part %u "
			  "ends before it",
			  number, before->first_line + before->lines,
			  first_line, number - 1);
		return false;
	}
	if (after && first_line + lines != after->first_line) {
		error_set("part %u must end before line %u, not %u: part %u "
			  "begins there",
			  number, after->first_line, first_line + lines,
			  number + 1);
		return false;
	}
	return true;
}

static bool check_ids(const struct ledger_draft *draft,
		      const struct ledger_submission *submission)
{
	guint i;
	uint32_t j;

	for (i = 0; i < submission->chunks->len; i++) {
		const struct ledger_chunk *chunk = submission->chunks->pdata[i];

		for (j = 0; chunk->marks && j < chunk->items; j++) {
			const struct ledger_item_mark *mark = &chunk->marks[j];
			const struct ledger_item_mark *other =
				g_hash_table_lookup(draft->ids, &mark->id_hash);

			if (!other)
				continue;
			error_set("line %u: the id is also on line %u",
				  mark->line, other->line);
			return false;
		}
	}
	return true;
}

static uint32_t count_items(const struct ledger_submission *submission)
{
	uint32_t items = 0;
	guint i;

	for (i = 0; i < submission->chunks->len; i++)
		items += ((struct ledger_chunk *)submission->chunks->pdata[i])
				 ->items;
	return items;
}

/*
 * Returns LEDGER_QUEUED if no part of that number is stored, LEDGER_OK if the
 * same part is, or LEDGER_CONFLICT.
 */
static enum ledger_status part_status(const struct ledger_draft *draft,
				      uint32_t number, const uint8_t *id)
{
	const struct ledger_part *part = part_find(draft, number);

	if (!part)
		return LEDGER_QUEUED;
	if (ledger_id_equal(part->submission->id, id))
		return LEDGER_OK;
	error_set("part %u is already stored with other content", number);
	return LEDGER_CONFLICT;
}

/* Returns LEDGER_QUEUED if a submission can be stored as a part of a job. */
static enum ledger_status check_part(const struct ledger_draft *draft,
				     const struct ledger_submission *submission,
				     uint32_t number, uint32_t first_line,
				     uint32_t lines)
{
	enum ledger_status status = part_status(draft, number, submission->id);

	if (status != LEDGER_QUEUED)
		return status;
	if (!check_lines(draft, number, first_line, lines))
		return LEDGER_CONFLICT;
	if (draft &&
	    (draft->items + count_items(submission) > LEDGER_ITEMS_MAX ||
	     draft->chunks + submission->chunks->len > LEDGER_CHUNKS_MAX)) {
		error_set("a job has at most %u items", LEDGER_ITEMS_MAX);
		return LEDGER_CONFLICT;
	}
	if (draft && !check_ids(draft, submission))
		return LEDGER_BAD_LINE;
	return LEDGER_QUEUED;
}

static void add_ids(struct ledger_draft *draft,
		    const struct ledger_submission *submission)
{
	guint i;
	uint32_t j;

	for (i = 0; i < submission->chunks->len; i++) {
		struct ledger_chunk *chunk = submission->chunks->pdata[i];

		for (j = 0; chunk->marks && j < chunk->items; j++)
			g_hash_table_insert(draft->ids,
					    &chunk->marks[j].id_hash,
					    &chunk->marks[j]);
	}
}

static void draft_add(struct ledger_draft *draft, uint32_t number,
		      uint32_t first_line, uint32_t lines,
		      struct ledger_submission *submission)
{
	struct ledger_part *part = g_new0(struct ledger_part, 1);

	part->first_line = first_line;
	part->lines = lines;
	part->submission = submission;
	if (draft->parts->len < number)
		g_ptr_array_set_size(draft->parts, (gint)number);
	draft->parts->pdata[number - 1] = part;
	draft->items += count_items(submission);
	draft->chunks += submission->chunks->len;
	add_ids(draft, submission);
}

void ledger_fold_part_stored(struct ledger *ledger,
			     const Briarplank__PartStored *stored)
{
	struct ledger_submission *submission;

	if (stored->job_id.len != HASH128_BYTES || !stored->part ||
	    stored->part > LEDGER_PARTS_MAX ||
	    ledger_job_find(ledger, stored->job_id))
		return;
	submission = ledger_submission_find(ledger, stored->submission_id);
	if (!submission ||
	    !ledger_submission_complete(submission, stored->job_id.data,
					stored->items))
		return;
	ledger->time_ms = MAX(ledger->time_ms, stored->stored_ms);
	if (check_part(ledger_draft_find(ledger, stored->job_id), submission,
		       stored->part, stored->first_line,
		       stored->lines) != LEDGER_QUEUED)
		return;
	g_hash_table_steal(ledger->submissions, submission->id);
	draft_add(draft_get(ledger, stored->job_id), stored->part,
		  stored->first_line, stored->lines, submission);
}

void ledger_load_job_part(struct ledger *ledger,
			  const Briarplank__CheckpointSubmission *in,
			  struct ledger_submission *submission)
{
	struct ledger_draft *draft = draft_get(ledger, in->job_id);

	draft->first_ms = in->first_ms;
	draft_add(draft, in->part, in->first_line, in->lines, submission);
}

/*
 * Returns the status of a part of a sealed job: LEDGER_OK if the job contains
 * the part.
 */
static enum ledger_status sealed_part_status(const struct ledger_job *job,
					     const Briarplank__StorePart *store)
{
	if (store->part <= job->parts_nr &&
	    ledger_id_equal(job->part_ids[store->part - 1],
			    store->submission_id.data))
		return LEDGER_OK;
	error_set("the job is already sealed without this part");
	return LEDGER_CONFLICT;
}

static void queue_part_stored(struct ledger *ledger,
			      const Briarplank__StorePart *store,
			      uint64_t wall_ms)
{
	Briarplank__LedgerRecord *record =
		ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_PART);
	Briarplank__PartStored *stored = g_new(Briarplank__PartStored, 1);

	briarplank__part_stored__init(stored);
	stored->job_id = ledger_copy_bytes(store->job_id.data, HASH128_BYTES);
	stored->submission_id =
		ledger_copy_bytes(store->submission_id.data, HASH128_BYTES);
	stored->part = store->part;
	stored->first_line = store->first_line;
	stored->lines = store->lines;
	stored->items = store->items;
	stored->stored_ms = wall_ms;
	record->part = stored;
	ledger_queue_record(ledger, record);
}

static enum ledger_status store_part_in_draft(
	struct ledger *ledger, const Briarplank__StorePart *store,
	uint64_t wall_ms)
{
	const struct ledger_draft *draft =
		draft_find_at(ledger, store->job_id, wall_ms);
	struct ledger_submission *submission;
	enum ledger_status status;

	status = part_status(draft, store->part, store->submission_id.data);
	if (status != LEDGER_QUEUED)
		return status;
	submission = ledger_submission_find(ledger, store->submission_id);
	if (!submission ||
	    !ledger_submission_complete(submission, store->job_id.data,
					store->items))
		return LEDGER_BAD_SUBMISSION;
	status = check_part(draft, submission, store->part, store->first_line,
			    store->lines);
	if (status != LEDGER_QUEUED)
		return status;
	if (ledger->outbox_bytes > ledger->options.outbox_max_bytes)
		return LEDGER_OVERLOADED;
	queue_part_stored(ledger, store, wall_ms);
	return LEDGER_QUEUED;
}

enum ledger_status ledger_store_part(struct ledger *ledger,
				     const Briarplank__StorePart *store,
				     uint64_t wall_ms)
{
	const struct ledger_job *job;

	error_set("%s", "");
	if (!ledger_owned(ledger))
		return LEDGER_NOT_OWNER;
	if (store->job_id.len != HASH128_BYTES ||
	    store->submission_id.len != HASH128_BYTES || !store->part ||
	    store->part > LEDGER_PARTS_MAX)
		return LEDGER_BAD_SUBMISSION;
	job = ledger_job_find(ledger, store->job_id);
	if (job)
		return sealed_part_status(job, store);
	return store_part_in_draft(ledger, store, wall_ms);
}

/*
 * Hashes the content of a job sent in parts: the hash in its seal request and
 * the ids of the parts.
 */
static void hash_content(const Briarplank__SealJob *seal, const uint8_t *ids,
			 uint32_t nr, uint8_t out[HASH128_BYTES])
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_append(bytes, seal->content_hash.data, HASH128_BYTES);
	g_byte_array_append(bytes, ids, nr * HASH128_BYTES);
	hash128_bytes(bytes->data, bytes->len, out);
	g_byte_array_unref(bytes);
}

bool ledger_seal_matches(const struct ledger_job *job,
			 const Briarplank__SealJob *seal)
{
	uint8_t content[HASH128_BYTES];

	if (!seal->parts)
		return ledger_job_same_content(job, seal->content_hash);
	if (seal->parts != job->parts_nr)
		return false;
	hash_content(seal, job->part_ids[0], job->parts_nr, content);
	return ledger_id_equal(content, job->content_hash);
}

static bool check_parts(const struct ledger_draft *draft,
			const Briarplank__SealJob *seal)
{
	uint32_t i;

	for (i = 1; i <= seal->parts; i++) {
		if (part_find(draft, i))
			continue;
		error_set("part %u of %u is missing", i, seal->parts);
		return false;
	}
	if (draft->parts->len > seal->parts) {
		error_set("part %u is stored, but the seal ends at part %u",
			  draft->parts->len, seal->parts);
		return false;
	}
	return true;
}

enum ledger_status ledger_seal_draft(struct ledger *ledger,
				     const Briarplank__SealJob *seal,
				     Briarplank__JobSealed *sealed)
{
	const struct ledger_draft *draft =
		draft_find_at(ledger, seal->job_id, sealed->sealed_ms);
	GByteArray *ids;
	uint8_t content[HASH128_BYTES];
	uint32_t i;

	if (!check_parts(draft, seal))
		return LEDGER_CONFLICT;
	ids = g_byte_array_new();
	sealed->part_ids = g_new(ProtobufCBinaryData, seal->parts);
	sealed->n_part_ids = seal->parts;
	for (i = 0; i < seal->parts; i++) {
		const uint8_t *id = part_find(draft, i + 1)->submission->id;

		sealed->part_ids[i] = ledger_copy_bytes(id, HASH128_BYTES);
		g_byte_array_append(ids, id, HASH128_BYTES);
	}
	hash_content(seal, ids->data, seal->parts, content);
	g_byte_array_unref(ids);
	memcpy(sealed->content_hash.data, content, HASH128_BYTES);
	memcpy(sealed->submission_id.data, content, HASH128_BYTES);
	sealed->items = draft->items;
	return LEDGER_QUEUED;
}

static bool same_parts(const struct ledger_draft *draft,
		       const Briarplank__JobSealed *sealed)
{
	size_t i;

	if (!draft || draft->parts->len != sealed->n_part_ids)
		return false;
	for (i = 0; i < sealed->n_part_ids; i++) {
		const struct ledger_part *part = part_find(draft, i + 1);

		if (!part || sealed->part_ids[i].len != HASH128_BYTES ||
		    !ledger_id_equal(part->submission->id,
				     sealed->part_ids[i].data))
			return false;
	}
	return true;
}

/* Moves the chunks of all parts into one submission and renumbers them. */
static struct ledger_submission *join_parts(struct ledger_draft *draft)
{
	struct ledger_submission *whole = ledger_submission_new();
	uint32_t first = 0;
	guint i, j;

	for (i = 0; i < draft->parts->len; i++) {
		struct ledger_part *part = draft->parts->pdata[i];
		GPtrArray *chunks = part->submission->chunks;

		for (j = 0; j < chunks->len; j++) {
			struct ledger_chunk *chunk = chunks->pdata[j];

			chunk->index = whole->chunks->len;
			chunk->first_item = first;
			first += chunk->items;
			g_ptr_array_add(whole->chunks, chunk);
		}
		g_ptr_array_set_free_func(chunks, NULL);
	}
	return whole;
}

struct ledger_submission *ledger_join_parts(struct ledger *ledger,
					    const Briarplank__JobSealed *sealed)
{
	struct ledger_draft *draft;
	struct ledger_submission *whole;

	ledger->time_ms = MAX(ledger->time_ms, sealed->sealed_ms);
	draft = ledger_draft_find(ledger, sealed->job_id);
	if (!same_parts(draft, sealed) || draft->items != sealed->items)
		return NULL;
	whole = join_parts(draft);
	g_hash_table_remove(ledger->drafts, sealed->job_id.data);
	return whole;
}
