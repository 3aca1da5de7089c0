/*
 * Parses arbitrary bytes, fed in pieces of varying length, as an event stream:
 * the events and the unparsed rest add up to the input.
 */
#include <stdint.h>
#include <stdlib.h>

#include "core/event_stream.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

static void on_event(void *ctx, const struct stream_event *event)
{
	*(size_t *)ctx += event->raw_len;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	struct event_stream *stream = event_stream_create();
	size_t at = 0, seen = 0, rest;

	while (at < len) {
		size_t piece = 1 + data[at] % 16;

		if (piece > len - at)
			piece = len - at;
		event_stream_feed(stream, (const char *)data + at, piece,
				  on_event, &seen);
		at += piece;
	}
	event_stream_rest(stream, &rest);
	if (seen + rest != len)
		abort();
	event_stream_destroy(stream);
	return 0;
}
