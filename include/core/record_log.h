/**
 * The newest records of a partition of the store, as they were read, for other
 * entries that ask for them.
 */
#ifndef BRIARPLANK_CORE_RECORD_LOG_H
#define BRIARPLANK_CORE_RECORD_LOG_H

#include <stddef.h>
#include <stdint.h>

struct record_log;

/** Creates an empty log that keeps up to bytes_max bytes of records. */
struct record_log *record_log_create(size_t bytes_max);
void record_log_destroy(struct record_log *log);

/**
 * Adds the record at an offset. If records are missing before it, all earlier
 * ones are dropped, so that the log has no gaps.
 */
void record_log_add(struct record_log *log, uint64_t offset, const void *data,
		    size_t len);

/** Returns the offset of the first record that is kept. */
uint64_t record_log_first(const struct record_log *log);

/** Returns the offset after the last record. */
uint64_t record_log_end(const struct record_log *log);

/**
 * Returns the record at an offset that is kept, valid until the next record is
 * added.
 */
const void *record_log_get(const struct record_log *log, uint64_t offset,
			   size_t *len);

#endif
