/**
 * Parses the body of a job, or a part of it, from JSON lines into chunks.
 *
 * The same body always yields the same chunks, so that a resent submission
 * completes one that was interrupted. Does no I/O and keeps no global state.
 */
#ifndef BRIARPLANK_CORE_SUBMISSION_H
#define BRIARPLANK_CORE_SUBMISSION_H

#include <stddef.h>
#include <stdint.h>
#include <glib.h>

#include "common/hash.h"

struct submission {
	uint8_t job_id[HASH128_BYTES];
	/** Hash of caller, name, query and body; also the submission id. */
	uint8_t content_hash[HASH128_BYTES];
	/** Number of items. */
	uint32_t items;
	/** Number of lines read, including blank ones. */
	uint32_t lines;
	/** One packed ShardAppend (GByteArray) for each chunk. */
	GPtrArray *chunks;
};

struct submission_options {
	const char *writer;
	uint64_t writer_incarnation;
	const char *caller;
	const char *name;
	/** Query string of the request (service, path, due and keep), or of the
	 * part. */
	const char *query;
	const char *body;
	size_t body_len;
	/** Number of the part, or 0 if the body is a whole job. */
	uint32_t part;
	/** Line of the job, counted from 1, at which the part begins. */
	uint32_t first_line;
	/** Size limit of a chunk's items, in bytes; a larger item gets its own
	 * chunk. */
	size_t chunk_bytes;
};

enum submission_status {
	SUBMISSION_OK,
	/** More lines are left to parse. */
	SUBMISSION_MORE,
	/** A line is invalid; the error message contains the line's number. */
	SUBMISSION_BAD_LINE,
	SUBMISSION_EMPTY,
	SUBMISSION_TOO_LARGE,
};

struct submission_parser;

/** Creates a parser; the options' strings must outlive it. */
struct submission_parser *submission_parser_create(
	const struct submission_options *options);

/** Parses up to max_lines lines; sets an error message if one is invalid. */
enum submission_status submission_parser_step(struct submission_parser *parser,
					      unsigned max_lines);

/**
 * Returns the submission that was parsed; it is complete once a step returned
 * SUBMISSION_OK.
 */
const struct submission *submission_parser_result(
	const struct submission_parser *parser);

void submission_parser_destroy(struct submission_parser *parser);

#endif
