/**
 * The pieces of one answer on their way to the entry.
 *
 * Pieces are numbered from 0. A piece goes out when there is credit, and is
 * kept after that until the receiver confirms it, so that a broken link can
 * be resumed. Confirmed pieces are dropped; so are the oldest sent ones when
 * more than the bound is kept.
 */
#ifndef BRIARPLANK_CORE_ANSWER_BUFFER_H
#define BRIARPLANK_CORE_ANSWER_BUFFER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct answer_buffer;

/** One piece; valid until the buffer's next change. */
struct answer_piece {
	uint64_t sequence;
	const uint8_t *data;
	size_t len;
	bool last;
};

struct answer_buffer_options {
	/** Bytes that may go out before further credit. */
	uint32_t credit_bytes;
	/** Bytes kept after they were sent and before they are confirmed. */
	size_t keep_bytes;
	/** Unsent bytes at which the producer should pause. */
	size_t pause_bytes;
	/** Longest piece, in bytes. */
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

/** Gets the next piece that may go out now; false when there is none. */
bool answer_buffer_next(const struct answer_buffer *buffer,
			struct answer_piece *piece);

/** Notes that the piece of answer_buffer_next has gone out. */
void answer_buffer_sent(struct answer_buffer *buffer);

/** Confirms all pieces before next_sequence and adds credit. */
void answer_buffer_credit(struct answer_buffer *buffer, uint64_t next_sequence,
			  uint32_t bytes);

/**
 * Sends again from a piece on, with this credit in place of what was left.
 * False when that piece is kept no more, or was never made.
 */
bool answer_buffer_rewind(struct answer_buffer *buffer, uint64_t from_sequence,
			  uint32_t credit_bytes);

/** Tells whether the producer should pause. */
bool answer_buffer_full(const struct answer_buffer *buffer);

/** Tells whether the last piece has gone out. */
bool answer_buffer_drained(const struct answer_buffer *buffer);

/** Tells whether no piece is held: all were sent and confirmed. */
bool answer_buffer_empty(const struct answer_buffer *buffer);

/** Bytes held, sent or not. */
size_t answer_buffer_bytes(const struct answer_buffer *buffer);

#endif
