/*
 * Packs and loads checkpoints: the state of a shard in compact parts, so that
 * recovery reads only the newest checkpoint and the records after it.
 */
#include <string.h>

#include "core/ledger_state.h"

/* Size in bytes at which a part of a checkpoint is complete. */
#define PART_BYTES (512 << 10)
/* Size of a packed ledger_item_mark: the id's hash, then the line. */
#define MARK_BYTES 12
/* Lowest bit of an item's flags in the byte that also holds its state. */
#define FLAGS_SHIFT 4

static void put_varint(GByteArray *out, uint64_t value)
{
	guint8 byte;

	while (value >= 0x80) {
		byte = (guint8)value | 0x80;
		g_byte_array_append(out, &byte, 1);
		value >>= 7;
	}
	byte = (guint8)value;
	g_byte_array_append(out, &byte, 1);
}

static bool get_varint(ProtobufCBinaryData in, size_t *at, uint64_t *value)
{
	unsigned shift;

	*value = 0;
	for (shift = 0; shift < 64 && *at < in.len; shift += 7) {
		uint8_t byte = in.data[(*at)++];

		*value |= (uint64_t)(byte & 0x7f) << shift;
		if (!(byte & 0x80))
			return true;
	}
	return false;
}

/*
 * Packs a run of equal items. With run-length encoding, a new job takes only a
 * few bytes.
 */
static void put_run(GByteArray *out, const struct ledger_item *item,
		    uint32_t run)
{
	guint8 head[2] = {
		item->state | (item->flags & ITEM_DURABLE_FLAGS) << FLAGS_SHIFT,
		item->attempts,
	};

	g_byte_array_append(out, head, sizeof(head));
	put_varint(out, run);
	put_varint(out, item->result_offset);
}

static bool same_item(const struct ledger_item *a, const struct ledger_item *b)
{
	return a->state == b->state && a->attempts == b->attempts &&
	       a->result_offset == b->result_offset &&
	       (a->flags & ITEM_DURABLE_FLAGS) ==
		       (b->flags & ITEM_DURABLE_FLAGS);
}

static ProtobufCBinaryData pack_items(const struct ledger_job *job)
{
	GByteArray *out = g_byte_array_new();
	ProtobufCBinaryData bytes;
	uint32_t i, run;

	for (i = 0; i < job->items_nr; i += run) {
		run = 1;
		while (i + run < job->items_nr &&
		       same_item(&job->items[i], &job->items[i + run]))
			run++;
		put_run(out, &job->items[i], run);
	}
	bytes.len = out->len;
	bytes.data = g_byte_array_free(out, FALSE);
	return bytes;
}

static Briarplank__JobSealed *job_sealed(const struct ledger_job *job)
{
	Briarplank__JobSealed *sealed = g_new(Briarplank__JobSealed, 1);
	uint32_t i;

	briarplank__job_sealed__init(sealed);
	sealed->job_id = ledger_copy_bytes(job->id, HASH128_BYTES);
	sealed->content_hash =
		ledger_copy_bytes(job->content_hash, HASH128_BYTES);
	sealed->submission_id =
		ledger_copy_bytes(job->submission_id, HASH128_BYTES);
	sealed->caller = g_strdup(job->caller);
	sealed->name = g_strdup(job->name);
	sealed->service = g_strdup(job->service);
	sealed->path = g_strdup(job->path);
	sealed->due_ms = job->due_ms;
	sealed->keep_ms = job->keep_ms;
	sealed->items = job->items_nr;
	sealed->sealed_ms = job->sealed_ms;
	sealed->n_part_ids = job->parts_nr;
	sealed->part_ids = g_new(ProtobufCBinaryData, job->parts_nr + 1);
	for (i = 0; i < job->parts_nr; i++)
		sealed->part_ids[i] =
			ledger_copy_bytes(job->part_ids[i], HASH128_BYTES);
	return sealed;
}

