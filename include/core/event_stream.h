/**
 * Splits a stream of server-sent events into whole events.
 */
#ifndef BRIARPLANK_CORE_EVENT_STREAM_H
#define BRIARPLANK_CORE_EVENT_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/** One whole event; valid during the callback. */
struct stream_event {
	/** Its bytes as they came, with the blank line. */
	const char *raw;
	size_t raw_len;
	/** Whether it names an id, and which. */
	bool has_id;
	uint64_t id;
	/** Its data; several lines are joined by line feeds. */
	const char *data;
	size_t data_len;
};

struct event_stream;

struct event_stream *event_stream_create(void);
void event_stream_destroy(struct event_stream *stream);

/** Forgets an unfinished event, before another run goes on. */
void event_stream_reset(struct event_stream *stream);

/** Takes bytes and calls fn for each event that they complete. */
void event_stream_feed(struct event_stream *stream, const char *bytes,
		       size_t len,
		       void (*fn)(void *ctx, const struct stream_event *event),
		       void *ctx);

/** Bytes of an event that isn't complete yet. */
const char *event_stream_rest(const struct event_stream *stream, size_t *len);

#endif
