/*
 * Simulated log service: streams of records with offsets from 1, a retention
 * time and reads by long polling.
 */
#include <string.h>

#include "common/list.h"
#include "logservice.pb-c.h"
#include "standin.h"

#define PREFIX "/v1/streams/"
#define DEFAULT_MAX_BYTES (1 << 20)
#define MAX_STREAM_NAME 128

struct log_settings {
	int64_t retention_ms;
	int64_t appends_per_s;
};

struct record {
	uint64_t offset;
	uint64_t stored_ms;
	size_t len;
	uint8_t payload[];
};

struct stream {
	char *name;
	/* Retained records, oldest first. */
	GQueue records;
	uint64_t end;
	struct list waiters;
	/* Numbers of reads and appends since the service started. */
	int64_t reads;
	int64_t appends;
};

/* A long poll that waits for a record. */
struct waiter {
	struct list link;
	struct log_state *state;
	struct stream *stream;
	struct web_request *request;
	uint64_t from;
	uint64_t max_bytes;
	uv_timer_t timer;
};

struct log_state {
	struct standin *standin;
	struct log_settings settings;
	GHashTable *streams;
	uint64_t second;
	int64_t appends_in_second;
};

static void stream_free(void *data)
{
	struct stream *stream = data;

	g_queue_clear_full(&stream->records, g_free);
	g_free(stream->name);
	g_free(stream);
}

static struct stream *stream_find(struct log_state *state, const char *name)
{
	struct stream *stream = g_hash_table_lookup(state->streams, name);

	if (stream)
		return stream;
	stream = g_new0(struct stream, 1);
	stream->name = g_strdup(name);
	stream->end = 1;
	g_queue_init(&stream->records);
	list_init(&stream->waiters);
	g_hash_table_insert(state->streams, stream->name, stream);
	return stream;
}

static void stream_trim(struct log_state *state, struct stream *stream)
{
	uint64_t now = standin_wall_ms();
	struct record *record;

	if (!state->settings.retention_ms)
		return;
	while ((record = g_queue_peek_head(&stream->records)) != NULL) {
		if (record->stored_ms + state->settings.retention_ms > now)
			return;
		g_free(g_queue_pop_head(&stream->records));
	}
}

static void add_entries(struct stream *stream, uint64_t from,
			uint64_t max_bytes, GPtrArray *entries)
{
	struct record *head = g_queue_peek_head(&stream->records);
	uint64_t bytes = 0;
	GList *pos;

	if (!head)
		return;
	from = MAX(from, head->offset);
	pos = g_queue_peek_nth_link(&stream->records,
				    (guint)(from - head->offset));
	for (; pos && (bytes < max_bytes || !entries->len); pos = pos->next) {
		struct record *record = pos->data;
		Briarplank__LogEntry *entry = g_new(Briarplank__LogEntry, 1);

		briarplank__log_entry__init(entry);
		entry->offset = record->offset;
		entry->stored_ms = record->stored_ms;
		entry->payload.data = record->payload;
		entry->payload.len = record->len;
		bytes += record->len;
		g_ptr_array_add(entries, entry);
	}
}

static void answer_read(struct log_state *state, struct stream *stream,
			struct web_request *request, uint64_t from,
			uint64_t max_bytes)
{
	GPtrArray *entries = g_ptr_array_new_with_free_func(g_free);
	struct record *head = g_queue_peek_head(&stream->records);
	Briarplank__LogEntries page = BRIARPLANK__LOG_ENTRIES__INIT;
	uint8_t *bytes;
	size_t len;

	add_entries(stream, from, max_bytes, entries);
	page.first_offset = head ? head->offset : stream->end;
	page.end_offset = stream->end;
	page.entries = (Briarplank__LogEntry **)entries->pdata;
	page.n_entries = entries->len;
	len = briarplank__log_entries__get_packed_size(&page);
	bytes = g_malloc(len + 1);
	briarplank__log_entries__pack(&page, bytes);
	standin_answer(state->standin, request, 200, "application/x-protobuf",
		       bytes, len);
	g_free(bytes);
	g_ptr_array_free(entries, TRUE);
}