static ProtobufCBinaryData pack_marks(const struct ledger_chunk *chunk)
{
	ProtobufCBinaryData out = {
		.len = chunk->items * MARK_BYTES,
		.data = g_malloc(chunk->items * MARK_BYTES + 1),
	};
	uint8_t *at = out.data;
	uint32_t i;

	for (i = 0; i < chunk->items; i++, at += MARK_BYTES) {
		uint64_t hash = GUINT64_TO_LE(chunk->marks[i].id_hash);
		uint32_t line = GUINT32_TO_LE(chunk->marks[i].line);

		memcpy(at, &hash, sizeof(hash));
		memcpy(at + sizeof(hash), &line, sizeof(line));
	}
	return out;
}

static struct ledger_item_mark *load_marks(ProtobufCBinaryData in,
					   uint32_t items)
{
	struct ledger_item_mark *marks;
	const uint8_t *at = in.data;
	uint32_t i;

	if (!in.len || in.len != (size_t)items * MARK_BYTES)
		return NULL;
	marks = g_new(struct ledger_item_mark, items);
	for (i = 0; i < items; i++, at += MARK_BYTES) {
		uint64_t hash;
		uint32_t line;

		memcpy(&hash, at, sizeof(hash));
		memcpy(&line, at + sizeof(hash), sizeof(line));
		marks[i].id_hash = GUINT64_FROM_LE(hash);
		marks[i].line = GUINT32_FROM_LE(line);
	}
	return marks;
}

static Briarplank__CheckpointChunk *pack_chunk(const struct ledger_chunk *chunk)
{
	Briarplank__CheckpointChunk *out =
		g_new(Briarplank__CheckpointChunk, 1);

	briarplank__checkpoint_chunk__init(out);
	out->offset = chunk->offset;
	out->first_item = chunk->first_item;
	out->items = chunk->items;
	out->index = chunk->index;
	if (chunk->idempotent)
		out->idempotent = ledger_copy_bytes(chunk->idempotent,
						    chunk->items / 8 + 1);
	if (chunk->marks)
		out->marks = pack_marks(chunk);
	return out;
}

static void pack_intents(const struct ledger_job *job,
			 Briarplank__CheckpointJob *out)
{
	GHashTableIter iter;
	gpointer key, value;

	out->intents = g_new(Briarplank__CheckpointIntent *,
			     g_hash_table_size(job->intents) + 1);
	g_hash_table_iter_init(&iter, job->intents);
	while (g_hash_table_iter_next(&iter, &key, &value)) {
		const struct ledger_intent *open = value;
		Briarplank__CheckpointIntent *intent =
			g_new(Briarplank__CheckpointIntent, 1);

		briarplank__checkpoint_intent__init(intent);
		intent->item = GPOINTER_TO_UINT(key);
		intent->grant_id = open->grant_id;
		intent->epoch = open->epoch;
		out->intents[out->n_intents++] = intent;
	}
}

static Briarplank__CheckpointJob *pack_job(const struct ledger_job *job)
{
	Briarplank__CheckpointJob *out = g_new(Briarplank__CheckpointJob, 1);
	uint32_t i;

	briarplank__checkpoint_job__init(out);
	out->sealed = job_sealed(job);
	out->number = job->number;
	out->cancelled_ms = job->cancelled_ms;
	out->ended_ms = job->ended_ms;
	out->counts = g_memdup2(job->counts, sizeof(job->counts));
	out->n_counts = LEDGER_ITEM_STATES;
	out->expired = job->expired;
	if (!job->items)
		return out;
	out->items = pack_items(job);
	out->chunks = g_new(Briarplank__CheckpointChunk *, job->chunks_nr);
	for (i = 0; i < job->chunks_nr; i++)
		out->chunks[i] = pack_chunk(&job->chunks[i]);
	out->n_chunks = job->chunks_nr;
	pack_intents(job, out);
	return out;
}

