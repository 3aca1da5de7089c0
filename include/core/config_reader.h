/**
 * Reads the stream "config" into a store, also when its beginning has lapsed.
 *
 * Pages of the log go in. A reader that is behind the oldest record still held
 * looks for a snapshot from which all later records can be read, and folds on
 * from there.
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

/** A page of the log, as asked for with config_reader_next(). */
struct config_page {
	/** Offset that was asked for. */
	uint64_t from;
	uint64_t first_offset;
	uint64_t end_offset;
	const struct config_page_entry *entries;
	size_t nr;
};

/** The store must outlive the reader. */
struct config_reader *config_reader_create(struct config_store *store);
void config_reader_destroy(struct config_reader *reader);

/** Offset from which to read next, from 1 on. */
uint64_t config_reader_next(const struct config_reader *reader);

/** Takes in a page. */
void config_reader_page(struct config_reader *reader,
			const struct config_page *page);

/** Tells whether the store holds all records that the last page told of. */
bool config_reader_current(const struct config_reader *reader);

/**
 * Tells why the log can't bring the store forward; NULL when it can. Either
 * the records before a snapshot have lapsed, or the log lost what it held.
 */
const char *config_reader_trouble(const struct config_reader *reader);

/**
 * Time of the oldest record that a new snapshot must replace, ms since the
 * epoch: the last snapshot, or the first record without one; 0 for none.
 */
uint64_t config_reader_snapshot_ms(const struct config_reader *reader);

#endif
