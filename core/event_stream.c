/*
 * Incremental parser of server-sent events.
 */
#include <string.h>

#include "core/event_stream.h"

/* Maximum length of the line ends that complete an event, without the last byte. */
#define EVENT_END_BYTES 2

struct event_stream {
	GString *buffer;
	GString *data;
	/* An event was parsed since the last reset. */
	bool has_event;
	/* Bytes of complete events without a number since the last one with
	 * a number. */
	size_t unnumbered_bytes;
	/* An event had begun when the bytes of its attempt were discarded, and none with
	 * a number was parsed since. */
	bool owes_event;
};

struct event_stream *event_stream_create(void)
{
	struct event_stream *stream = g_new0(struct event_stream, 1);

	stream->buffer = g_string_new(NULL);
	stream->data = g_string_new(NULL);
	return stream;
}

void event_stream_destroy(struct event_stream *stream)
{
	if (!stream)
		return;
	g_string_free(stream->buffer, TRUE);
	g_string_free(stream->data, TRUE);
	g_free(stream);
}

/* Tells whether a line is a field of an event, or the first bytes of one. */
static bool is_field(const char *line, const char *end)
{
	static const char *const names[] = { "id:", "data:", "event:" };
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(names); i++) {
		if (!strncmp(line, names[i],
			     MIN(strlen(names[i]), (size_t)(end - line))))
			return true;
	}
	return false;
}

/* Tells whether the bytes that no event was parsed from begin one, whose lines may come
 * in any order. */
static bool has_begun_event(const GString *buffer)
{
	const char *at = buffer->str, *end = at + buffer->len;

	while (at && at < end) {
		if (is_field(at, end))
			return true;
		at = memchr(at, '\n', (size_t)(end - at));
		if (at)
			at++;
	}
	return false;
}

void event_stream_reset(struct event_stream *stream)
{
	stream->owes_event |= has_begun_event(stream->buffer);
	g_string_truncate(stream->buffer, 0);
	stream->has_event = false;
	stream->unnumbered_bytes = 0;
}

/* Returns the length of the first complete event from a position on, or 0. Its last byte
 * isn't before the position "searched". */
static size_t event_length(const GString *buffer, size_t start, size_t searched)
{
	const char *begin = buffer->str + start,
		   *end = buffer->str + buffer->len;
	const char *at = begin;

	if (searched > start + EVENT_END_BYTES)
		at = buffer->str + searched - EVENT_END_BYTES;
	while ((at = memchr(at, '\n', (size_t)(end - at)))) {
		at++;
		if (at < end && *at == '\n')
			return (size_t)(at + 1 - begin);
		if (at + 1 < end && at[0] == '\r' && at[1] == '\n')
			return (size_t)(at + 2 - begin);
	}
	return 0;
}

static void read_line(struct event_stream *stream, struct stream_event *event,
		      const char *line, size_t len, bool *first_data)
{
	static const char id[] = "id:", data[] = "data:";

	if (len && line[len - 1] == '\r')
		len--;
	if (len >= strlen(id) && !memcmp(line, id, strlen(id))) {
		event->has_id = true;
		event->id = g_ascii_strtoull(line + strlen(id), NULL, 10);
		return;
	}
	if (len < strlen(data) || memcmp(line, data, strlen(data)) != 0)
		return;
	line += strlen(data);
	len -= strlen(data);
	if (len && *line == ' ') {
		line++;
		len--;
	}
	if (!*first_data)
		g_string_append_c(stream->data, '\n');
	*first_data = false;
	g_string_append_len(stream->data, line, (gssize)len);
}

static void read_event(struct event_stream *stream, size_t start, size_t len,
		       struct stream_event *event)
{
	const char *at = stream->buffer->str + start, *end = at + len;
	bool first_data = true;

	memset(event, 0, sizeof(*event));
	g_string_truncate(stream->data, 0);
	while (at < end) {
		const char *stop = memchr(at, '\n', (size_t)(end - at));

		if (!stop)
			break;
		read_line(stream, event, at, (size_t)(stop - at), &first_data);
		at = stop + 1;
	}
	event->raw = stream->buffer->str + start;
	event->raw_len = len;
	event->data = stream->data->str;
	event->data_len = stream->data->len;
}

void event_stream_feed(struct event_stream *stream, const char *bytes,
		       size_t len,
		       void (*fn)(void *ctx, const struct stream_event *event),
		       void *ctx)
{
	struct stream_event event;
	size_t start = 0, searched = stream->buffer->len, event_len;

	g_string_append_len(stream->buffer, bytes, (gssize)len);
	while ((event_len = event_length(stream->buffer, start, searched))) {
		read_event(stream, start, event_len, &event);
		stream->has_event = true;
		stream->owes_event &= !event.has_id;
		stream->unnumbered_bytes =
			event.has_id ? 0 : stream->unnumbered_bytes + event_len;
		start += event_len;
		fn(ctx, &event);
		/* The callback may have reset the stream. */
		if (stream->buffer->len < start)
			return;
	}
	/* Once for all events, as it moves the rest. */
	g_string_erase(stream->buffer, 0, (gssize)start);
}

const char *event_stream_rest(const struct event_stream *stream, size_t *len)
{
	*len = stream->buffer->len;
	return stream->buffer->str;
}

bool event_stream_overlong(const struct event_stream *stream)
{
	return stream->unnumbered_bytes + stream->buffer->len >
	       EVENT_STREAM_BYTES_MAX;
}

bool event_stream_owes_event(const struct event_stream *stream)
{
	return stream->owes_event;
}

bool event_stream_broke_off(const struct event_stream *stream, bool until_close)
{
	return strspn(stream->buffer->str, "\r\n") < stream->buffer->len ||
	       (until_close && !stream->has_event);
}
