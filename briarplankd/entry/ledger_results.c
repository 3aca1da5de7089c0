/*
 * Answers queries for a job's results, whose records are read from the log.
 */
#include <string.h>

#include "briarplankd/entry/ledger_results.h"
#include "common/hash.h"

/* Maximum number of results in an answer, and maximum bytes of bodies. */
#define PAGE_ITEMS 512
#define PAGE_BYTES (1 << 20)

/* An answer to a query for results, whose records are being read. */
struct page {
	struct ledger_task *task;
	char *peer;
	uint64_t call_id;
	uint32_t shard;
	uint8_t job_id[HASH128_BYTES];
	/* Where to read each result (struct ledger_result_location). */
	GArray *places;
	/* Results read so far (Briarplank__ResultLine). */
	GArray *lines;
	uint32_t next_item;
	bool more;
	size_t max_bytes;
	size_t bytes;
	/* Index in the array places of the result that is being read. */
	guint index;
	enum record_cache_status status;
	/* read_next is running, and was called again meanwhile. */
	bool in_read_next;
	bool read_again;
};

static void read_next(struct page *page);

static void line_clear(gpointer data)
{
	Briarplank__ResultLine *line = data;

	g_free(line->id);
	g_free(line->error);
	g_free(line->body.data);
}

static void page_free(struct page *page)
{
	page->task->pending_calls--;
	g_array_free(page->places, TRUE);
	g_array_free(page->lines, TRUE);
	g_free(page->peer);
	g_free(page);
}

static Briarplank__JobReply__Code reply_code(const struct page *page)
{
	if (page->status == RECORD_CACHE_OK)
		return BRIARPLANK__JOB_REPLY__CODE__OK;
	return BRIARPLANK__JOB_REPLY__CODE__LOG_UNAVAILABLE;
}

static void send_page(struct page *page)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__JobReply reply = BRIARPLANK__JOB_REPLY__INIT;
	Briarplank__ResultLine **lines =
		g_new(Briarplank__ResultLine *, page->lines->len + 1);
	guint i;

	reply.call_id = page->call_id;
	reply.code = reply_code(page);
	reply.message =
		page->status == RECORD_CACHE_GONE ?
			"a record of the results is no longer in the log" :
			"";
	reply.more = page->more;
	reply.next_item = page->next_item;
	for (i = 0; i < page->lines->len; i++)
		lines[i] =
			&g_array_index(page->lines, Briarplank__ResultLine, i);
	if (page->status == RECORD_CACHE_OK) {
		reply.results = lines;
		reply.n_results = page->lines->len;
	}
	env.body_case = BRIARPLANK__ENVELOPE__BODY_JOB_REPLY;
	env.job_reply = &reply;
	bus_send(page->task->super.node->bus, page->peer, &env);
	g_free(lines);
	page_free(page);
}

static const struct ledger_result_location *current_place(
	const struct page *page)
{
	return &g_array_index(page->places, struct ledger_result_location,
			      page->index);
}

static const Briarplank__ItemEnded *find_ended(
	const Briarplank__ShardAppend *append, const uint8_t *job_id,
	uint32_t item)
{
	size_t i;

	for (i = 0; i < append->n_records; i++) {
		const Briarplank__ItemEnded *ended = append->records[i]->ended;

		if (append->records[i]->body_case ==
			    BRIARPLANK__LEDGER_RECORD__BODY_ENDED &&
		    ended->item == item && ended->job_id.len == HASH128_BYTES &&
		    !memcmp(ended->job_id.data, job_id, HASH128_BYTES))
			return ended;
	}
	return NULL;
}

static Briarplank__ResultLine *last_line(struct page *page)
{
	return &g_array_index(page->lines, Briarplank__ResultLine,
			      page->lines->len - 1);
}

/*
 * Continues with the next result, or sets more and ends the page if it is full.
 */
static void line_done(struct page *page)
{
	page->index++;
	if (page->bytes >= page->max_bytes && page->index < page->places->len) {
		page->more = true;
		page->next_item = current_place(page)->item;
		page->index = page->places->len;
	}
	read_next(page);
}

static void page_fail(struct page *page, enum record_cache_status status)
{
	page->status = status;
	page->index = page->places->len;
	read_next(page);
}

static void on_result(void *ctx, enum record_cache_status status,
		      const Briarplank__ShardAppend *append)
{
	struct page *page = ctx;
	const Briarplank__ItemEnded *ended;
	Briarplank__ResultLine *line = last_line(page);

	if (status != RECORD_CACHE_OK) {
		page_fail(page, status);
		return;
	}
	ended = find_ended(append, page->job_id, current_place(page)->item);
	if (!ended) {
		page_fail(page, RECORD_CACHE_GONE);
		return;
	}
	line->body.data = g_memdup2(ended->body.data, ended->body.len);
	line->body.len = ended->body.len;
	g_free(line->error);
	line->error = g_strdup(ended->error);
	page->bytes += ended->body.len;
	line_done(page);
}

static void add_line(struct page *page,
		     const struct ledger_result_location *place, const char *id)
{
	Briarplank__ResultLine *line;

	g_array_set_size(page->lines, page->lines->len + 1);
	line = last_line(page);
	briarplank__result_line__init(line);
	line->item = place->item;
	line->id = g_strdup(id);
	line->status = (char *)ledger_item_status(place->state);
	line->error = g_strdup("");
	page->bytes += strlen(id);
}

static void on_item(void *ctx, enum record_cache_status status,
		    const Briarplank__ShardAppend *append)
{
	struct page *page = ctx;
	const struct ledger_result_location *place = current_place(page);

	if (status != RECORD_CACHE_OK || !append->chunk ||
	    place->body_index >= append->chunk->n_items) {
		page_fail(page, status == RECORD_CACHE_OK ? RECORD_CACHE_GONE :
							    status);
		return;
	}
	add_line(page, place, append->chunk->items[place->body_index]->id);
	if (place->result_offset)
		record_cache_get(page->task->cache, page->shard,
				 place->result_offset, on_result, page);
	else
		line_done(page);
}

/*
 * Reads the next result or sends the page. Cached records call back at once: a
 * nested call only sets a flag, and the loop avoids deep recursion.
 */
static void read_next(struct page *page)
{
	if (page->in_read_next) {
		page->read_again = true;
		return;
	}
	page->in_read_next = true;
	do {
		page->read_again = false;
		if (page->index == page->places->len) {
			send_page(page);
			return;
		}
		record_cache_get(page->task->cache, page->shard,
				 current_place(page)->body_offset, on_item,
				 page);
	} while (page->read_again);
	page->in_read_next = false;
}

void ledger_results_read(struct ledger_task *task,
			 const Briarplank__Envelope *env,
			 const struct ledger_job *job)
{
	const Briarplank__QueryResults *query = env->query_results;
	struct page *page = g_new0(struct page, 1);

	page->task = task;
	page->peer = g_strdup(env->sender);
	page->call_id = query->call_id;
	page->shard = query->shard;
	memcpy(page->job_id, query->job_id.data, HASH128_BYTES);
	page->max_bytes = query->max_bytes ? MIN(query->max_bytes, PAGE_BYTES) :
					     PAGE_BYTES;
	page->places = g_array_new(FALSE, FALSE,
				   sizeof(struct ledger_result_location));
	page->lines = g_array_new(FALSE, FALSE, sizeof(Briarplank__ResultLine));
	g_array_set_clear_func(page->lines, line_clear);
	page->next_item = ledger_results(job, query->from_item, page->places,
					 PAGE_ITEMS, &page->more);
	task->pending_calls++;
	read_next(page);
}
