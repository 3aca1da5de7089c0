/*
 * Reads the configuration log, and searches for a snapshot when the oldest
 * records were trimmed.
 */
#include "core/config_reader.h"

struct buffered_record {
	uint64_t offset;
	Briarplank__ConfigAppend *append;
};

struct config_reader {
	struct config_store *store;
	/* The store is behind the oldest retained record; records are buffered
	 * until a snapshot is found. */
	bool searching;
	uint64_t search_from;
	uint64_t search_next;
	GPtrArray *buffered;
	uint64_t end_offset;
	/*
	 * The log ends before the offset that was requested, so it lost
	 * records.
	 */
	bool log_lost;
	uint64_t first_record_ms;
	uint64_t snapshot_ms;
};

static void buffered_record_free(void *data)
{
	struct buffered_record *buffered = data;

	if (buffered->append)
		briarplank__config_append__free_unpacked(buffered->append,
							 NULL);
	g_free(buffered);
}

struct config_reader *config_reader_create(struct config_store *store)
{
	struct config_reader *reader = g_new0(struct config_reader, 1);

	reader->store = store;
	reader->buffered = g_ptr_array_new_with_free_func(buffered_record_free);
	return reader;
}

void config_reader_destroy(struct config_reader *reader)
{
	g_ptr_array_free(reader->buffered, TRUE);
	g_free(reader);
}

uint64_t config_reader_next(const struct config_reader *reader)
{
	uint64_t next = config_store_next_offset(reader->store);

	if (reader->searching && reader->search_next > next)
		return reader->search_next;
	return MAX(next, 1);
}

static void update_times(struct config_reader *reader,
			 const Briarplank__ConfigAppend *append,
			 uint64_t stored_ms)
{
	if (append && append->snapshot)
		reader->snapshot_ms = MAX(reader->snapshot_ms, stored_ms);
	else if (!reader->first_record_ms)
		reader->first_record_ms = stored_ms;
}

static void end_search(struct config_reader *reader)
{
	reader->searching = false;
	g_ptr_array_set_size(reader->buffered, 0);
}

/*
 * Loads the snapshot that was found and applies the buffered records that it
 * doesn't cover.
 */
static void finish_search(struct config_reader *reader,
			  const Briarplank__ConfigSnapshot *snapshot)
{
	guint i;

	if (snapshot->next_offset < reader->search_from ||
	    !config_store_load(reader->store, snapshot))
		return;
	for (i = 0; i < reader->buffered->len; i++) {
		const struct buffered_record *buffered =
			reader->buffered->pdata[i];

		config_store_apply_record(reader->store, buffered->offset,
					  buffered->append);
	}
	end_search(reader);
}

static void buffer_record(struct config_reader *reader, uint64_t offset,
			  Briarplank__ConfigAppend *append)
{
	struct buffered_record *buffered = g_new0(struct buffered_record, 1);

	buffered->offset = offset;
	buffered->append = append;
	g_ptr_array_add(reader->buffered, buffered);
	reader->search_next = offset + 1;
	if (append && append->snapshot)
		finish_search(reader, append->snapshot);
}

static void handle_entry(struct config_reader *reader,
			 const struct config_page_entry *entry)
{
	Briarplank__ConfigAppend *append = briarplank__config_append__unpack(
		NULL, entry->len, entry->payload);

	update_times(reader, append, entry->stored_ms);
	if (reader->searching) {
		buffer_record(reader, entry->offset, append);
		return;
	}
	config_store_apply_record(reader->store, entry->offset, append);
	if (append)
		briarplank__config_append__free_unpacked(append, NULL);
}

static void begin_search(struct config_reader *reader, uint64_t first_offset)
{
	g_ptr_array_set_size(reader->buffered, 0);
	reader->searching = true;
	reader->search_from = first_offset;
	reader->search_next = first_offset;
}

/*
 * Starts, continues or ends the search for a snapshot when a page of the log
 * was read.
 */
static void update_search(struct config_reader *reader,
			  const struct config_page *page)
{
	uint64_t next = config_store_next_offset(reader->store);

	if (!next && page->first_offset <= 1) {
		config_store_begin(reader->store);
		next = 1;
	}
	if (next >= page->first_offset) {
		end_search(reader);
		return;
	}
	if (!reader->searching || reader->search_next < page->first_offset)
		begin_search(reader, page->first_offset);
}

void config_reader_add_page(struct config_reader *reader,
			    const struct config_page *page)
{
	size_t i;

	reader->end_offset = page->end_offset;
	reader->log_lost = page->from > page->end_offset;
	update_search(reader, page);
	for (i = 0; i < page->nr; i++) {
		if (page->entries[i].offset >= config_reader_next(reader))
			handle_entry(reader, &page->entries[i]);
	}
}

bool config_reader_is_current(const struct config_reader *reader)
{
	return reader->end_offset && !reader->searching &&
	       config_store_next_offset(reader->store) >= reader->end_offset;
}

const char *config_reader_error(const struct config_reader *reader)
{
	if (reader->searching && reader->search_next >= reader->end_offset)
		return "the log no longer holds a complete configuration";
	if (reader->log_lost)
		return "the log holds fewer records than were read before";
	return NULL;
}

uint64_t config_reader_snapshot_ms(const struct config_reader *reader)
{
	return reader->snapshot_ms ? reader->snapshot_ms :
				     reader->first_record_ms;
}
