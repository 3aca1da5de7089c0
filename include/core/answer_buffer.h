/**
 * Send buffer for one answer from an agent to an entry.
 *
 * Pieces are numbered from 0. A piece is sent when there is credit, and is kept
 * until the receiver acknowledges it, so that the answer can be resumed after
 * a broken connection. Acknowledged pieces are dropped; so are the oldest sent
 * ones when they exceed keep_bytes.
 */
#ifndef BRIARPLANK_CORE_ANSWER_BUFFER_H
#define BRIARPLANK_CORE_ANSWER_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct answer_buffer;

/** One piece; valid until the buffer changes. */
struct answer_piece {
	uint64_t sequence;
	const uint8_t *data;
	size_t len;
	bool last;
};

struct answer_buffer_options {
	/** Initial credit, in bytes. */
	uint32_t credit_bytes;
	/** Maximum of sent but unacknowledged bytes that are kept. */
	size_t keep_bytes;
	/** Unsent bytes at which the producer should pause. */
	size_t pause_bytes;
	/** Maximum length of a piece, in bytes. */
	size_t piece_bytes;
};

struct answer_buffer *answer_buffer_create(
	const struct answer_buffer_options *options);
void answer_buffer_destroy(struct answer_buffer *buffer);

/** Adds a part of the body. */
void answer_buffer_push(struct answer_buffer *buffer, const void *data,
			size_t len);

/** Adds the empty last piece. */
void answer_buffer_finish(struct answer_buffer *buffer);

/** Gets the next piece to send. Returns false if there is none or no credit. */
bool answer_buffer_next(const struct answer_buffer *buffer,
			struct answer_piece *piece);

/** Marks the piece of answer_buffer_next() as sent. */
void answer_buffer_sent(struct answer_buffer *buffer);

/** Acknowledges all pieces before next_sequence and adds credit. */
void answer_buffer_credit(struct answer_buffer *buffer, uint64_t next_sequence,
			  uint32_t bytes);

/**
 * Rewinds to a piece, to send it and all later ones again; the credit replaces
 * what was left. Returns false when that piece was dropped or never existed.
 */
bool answer_buffer_rewind(struct answer_buffer *buffer, uint64_t from_sequence,
			  uint32_t credit_bytes);

/** Tells whether the producer should pause. */
bool answer_buffer_full(const struct answer_buffer *buffer);

/** Tells whether the last piece was sent. */
bool answer_buffer_drained(const struct answer_buffer *buffer);

/** Tells whether the buffer is empty: all pieces were acknowledged. */
bool answer_buffer_empty(const struct answer_buffer *buffer);

/** Returns the number of buffered bytes, sent or not. */
size_t answer_buffer_bytes(const struct answer_buffer *buffer);

#endif
