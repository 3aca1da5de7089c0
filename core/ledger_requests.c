/*
 * Handles requests to the shard's owner: to seal or cancel a job, to claim a
 * key, and to query a job.
 */
#include <string.h>

#include "common/error.h"
#include "core/ledger_state.h"

/* Weight of a new measurement in a job's smoothed rate. */
#define RATE_WEIGHT 0.2
/* Minimum time in ms between two measurements of a job's rate. */
#define RATE_INTERVAL_MS 1000

static enum ledger_status seal_status(const struct ledger_job *job,
				      const Briarplank__SealJob *seal,
				      uint64_t wall_ms)
{
	if (!ledger_seal_matches(job, seal))
		return LEDGER_CONFLICT;
	return ledger_job_status(job, wall_ms);
}

static Briarplank__JobSealed *sealed_new(const Briarplank__SealJob *seal,
					 uint64_t wall_ms)
{
	Briarplank__JobSealed *sealed = g_new(Briarplank__JobSealed, 1);

	briarplank__job_sealed__init(sealed);
	sealed->job_id = ledger_copy_bytes(seal->job_id.data, seal->job_id.len);
	sealed->submission_id = ledger_copy_bytes(seal->submission_id.data,
						  seal->submission_id.len);
	sealed->content_hash = ledger_copy_bytes(seal->content_hash.data,
						 seal->content_hash.len);
	sealed->caller = g_strdup(seal->caller);
	sealed->name = g_strdup(seal->name);
	sealed->service = g_strdup(seal->service);
	sealed->path = g_strdup(seal->path);
	sealed->due_ms = seal->due_ms;
	sealed->keep_ms = seal->keep_ms;
	sealed->items = seal->items;
	sealed->sealed_ms = wall_ms;
	return sealed;
}

static void queue_sealed(struct ledger *ledger, const Briarplank__SealJob *seal,
			 Briarplank__LedgerRecord *record)
{
	g_hash_table_insert(ledger->sealing,
			    g_memdup2(seal->job_id.data, HASH128_BYTES),
			    g_memdup2(seal->content_hash.data, HASH128_BYTES));
	ledger_queue_record(ledger, record);
}

static bool ids_valid(const Briarplank__SealJob *seal)
{
	return seal->job_id.len == HASH128_BYTES &&
	       seal->submission_id.len == HASH128_BYTES &&
	       seal->content_hash.len == HASH128_BYTES;
}

/*
 * Returns LEDGER_QUEUED if the stream has all chunks that a request to seal a
 * job names.
 */
static enum ledger_status check_submission(struct ledger *ledger,
					   const Briarplank__SealJob *seal)
{
	struct ledger_submission *submission =
		ledger_submission_find(ledger, seal->submission_id);

	if (!submission || !ledger_submission_complete(
				   submission, seal->job_id.data, seal->items))
		return LEDGER_BAD_SUBMISSION;
	return LEDGER_QUEUED;
}

static enum ledger_status seal_new(struct ledger *ledger,
				   const Briarplank__SealJob *seal,
				   uint64_t wall_ms)
{
	Briarplank__LedgerRecord *record =
		ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_SEALED);
	enum ledger_status status;

	record->sealed = sealed_new(seal, wall_ms);
	if (seal->parts)
		status = ledger_seal_draft(ledger, seal, record->sealed);
	else
		status = check_submission(ledger, seal);
	if (status == LEDGER_QUEUED &&
	    ledger->outbox_bytes > ledger->options.outbox_max_bytes)
		status = LEDGER_OVERLOADED;
	if (status == LEDGER_QUEUED)
		queue_sealed(ledger, seal, record);
	else
		briarplank__ledger_record__free_unpacked(record, NULL);
	return status;
}

enum ledger_status ledger_seal(struct ledger *ledger,
			       const Briarplank__SealJob *seal,
			       uint64_t wall_ms)
{
	struct ledger_job *job;
	const void *sealing;

	error_set("%s", "");
	if (!ledger_owned(ledger))
		return LEDGER_NOT_OWNER;
	if (!ids_valid(seal))
		return LEDGER_BAD_SUBMISSION;
	job = ledger_job_find(ledger, seal->job_id);
	if (job)
		return seal_status(job, seal, wall_ms);
	sealing = g_hash_table_lookup(ledger->sealing, seal->job_id.data);
	if (sealing)
		return ledger_id_equal(sealing, seal->content_hash.data) ?
			       LEDGER_QUEUED :
			       LEDGER_CONFLICT;
	return seal_new(ledger, seal, wall_ms);
}