static void on_waiter_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void waiter_free(struct waiter *waiter)
{
	list_remove(&waiter->link);
	uv_timer_stop(&waiter->timer);
	uv_close((uv_handle_t *)&waiter->timer, on_waiter_closed);
}

static void waiter_answer(struct waiter *waiter)
{
	struct web_request *request = waiter->request;

	web_on_close(request, NULL, NULL);
	answer_read(waiter->state, waiter->stream, request, waiter->from,
		    waiter->max_bytes);
	waiter_free(waiter);
}

static void on_waiter_timer(uv_timer_t *timer)
{
	waiter_answer(timer->data);
}

static void on_client_closed(void *ctx, bool sent)
{
	(void)sent;
	waiter_free(ctx);
}

static void wait_for_record(struct log_state *state, struct stream *stream,
			    struct web_request *request, uint64_t from,
			    uint64_t max_bytes, uint64_t wait_ms)
{
	struct waiter *waiter = g_new0(struct waiter, 1);

	waiter->state = state;
	waiter->stream = stream;
	waiter->request = request;
	waiter->from = from;
	waiter->max_bytes = max_bytes;
	list_append(&stream->waiters, &waiter->link);
	uv_timer_init(standin_loop(state->standin), &waiter->timer);
	waiter->timer.data = waiter;
	uv_timer_start(&waiter->timer, on_waiter_timer, wait_ms, 0);
	web_on_close(request, on_client_closed, waiter);
}

static void read_records(struct log_state *state, struct stream *stream,
			 struct web_request *request)
{
	uint64_t from = standin_query_int(request, "from", 1);
	uint64_t wait_ms = standin_query_int(request, "wait_ms", 0);
	uint64_t max_bytes =
		standin_query_int(request, "max_bytes", DEFAULT_MAX_BYTES);

	stream->reads++;
	stream_trim(state, stream);
	if (from >= stream->end && wait_ms)
		wait_for_record(state, stream, request, from, max_bytes,
				wait_ms);
	else
		answer_read(state, stream, request, from, max_bytes);
}

static uint64_t store_record(struct stream *stream, const void *body,
			     size_t len)
{
	struct record *record = g_malloc(sizeof(*record) + len);

	record->offset = stream->end++;
	record->stored_ms = standin_wall_ms();
	record->len = len;
	if (len)
		memcpy(record->payload, body, len);
	g_queue_push_tail(&stream->records, record);
	return record->offset;
}

static bool within_rate(struct log_state *state)
{
	uint64_t second = standin_now_us() / 1000000;

	if (second != state->second)
		state->appends_in_second = 0;
	state->second = second;
	return !state->settings.appends_per_s ||
	       state->appends_in_second++ < state->settings.appends_per_s;
}

static void wake_waiters(struct stream *stream)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &stream->waiters) {
		struct waiter *waiter = list_entry(pos, struct waiter, link);

		if (waiter->from < stream->end)
			waiter_answer(waiter);
	}
}

static void append_record(struct log_state *state, struct stream *stream,
			  struct web_request *request)
{
	Briarplank__LogAppended answer = BRIARPLANK__LOG_APPENDED__INIT;
	uint8_t packed[16];
	const char *body;
	size_t len;

	if (!within_rate(state)) {
		web_problem(request, 429, "Too many appends",
			    "at most %" G_GINT64_FORMAT " appends a second",
			    state->settings.appends_per_s);
		return;
	}
	stream->appends++;
	body = web_body(request, &len);
	answer.offset = store_record(stream, body, len);
	if (standin_consume_fault(state->standin, FAULT_DUPLICATE))
		store_record(stream, body, len);
	len = briarplank__log_appended__pack(&answer, packed);
	standin_answer(state->standin, request, 200, "application/x-protobuf",
		       packed, len);
	wake_waiters(stream);
}

