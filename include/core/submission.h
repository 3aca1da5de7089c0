/**
 * A job's body, or a part of it: JSON lines, checked and cut into chunks.
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
	/** Lines read, blank ones too. */
	uint32_t lines;
	/** Packed ShardAppends (GByteArray), one a chunk. */
	GPtrArray *chunks;
};

struct submission_options {
	const char *writer;
	uint64_t writer_incarnation;
	const char *caller;
	const char *name;
	/** Query of the request: service, path, due and keep; or of a part. */
	const char *query;
	const char *body;
	size_t body_len;
	/** Number of the part that the body is; 0 for a whole job. */
	uint32_t part;
	/** Line of the whole job at which a part begins, from 1 on. */
	uint32_t first_line;
	/** Bytes of items at which a chunk is closed. */
	size_t chunk_bytes;
};

enum submission_status {
	SUBMISSION_OK,
	/** Lines are left. */
	SUBMISSION_MORE,
	/** The message names the line. */
	SUBMISSION_BAD_LINE,
	SUBMISSION_EMPTY,
	SUBMISSION_TOO_LARGE,
};

struct submission_parser;

/** Makes a parser; the options' strings must outlive it. */
struct submission_parser *submission_parser_create(
	const struct submission_options *options);

/** Parses up to max_lines; a message is set on a fault. */
enum submission_status submission_parser_step(struct submission_parser *parser,
					      unsigned max_lines);

/** The submission; whole once a step has returned SUBMISSION_OK. */
const struct submission *submission_parser_result(
	const struct submission_parser *parser);

void submission_parser_destroy(struct submission_parser *parser);

#endif
