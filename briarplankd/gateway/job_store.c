#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "core/retry.h"
#include "index_share.h"
#include "job_store.h"
#include "peers.h"

#define INDEX_TOPIC "jobs"
/* All jobs are in one partition, which gives their records a total order. Each
 * entry has one append in flight, which carries all records that wait. */
#define INDEX_PARTITION 0
#define READ_MAX_KB 1024
/* Time for which the store may hold a read until a record comes, in ms. */
#define FOLLOW_WAIT_MS 400
/* Timeout of a store call, beyond the wait, in ms. */
#define CALL_TIMEOUT_MS 900
/* Delay before a failed call is retried, in ms. */
#define RETRY_DELAY_MS 120
/* Time after the answer to an append, in addition to half the time that the
 * append took, in which its record must be read while a caller waits for it, in
 * ms. A long poll that the store doesn't wake would end at its wait. */
#define READ_OVERDUE_MS 40
/* Pause between two fetches from a reader, and before a fetch is repeated from
 * one that hasn't loaded the index yet, in ms. */
#define FETCH_PAUSE_MS 150
#define FETCH_COLD_PAUSE_MS 100
/* Maximum age of a reader's records, in ms. It is less than CURRENT_AGE_MS, as
 * this node is up to date only as of its last fetch. */
#define PAGE_AGE_MAX_MS 700
/* Age up to which the job log counts as current, in ms: results of other nodes
 * must be visible within a second. */
#define CURRENT_AGE_MS 950
/* First sequence number of a producer. It differs from the number that the
 * store expects of a new producer, so that the store's answer to a retried
 * first append tells whether an earlier attempt was carried out. */
#define FIRST_SEQUENCE 1000
/* Interval at which expired jobs are removed, in ms. */
#define EXPIRE_INTERVAL_MS 5000
/* Time for which a job is kept after the retention of its results, in ms. */
#define EXPIRE_MARGIN_MS 60000

/* A record that is to be appended to the index. */
struct pending_record {
	struct list link;
	GByteArray *record;
	bool may_give_up;
	void (*done)(void *ctx, enum job_append_result result);
	void *ctx;
};

struct job_store {
	struct gateway *gateway;
	struct job_log *log;
	struct index_share *share;
	/* The reader no longer has the records that this node needs next. */
	bool behind_reader;
	/* Offset of the next record to read. */
	uint64_t next_offset;
	/* Offset after the last record appended by this node. */
	uint64_t written_offset;
	/* Boot times at which the read in flight was sent, and up to which all
	 * records are known to have been read. */
	uint64_t sent_boot_ms;
	uint64_t current_boot_ms;
	bool loaded;
	uv_timer_t follow_timer;
	uv_timer_t append_timer;
	uv_timer_t expire_timer;
	uv_timer_t overdue_timer;
	/* Loop time at which the append in flight was sent. */
	uint64_t append_sent_ms;
	int handles;
	/* Number of callers that wait until a record was read from the
	 * index. */
	int waiters;
	/* No read is in flight; follow_timer will start the next one. */
	bool read_idle;
	/* Records that wait to be appended, and records of the append in
	 * flight. */
	struct list waiting;
	struct list in_flight;
	bool appending;
	/* The append of in_flight was not answered and may still be carried
	 * out. */
	bool ambiguous;
	char *producer;
	uint64_t epoch;
	uint64_t sequence;
	uint64_t appends;
};

struct job_log *job_store_log(struct job_store *store)
{
	return store->log;
}

uint64_t job_store_read_offset(const struct job_store *store)
{
	return store->next_offset;
}

uint64_t job_store_appended_offset(const struct job_store *store)
{
	return store->written_offset;
}

bool job_store_loaded(const struct job_store *store)
{
	return store->loaded;
}

bool job_store_is_current(const struct job_store *store)
{
	return store->loaded &&
	       gateway_boot_ms() - store->current_boot_ms <= CURRENT_AGE_MS;
}

double job_store_retry_s(const struct job_store *store)
{
	uint64_t behind_ms = gateway_boot_ms() - store->current_boot_ms;

	return retry_after_outage_ms(store->loaded ? behind_ms : 0) / 1000.0;
}

/* Functions that read the index of jobs from the store. */

static void on_follow_timer(uv_timer_t *timer);

static void follow_next(struct job_store *store, uint64_t delay_ms)
{
	store->read_idle = true;
	uv_timer_start(&store->follow_timer, on_follow_timer, delay_ms, 0);
}

/* Tells whether a record of this node, or one that a caller waits for, is yet
 * to be read. */
static bool records_awaited(const struct job_store *store)
{
	return !list_empty(&store->waiting) || !list_empty(&store->in_flight) ||
	       store->waiters;
}