enum ledger_status ledger_cancel(struct ledger *ledger,
				 ProtobufCBinaryData job_id, uint64_t wall_ms)
{
	struct ledger_job *job = ledger_job_find(ledger, job_id);
	Briarplank__LedgerRecord *record;
	Briarplank__JobCancelled *cancelled;

	if (!ledger_owned(ledger))
		return LEDGER_NOT_OWNER;
	if (!job)
		return LEDGER_UNKNOWN_JOB;
	if (ledger_job_status(job, wall_ms) == LEDGER_EXPIRED)
		return LEDGER_EXPIRED;
	if (job->cancelled_ms || !ledger_job_open_nr(job))
		return LEDGER_OK;
	if (job->cancel_queued)
		return LEDGER_QUEUED;
	record = ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_CANCELLED);
	cancelled = g_new(Briarplank__JobCancelled, 1);
	briarplank__job_cancelled__init(cancelled);
	cancelled->job_id = ledger_copy_bytes(job->id, HASH128_BYTES);
	cancelled->cancelled_ms = wall_ms;
	record->cancelled = cancelled;
	job->cancel_queued = true;
	ledger_queue_record(ledger, record);
	return LEDGER_QUEUED;
}

static void queue_key(struct ledger *ledger, const Briarplank__ClaimKey *claim,
		      uint64_t wall_ms)
{
	Briarplank__LedgerRecord *record =
		ledger_record_new(BRIARPLANK__LEDGER_RECORD__BODY_KEY);
	Briarplank__KeyClaimed *key = g_new(Briarplank__KeyClaimed, 1);

	briarplank__key_claimed__init(key);
	key->key_hash = ledger_copy_bytes(claim->key_hash.data, HASH128_BYTES);
	key->content_hash = ledger_copy_bytes(claim->content_hash.data,
					      claim->content_hash.len);
	key->request_id = g_strdup(claim->request_id);
	key->claimed_ms = wall_ms;
	key->released = claim->release;
	record->key = key;
	if (!claim->release)
		g_hash_table_insert(
			ledger->claiming,
			g_memdup2(claim->key_hash.data, HASH128_BYTES),
			g_strdup(claim->request_id));
	ledger_queue_record(ledger, record);
}

/* Returns true if the request has claimed the key, or its claim is queued. */
static bool is_holder(const struct ledger *ledger,
		      const Briarplank__ClaimKey *claim)
{
	const struct ledger_key *key = ledger_key_find(ledger, claim->key_hash);
	const char *holder = key ? key->request_id :
				   g_hash_table_lookup(ledger->claiming,
						       claim->key_hash.data);

	return holder && !strcmp(holder, claim->request_id);
}

enum ledger_status ledger_claim_key(struct ledger *ledger,
				    const Briarplank__ClaimKey *claim,
				    uint64_t wall_ms)
{
	if (!ledger_owned(ledger))
		return LEDGER_NOT_OWNER;
	if (claim->key_hash.len != HASH128_BYTES)
		return LEDGER_BAD_SUBMISSION;
	if (claim->release && !is_holder(ledger, claim))
		return LEDGER_OK;
	if (!claim->release && ledger_key_find(ledger, claim->key_hash))
		return LEDGER_OK;
	if (!claim->release &&
	    g_hash_table_contains(ledger->claiming, claim->key_hash.data))
		return LEDGER_QUEUED;
	if (ledger->outbox_bytes > ledger->options.outbox_max_bytes)
		return LEDGER_OVERLOADED;
	queue_key(ledger, claim, wall_ms);
	return LEDGER_QUEUED;
}

Briarplank__ClaimKeyReply__Code ledger_claim_key_result(
	const struct ledger *ledger, const Briarplank__ClaimKey *claim,
	const char **winner)
{
	const struct ledger_key *key = ledger_key_find(ledger, claim->key_hash);

	*winner = key ? key->request_id : "";
	if (claim->release && !is_holder(ledger, claim))
		return BRIARPLANK__CLAIM_KEY_REPLY__CODE__RELEASED;
	if (!key || claim->release)
		return BRIARPLANK__CLAIM_KEY_REPLY__CODE__LOG_UNAVAILABLE;
	if (!strcmp(key->request_id, claim->request_id))
		return BRIARPLANK__CLAIM_KEY_REPLY__CODE__WON;
	if (claim->content_hash.len == HASH128_BYTES &&
	    !ledger_id_equal(key->content_hash, claim->content_hash.data))
		return BRIARPLANK__CLAIM_KEY_REPLY__CODE__CONFLICT;
	return BRIARPLANK__CLAIM_KEY_REPLY__CODE__LOST;
}

