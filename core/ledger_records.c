/*
 * Queues the owner's records and packs them into appends.
 */
#include <string.h>

#include "core/ledger_state.h"

/*
 * Sets the name of the append's writer, for diagnosis. Readers check only the
 * epoch and the sequence number.
 */
static void set_writer(const struct ledger *ledger,
		       Briarplank__ShardAppend *append)
{
	append->writer = (char *)ledger->options.self;
	append->writer_incarnation = ledger->options.incarnation;
}

static GByteArray *pack(const Briarplank__ShardAppend *append)
{
	GByteArray *bytes = g_byte_array_new();

	g_byte_array_set_size(
		bytes, briarplank__shard_append__get_packed_size(append));
	briarplank__shard_append__pack(append, bytes->data);
	return bytes;
}

GByteArray *ledger_pack_claim(const struct ledger *ledger, bool release)
{
	Briarplank__ShardAppend append = BRIARPLANK__SHARD_APPEND__INIT;
	Briarplank__ShardClaim claim = BRIARPLANK__SHARD_CLAIM__INIT;

	set_writer(ledger, &append);
	claim.owner = (char *)ledger->options.self;
	claim.incarnation = ledger->options.incarnation;
	claim.previous_claim = ledger->epoch;
	claim.first = !ledger->epoch;
	claim.released = release;
	append.claim = &claim;
	return pack(&append);
}

Briarplank__LedgerRecord *ledger_record_new(
	Briarplank__LedgerRecord__BodyCase kind)
{
	Briarplank__LedgerRecord *record = g_new(Briarplank__LedgerRecord, 1);

	briarplank__ledger_record__init(record);
	record->body_case = kind;
	return record;
}

void ledger_queue_record(struct ledger *ledger,
			 Briarplank__LedgerRecord *record)
{
	g_queue_push_tail(&ledger->outbox, record);
	ledger->outbox_bytes +=
		briarplank__ledger_record__get_packed_size(record);
	ledger->queued++;
}

void ledger_queue_item_ended(struct ledger_job *job, uint32_t item,
			     Briarplank__ItemEnded__State state,
			     uint64_t wall_ms, ProtobufCBinaryData body,
			     const char *error)
{
	Briarplank__LedgerRecord *record =
		ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_ENDED);
	Briarplank__ItemEnded *ended = g_new(Briarplank__ItemEnded, 1);

	briarplank__item_ended__init(ended);
	ended->job_id = ledger_copy_bytes(job->id, HASH128_BYTES);
	ended->item = item;
	ended->state = state;
	ended->attempts = job->items[item].attempts + 1u;
	ended->body = ledger_copy_bytes(body.data, body.len);
	ended->error = g_strdup(error);
	ended->ended_ms = wall_ms;
	record->ended = ended;
	ledger_item_set_ending(job, item, true);
	ledger_queue_record(job->ledger, record);
}

/* Removes and returns up to max_bytes of queued records, but at least one. */
static GPtrArray *take_records(struct ledger *ledger, size_t max_bytes)
{
	GPtrArray *records = g_ptr_array_new();
	size_t bytes = 0;

	while (!g_queue_is_empty(&ledger->outbox)) {
		Briarplank__LedgerRecord *record =
			g_queue_peek_head(&ledger->outbox);
		size_t len = briarplank__ledger_record__get_packed_size(record);

		if (records->len && bytes + len > max_bytes)
			break;
		g_queue_pop_head(&ledger->outbox);
		g_ptr_array_add(records, record);
		bytes += len;
	}
	ledger->outbox_bytes -= bytes;
	return records;
}

static void add_hint(const struct ledger *ledger,
		     Briarplank__CheckpointHint *hint,
		     Briarplank__ShardAppend *append)
{
	if (!ledger->checkpoint.parts)
		return;
	hint->as_of_offset = ledger->checkpoint.as_of_offset;
	hint->part_offsets = (uint64_t *)ledger->checkpoint.part_offsets;
	hint->n_part_offsets = ledger->checkpoint.parts;
	append->hint = hint;
}