static Briarplank__CheckpointSubmission *pack_submission(
	const struct ledger_submission *submission)
{
	Briarplank__CheckpointSubmission *out =
		g_new(Briarplank__CheckpointSubmission, 1);
	guint i;

	briarplank__checkpoint_submission__init(out);
	out->submission_id = ledger_copy_bytes(submission->id, HASH128_BYTES);
	out->job_id = ledger_copy_bytes(submission->job_id, HASH128_BYTES);
	out->first_ms = submission->first_ms;
	out->chunks =
		g_new(Briarplank__CheckpointChunk *, submission->chunks->len);
	for (i = 0; i < submission->chunks->len; i++)
		out->chunks[i] = pack_chunk(submission->chunks->pdata[i]);
	out->n_chunks = submission->chunks->len;
	return out;
}

static Briarplank__CheckpointSubmission *pack_part(
	const struct ledger_draft *draft, const struct ledger_part *part,
	uint32_t number)
{
	Briarplank__CheckpointSubmission *out =
		pack_submission(part->submission);

	out->first_ms = draft->first_ms;
	out->part = number;
	out->first_line = part->first_line;
	out->lines = part->lines;
	return out;
}

static Briarplank__KeyClaimed *pack_key(const struct ledger_key *key)
{
	Briarplank__KeyClaimed *out = g_new(Briarplank__KeyClaimed, 1);

	briarplank__key_claimed__init(out);
	out->key_hash = ledger_copy_bytes(key->hash, HASH128_BYTES);
	out->content_hash = ledger_copy_bytes(key->content_hash, HASH128_BYTES);
	out->request_id = g_strdup(key->request_id);
	out->claimed_ms = key->claimed_ms;
	return out;
}

/* Collects messages into a part of a checkpoint until it has PART_BYTES. */
struct packer {
	const struct ledger *ledger;
	GPtrArray *parts;
	GPtrArray *jobs;
	GPtrArray *submissions;
	GPtrArray *keys;
	size_t bytes;
};

static void message_free(gpointer message)
{
	protobuf_c_message_free_unpacked(message, NULL);
}

static void packer_open(struct packer *packer)
{
	packer->jobs = g_ptr_array_new_with_free_func(message_free);
	packer->submissions = g_ptr_array_new_with_free_func(message_free);
	packer->keys = g_ptr_array_new_with_free_func(message_free);
	packer->bytes = 0;
}

static void packer_close(struct packer *packer)
{
	const struct ledger *ledger = packer->ledger;
	Briarplank__CheckpointState state = BRIARPLANK__CHECKPOINT_STATE__INIT;
	GByteArray *bytes = g_byte_array_new();

	state.epoch = ledger->epoch;
	state.owner = ledger->owner;
	state.owner_incarnation = ledger->owner_incarnation;
	state.next_job_number = ledger->next_job_number;
	state.time_ms = ledger->time_ms;
	state.last_sequence = ledger->last_sequence;
	state.n_jobs = packer->jobs->len;
	state.jobs = (void *)packer->jobs->pdata;
	state.n_submissions = packer->submissions->len;
	state.submissions = (void *)packer->submissions->pdata;
	state.n_keys = packer->keys->len;
	state.keys = (void *)packer->keys->pdata;
	g_byte_array_set_size(
		bytes, briarplank__checkpoint_state__get_packed_size(&state));
	briarplank__checkpoint_state__pack(&state, bytes->data);
	g_ptr_array_free(packer->jobs, TRUE);
	g_ptr_array_free(packer->submissions, TRUE);
	g_ptr_array_free(packer->keys, TRUE);
	g_ptr_array_add(packer->parts, bytes);
}

static void packer_add(struct packer *packer, GPtrArray **list, void *message)
{
	packer->bytes += protobuf_c_message_get_packed_size(message);
	g_ptr_array_add(*list, message);
	if (packer->bytes < PART_BYTES)
		return;
	packer_close(packer);
	packer_open(packer);
}

