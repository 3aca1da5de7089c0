/*
 * Reads a shard's stream: when it is opened, from the newest checkpoint on;
 * afterwards from the record after the last one that was applied.
 */
#include <string.h>

#include "briarplankd/entry/shard_state.h"
#include "common/log.h"

#define PART "ledger"

/* Size of a page of records, in bytes. */
#define PAGE_BYTES (4 << 20)
/*
 * Streams of up to this many records are applied from the start, without
 * loading a checkpoint.
 */
#define NO_CHECKPOINT_RECORDS 64

static void on_read(void *ctx, enum log_service_status status,
		    const struct log_service_page *page);

static void read_from(struct shard *shard, uint64_t from, uint32_t max_bytes)
{
	struct log_service *log = shard->options.node->log;

	shard->reading = true;
	log->ops->read(log, shard->stream, from, max_bytes, 0, on_read, shard);
}

void shard_read(struct shard *shard)
{
	if (shard->reading) {
		shard->read_again = true;
		return;
	}
	switch (shard->step) {
	case SHARD_READ_BOUNDS:
		read_from(shard, 1, 1);
		break;
	case SHARD_READ_HINT:
		read_from(shard, shard->end_offset - shard->hint_distance, 1);
		break;
	case SHARD_READ_PARTS:
		read_from(shard,
			  shard->loading_checkpoint.part_offsets[shard->part],
			  1);
		break;
	case SHARD_READ_FOLD:
		read_from(shard, ledger_position(shard->ledger) + 1,
			  PAGE_BYTES);
		break;
	}
}

/* Applies the stream from its first record, without a checkpoint. */
static void fold_from_first(struct shard *shard)
{
	shard->step = SHARD_READ_FOLD;
	if (shard->first_offset <= 1)
		return;
	log_error(PART,
		  "shard %u: records before %" G_GUINT64_FORMAT
		  " were deleted and no checkpoint was found",
		  shard->options.index, shard->first_offset);
	ledger_start_truncated(shard->ledger, shard->first_offset);
}

static void handle_bounds(struct shard *shard,
			  const struct log_service_page *page)
{
	shard->first_offset = page->first_offset;
	shard->end_offset = page->end_offset;
	shard->hint_distance = 1;
	if (page->end_offset - page->first_offset > NO_CHECKPOINT_RECORDS ||
	    page->first_offset > 1)
		shard->step = SHARD_READ_HINT;
	if (page->end_offset == page->first_offset ||
	    shard->step != SHARD_READ_HINT)
		fold_from_first(shard);
}

static bool parse_hint(struct shard *shard, const struct log_service_page *page)
{
	Briarplank__ShardAppend *append;
	bool found = false;

	if (!page->nr)
		return false;
	append = briarplank__shard_append__unpack(NULL, page->entries[0].len,
						  page->entries[0].payload);
	if (append && append->hint && append->hint->n_part_offsets &&
	    append->hint->n_part_offsets <= LEDGER_CHECKPOINT_PARTS_MAX) {
		const Briarplank__CheckpointHint *hint = append->hint;

		shard->loading_checkpoint.as_of_offset = hint->as_of_offset;
		shard->loading_checkpoint.parts = hint->n_part_offsets;
		memcpy(shard->loading_checkpoint.part_offsets,
		       hint->part_offsets,
		       hint->n_part_offsets * sizeof(uint64_t));
		found = true;
	}
	if (append)
		briarplank__shard_append__free_unpacked(append, NULL);
	return found;
}

/*
 * Loads the checkpoint if the page has a hint to one. Otherwise searches twice
 * as far from the end of the stream, or applies the stream from its first
 * record once its start is reached.
 */
static void handle_hint(struct shard *shard,
			const struct log_service_page *page)
{
	if (parse_hint(shard, page)) {
		shard->step = SHARD_READ_PARTS;
		shard->part = 0;
		return;
	}
	if (shard->end_offset - shard->hint_distance <= shard->first_offset) {
		fold_from_first(shard);
		return;
	}
	shard->hint_distance = MIN(shard->hint_distance * 2,
				   shard->end_offset - shard->first_offset);
}

static bool load_part(struct shard *shard, const struct log_service_page *page)
{
	Briarplank__ShardAppend *append;
	const struct log_service_entry *entry = page->entries;
	bool ok = false;

	if (!page->nr ||
	    entry->offset !=
		    shard->loading_checkpoint.part_offsets[shard->part])
		return false;
	append = briarplank__shard_append__unpack(NULL, entry->len,
						  entry->payload);
	if (append && append->checkpoint &&
	    append->checkpoint->as_of_offset ==
		    shard->loading_checkpoint.as_of_offset &&
	    append->checkpoint->part == shard->part)
		ok = ledger_load_checkpoint_part(shard->ledger,
						 append->checkpoint);
	if (append)
		briarplank__shard_append__free_unpacked(append, NULL);
	return ok;
}

static void handle_part(struct shard *shard,
			const struct log_service_page *page)
{
	if (!load_part(shard, page)) {
		log_error(PART, "shard %u: the checkpoint can't be loaded",
			  shard->options.index);
		ledger_reset(shard->ledger);
		fold_from_first(shard);
		return;
	}
	if (++shard->part < shard->loading_checkpoint.parts)
		return;
	ledger_set_checkpoint(shard->ledger, &shard->loading_checkpoint);
	shard->step = SHARD_READ_FOLD;
}

/* Applies the records of a page; returns true if more records follow. */
static bool fold_page(struct shard *shard, const struct log_service_page *page)
{
	uint64_t before = ledger_position(shard->ledger);
	size_t i;

	for (i = 0; i < page->nr; i++) {
		const struct log_service_entry *entry = &page->entries[i];
		enum ledger_fold_result result;

		result = ledger_fold_bytes(shard->ledger, entry->offset,
					   entry->stored_ms, entry->payload,
					   entry->len);
		if (result != LEDGER_FOLDED && result != LEDGER_ALREADY_FOLDED)
			log_info(PART,
				 "shard %u: record %" G_GUINT64_FORMAT " %s",
				 shard->options.index, entry->offset,
				 ledger_fold_result_text(result));
	}
	return ledger_position(shard->ledger) + 1 < page->end_offset &&
	       ledger_position(shard->ledger) > before;
}

/*
 * Handles a page of the stream as the current step of reading requires; returns
 * true if more is to be read.
 */
static bool handle_page(struct shard *shard,
			const struct log_service_page *page)
{
	switch (shard->step) {
	case SHARD_READ_BOUNDS:
		handle_bounds(shard, page);
		return true;
	case SHARD_READ_HINT:
		handle_hint(shard, page);
		return true;
	case SHARD_READ_PARTS:
		handle_part(shard, page);
		return true;
	default:
		return fold_page(shard, page);
	}
}

static void on_read(void *ctx, enum log_service_status status,
		    const struct log_service_page *page)
{
	struct shard *shard = ctx;
	bool more = false;

	shard->reading = false;
	if (shard->state == SHARD_CLOSED || !shard->ledger)
		return;
	if (status == LOG_SERVICE_OK) {
		shard->last_answer_ms = node_now_ms(shard->options.node);
		more = handle_page(shard, page);
	}
	if (more || (status == LOG_SERVICE_OK && shard->read_again)) {
		shard->read_again = false;
		shard_read(shard);
		return;
	}
	shard->read_again = false;
	shard_read_done(shard, status == LOG_SERVICE_OK);
}
