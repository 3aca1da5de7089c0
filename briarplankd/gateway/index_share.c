#include "core/record_log.h"
#include "index_share.h"
#include "job_store.h"
#include "reader_client.h"

#define PAGE_PATH "/index"
/* Maximum size of the records that are kept for other entries, in bytes. */
#define RECORDS_BYTES_MAX 8388608
/* Maximum size of the records of a page, in bytes. */
#define PAGE_BYTES 262144
/* Maximum time for which a request waits for a record, in ms. */
#define WAIT_MAX_MS 1000
/* Timeout of a fetch until its answer begins, in ms: the wait of a node that
 * follows the index, and a busy reader. */
#define FETCH_TIMEOUT_MS 1000
/* Interval of the check for requests that waited long enough, in ms. */
#define CHECK_INTERVAL_MS 50

/* A request of another entry. */
struct index_wait {
	struct list link;
	struct index_share *share;
	struct web_request *web;
	uint64_t from;
	uint64_t began_ms;
	uint64_t until_ms;
};

struct index_share {
	struct index_share_options options;
	struct record_log *records;
	struct reader_client *client;
	struct list waits;
	uv_timer_t timer;
};

static uint64_t now_ms(const struct index_share *share)
{
	return uv_now(share->options.gateway->loop);
}

/* Functions that serve other entries. */

static void wait_free(struct index_wait *wait)
{
	list_remove(&wait->link);
	g_free(wait);
}

static void on_requester_closed(void *ctx, bool sent)
{
	(void)sent;
	wait_free(ctx);
}

static void page_add_records(IndexPage *page, const struct record_log *records,
			     uint64_t from)
{
	uint64_t end = record_log_end(records), offset;
	size_t bytes = 0, len;

	page->first_offset = MAX(from, record_log_first(records));
	page->end_offset = end;
	/* A requester that is behind the first record reads the store. */
	if (from < record_log_first(records) || from >= end)
		return;
	page->records = g_new0(ProtobufCBinaryData, end - from);
	for (offset = from; offset < end && bytes < PAGE_BYTES; offset++) {
		ProtobufCBinaryData *record = &page->records[page->n_records++];

		record->data = (uint8_t *)record_log_get(records, offset, &len);
		record->len = len;
		bytes += len;
	}
}

static void wait_answer(struct index_wait *wait)
{
	struct index_share *share = wait->share;
	struct gateway *gateway = share->options.gateway;
	IndexPage page = INDEX_PAGE__INIT;
	uint64_t age = share->options.age_ms(share->options.ctx);
	uint8_t *bytes;
	size_t len;

	page.age_ms = job_store_loaded(gateway->job_store) ?
			      (uint32_t)MIN(age, UINT32_MAX - 1) :
			      UINT32_MAX;
	page.held_ms = (uint32_t)(now_ms(share) - wait->began_ms);
	page_add_records(&page, share->records, wait->from);
	len = index_page__get_packed_size(&page);
	bytes = g_malloc(len);
	index_page__pack(&page, bytes);
	web_on_close(wait->web, NULL, NULL);
	web_answer(wait->web, 200, "application/x-protobuf", bytes, len);
	g_free(bytes);
	g_free(page.records);
	wait_free(wait);
}

static bool is_answerable(const struct index_wait *wait)
{
	const struct index_share *share = wait->share;

	return wait->from < record_log_end(share->records) ||
	       now_ms(share) >= wait->until_ms ||
	       !job_store_loaded(share->options.gateway->job_store);
}

void index_share_flush(struct index_share *share)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &share->waits) {
		struct index_wait *wait =
			list_entry(pos, struct index_wait, link);

		if (is_answerable(wait))
			wait_answer(wait);
	}
	if (list_empty(&share->waits))
		uv_timer_stop(&share->timer);
}

static void on_check(uv_timer_t *timer)
{
	index_share_flush(timer->data);
}

static void on_request(void *ctx, struct web_request *web)
{
	struct index_share *share = ctx;
	struct index_wait *wait = g_new0(struct index_wait, 1);
	uint64_t wait_ms = reader_query_number(web_query(web), "wait");

	wait->share = share;
	wait->web = web;
	wait->from = reader_query_number(web_query(web), "from");
	wait->began_ms = now_ms(share);
	wait->until_ms = wait->began_ms + MIN(wait_ms, WAIT_MAX_MS);
	list_append(&share->waits, &wait->link);
	web_on_close(web, on_requester_closed, wait);
	if (is_answerable(wait))
		wait_answer(wait);
	else if (!uv_is_active((uv_handle_t *)&share->timer))
		uv_timer_start(&share->timer, on_check, CHECK_INTERVAL_MS,
			       CHECK_INTERVAL_MS);
}

void index_share_add(struct index_share *share, uint64_t offset,
		     const void *data, size_t len)
{
	record_log_add(share->records, offset, data, len);
}

/* Functions that fetch records from a reader. */

static bool on_body(void *ctx, const uint8_t *body, size_t len)
{
	struct index_share *share = ctx;
	IndexPage *page = body ? index_page__unpack(NULL, len, body) : NULL;
	bool success = share->options.on_page(share->options.ctx, page);

	if (page)
		index_page__free_unpacked(page, NULL);
	return success;
}

bool index_share_choose_reader(struct index_share *share)
{
	return reader_client_choose(share->client);
}

void index_share_fetch(struct index_share *share, uint64_t from,
		       unsigned wait_ms)
{
	char *target = g_strdup_printf(PAGE_PATH "?from=%" PRIu64 "&wait=%u",
				       from, wait_ms);

	reader_client_fetch(share->client, target);
	g_free(target);
}

bool index_share_cancel(struct index_share *share)
{
	if (!reader_client_busy(share->client))
		return false;
	reader_client_cancel(share->client);
	return true;
}

struct index_share *index_share_create(
	const struct index_share_options *options)
{
	struct index_share *share = g_new0(struct index_share, 1);
	struct reader_client_options client = {
		.gateway = options->gateway,
		.name = "job index",
		.timeout_ms = FETCH_TIMEOUT_MS,
		.done = on_body,
		.ctx = share,
	};

	share->options = *options;
	share->records = record_log_create(RECORDS_BYTES_MAX);
	share->client = reader_client_create(&client);
	list_init(&share->waits);
	uv_timer_init(options->gateway->loop, &share->timer);
	share->timer.data = share;
	web_route(options->gateway->node_web, PAGE_PATH, on_request, share);
	return share;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* To be called after the web server for other entries was destroyed, so that no
 * request waits. */
void index_share_destroy(struct index_share *share)
{
	reader_client_destroy(share->client);
	record_log_destroy(share->records);
	uv_close((uv_handle_t *)&share->timer, on_closed);
}