static void add_draft(struct packer *packer, const struct ledger_draft *draft)
{
	guint i;

	for (i = 0; i < draft->parts->len; i++) {
		const struct ledger_part *part = draft->parts->pdata[i];

		if (part)
			packer_add(packer, &packer->submissions,
				   pack_part(draft, part, i + 1));
	}
}

GPtrArray *ledger_checkpoint_parts(const struct ledger *ledger)
{
	struct packer packer = {
		.ledger = ledger,
		.parts = g_ptr_array_new_with_free_func(
			(GDestroyNotify)g_byte_array_unref),
	};
	GHashTableIter iter;
	gpointer value;
	struct list *pos;

	packer_open(&packer);
	list_for_each (pos, &ledger->jobs)
		packer_add(&packer, &packer.jobs,
			   pack_job(list_entry(pos, struct ledger_job, link)));
	g_hash_table_iter_init(&iter, ledger->submissions);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		packer_add(&packer, &packer.submissions,
			   pack_submission(value));
	g_hash_table_iter_init(&iter, ledger->drafts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		add_draft(&packer, value);
	g_hash_table_iter_init(&iter, ledger->keys);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		packer_add(&packer, &packer.keys, pack_key(value));
	packer_close(&packer);
	return packer.parts;
}

static bool load_items(struct ledger_job *job, ProtobufCBinaryData in)
{
	uint64_t run, offset;
	uint32_t i = 0;
	size_t at = 0;

	while (at + 2 <= in.len) {
		uint8_t head = in.data[at];
		uint8_t attempts = in.data[at + 1];

		at += 2;
		if (!get_varint(in, &at, &run) ||
		    !get_varint(in, &at, &offset) || run > job->items_nr - i)
			return false;
		if ((head & 0xf) >= LEDGER_ITEM_STATES)
			return false;
		for (; run; run--, i++) {
			job->items[i].state = head & 0xf;
			job->items[i].flags = head >> FLAGS_SHIFT;
			job->items[i].attempts = attempts;
			job->items[i].result_offset = offset;
		}
	}
	return i == job->items_nr;
}

static void load_chunk(const Briarplank__CheckpointChunk *in,
		       struct ledger_chunk *out)
{
	out->offset = in->offset;
	out->first_item = in->first_item;
	out->items = in->items;
	out->index = in->index;
}

static bool load_chunks(struct ledger_job *job,
			const Briarplank__CheckpointJob *in)
{
	uint32_t next = 0;
	uint32_t i, j;

	job->chunks_nr = in->n_chunks;
	job->chunks = g_new0(struct ledger_chunk, in->n_chunks);
	for (i = 0; i < in->n_chunks; i++) {
		struct ledger_chunk *chunk = &job->chunks[i];

		load_chunk(in->chunks[i], chunk);
		if (chunk->first_item != next ||
		    chunk->items > job->items_nr - next)
			return false;
		next += chunk->items;
		for (j = 0; j < chunk->items; j++)
			job->items[chunk->first_item + j].chunk = i;
	}
	return next == job->items_nr;
}

static void load_intents(struct ledger_job *job,
			 const Briarplank__CheckpointJob *in)
{
	size_t i;

	for (i = 0; i < in->n_intents; i++) {
		struct ledger_intent *open = g_new(struct ledger_intent, 1);

		open->grant_id = in->intents[i]->grant_id;
		open->epoch = in->intents[i]->epoch;
		g_hash_table_insert(job->intents,
				    GUINT_TO_POINTER(in->intents[i]->item),
				    open);
	}
}

static bool load_job(struct ledger *ledger, const Briarplank__CheckpointJob *in)
{
	struct ledger_job *job;

	if (!in->sealed || in->n_counts != LEDGER_ITEM_STATES ||
	    in->sealed->items > LEDGER_ITEMS_MAX)
		return false;
	job = ledger_job_create(ledger, in->sealed);
	job->number = in->number;
	job->cancelled_ms = in->cancelled_ms;
	job->ended_ms = in->ended_ms;
	job->expired = in->expired;
	memcpy(job->counts, in->counts, sizeof(job->counts));
	if (!in->expired) {
		job->items = g_new0(struct ledger_item, job->items_nr);
		if (!load_items(job, in->items) || !load_chunks(job, in)) {
			ledger_job_free(job);
			return false;
		}
		load_intents(job, in);
	}
	ledger_job_add(ledger, job);
	return true;
}

static void load_submission(struct ledger *ledger,
			    const Briarplank__CheckpointSubmission *in)
{
	struct ledger_submission *submission;
	size_t i;

	if (in->submission_id.len != HASH128_BYTES ||
	    in->job_id.len != HASH128_BYTES || in->part > LEDGER_PARTS_MAX)
		return;
	submission = ledger_submission_get_or_create(ledger, in->submission_id,
						     in->job_id);
	submission->first_ms = in->first_ms;
	for (i = 0; i < in->n_chunks; i++) {
		const Briarplank__CheckpointChunk *chunk = in->chunks[i];
		struct ledger_chunk *out = g_new0(struct ledger_chunk, 1);

		load_chunk(chunk, out);
		out->idempotent = g_malloc0(out->items / 8 + 1);
		memcpy(out->idempotent, chunk->idempotent.data,
		       MIN(chunk->idempotent.len, out->items / 8 + 1));
		out->marks = load_marks(chunk->marks, out->items);
		g_ptr_array_add(submission->chunks, out);
	}
	if (!in->part)
		return;
	g_hash_table_steal(ledger->submissions, submission->id);
	ledger_load_job_part(ledger, in, submission);
}

static void load_key(struct ledger *ledger, const Briarplank__KeyClaimed *in)
{
	struct ledger_key *key;

	if (in->key_hash.len != HASH128_BYTES)
		return;
	key = g_new0(struct ledger_key, 1);
	memcpy(key->hash, in->key_hash.data, HASH128_BYTES);
	memcpy(key->content_hash, in->content_hash.data,
	       MIN(in->content_hash.len, HASH128_BYTES));
	key->request_id = g_strdup(in->request_id);
	key->claimed_ms = in->claimed_ms;
	g_hash_table_insert(ledger->keys, key->hash, key);
}

static bool load_state(struct ledger *ledger,
		       const Briarplank__CheckpointState *state)
{
	size_t i;

	ledger->epoch = state->epoch;
	g_free(ledger->owner);
	ledger->owner = g_strdup(state->owner);
	ledger->owner_incarnation = state->owner_incarnation;
	ledger->next_job_number = state->next_job_number;
	ledger->time_ms = state->time_ms;
	ledger->last_sequence = state->last_sequence;
	for (i = 0; i < state->n_jobs; i++) {
		if (!load_job(ledger, state->jobs[i]))
			return false;
	}
	for (i = 0; i < state->n_submissions; i++)
		load_submission(ledger, state->submissions[i]);
	for (i = 0; i < state->n_keys; i++)
		load_key(ledger, state->keys[i]);
	return true;
}

bool ledger_load_checkpoint_part(struct ledger *ledger,
				 const Briarplank__Checkpoint *part)
{
	Briarplank__CheckpointState *state;
	bool ok;

	state = briarplank__checkpoint_state__unpack(NULL, part->state.len,
						     part->state.data);
	if (!state)
		return false;
	ok = load_state(ledger, state);
	briarplank__checkpoint_state__free_unpacked(state, NULL);
	ledger->position = part->as_of_offset;
	return ok;
}

const struct ledger_checkpoint_location *ledger_checkpoint(
	const struct ledger *ledger)
{
	return &ledger->checkpoint;
}

void ledger_set_checkpoint(struct ledger *ledger,
			   const struct ledger_checkpoint_location *location)
{
	ledger->checkpoint = *location;
}