static void begin_append(struct ledger *ledger, Briarplank__ShardAppend *append,
			 Briarplank__CheckpointHint *hint)
{
	set_writer(ledger, append);
	append->epoch = ledger->epoch;
	append->sequence = ++ledger->sequence;
	ledger->sequence_sent = ledger->sent;
	add_hint(ledger, hint, append);
}

GByteArray *ledger_next_append(struct ledger *ledger, size_t max_bytes)
{
	Briarplank__ShardAppend append = BRIARPLANK__SHARD_APPEND__INIT;
	Briarplank__CheckpointHint hint = BRIARPLANK__CHECKPOINT_HINT__INIT;
	GPtrArray *records;
	GByteArray *bytes;

	if (!ledger_owned(ledger) || g_queue_is_empty(&ledger->outbox))
		return NULL;
	records = take_records(ledger, max_bytes);
	ledger->sent += records->len;
	begin_append(ledger, &append, &hint);
	append.records = (Briarplank__LedgerRecord **)records->pdata;
	append.n_records = records->len;
	bytes = pack(&append);
	g_ptr_array_foreach(
		records, (GFunc)briarplank__ledger_record__free_unpacked, NULL);
	g_ptr_array_free(records, TRUE);
	return bytes;
}

GByteArray *ledger_pack_checkpoint_part(struct ledger *ledger,
					const GByteArray *state, uint64_t as_of,
					uint32_t part, uint32_t parts)
{
	Briarplank__ShardAppend append = BRIARPLANK__SHARD_APPEND__INIT;
	Briarplank__CheckpointHint hint = BRIARPLANK__CHECKPOINT_HINT__INIT;
	Briarplank__Checkpoint checkpoint = BRIARPLANK__CHECKPOINT__INIT;

	begin_append(ledger, &append, &hint);
	checkpoint.as_of_offset = as_of;
	checkpoint.part = part;
	checkpoint.parts = parts;
	checkpoint.state.data = state->data;
	checkpoint.state.len = state->len;
	append.checkpoint = &checkpoint;
	return pack(&append);
}

GByteArray *ledger_pack_chunk(struct ledger *ledger,
			      Briarplank__JobChunk *chunk)
{
	Briarplank__ShardAppend append = BRIARPLANK__SHARD_APPEND__INIT;
	Briarplank__CheckpointHint hint = BRIARPLANK__CHECKPOINT_HINT__INIT;

	begin_append(ledger, &append, &hint);
	append.chunk = chunk;
	return pack(&append);
}

GByteArray *ledger_pack_hint(struct ledger *ledger)
{
	Briarplank__ShardAppend append = BRIARPLANK__SHARD_APPEND__INIT;
	Briarplank__CheckpointHint hint = BRIARPLANK__CHECKPOINT_HINT__INIT;

	begin_append(ledger, &append, &hint);
	return pack(&append);
}

size_t ledger_outbox_bytes(const struct ledger *ledger)
{
	return ledger->outbox_bytes;
}

uint64_t ledger_queued(const struct ledger *ledger)
{
	return ledger->queued;
}

uint64_t ledger_durable(const struct ledger *ledger)
{
	return ledger->durable;
}

static void record_free(gpointer data)
{
	briarplank__ledger_record__free_unpacked(data, NULL);
}

static void job_clear_volatile(struct ledger_job *job)
{
	uint32_t i;

	for (i = 0; job->items && i < job->items_nr; i++)
		job->items[i].flags &= ITEM_DURABLE_FLAGS;
	g_queue_clear(&job->retry);
	job->cursor = 0;
	job->granted = 0;
	job->ending = 0;
	job->adopt_until_ms = 0;
	job->in_flight_end = 0;
	job->cancel_queued = false;
}

void ledger_clear_volatile(struct ledger *ledger)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &ledger->grants)
		ledger_grant_remove(ledger,
				    list_entry(pos, struct ledger_grant, link));
	list_for_each (pos, &ledger->open_jobs)
		job_clear_volatile(
			list_entry(pos, struct ledger_job, open_link));
	g_queue_clear_full(&ledger->outbox, record_free);
	ledger->outbox_bytes = 0;
	ledger->sent = ledger->queued;
	ledger->sequence = 0;
	ledger->sequence_sent = 0;
	g_hash_table_remove_all(ledger->sealing);
	g_hash_table_remove_all(ledger->claiming);
}
