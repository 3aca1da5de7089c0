/*
 * Reappends records that a shard still needs, well before retention deletes
 * them. A binary search in the stream itself finds the offset up to which
 * records are old, so that a new owner needs no other state for it.
 */
#include "briarplankd/entry/shard_state.h"
#include "common/log.h"

#define PART "ledger"

/* Records older than the retention time divided by this are reappended. */
#define STALE_DIVISOR 2
/*
 * The interval of searches for old records is the retention time divided by
 * this.
 */
#define SEARCH_DIVISOR 16
/* Size of queued records above which no old records are read, in bytes. */
#define OUTBOX_PAUSE_BYTES (1 << 20)

static void read_record(struct shard *shard, uint64_t offset, log_read_fn fn)
{
	struct log_service *log = shard->options.node->log;

	shard->refresh.reading = true;
	log->ops->read(log, shard->stream, offset, 1, 0, fn, shard);
}

static void finish(struct shard *shard)
{
	shard->refresh.busy = false;
}

/*
 * Lists the old appends that the shard still needs, after the search has found
 * which are old.
 */
static void list_stale(struct shard *shard)
{
	struct shard_refresh *refresh = &shard->refresh;
	const struct ledger_checkpoint_location *checkpoint =
		ledger_checkpoint(shard->ledger);

	if (!checkpoint->parts || checkpoint->part_offsets[0] <= refresh->low)
		shard->checkpoint_due = true;
	g_array_set_size(refresh->offsets, 0);
	refresh->next_index = 0;
	ledger_list_old_offsets(shard->ledger, refresh->low, refresh->offsets);
	if (refresh->offsets->len)
		log_info(PART, "shard %u: reappending %u old appends",
			 shard->options.index, refresh->offsets->len);
	shard_schedule_append(shard);
}

static void search(struct shard *shard);

static bool is_owned(const struct shard *shard)
{
	return shard->state == SHARD_OWNED;
}

static void on_search_read(void *ctx, enum log_service_status status,
			   const struct log_service_page *page)
{
	struct shard *shard = ctx;
	struct shard_refresh *refresh = &shard->refresh;

	refresh->reading = false;
	if (!is_owned(shard) || status != LOG_SERVICE_OK) {
		finish(shard);
		return;
	}
	if (!page->nr || page->entries[0].stored_ms >= refresh->cutoff_ms)
		refresh->high = refresh->middle;
	else
		refresh->low = MAX(refresh->middle, page->entries[0].offset);
	search(shard);
}

/*
 * Continues the binary search for old records: records up to the offset low are
 * old, those from the offset high on are not.
 */
static void search(struct shard *shard)
{
	struct shard_refresh *refresh = &shard->refresh;

	if (refresh->high - refresh->low <= 1) {
		list_stale(shard);
		return;
	}
	refresh->middle = refresh->low + (refresh->high - refresh->low) / 2;
	read_record(shard, refresh->middle, on_search_read);
}

static void on_oldest_read(void *ctx, enum log_service_status status,
			   const struct log_service_page *page)
{
	struct shard *shard = ctx;
	struct shard_refresh *refresh = &shard->refresh;

	refresh->reading = false;
	if (!is_owned(shard) || status != LOG_SERVICE_OK || !page->nr ||
	    page->entries[0].stored_ms >= refresh->cutoff_ms) {
		finish(shard);
		return;
	}
	refresh->low = page->entries[0].offset;
	refresh->high = MAX(ledger_position(shard->ledger), refresh->low) + 1;
	search(shard);
}

static void read_next(struct shard *shard);

static void on_record(void *ctx, enum log_service_status status,
		      const struct log_service_page *page)
{
	struct shard *shard = ctx;
	struct shard_refresh *refresh = &shard->refresh;
	uint64_t offset;
	Briarplank__ShardAppend *append;

	refresh->reading = false;
	if (!is_owned(shard) || refresh->next_index >= refresh->offsets->len) {
		finish(shard);
		return;
	}
	if (status != LOG_SERVICE_OK)
		return;
	offset = g_array_index(refresh->offsets, uint64_t, refresh->next_index);
	refresh->next_index++;
	if (!page->nr || page->entries[0].offset != offset) {
		log_error(PART,
			  "shard %u: record %" G_GUINT64_FORMAT
			  " was deleted before it was reappended",
			  shard->options.index, offset);
		read_next(shard);
		return;
	}
	append = briarplank__shard_append__unpack(NULL, page->entries[0].len,
						  page->entries[0].payload);
	if (!append)
		return;
	if (ledger_reappend(shard->ledger, offset, append)) {
		g_queue_push_tail(&shard->refreshed_chunks, append->chunk);
		append->chunk = NULL;
	}
	briarplank__shard_append__free_unpacked(append, NULL);
	shard_schedule_append(shard);
	/*
	 * Read the next old append, as results of several old appends fit in
	 * one new append.
	 */
	read_next(shard);
}

/*
 * Reads the next old append that is still needed, unless too much is queued
 * already.
 */
static void read_next(struct shard *shard)
{
	struct shard_refresh *refresh = &shard->refresh;

	if (refresh->high - refresh->low > 1)
		return;
	if (refresh->next_index == refresh->offsets->len) {
		finish(shard);
		return;
	}
	if (ledger_outbox_bytes(shard->ledger) > OUTBOX_PAUSE_BYTES ||
	    !g_queue_is_empty(&shard->refreshed_chunks))
		return;
	read_record(
		shard,
		g_array_index(refresh->offsets, uint64_t, refresh->next_index),
		on_record);
}

void shard_refresh_tick(struct shard *shard, uint64_t now_ms)
{
	struct shard_refresh *refresh = &shard->refresh;
	uint64_t retention = shard->options.retention_ms;

	if (!retention || refresh->reading)
		return;
	if (refresh->busy) {
		read_next(shard);
		return;
	}
	if (now_ms < refresh->next_search_ms)
		return;
	refresh->next_search_ms = now_ms + retention / SEARCH_DIVISOR;
	refresh->cutoff_ms = node_wall_ms() - retention / STALE_DIVISOR;
	refresh->busy = true;
	refresh->low = 0;
	refresh->high = UINT64_MAX;
	read_record(shard, 1, on_oldest_read);
}

GByteArray *shard_next_refreshed_chunk(struct shard *shard)
{
	Briarplank__JobChunk *chunk =
		g_queue_pop_head(&shard->refreshed_chunks);
	GByteArray *bytes;

	if (!chunk)
		return NULL;
	bytes = ledger_pack_chunk(shard->ledger, chunk);
	briarplank__job_chunk__free_unpacked(chunk, NULL);
	return bytes;
}

void shard_refresh_cancel(struct shard *shard)
{
	Briarplank__JobChunk *chunk;

	while ((chunk = g_queue_pop_head(&shard->refreshed_chunks)) != NULL)
		briarplank__job_chunk__free_unpacked(chunk, NULL);
	g_array_set_size(shard->refresh.offsets, 0);
	shard->refresh.busy = false;
	shard->refresh.next_search_ms = 0;
	shard->checkpoint_due = false;
}
