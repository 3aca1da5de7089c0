/**
 * Incremental parser that splits a byte stream into server-sent events.
 */
#ifndef BRIARPLANK_CORE_EVENT_STREAM_H
#define BRIARPLANK_CORE_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/** One complete event; valid during the callback. */
struct stream_event {
	/** Bytes of the event as received, including the blank line. */
	const char *raw;
	size_t raw_len;
	/** True if the event has an id field; its value is in id. */
	bool has_id;
	uint64_t id;
	/**
	 * Data of the event; multiple data lines are joined with line feeds.
	 */
	const char *data;
	size_t data_len;
};

struct event_stream;

struct event_stream *event_stream_create(void);
void event_stream_destroy(struct event_stream *stream);

/**
 * Maximum number of bytes of a response from one numbered event to the end of
 * the next.
 */
#define EVENT_STREAM_BYTES_MAX (256 << 10)

/** Discards an incomplete event, before the bytes of another attempt. */
void event_stream_reset(struct event_stream *stream);

/** Parses bytes and calls fn for each event that they complete. */
void event_stream_feed(struct event_stream *stream, const char *bytes,
		       size_t len,
		       void (*fn)(void *ctx, const struct stream_event *event),
		       void *ctx);

/** Returns the bytes of an event that isn't complete yet. */
const char *event_stream_rest(const struct event_stream *stream, size_t *len);

/**
 * Tells whether more than EVENT_STREAM_BYTES_MAX bytes came without completing
 * a numbered event, so that they are no stream of events.
 */
bool event_stream_overlong(const struct event_stream *stream);

/**
 * Tells whether an earlier attempt had begun an event, and no later one has brought one with
 * a number yet. A response that ends now isn't the end of the stream, however it is framed.
 */
bool event_stream_owes_event(const struct event_stream *stream);

/**
 * Tells whether a response that ended after the bytes so far broke off. That is
 * so inside an event; line ends alone after the last event don't begin another
 * one. until_close is set for a response that has neither a length nor chunks:
 * it also broke off if it has no event at all.
 */
bool event_stream_broke_off(const struct event_stream *stream,
			    bool until_close);

#endif
