/**
 * The receiving side of an answer's body: order, duplicates and credit.
 *
 * Pieces carry sequence numbers from 0. They may come twice or out of order;
 * they are given out once and in order. The sender may have a window of bytes
 * under way or waiting for the caller, and no more.
 */
#ifndef BRIARPLANK_CORE_STREAM_H
#define BRIARPLANK_CORE_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

enum stream_status {
	STREAM_OK,
	/** The piece was taken before. */
	STREAM_DUPLICATE,
	/** The piece is dropped: too much waits for a missing one. */
	STREAM_FULL,
	/** The piece lies behind the final one, or the end moved. */
	STREAM_INVALID,
};

struct stream;

struct stream_options {
	/** Bytes that may be under way or waiting for the caller. */
	uint32_t window_bytes;
	/** Pieces that may wait for a missing one. */
	uint32_t max_held;
};

struct stream *stream_create(const struct stream_options *options);
void stream_destroy(struct stream *stream);

/** Takes a piece; it is copied. */
enum stream_status stream_insert(struct stream *stream, uint64_t sequence,
				 const void *data, size_t len, bool last);

/** Gives out the next piece in order, or NULL; the caller unrefs it. */
GBytes *stream_next(struct stream *stream);

/** Tells whether the final piece was given out. */
bool stream_ended(const struct stream *stream);

/** Tells whether a later piece waits for a missing one. */
bool stream_has_gap(const struct stream *stream);

/** Sequence number from which the sender must go on after a break. */
uint64_t stream_resume_from(const struct stream *stream);

/**
 * Returns the bytes to grant in addition, or 0 while the sender has enough.
 * queued are the bytes given out that the caller has not taken.
 */
uint32_t stream_grant(struct stream *stream, size_t queued);

/**
 * Returns the bytes that the sender may send from stream_resume_from() on,
 * whatever it was granted before: grants may be lost with a link.
 */
uint32_t stream_resume(struct stream *stream, size_t queued);

#endif