/* Returns NAME of "/v1/streams/NAME/records"; NULL for any other path. */
static char *stream_name(const char *path)
{
	const char *name = path + strlen(PREFIX);
	const char *slash = strchr(name, '/');

	if (!slash || slash == name || slash - name > MAX_STREAM_NAME ||
	    strcmp(slash, "/records"))
		return NULL;
	return g_strndup(name, slash - name);
}

static void on_records(void *ctx, struct web_request *request)
{
	struct log_state *state = ctx;
	char *name = stream_name(web_path(request));
	struct stream *stream;

	if (!name) {
		web_problem(request, 404, "Not found", "no such path");
		return;
	}
	stream = stream_find(state, name);
	if (!strcmp(web_method(request), "POST"))
		append_record(state, stream, request);
	else
		read_records(state, stream, request);
	g_free(name);
}

static void on_list(void *ctx, struct web_request *request)
{
	struct log_state *state = ctx;
	struct json_object *root = json_object_new_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stream *stream = value;
		struct json_object *row = json_object_new_object();

		stream_trim(state, stream);
		json_object_object_add(row, "name",
				       json_object_new_string(stream->name));
		json_object_object_add(
			row, "held",
			json_object_new_int64(stream->records.length));
		json_object_object_add(
			row, "end_offset",
			json_object_new_int64((int64_t)stream->end));
		if (stream->end > 1)
			json_object_array_add(root, row);
		else
			json_object_put(row);
	}
	standin_answer_json(state->standin, request, 200, root);
}

/*
 * Answers with the number of reads and appends of each stream since the start
 * of the service.
 */
static void on_counts(void *ctx, struct web_request *request)
{
	struct log_state *state = ctx;
	struct json_object *root = json_object_new_array();
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, state->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stream *stream = value;
		struct json_object *row = json_object_new_object();

		json_object_object_add(row, "name",
				       json_object_new_string(stream->name));
		json_object_object_add(row, "reads",
				       json_object_new_int64(stream->reads));
		json_object_object_add(row, "appends",
				       json_object_new_int64(stream->appends));
		json_object_array_add(root, row);
	}
	standin_answer_json(state->standin, request, 200, root);
}

/* Closes the connections of waiting reads when an outage begins. */
static void log_on_fault(void *data, const struct fault *fault)
{
	struct log_state *state = data;
	GHashTableIter iter;
	gpointer value;

	if (fault->kind != FAULT_OUTAGE)
		return;
	g_hash_table_iter_init(&iter, state->streams);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct stream *stream = value;
		struct list *pos, *tmp;

		list_for_each_safe (pos, tmp, &stream->waiters) {
			struct waiter *waiter =
				list_entry(pos, struct waiter, link);
			struct web_request *request = waiter->request;

			web_on_close(request, NULL, NULL);
			waiter_free(waiter);
			web_abort(request);
		}
	}
}

static void *log_create(struct standin *standin, const void *settings)
{
	struct log_state *state = g_new0(struct log_state, 1);

	state->standin = standin;
	state->settings = *(const struct log_settings *)settings;
	state->streams = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
					       stream_free);
	standin_route(standin, "/v1/streams", on_list, state);
	standin_route(standin, "/v1/counts", on_counts, state);
	standin_route(standin, PREFIX, on_records, state);
	return state;
}

static void log_destroy(void *data)
{
	struct log_state *state = data;

	g_hash_table_destroy(state->streams);
	g_free(state);
}

static const struct standin_option log_options[] = {
	{ "retention-ms", offsetof(struct log_settings, retention_ms), 0,
	  .help = "retention time of records in ms, 0 for no limit" },
	{ "appends-per-s", offsetof(struct log_settings, appends_per_s), 0,
	  .help = "appends per second above which 429 is answered, 0 for no limit" },
	{ 0 },
};

const struct standin_command log_command = {
	.name = "log",
	.options = log_options,
	.settings_size = sizeof(struct log_settings),
	.create = log_create,
	.destroy = log_destroy,
	.on_fault_change = log_on_fault,
};