/* While a caller waits for a record, the store is read: a reader would have the
 * record later. */
void job_store_count_waiter(struct job_store *store, bool waiting)
{
	store->waiters += waiting ? 1 : -1;
	if (waiting && (store->read_idle || index_share_cancel(store->share)))
		follow_next(store, 0);
}

static void apply_record(struct job_store *store, uint64_t offset,
			 const void *data, size_t len)
{
	index_share_add(store->share, offset, data, len);
	if (!job_log_apply(store->log, data, len))
		log_event("job_index", LOG_LEVEL_ERROR,
			  "offset=%" PRIu64 " malformed record", offset);
}

/* Notes that all records of the index up to next_offset were read, and that
 * there was no other one at a boot time. */
static void end_reached(struct job_store *store, uint64_t current_boot_ms)
{
	store->current_boot_ms = MAX(store->current_boot_ms, current_boot_ms);
	if (store->loaded)
		return;
	store->loaded = true;
	log_event("job_index", LOG_LEVEL_INFO, "loaded end=%" PRIu64,
		  store->next_offset);
	peers_load_changed(store->gateway->peers);
}

static void on_index(void *ctx, const struct store_read_result *result)
{
	struct job_store *store = ctx;
	uint64_t current;
	size_t i;

	if (result->status == STORE_EXPIRED) {
		/* Expired records are older than any job whose results are
		 * still retained. */
		log_event("job_index", LOG_LEVEL_WARN,
			  "expired from=%" PRIu64 " first=%" PRIu64,
			  store->next_offset, result->first_offset);
		store->next_offset = result->first_offset;
		follow_next(store, 0);
		return;
	}
	if (result->status != STORE_OK) {
		follow_next(store, RETRY_DELAY_MS);
		return;
	}
	for (i = 0; i < result->records_nr; i++) {
		const struct store_record *record = &result->records[i];

		apply_record(store, record->offset, record->data, record->len);
	}
	store->next_offset = result->next_offset;
	store->behind_reader = false;
	if (store->next_offset >= result->end_offset) {
		/* This process may have been paused with the answer unread, so
		 * the answer is taken to be as old as its request. An answer
		 * without records is newer by the store's wait. */
		current = store->sent_boot_ms;
		if (!result->records_nr && store->loaded)
			current += FOLLOW_WAIT_MS;
		end_reached(store, current);
	}
	index_share_flush(store->share);
	follow_next(
		store,
		store->loaded && !records_awaited(store) ?
			peers_poll_pace(store->gateway->peers).index_pause_ms :
			0);
}

/* Handles a page of the reader; NULL if the fetch failed. */
static bool on_index_page(void *ctx, const IndexPage *page)
{
	struct job_store *store = ctx;
	uint64_t current;
	size_t i;

	if (!page) {
		follow_next(store, RETRY_DELAY_MS);
		return false;
	}
	if (page->age_ms == UINT32_MAX) {
		follow_next(store, FETCH_COLD_PAUSE_MS);
		return true;
	}
	if (page->age_ms > PAGE_AGE_MAX_MS) {
		follow_next(store, 0);
		return false;
	}
	if (page->first_offset > store->next_offset) {
		store->behind_reader = true;
		follow_next(store, 0);
		return true;
	}
	for (i = 0; i < page->n_records; i++)
		apply_record(store, store->next_offset++, page->records[i].data,
			     page->records[i].len);
	if (store->next_offset < page->end_offset) {
		follow_next(store, 0);
		return true;
	}
	/* As for answers of the store, the page is as old as its request, and
	 * newer by the time for which the reader held it. */
	current = store->sent_boot_ms - page->age_ms;
	if (!page->n_records)
		current += page->held_ms;
	end_reached(store, current);
	index_share_flush(store->share);
	follow_next(store, FETCH_PAUSE_MS);
	return true;
}

static uint64_t age_ms(void *ctx)
{
	const struct job_store *store = ctx;

	return gateway_boot_ms() - store->current_boot_ms;
}

/* Tells whether the next records are fetched from a reader. */
static bool follows_reader(struct job_store *store)
{
	if (store->waiters || store->behind_reader ||
	    (!store->loaded && !peers_may_wait(store->gateway->peers)))
		return false;
	return index_share_choose_reader(store->share);
}

static void read_store(struct job_store *store)
{
	struct store_read read = {
		.topic = INDEX_TOPIC,
		.partition = INDEX_PARTITION,
		.from = store->next_offset,
		.max_kb = READ_MAX_KB,
		/* Before the end of the index is reached for the first time,
		 * reads don't wait for new records. */
		.wait_ms = store->loaded ? FOLLOW_WAIT_MS : 0,
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_index,
		.ctx = store,
	};

	store_read(store->gateway->store, &read);
}

