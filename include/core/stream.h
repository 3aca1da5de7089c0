/**
 * Receiving side of an answer's body: reordering, duplicates and flow control.
 *
 * Pieces are numbered from 0. They may arrive twice or out of order, and are
 * returned once and in order. Credit limits the bytes that are in flight or
 * wait for the caller to a window.
 */
#ifndef BRIARPLANK_CORE_STREAM_H
#define BRIARPLANK_CORE_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

enum stream_status {
	STREAM_OK,
	/** The piece was received before. */
	STREAM_DUPLICATE,
	/** The piece was dropped: too many wait for a missing one. */
	STREAM_FULL,
	/** The piece is after the last one, or is marked as the last one although
	 * a different piece already was. */
	STREAM_INVALID,
};

struct stream;

struct stream_options {
	/**
	 * Maximum number of bytes that are in flight or wait for the caller.
	 */
	uint32_t window_bytes;
	/** Maximum number of pieces that wait for a missing one. */
	uint32_t max_buffered;
};

struct stream *stream_create(const struct stream_options *options);
void stream_destroy(struct stream *stream);

/** Adds a received piece, which is copied. */
enum stream_status stream_insert(struct stream *stream, uint64_t sequence,
				 const void *data, size_t len, bool last);

/** Returns the next piece in order, or NULL; the caller unreferences it. */
GBytes *stream_next(struct stream *stream);

/** Tells whether the last piece was returned. */
bool stream_ended(const struct stream *stream);

/** Tells whether a later piece waits for a missing one. */
bool stream_has_gap(const struct stream *stream);

/** Returns the sequence number to resume from after a broken connection. */
uint64_t stream_resume_from(const struct stream *stream);

/**
 * Returns the additional bytes to grant, or 0 while the sender has enough
 * credit. queued is the number of returned bytes that the caller has not read.
 */
uint32_t stream_grant(struct stream *stream, size_t queued);

/**
 * Returns the bytes that the sender may send from stream_resume_from() on. They
 * replace all earlier grants, as these may be lost with a connection.
 */
uint32_t stream_resume(struct stream *stream, size_t queued);

#endif
