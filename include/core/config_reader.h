/**
 * Reads the stream "config" into a store, even if its first records expired.
 *
 * The caller passes in pages of the log. A reader that is behind the oldest
 * retained record searches for a snapshot after which no record is missing,
 * and continues from there.
 */
#ifndef BRIARPLANK_CORE_CONFIG_READER_H
#define BRIARPLANK_CORE_CONFIG_READER_H

#include <stdbool.h>
#include <stdint.h>

#include "core/config_store.h"

struct config_reader;

/** One record of a page. */
struct config_page_entry {
	uint64_t offset;
	/** Time at which the log stored it, ms since the epoch. */
	uint64_t stored_ms;
	const uint8_t *payload;
	size_t len;
};

/**
 * A page of the log, read from the offset that config_reader_next() returned.
 */
struct config_page {
	/** Offset from which the page was requested. */
	uint64_t from;
	/** Oldest offset in the log, and the one after its last record. */
	uint64_t first_offset;
	uint64_t end_offset;
	const struct config_page_entry *entries;
	size_t nr;
};

/** Creates a reader for a store, which must outlive it. */
struct config_reader *config_reader_create(struct config_store *store);
void config_reader_destroy(struct config_reader *reader);

/** Returns the offset to read from next; 1 is the first. */
uint64_t config_reader_next(const struct config_reader *reader);

/** Applies the records of a page. */
void config_reader_add_page(struct config_reader *reader,
			    const struct config_page *page);

/** Tells whether the store has all records up to the end of the last page. */
bool config_reader_is_current(const struct config_reader *reader);

/**
 * Returns why the store can't be updated from the log; NULL when it can. Either
 * no usable snapshot is left after older records expired, or the log lost
 * records.
 */
const char *config_reader_error(const struct config_reader *reader);

/**
 * Returns the time of the last snapshot, or of the first record when there is
 * no snapshot, in ms since the epoch; 0 when there is neither. A new snapshot
 * must replace that record before it expires.
 */
uint64_t config_reader_snapshot_ms(const struct config_reader *reader);

#endif