static void on_follow_timer(uv_timer_t *timer)
{
	struct job_store *store = timer->data;

	if (!store->loaded && !peers_settled(store->gateway->peers)) {
		follow_next(store, PEERS_SETTLE_CHECK_MS);
		return;
	}
	store->read_idle = false;
	store->sent_boot_ms = gateway_boot_ms();
	if (follows_reader(store))
		index_share_fetch(store->share, store->next_offset,
				  store->loaded ? FOLLOW_WAIT_MS : 0);
	else
		read_store(store);
}

/* Reads again if the record that a caller waits for was appended, but the read
 * in flight has not returned it. */
static void on_overdue_timer(uv_timer_t *timer)
{
	struct job_store *store = timer->data;

	if (!store->waiters || store->read_idle ||
	    store->next_offset >= store->written_offset ||
	    !store_cancel_reads(store->gateway->store, store))
		return;
	log_event("job_index", LOG_LEVEL_INFO,
		  "read is overdue next=%" PRIu64 " appended=%" PRIu64
		  ", reading again",
		  store->next_offset, store->written_offset);
	follow_next(store, 0);
}

static void await_own_records(struct job_store *store)
{
	uint64_t took_ms = uv_now(store->gateway->loop) - store->append_sent_ms;

	if (store->waiters && store->next_offset < store->written_offset)
		uv_timer_start(&store->overdue_timer, on_overdue_timer,
			       READ_OVERDUE_MS + took_ms / 2, 0);
}

static void on_probed(void *ctx, const struct store_read_result *result)
{
	(void)ctx;
	(void)result;
}

void job_store_probe(struct job_store *store, uint32_t timeout_ms)
{
	struct store_read probe = {
		.topic = INDEX_TOPIC,
		.partition = INDEX_PARTITION,
		.from = store->next_offset,
		.max_kb = 1,
		.timeout_ms = timeout_ms,
		.direct = true,
		.done = on_probed,
	};

	store_read(store->gateway->store, &probe);
}

/* Functions that append records to the index of jobs. */

static void append_next(struct job_store *store);

static void pending_record_end(struct pending_record *pending,
			       enum job_append_result result)
{
	list_remove(&pending->link);
	if (pending->done)
		pending->done(pending->ctx, result);
	g_byte_array_free(pending->record, TRUE);
	g_free(pending);
}

static void on_append_timer(uv_timer_t *timer)
{
	append_next(timer->data);
}

static void append_retry(struct job_store *store)
{
	uv_timer_start(&store->append_timer, on_append_timer, RETRY_DELAY_MS,
		       0);
}

/* Starts a producer with an id that is new to the store. Called once the
 * outcome of all appends of the previous producer is known. */
static void producer_renew(struct job_store *store)
{
	g_free(store->producer);
	store->producer = g_strdup_printf(
		"%s.%" PRIu64, store->gateway->identity, store->epoch++);
	store->sequence = FIRST_SEQUENCE;
}

static void end_refused(struct job_store *store)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &store->in_flight) {
		struct pending_record *pending =
			list_entry(pos, struct pending_record, link);

		if (pending->may_give_up)
			pending_record_end(pending, JOB_APPEND_REFUSED);
	}
}

static void append_done(struct job_store *store)
{
	struct list *pos, *tmp;

	store->sequence++;
	store->ambiguous = false;
	list_for_each_safe (pos, tmp, &store->in_flight)
		pending_record_end(list_entry(pos, struct pending_record, link),
				   JOB_APPEND_DONE);
	uv_timer_start(&store->append_timer, on_append_timer, 0, 0);
}

static void on_appended(void *ctx, const struct store_append_result *result)
{
	struct job_store *store = ctx;

	store->appending = false;
	switch (result->status) {
	case STORE_OK:
		store->written_offset = result->end_offset;
		await_own_records(store);
		append_done(store);
		return;
	case STORE_REFUSED:
		if (!store->ambiguous)
			end_refused(store);
		break;
	case STORE_OUT_OF_SEQUENCE:
		log_event("job_index", LOG_LEVEL_WARN,
			  "append sequence=%" PRIu64 " expected=%" PRIu64,
			  store->sequence, result->expected_sequence);
		if (result->expected_sequence == store->sequence + 1) {
			/* An earlier attempt of this append was carried out,
			 * and its answer was lost. */
			append_done(store);
			return;
		}
		store->sequence = result->expected_sequence;
		break;
	case STORE_FENCED:
	case STORE_INVALID:
		log_event("job_index", LOG_LEVEL_ERROR, "append %s",
			  store_status_name(result->status));
		producer_renew(store);
		break;
	default:
		store->ambiguous = true;
		break;
	}
	append_retry(store);
}

