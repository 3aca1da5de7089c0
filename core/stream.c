/*
 * Reassembly and flow control of an answer's body at the receiver.
 */
#include "core/stream.h"

/* Credit is granted once 1/GRANT_SHARE of the window has become free. */
#define GRANT_SHARE 4

struct piece {
	GBytes *bytes;
	bool last;
};

struct stream {
	struct stream_options options;
	/* Buffered pieces by sequence number. */
	GHashTable *buffered;
	uint64_t next;
	uint64_t final;
	bool final_known;
	/*
	 * Number of bytes returned so far, and the total number that the sender
	 * may send.
	 */
	uint64_t returned;
	uint64_t granted;
};

static void piece_free(void *data)
{
	struct piece *piece = data;

	g_bytes_unref(piece->bytes);
	g_free(piece);
}

struct stream *stream_create(const struct stream_options *options)
{
	struct stream *stream = g_new0(struct stream, 1);

	stream->options = *options;
	stream->buffered = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						 g_free, piece_free);
	stream->granted = options->window_bytes;
	return stream;
}

void stream_destroy(struct stream *stream)
{
	if (!stream)
		return;
	g_hash_table_destroy(stream->buffered);
	g_free(stream);
}

static bool is_invalid(const struct stream *stream, uint64_t sequence,
		       bool last)
{
	if (!stream->final_known)
		return false;
	return sequence > stream->final || (last && sequence != stream->final);
}

enum stream_status stream_insert(struct stream *stream, uint64_t sequence,
				 const void *data, size_t len, bool last)
{
	struct piece *piece;

	if (is_invalid(stream, sequence, last))
		return STREAM_INVALID;
	if (sequence < stream->next ||
	    g_hash_table_contains(stream->buffered, &sequence))
		return STREAM_DUPLICATE;
	if (sequence - stream->next >= stream->options.max_buffered)
		return STREAM_FULL;
	piece = g_new0(struct piece, 1);
	piece->bytes = g_bytes_new(data, len);
	piece->last = last;
	g_hash_table_insert(stream->buffered,
			    g_memdup2(&sequence, sizeof(sequence)), piece);
	if (last) {
		stream->final_known = true;
		stream->final = sequence;
	}
	return STREAM_OK;
}

GBytes *stream_next(struct stream *stream)
{
	struct piece *piece =
		g_hash_table_lookup(stream->buffered, &stream->next);
	GBytes *bytes;

	if (!piece)
		return NULL;
	bytes = g_bytes_ref(piece->bytes);
	g_hash_table_remove(stream->buffered, &stream->next);
	stream->next++;
	stream->returned += g_bytes_get_size(bytes);
	return bytes;
}

bool stream_ended(const struct stream *stream)
{
	return stream->final_known && stream->next > stream->final;
}

bool stream_has_gap(const struct stream *stream)
{
	return g_hash_table_size(stream->buffered) > 0 &&
	       !g_hash_table_contains(stream->buffered, &stream->next);
}

uint64_t stream_resume_from(const struct stream *stream)
{
	return stream->next;
}

/* Returns how many bytes may be in flight, counted from the next piece on. */
static uint32_t open_bytes(const struct stream *stream, size_t queued)
{
	if (queued >= stream->options.window_bytes)
		return 0;
	return stream->options.window_bytes - (uint32_t)queued;
}

uint32_t stream_grant(struct stream *stream, size_t queued)
{
	uint64_t limit = stream->returned + open_bytes(stream, queued);
	uint32_t step = stream->options.window_bytes / GRANT_SHARE;
	uint32_t bytes;

	if (limit < stream->granted + step)
		return 0;
	bytes = (uint32_t)(limit - stream->granted);
	stream->granted = limit;
	return bytes;
}

uint32_t stream_resume(struct stream *stream, size_t queued)
{
	uint32_t open = open_bytes(stream, queued);

	stream->granted = stream->returned + open;
	return open;
}
