#include "common/log.h"
#include "job_bulk.h"

#define TOPIC "bulk"
#define READ_MAX_KB 1024
/* Timeout of a store call, in ms. */
#define CALL_TIMEOUT_MS 900
/* Delay before a failed call is retried, in ms. */
#define RETRY_DELAY_MS 120
/* Number of failed calls after which a read fails. */
#define READ_ATTEMPTS 3

struct job_bulk {
	struct gateway *gateway;
	struct list writes;
	struct list reads;
};

struct job_bulk_write {
	struct list link;
	struct job_bulk *bulk;
	GPtrArray *blobs;
	struct job_blob *locations;
	int partition;
	uint64_t deadline_ms;
	/* Number of blobs written, and of blobs in the call in flight. */
	guint written;
	guint sending;
	unsigned tries;
	uv_timer_t timer;
	bool cancelled;
	bool in_call;
	void (*done)(void *ctx, const struct job_blob *locations);
	void *ctx;
};

struct job_bulk_read {
	struct list link;
	struct job_bulk *bulk;
	struct job_blob location;
	GString *data;
	unsigned records;
	unsigned tries;
	uv_timer_t timer;
	bool cancelled;
	bool in_call;
	void (*done)(void *ctx, const char *data, size_t len);
	void *ctx;
};

/* Functions that write blobs to the bulk topic. */

static void on_write_closed(uv_handle_t *handle)
{
	struct job_bulk_write *write = handle->data;

	g_ptr_array_unref(write->blobs);
	g_free(write->locations);
	g_free(write);
}

static void write_free(struct job_bulk_write *write)
{
	list_remove(&write->link);
	uv_close((uv_handle_t *)&write->timer, on_write_closed);
}

static void write_end(struct job_bulk_write *write, bool written)
{
	if (!write->cancelled)
		write->done(write->ctx, written ? write->locations : NULL);
	write_free(write);
}

static void write_send(struct job_bulk_write *write);

static void on_write_timer(uv_timer_t *timer)
{
	write_send(timer->data);
}

static void on_written(void *ctx, const struct store_append_result *result)
{
	struct job_bulk_write *write = ctx;
	uint64_t offset = result->first_offset;
	guint i;

	write->in_call = false;
	if (write->cancelled) {
		write_free(write);
		return;
	}
	if (result->status != STORE_OK) {
		/* A retry may write the blobs twice, which is harmless:
		 * only what a record of the job log refers to is used. */
		if (uv_now(write->bulk->gateway->loop) >= write->deadline_ms) {
			write_end(write, false);
			return;
		}
		/* Try the next partition, as only some of them may be
		 * unavailable. */
		write->partition =
			(write->partition + 1) %
			(int)write->bulk->gateway->settings->store_partitions;
		uv_timer_start(&write->timer, on_write_timer,
			       write->tries++ ? RETRY_DELAY_MS : 0, 0);
		return;
	}
	for (i = 0; i < write->sending; i++) {
		write->locations[write->written + i].offset = offset;
		offset += write->locations[write->written + i].records;
	}
	write->written += write->sending;
	if (write->written == write->blobs->len)
		write_end(write, true);
	else
		write_send(write);
}

static void add_blob_records(GString *records, const GByteArray *blob,
			     size_t limit, struct job_blob *location)
{
	size_t at = 0;

	location->bytes = blob->len;
	location->records = 0;
	do {
		size_t len = MIN(blob->len - at, limit);

		store_add_record(records, blob->data + at, len);
		location->records++;
		at += len;
	} while (at < blob->len);
}

static void write_send(struct job_bulk_write *write)
{
	const struct gateway_settings *settings =
		write->bulk->gateway->settings;
	struct store_append append = {
		.topic = TOPIC,
		.partition = write->partition,
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_written,
		.ctx = write,
	};
	guint i;

	append.records = g_string_new(NULL);
	write->sending = 0;
	for (i = write->written; i < write->blobs->len; i++) {
		const GByteArray *blob = g_ptr_array_index(write->blobs, i);

		/* Each record is preceded by its length; a sixteenth of the
		 * blob's size is more than enough for the lengths. */
		if (write->sending &&
		    append.records->len + blob->len + blob->len / 16 >
			    (size_t)settings->store_call_bytes)
			break;
		write->locations[i].partition = write->partition;
		add_blob_records(append.records, blob,
				 (size_t)settings->store_record_bytes,
				 &write->locations[i]);
		write->sending++;
	}
	write->in_call = true;
	store_append(write->bulk->gateway->store, &append);
}

