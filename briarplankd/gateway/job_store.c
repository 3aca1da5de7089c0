#include <string.h>

#include "common/hash.h"
#include "common/log.h"
#include "core/retry.h"
#include "job_store.h"
#include "peers.h"

#define INDEX_TOPIC "jobs"
/* One partition orders all jobs; an entry sends one append at a time, which
 * carries whatever waits. */
#define INDEX_PARTITION 0
#define READ_MAX_KB 1024
/* Longest wait of the store for a new record, in ms. */
#define FOLLOW_WAIT_MS 400
/* Time beyond the wait after which a call counts as unanswered, in ms. */
#define CALL_TIMEOUT_MS 900
/* Pause after a call that failed, in ms. */
#define RETRY_MS 120
/* Age up to which the fold counts as current, in ms: other nodes' results
 * show within a second. */
#define CURRENT_MS 950
/* A number that a store expects from no new producer, so that a refused first
 * append is told from one that was carried out. */
#define FIRST_SEQUENCE 1000
/* Period in which old jobs are forgotten, in ms. */
#define EXPIRE_MS 5000
/* Time for which a job is kept beyond the time its results are owed, in ms. */
#define EXPIRE_SLACK_MS 60000

struct pending {
	struct list link;
	GByteArray *record;
	bool may_give_up;
	void (*done)(void *ctx, enum job_append_result result);
	void *ctx;
};

struct job_store {
	struct gateway *gateway;
	struct job_log *log;
	uint64_t next_offset;
	/* Behind the last record of this node. */
	uint64_t written_offset;
	/* Boot times at which the read under way was sent, and as of which the
	 * fold is whole. */
	uint64_t sent_boot_ms;
	uint64_t current_boot_ms;
	bool loaded;
	uv_timer_t follow_timer;
	uv_timer_t append_timer;
	uv_timer_t expire_timer;
	int handles;
	/* Callers that wait for the fold. */
	int awaited;
	/* No read is under way: the next one waits for its pause. */
	bool pausing;
	/* Records that wait, and those of the append under way. */
	struct list waiting;
	struct list in_flight;
	bool appending;
	/* An append without an answer may still be carried out. */
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

uint64_t job_store_offset(const struct job_store *store)
{
	return store->next_offset;
}

uint64_t job_store_written(const struct job_store *store)
{
	return store->written_offset;
}

bool job_store_loaded(const struct job_store *store)
{
	return store->loaded;
}

bool job_store_current(const struct job_store *store)
{
	return store->loaded &&
	       gateway_boot_ms() - store->current_boot_ms <= CURRENT_MS;
}

double job_store_retry_s(const struct job_store *store)
{
	uint64_t behind_ms = gateway_boot_ms() - store->current_boot_ms;

	return retry_after_outage_ms(store->loaded ? behind_ms : 0) / 1000.0;
}

/* Following the index. */

static void on_follow_timer(uv_timer_t *timer);

static void follow_next(struct job_store *store, uint64_t pause_ms)
{
	store->pausing = true;
	uv_timer_start(&store->follow_timer, on_follow_timer, pause_ms, 0);
}

/* Whether a caller may wait for the fold of a record of this node. */
static bool own_records_due(const struct job_store *store)
{
	return !list_empty(&store->waiting) || !list_empty(&store->in_flight) ||
	       store->awaited;
}

void job_store_await(struct job_store *store, bool awaited)
{
	store->awaited += awaited ? 1 : -1;
	if (awaited && store->pausing)
		follow_next(store, 0);
}

static void on_index(void *ctx, const struct store_read_result *result)
{
	struct job_store *store = ctx;
	size_t i;

	if (result->status == STORE_EXPIRED) {
		/* What expired is older than any job that is still owed. */
		log_event("job_index", LOG_LEVEL_WARN,
			  "expired from=%" PRIu64 " first=%" PRIu64,
			  store->next_offset, result->first_offset);
		store->next_offset = result->first_offset;
		follow_next(store, 0);
		return;
	}
	if (result->status != STORE_OK) {
		follow_next(store, RETRY_MS);
		return;
	}
	for (i = 0; i < result->records_nr; i++) {
		const struct store_record *record = &result->records[i];

		if (!job_log_fold(store->log, record->data, record->len))
			log_event("job_index", LOG_LEVEL_ERROR,
				  "offset=%" PRIu64 " unreadable",
				  record->offset);
	}
	store->next_offset = result->next_offset;
	if (store->next_offset >= result->end_offset) {
		/* An answer may have lain here while this process stood
		 * still: it is as old as its request, and by its wait younger
		 * when nothing came in that time. */
		store->current_boot_ms = store->sent_boot_ms;
		if (!result->records_nr && store->loaded)
			store->current_boot_ms += FOLLOW_WAIT_MS;
		if (!store->loaded)
			log_event("job_index", LOG_LEVEL_INFO,
				  "loaded end=%" PRIu64, result->end_offset);
		store->loaded = true;
	}
	follow_next(
		store,
		store->loaded && !own_records_due(store) ?
			peers_poll_pace(store->gateway->peers).index_pause_ms :
			0);
}

static void on_follow_timer(uv_timer_t *timer)
{
	struct job_store *store = timer->data;
	struct store_read read = {
		.topic = INDEX_TOPIC,
		.partition = INDEX_PARTITION,
		.from = store->next_offset,
		.max_kb = READ_MAX_KB,
		/* The first read tells where the index ends. */
		.wait_ms = store->loaded ? FOLLOW_WAIT_MS : 0,
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_index,
		.ctx = store,
	};

	store->pausing = false;
	store->sent_boot_ms = gateway_boot_ms();
	store_read(store->gateway->store, &read);
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

/* Appending to the index. */

static void append_next(struct job_store *store);

static void pending_end(struct pending *pending, enum job_append_result result)
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
	uv_timer_start(&store->append_timer, on_append_timer, RETRY_MS, 0);
}

/* A new identity; the records of the old one under way are settled. */
static void producer_renew(struct job_store *store)
{
	g_free(store->producer);
	store->producer = g_strdup_printf(
		"%s.%" PRIu64, store->gateway->identity, store->epoch++);
	store->sequence = FIRST_SEQUENCE;
}

static void drop_refused(struct job_store *store)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &store->in_flight) {
		struct pending *pending = list_entry(pos, struct pending, link);

		if (pending->may_give_up)
			pending_end(pending, JOB_APPEND_REFUSED);
	}
}

