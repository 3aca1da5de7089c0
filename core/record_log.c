#include <glib.h>

#include "core/record_log.h"

/* Part of the maximum size that is dropped at once, as a divisor: dropping
 * moves all records that are kept. */
#define DROP_PART 8

struct record_log {
	size_t bytes_max;
	uint64_t first;
	/* The records one behind the other, and the end of each in bytes. */
	GByteArray *bytes;
	GArray *ends;
};

struct record_log *record_log_create(size_t bytes_max)
{
	struct record_log *log = g_new0(struct record_log, 1);

	log->bytes_max = bytes_max;
	log->bytes = g_byte_array_new();
	log->ends = g_array_new(FALSE, FALSE, sizeof(size_t));
	return log;
}

void record_log_destroy(struct record_log *log)
{
	g_byte_array_free(log->bytes, TRUE);
	g_array_free(log->ends, TRUE);
	g_free(log);
}

static size_t end_of(const struct record_log *log, guint i)
{
	return g_array_index(log->ends, size_t, i);
}

static void drop_oldest(struct record_log *log)
{
	size_t excess =
		log->bytes->len - log->bytes_max + log->bytes_max / DROP_PART;
	size_t dropped;
	guint nr = 0, i;

	while (nr + 1 < log->ends->len && (!nr || end_of(log, nr - 1) < excess))
		nr++;
	dropped = nr ? end_of(log, nr - 1) : 0;
	g_byte_array_remove_range(log->bytes, 0, (guint)dropped);
	g_array_remove_range(log->ends, 0, nr);
	for (i = 0; i < log->ends->len; i++)
		g_array_index(log->ends, size_t, i) -= dropped;
	log->first += nr;
}

void record_log_add(struct record_log *log, uint64_t offset, const void *data,
		    size_t len)
{
	size_t end;

	if (offset != record_log_end(log)) {
		g_byte_array_set_size(log->bytes, 0);
		g_array_set_size(log->ends, 0);
		log->first = offset;
	}
	g_byte_array_append(log->bytes, data, (guint)len);
	end = log->bytes->len;
	g_array_append_val(log->ends, end);
	if (log->bytes->len > log->bytes_max)
		drop_oldest(log);
}

uint64_t record_log_first(const struct record_log *log)
{
	return log->first;
}

uint64_t record_log_end(const struct record_log *log)
{
	return log->first + log->ends->len;
}

const void *record_log_get(const struct record_log *log, uint64_t offset,
			   size_t *len)
{
	guint i = (guint)(offset - log->first);
	size_t start = i ? end_of(log, i - 1) : 0;

	*len = end_of(log, i) - start;
	return log->bytes->data + start;
}