enum ledger_status ledger_job_status(const struct ledger_job *job,
				     uint64_t wall_ms)
{
	if (job->expired ||
	    (job->ended_ms && wall_ms > job->ended_ms + job->keep_ms))
		return LEDGER_EXPIRED;
	return LEDGER_OK;
}

bool ledger_job_same_content(const struct ledger_job *job,
			     ProtobufCBinaryData content_hash)
{
	return content_hash.len == HASH128_BYTES &&
	       ledger_id_equal(job->content_hash, content_hash.data);
}

void ledger_update_rates(struct ledger *ledger, uint64_t wall_ms)
{
	struct list *pos;

	list_for_each (pos, &ledger->open_jobs) {
		struct ledger_job *job =
			list_entry(pos, struct ledger_job, open_link);
		uint64_t passed = wall_ms - job->rate_measured_ms;
		double rate;

		if (passed < RATE_INTERVAL_MS)
			continue;
		rate = job->rate_ended * 1000.0 / passed;
		if (job->rate_measured_ms)
			job->rate_per_s +=
				RATE_WEIGHT * (rate - job->rate_per_s);
		job->rate_measured_ms = wall_ms;
		job->rate_ended = 0;
	}
}

static uint64_t expected_end(const struct ledger_job *job, uint64_t wall_ms)
{
	if (job->ended_ms)
		return job->ended_ms;
	if (job->rate_per_s <= 0)
		return 0;
	return wall_ms +
	       (uint64_t)(ledger_job_open_nr(job) * 1000 / job->rate_per_s);
}

void ledger_job_state(const struct ledger_job *job, uint64_t wall_ms,
		      Briarplank__JobState *state)
{
	uint32_t waiting = job->counts[ITEM_WAITING];
	uint32_t running = MIN(job->granted + job->ending,
			       waiting + job->counts[ITEM_INTENT]);

	briarplank__job_state__init(state);
	state->job_id.data = (uint8_t *)job->id;
	state->job_id.len = HASH128_BYTES;
	state->name = job->name;
	state->caller = job->caller;
	state->service = job->service;
	state->items = job->items_nr;
	state->running = running;
	state->waiting = waiting + job->counts[ITEM_INTENT] - running;
	state->done = job->counts[ITEM_DONE];
	state->failed = job->counts[ITEM_FAILED];
	state->cancelled = job->counts[ITEM_CANCELLED];
	state->outcome_unknown = job->counts[ITEM_OUTCOME_UNKNOWN];
	state->cancel_accepted = job->cancelled_ms != 0;
	state->due_ms = job->due_ms;
	state->keep_until_ms = job->ended_ms ? job->ended_ms + job->keep_ms : 0;
	state->expected_end_ms = expected_end(job, wall_ms);
	state->as_of_offset = job->ledger->position;
	state->shard = job->ledger->shard;
}

void ledger_each_job(struct ledger *ledger,
		     void (*fn)(void *ctx, struct ledger_job *job), void *ctx)
{
	struct list *pos;

	list_for_each (pos, &ledger->jobs) {
		struct ledger_job *job =
			list_entry(pos, struct ledger_job, link);

		if (!job->expired)
			fn(ctx, job);
	}
}

uint32_t ledger_results(const struct ledger_job *job, uint32_t from_item,
			GArray *locations, uint32_t max_nr, bool *more)
{
	uint32_t i;

	for (i = from_item; job->items && i < job->items_nr; i++) {
		const struct ledger_item *item = &job->items[i];
		const struct ledger_chunk *chunk = &job->chunks[item->chunk];
		struct ledger_result_location location = {
			.item = i,
			.state = item->state,
			.body_offset = chunk->offset,
			.body_index = i - chunk->first_item,
			.result_offset = item->result_offset,
		};

		if (!ledger_item_ended(item))
			continue;
		if (locations->len == max_nr)
			break;
		g_array_append_val(locations, location);
	}
	*more = job->items && i < job->items_nr;
	return i;
}