static void append_done(struct job_store *store)
{
	struct list *pos, *tmp;

	store->sequence++;
	store->ambiguous = false;
	list_for_each_safe (pos, tmp, &store->in_flight)
		pending_end(list_entry(pos, struct pending, link),
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
		append_done(store);
		return;
	case STORE_REFUSED:
		if (!store->ambiguous)
			drop_refused(store);
		break;
	case STORE_OUT_OF_SEQUENCE:
		log_event("job_index", LOG_LEVEL_WARN,
			  "append sequence=%" PRIu64 " expected=%" PRIu64,
			  store->sequence, result->expected_sequence);
		if (result->expected_sequence == store->sequence + 1) {
			/* It was carried out, and its answer was lost. */
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
	/* A repeat must be the same; else more records join in. */
	while (!store->ambiguous && !list_empty(&store->waiting)) {
		struct pending *pending =
			list_entry(store->waiting.next, struct pending, link);

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
		struct pending *pending = list_entry(pos, struct pending, link);

		store_frame_record(append.records, pending->record->data,
				   pending->record->len);
	}
	store->appending = true;
	store_append(store->gateway->store, &append);
}

void job_store_append(struct job_store *store, GByteArray *record,
		      bool may_give_up,
		      void (*done)(void *ctx, enum job_append_result result),
		      void *ctx)
{
	struct pending *pending = g_new0(struct pending, 1);

	pending->record = record;
	pending->may_give_up = may_give_up;
	pending->done = done;
	pending->ctx = ctx;
	list_append(&store->waiting, &pending->link);
	if (!uv_is_active((uv_handle_t *)&store->append_timer))
		uv_timer_start(&store->append_timer, on_append_timer, 0, 0);
}

/* The whole. */

static void on_expire(uv_timer_t *timer)
{
	struct job_store *store = timer->data;
	uint64_t kept = (uint64_t)store->gateway->settings->results_kept_ms +
			EXPIRE_SLACK_MS;
	uint64_t now = gateway_wall_ms();

	if (now > kept)
		job_log_expire(store->log, now - kept);
}

struct job_store *job_store_create(const struct job_store_options *options)
{
	struct job_store *store = g_new0(struct job_store, 1);

	store->gateway = options->gateway;
	store->log = job_log_create(&options->watcher);
	list_init(&store->waiting);
	list_init(&store->in_flight);
	producer_renew(store);
	uv_timer_init(store->gateway->loop, &store->follow_timer);
	store->follow_timer.data = store;
	uv_timer_init(store->gateway->loop, &store->append_timer);
	store->append_timer.data = store;
	uv_timer_init(store->gateway->loop, &store->expire_timer);
	store->expire_timer.data = store;
	uv_timer_start(&store->expire_timer, on_expire, EXPIRE_MS, EXPIRE_MS);
	follow_next(store, 0);
	return store;
}

static void on_closed(uv_handle_t *handle)
{
	struct job_store *store = handle->data;

	if (--store->handles == 0)
		g_free(store);
}

static void free_pending(struct list *list)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, list) {
		struct pending *pending = list_entry(pos, struct pending, link);

		list_remove(&pending->link);
		g_byte_array_free(pending->record, TRUE);
		g_free(pending);
	}
}

/* The platform's client is gone by now, so no call is under way. */
void job_store_destroy(struct job_store *store)
{
	free_pending(&store->waiting);
	free_pending(&store->in_flight);
	job_log_destroy(store->log);
	g_free(store->producer);
	store->handles = 3;
	uv_close((uv_handle_t *)&store->follow_timer, on_closed);
	uv_close((uv_handle_t *)&store->append_timer, on_closed);
	uv_close((uv_handle_t *)&store->expire_timer, on_closed);
}