static void append_next(struct job_store *store)
{
	struct store_append append = {
		.topic = INDEX_TOPIC,
		.partition = INDEX_PARTITION,
		.producer = store->producer,
		.epoch = 1,
		.sequence = store->sequence,
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_appended,
		.ctx = store,
	};
	size_t limit = (size_t)store->gateway->settings->store_call_bytes;
	struct list *pos;
	size_t bytes = 0;

	if (store->appending)
		return;
	/* A retry of an ambiguous append must carry the same records. Any other
	 * append also takes waiting records, up to a size. */
	while (!store->ambiguous && !list_empty(&store->waiting)) {
		struct pending_record *pending = list_entry(
			store->waiting.next, struct pending_record, link);

		bytes += pending->record->len;
		if (bytes > limit / 2 && !list_empty(&store->in_flight))
			break;
		list_remove(&pending->link);
		list_append(&store->in_flight, &pending->link);
	}
	if (list_empty(&store->in_flight))
		return;
	append.records = g_string_new(NULL);
	list_for_each (pos, &store->in_flight) {
		struct pending_record *pending =
			list_entry(pos, struct pending_record, link);

		store_add_record(append.records, pending->record->data,
				 pending->record->len);
	}
	store->appending = true;
	store->append_sent_ms = uv_now(store->gateway->loop);
	store_append(store->gateway->store, &append);
}

void job_store_append(struct job_store *store, GByteArray *record,
		      bool may_give_up,
		      void (*done)(void *ctx, enum job_append_result result),
		      void *ctx)
{
	struct pending_record *pending = g_new0(struct pending_record, 1);

	pending->record = record;
	pending->may_give_up = may_give_up;
	pending->done = done;
	pending->ctx = ctx;
	list_append(&store->waiting, &pending->link);
	if (!uv_is_active((uv_handle_t *)&store->append_timer))
		uv_timer_start(&store->append_timer, on_append_timer, 0, 0);
}

static void on_expire(uv_timer_t *timer)
{
	struct job_store *store = timer->data;
	uint64_t kept = (uint64_t)store->gateway->settings->results_kept_ms +
			EXPIRE_MARGIN_MS;
	uint64_t now = gateway_wall_ms();

	if (now > kept)
		job_log_expire(store->log, now - kept);
}

struct job_store *job_store_create(const struct job_store_options *options)
{
	struct job_store *store = g_new0(struct job_store, 1);
	struct index_share_options share = {
		.gateway = options->gateway,
		.age_ms = age_ms,
		.on_page = on_index_page,
		.ctx = store,
	};

	store->gateway = options->gateway;
	store->share = index_share_create(&share);
	store->log = job_log_create(&options->watcher);
	list_init(&store->waiting);
	list_init(&store->in_flight);
	producer_renew(store);
	uv_timer_init(store->gateway->loop, &store->follow_timer);
	store->follow_timer.data = store;
	uv_timer_init(store->gateway->loop, &store->append_timer);
	store->append_timer.data = store;
	uv_timer_init(store->gateway->loop, &store->overdue_timer);
	store->overdue_timer.data = store;
	uv_timer_init(store->gateway->loop, &store->expire_timer);
	store->expire_timer.data = store;
	uv_timer_start(&store->expire_timer, on_expire, EXPIRE_INTERVAL_MS,
		       EXPIRE_INTERVAL_MS);
	follow_next(store, 0);
	return store;
}

static void on_closed(uv_handle_t *handle)
{
	struct job_store *store = handle->data;

	if (--store->handles == 0)
		g_free(store);
}

static void free_records(struct list *list)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, list) {
		struct pending_record *pending =
			list_entry(pos, struct pending_record, link);

		list_remove(&pending->link);
		g_byte_array_free(pending->record, TRUE);
		g_free(pending);
	}
}

/* To be called after the store's client was destroyed, so that no call is in
 * flight. */
void job_store_destroy(struct job_store *store)
{
	free_records(&store->waiting);
	free_records(&store->in_flight);
	index_share_destroy(store->share);
	job_log_destroy(store->log);
	g_free(store->producer);
	store->handles = 4;
	uv_close((uv_handle_t *)&store->follow_timer, on_closed);
	uv_close((uv_handle_t *)&store->append_timer, on_closed);
	uv_close((uv_handle_t *)&store->expire_timer, on_closed);
	uv_close((uv_handle_t *)&store->overdue_timer, on_closed);
}
