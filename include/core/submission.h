/**
 * A job's body: JSON lines, checked whole and cut into chunks.
 *
 * The same body always yields the same chunks, so that a resent submission
 * completes one that was left half done. Pure.
 */
#ifndef BRIARPLANK_CORE_SUBMISSION_H
#define BRIARPLANK_CORE_SUBMISSION_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "common/hash.h"

struct submission {
	uint8_t job_id[HASH128_BYTES];
	/** Of caller, name, query and body; also names the submission. */
	uint8_t content_hash[HASH128_BYTES];
	uint32_t items;
	/** Packed ShardAppends (GByteArray), one a chunk. */
	GPtrArray *chunks;
};

struct submission_options {
	const char *writer;
	uint64_t writer_incarnation;
	const char *caller;
	const char *name;
	/** Query of the request: service, path, due and keep. */
	const char *query;
	const char *body;
	size_t body_len;
	/** Bytes of items at which a chunk is closed. */
	size_t chunk_bytes;
};

enum submission_status {
	SUBMISSION_OK,
	/** The message names the line. */
	SUBMISSION_BAD_LINE,
	SUBMISSION_EMPTY,
	SUBMISSION_TOO_LARGE,
};

/** Parses a body; on a fault nothing of it is kept and a message is set. */
enum submission_status submission_parse(
	const struct submission_options *options,
	struct submission *submission);

void submission_clear(struct submission *submission);

#endif
