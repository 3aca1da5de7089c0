/*
 * Finds chunks and results that are still needed and that the log's retention
 * will delete soon, for the owner to append them again.
 */
#include <string.h>

#include "core/ledger_state.h"

static gint compare_offsets(gconstpointer a, gconstpointer b)
{
	uint64_t x = *(const uint64_t *)a;
	uint64_t y = *(const uint64_t *)b;

	return x < y ? -1 : x > y;
}

static void add_job_offsets(const struct ledger_job *job, uint64_t horizon,
			    GArray *offsets)
{
	uint32_t i;

	for (i = 0; i < job->chunks_nr; i++) {
		if (job->chunks[i].offset <= horizon)
			g_array_append_val(offsets, job->chunks[i].offset);
	}
	for (i = 0; job->items && i < job->items_nr; i++) {
		uint64_t offset = job->items[i].result_offset;

		if (offset && offset <= horizon &&
		    (!i || offset != job->items[i - 1].result_offset))
			g_array_append_val(offsets, offset);
	}
}

void ledger_list_old_offsets(const struct ledger *ledger, uint64_t horizon,
			     GArray *offsets)
{
	struct list *pos;
	guint i, kept = 0;

	list_for_each (pos, &ledger->jobs)
		add_job_offsets(list_entry(pos, struct ledger_job, link),
				horizon, offsets);
	g_array_sort(offsets, compare_offsets);
	for (i = 0; i < offsets->len; i++) {
		uint64_t offset = g_array_index(offsets, uint64_t, i);

		if (kept &&
		    g_array_index(offsets, uint64_t, kept - 1) == offset)
			continue;
		g_array_index(offsets, uint64_t, kept++) = offset;
	}
	g_array_set_size(offsets, kept);
}

static Briarplank__ItemEnded *copy_ended(const Briarplank__ItemEnded *ended)
{
	Briarplank__ItemEnded *copy = g_new(Briarplank__ItemEnded, 1);

	briarplank__item_ended__init(copy);
	copy->job_id = ledger_copy_bytes(ended->job_id.data, ended->job_id.len);
	copy->item = ended->item;
	copy->state = ended->state;
	copy->attempts = ended->attempts;
	copy->body = ledger_copy_bytes(ended->body.data, ended->body.len);
	copy->error = g_strdup(ended->error);
	copy->ended_ms = ended->ended_ms;
	copy->reappended = true;
	return copy;
}

/*
 * Queues the record of a result again if its item still points to the append at
 * this offset.
 */
static void reappend_ended(struct ledger *ledger, uint64_t offset,
			   const Briarplank__ItemEnded *ended)
{
	struct ledger_job *job = ledger_job_find(ledger, ended->job_id);
	Briarplank__LedgerRecord *record;

	if (!job || !job->items || ended->item >= job->items_nr ||
	    job->items[ended->item].result_offset != offset)
		return;
	record = ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_ENDED);
	record->ended = copy_ended(ended);
	ledger_queue_record(ledger, record);
}

/* Replaces a chunk's numbers within its part by those within the job. */
static void renumber_chunk(const struct ledger_job *job, uint32_t index,
			   Briarplank__JobChunk *chunk)
{
	memcpy(chunk->submission_id.data, job->submission_id, HASH128_BYTES);
	chunk->index = index;
	chunk->first_item = job->chunks[index].first_item;
	chunk->part = 0;
}

static bool chunk_needed(const struct ledger *ledger, uint64_t offset,
			 Briarplank__JobChunk *chunk)
{
	const struct ledger_job *job = ledger_job_find(ledger, chunk->job_id);
	uint32_t i;

	for (i = 0; job && i < job->chunks_nr; i++) {
		if (job->chunks[i].offset != offset)
			continue;
		if (chunk->part)
			renumber_chunk(job, i, chunk);
		return true;
	}
	return false;
}

bool ledger_reappend(struct ledger *ledger, uint64_t offset,
		     Briarplank__ShardAppend *append)
{
	size_t i;

	if (append->chunk)
		return chunk_needed(ledger, offset, append->chunk);
	for (i = 0; i < append->n_records; i++) {
		const Briarplank__LedgerRecord *record = append->records[i];

		if (record->body_case == BRIARPLANK__LEDGER_RECORD__BODY_ENDED)
			reappend_ended(ledger, offset, record->ended);
	}
	return false;
}