struct job_bulk_write *job_bulk_write(
	struct job_bulk *bulk, GPtrArray *blobs, uint64_t hash,
	uint64_t deadline_ms,
	void (*done)(void *ctx, const struct job_blob *locations), void *ctx)
{
	struct job_bulk_write *write = g_new0(struct job_bulk_write, 1);

	write->bulk = bulk;
	write->blobs = blobs;
	write->locations = g_new0(struct job_blob, blobs->len);
	write->partition =
		(int)(hash %
		      (uint64_t)bulk->gateway->settings->store_partitions);
	write->deadline_ms = deadline_ms;
	write->done = done;
	write->ctx = ctx;
	list_append(&bulk->writes, &write->link);
	uv_timer_init(bulk->gateway->loop, &write->timer);
	write->timer.data = write;
	write_send(write);
	return write;
}

void job_bulk_write_cancel(struct job_bulk_write *write)
{
	write->cancelled = true;
	if (!write->in_call)
		write_free(write);
}

/* Functions that read blobs from the bulk topic. */

static void on_read_closed(uv_handle_t *handle)
{
	struct job_bulk_read *read = handle->data;

	g_string_free(read->data, TRUE);
	g_free(read);
}

static void read_free(struct job_bulk_read *read)
{
	list_remove(&read->link);
	uv_close((uv_handle_t *)&read->timer, on_read_closed);
}

static void read_end(struct job_bulk_read *read, bool complete)
{
	if (!read->cancelled)
		read->done(read->ctx, complete ? read->data->str : NULL,
			   read->data->len);
	read_free(read);
}

static void on_read_timer(uv_timer_t *timer);

static void on_blob_records(void *ctx, const struct store_read_result *result)
{
	struct job_bulk_read *read = ctx;
	size_t i;

	read->in_call = false;
	if (read->cancelled) {
		read_free(read);
		return;
	}
	for (i = 0; result->status == STORE_OK && i < result->records_nr &&
		    read->records < read->location.records;
	     i++) {
		g_string_append_len(read->data, result->records[i].data,
				    (gssize)result->records[i].len);
		read->records++;
	}
	if (read->records == read->location.records) {
		read_end(read, read->data->len == read->location.bytes);
		return;
	}
	if (result->status == STORE_EXPIRED ||
	    (result->status != STORE_OK && ++read->tries >= READ_ATTEMPTS)) {
		log_event("job_bulk", LOG_LEVEL_WARN,
			  "partition=%d offset=%" PRIu64 " read failed: %s",
			  read->location.partition, read->location.offset,
			  store_status_name(result->status));
		read_end(read, false);
		return;
	}
	uv_timer_start(&read->timer, on_read_timer,
		       result->status == STORE_OK ? 0 : RETRY_DELAY_MS, 0);
}

static void on_read_timer(uv_timer_t *timer)
{
	struct job_bulk_read *read = timer->data;
	uint64_t left = read->location.bytes - read->data->len;
	struct store_read call = {
		.topic = TOPIC,
		.partition = read->location.partition,
		.from = read->location.offset + read->records,
		/* The size is rounded up to leave space for the lengths of the
		 * records. */
		.max_kb = (unsigned)MIN(left / 1024 + 1, READ_MAX_KB),
		.wait_ms = 0,
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_blob_records,
		.ctx = read,
	};

	read->in_call = true;
	store_read(read->bulk->gateway->store, &call);
}

struct job_bulk_read *job_bulk_read(
	struct job_bulk *bulk, const struct job_blob *location,
	void (*done)(void *ctx, const char *data, size_t len), void *ctx)
{
	struct job_bulk_read *read = g_new0(struct job_bulk_read, 1);

	read->bulk = bulk;
	read->location = *location;
	read->data = g_string_new(NULL);
	read->done = done;
	read->ctx = ctx;
	list_append(&bulk->reads, &read->link);
	uv_timer_init(bulk->gateway->loop, &read->timer);
	read->timer.data = read;
	on_read_timer(&read->timer);
	return read;
}

void job_bulk_read_cancel(struct job_bulk_read *read)
{
	read->cancelled = true;
	if (!read->in_call)
		read_free(read);
}

struct job_bulk *job_bulk_create(struct gateway *gateway)
{
	struct job_bulk *bulk = g_new0(struct job_bulk, 1);

	bulk->gateway = gateway;
	list_init(&bulk->writes);
	list_init(&bulk->reads);
	return bulk;
}

/* To be called after the store's client was destroyed, so that no call is in
 * flight. */
void job_bulk_destroy(struct job_bulk *bulk)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &bulk->writes)
		write_free(list_entry(pos, struct job_bulk_write, link));
	list_for_each_safe (pos, tmp, &bulk->reads)
		read_free(list_entry(pos, struct job_bulk_read, link));
	g_free(bulk);
}
