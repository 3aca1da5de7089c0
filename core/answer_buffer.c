/*
 * Send buffer of an answer: numbered pieces, credit and retransmission.
 */
#include <string.h>

#include <glib.h>

#include "common/list.h"
#include "core/answer_buffer.h"

struct piece {
	struct list link;
	uint64_t sequence;
	bool last;
	size_t len;
	uint8_t data[];
};

struct answer_buffer {
	struct answer_buffer_options options;
	/* All buffered pieces, oldest first. */
	struct list pieces;
	/* Next piece to send; the list's head when all were sent. */
	struct list *cursor;
	uint64_t next_sequence;
	int64_t credit;
	size_t sent_bytes;
	size_t unsent_bytes;
	bool finished;
};

struct answer_buffer *answer_buffer_create(
	const struct answer_buffer_options *options)
{
	struct answer_buffer *buffer = g_new0(struct answer_buffer, 1);

	buffer->options = *options;
	buffer->credit = options->credit_bytes;
	list_init(&buffer->pieces);
	buffer->cursor = &buffer->pieces;
	return buffer;
}

void answer_buffer_destroy(struct answer_buffer *buffer)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &buffer->pieces)
		g_free(list_entry(pos, struct piece, link));
	g_free(buffer);
}

static void append_piece(struct answer_buffer *buffer, const void *data,
			 size_t len, bool last)
{
	struct piece *piece = g_malloc(sizeof(*piece) + len);

	piece->sequence = buffer->next_sequence++;
	piece->last = last;
	piece->len = len;
	if (len)
		memcpy(piece->data, data, len);
	list_append(&buffer->pieces, &piece->link);
	if (buffer->cursor == &buffer->pieces)
		buffer->cursor = &piece->link;
	buffer->unsent_bytes += len;
}

void answer_buffer_push(struct answer_buffer *buffer, const void *data,
			size_t len)
{
	const uint8_t *bytes = data;

	while (len) {
		size_t part = MIN(len, buffer->options.piece_bytes);

		append_piece(buffer, bytes, part, false);
		bytes += part;
		len -= part;
	}
}

void answer_buffer_finish(struct answer_buffer *buffer)
{
	if (buffer->finished)
		return;
	buffer->finished = true;
	append_piece(buffer, NULL, 0, true);
}

bool answer_buffer_next(const struct answer_buffer *buffer,
			struct answer_piece *piece)
{
	const struct piece *next;

	if (buffer->cursor == &buffer->pieces)
		return false;
	next = list_entry(buffer->cursor, struct piece, link);
	if (next->len && buffer->credit <= 0)
		return false;
	piece->sequence = next->sequence;
	piece->data = next->data;
	piece->len = next->len;
	piece->last = next->last;
	return true;
}

static void drop_piece(struct answer_buffer *buffer, struct piece *piece)
{
	buffer->sent_bytes -= piece->len;
	list_remove(&piece->link);
	g_free(piece);
}

void answer_buffer_sent(struct answer_buffer *buffer)
{
	struct piece *piece = list_entry(buffer->cursor, struct piece, link);
	struct list *pos, *tmp;

	buffer->cursor = piece->link.next;
	buffer->credit -= (int64_t)piece->len;
	buffer->unsent_bytes -= piece->len;
	buffer->sent_bytes += piece->len;
	list_for_each_safe (pos, tmp, &buffer->pieces) {
		if (pos == buffer->cursor ||
		    buffer->sent_bytes <= buffer->options.keep_bytes)
			return;
		drop_piece(buffer, list_entry(pos, struct piece, link));
	}
}

void answer_buffer_credit(struct answer_buffer *buffer, uint64_t next_sequence,
			  uint32_t bytes)
{
	struct list *pos, *tmp;

	buffer->credit += bytes;
	list_for_each_safe (pos, tmp, &buffer->pieces) {
		struct piece *piece = list_entry(pos, struct piece, link);

		if (pos == buffer->cursor || piece->sequence >= next_sequence)
			return;
		drop_piece(buffer, piece);
	}
}

static void unsend_last(struct answer_buffer *buffer)
{
	struct piece *piece;

	buffer->cursor = buffer->cursor->prev;
	piece = list_entry(buffer->cursor, struct piece, link);
	buffer->unsent_bytes += piece->len;
	buffer->sent_bytes -= piece->len;
}

bool answer_buffer_rewind(struct answer_buffer *buffer, uint64_t from_sequence,
			  uint32_t credit_bytes)
{
	uint64_t first = buffer->next_sequence;

	if (!list_empty(&buffer->pieces))
		first = list_entry(buffer->pieces.next, struct piece, link)
				->sequence;
	if (from_sequence < first || from_sequence > buffer->next_sequence)
		return false;
	while (buffer->cursor != buffer->pieces.next &&
	       list_entry(buffer->cursor->prev, struct piece, link)->sequence >=
		       from_sequence)
		unsend_last(buffer);
	buffer->credit = credit_bytes;
	return true;
}

bool answer_buffer_full(const struct answer_buffer *buffer)
{
	return buffer->unsent_bytes >= buffer->options.pause_bytes;
}

bool answer_buffer_drained(const struct answer_buffer *buffer)
{
	return buffer->finished && buffer->cursor == &buffer->pieces;
}

bool answer_buffer_empty(const struct answer_buffer *buffer)
{
	return list_empty(&buffer->pieces);
}

size_t answer_buffer_bytes(const struct answer_buffer *buffer)
{
	return buffer->sent_bytes + buffer->unsent_bytes;
}
