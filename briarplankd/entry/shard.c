/*
 * Claims a shard, appends its records and releases it.
 */
#include <string.h>

#include "briarplankd/entry/record_cache.h"
#include "briarplankd/entry/shard_state.h"
#include "common/log.h"

#define PART "ledger"

/*
 * Time after a takeover in which agents renew their grants, before items that
 * may still be running are granted again, in ms.
 */
#define ADOPT_WAIT_MS 1500
/* Maximum size of the records in an append, in bytes. */
#define APPEND_BYTES (1 << 20)
/* Size of queued records above which no more items are granted, in bytes. */
#define OUTBOX_MAX_BYTES (32 << 20)
/* Wait for more records before the first append after idling, in ms. */
#define BATCH_WAIT_MS 5
/* Wait before a failed call to the log is retried, in ms. */
#define RETRY_WAIT_MS 250
/* Interval of the checks that the claim is still in force, in ms. */
#define CHECK_INTERVAL_MS 2000
/* Time between ticks that counts as a pause of the process, in ms. */
#define PAUSE_THRESHOLD_MS 1500
/* Time without an answer after which the log counts as unavailable, in ms. */
#define LOG_UNAVAILABLE_MS 3000
/* Timeout of a release, in ms. */
#define RELEASE_TIMEOUT_MS 3000

static void on_timer(uv_timer_t *timer)
{
	shard_send_next(timer->data);
}

struct shard *shard_create(const struct shard_options *options)
{
	struct shard *shard = g_new0(struct shard, 1);
	struct metrics *metrics = options->node->metrics;

	shard->options = *options;
	shard_stream_name(options->index, shard->stream, sizeof(shard->stream));
	uv_timer_init(&options->node->loop, &shard->timer);
	shard->timer.data = shard;
	g_queue_init(&shard->refreshed_chunks);
	shard->refresh.offsets = g_array_new(FALSE, FALSE, sizeof(uint64_t));
	shard->takeovers = metrics_counter(
		metrics, "briarplank_ledger_takeovers_total", "");
	shard->appends =
		metrics_counter(metrics, "briarplank_ledger_appends_total", "");
	shard->append_bytes = metrics_counter(
		metrics, "briarplank_ledger_append_bytes_total", "");
	return shard;
}

static void clear_in_flight(struct shard *shard)
{
	if (shard->in_flight)
		g_byte_array_unref(shard->in_flight);
	shard->in_flight = NULL;
	shard->kind = SHARD_APPEND_NONE;
	shard->in_doubt = false;
}

static void clear_checkpoint_parts(struct shard *shard)
{
	if (shard->parts)
		g_ptr_array_free(shard->parts, TRUE);
	shard->parts = NULL;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void shard_destroy(struct shard *shard)
{
	clear_in_flight(shard);
	clear_checkpoint_parts(shard);
	shard_refresh_cancel(shard);
	g_array_free(shard->refresh.offsets, TRUE);
	if (shard->ledger)
		ledger_destroy(shard->ledger);
	shard->ledger = NULL;
	shard->state = SHARD_CLOSED;
	uv_timer_stop(&shard->timer);
	uv_close((uv_handle_t *)&shard->timer, on_closed);
}

enum shard_state shard_state(const struct shard *shard)
{
	return shard->state;
}

uint32_t shard_index(const struct shard *shard)
{
	return shard->options.index;
}

struct ledger *shard_ledger(const struct shard *shard)
{
	return shard->ledger;
}

static void set_state(struct shard *shard, enum shard_state state)
{
	bool owned =
		shard->state == SHARD_OWNED || shard->state == SHARD_RELEASING;

	shard->state = state;
	if (state == SHARD_CLOSED) {
		clear_in_flight(shard);
		clear_checkpoint_parts(shard);
		shard_refresh_cancel(shard);
		uv_timer_stop(&shard->timer);
	}
	if (owned || state == SHARD_OWNED || state == SHARD_CLOSED)
		shard->options.ownership_changed(shard->options.ctx, shard);
}

void shard_open(struct shard *shard)
{
	const struct daemon_settings *settings = shard->options.node->settings;
	struct ledger_options options = {
		.shard = shard->options.index,
		.self = settings->name,
		.incarnation = shard->options.node->incarnation,
		.lease_ms = shard->options.lease_ms,
		.adopt_ms = ADOPT_WAIT_MS,
		.outbox_max_bytes = OUTBOX_MAX_BYTES,
	};

	if (shard->state != SHARD_CLOSED || shard->reading || shard->appending)
		return;
	if (shard->ledger)
		ledger_destroy(shard->ledger);
	shard->ledger = ledger_create(&options);
	shard->step = SHARD_READ_BOUNDS;
	shard->state = SHARD_OPENING;
	shard_read(shard);
}

/* Claims the shard after its stream was read, unless its owner is up. */
static void claim_unless_owned(struct shard *shard)
{
	struct ledger *ledger = shard->ledger;
	const char *owner = ledger_owner(ledger);

	if (*owner && !ledger_owned(ledger) &&
	    shard->options.owner_up(shard->options.ctx, owner,
				    ledger_owner_incarnation(ledger))) {
		set_state(shard, SHARD_CLOSED);
		return;
	}
	clear_in_flight(shard);
	shard->kind = SHARD_APPEND_CLAIM;
	shard->in_flight = ledger_pack_claim(ledger, false);
	shard->state = SHARD_CLAIMING;
	shard_send_next(shard);
}

static void become_owner(struct shard *shard)
{
	uint64_t now = node_now_ms(shard->options.node);

	clear_in_flight(shard);
	ledger_take_over(shard->ledger, now);
	shard->last_check_ms = now;
	shard->last_tick_ms = now;
	shard->unverified = false;
	log_info(PART, "shard %u: owned from epoch %" G_GUINT64_FORMAT,
		 shard->options.index, ledger_epoch(shard->ledger));
	counter_add(shard->takeovers, 1);
	set_state(shard, SHARD_OWNED);
}

static void lose_ownership(struct shard *shard)
{
	log_info(PART, "shard %u: now owned by %s, epoch %" G_GUINT64_FORMAT,
		 shard->options.index,
		 *ledger_owner(shard->ledger) ? ledger_owner(shard->ledger) :
						"nobody",
		 ledger_epoch(shard->ledger));
	set_state(shard, SHARD_CLOSED);
}

static void check_records_folded(struct shard *shard)
{
	if (shard->kind != SHARD_APPEND_RECORDS ||
	    !ledger_last_append_folded(shard->ledger))
		return;
	clear_in_flight(shard);
}

void shard_update_folded(struct shard *shard)
{
	bool owned = ledger_owned(shard->ledger);

	switch (shard->state) {
	case SHARD_CLAIMING:
		if (owned)
			become_owner(shard);
		break;
	case SHARD_OWNED:
	case SHARD_RELEASING:
		if (!owned) {
			lose_ownership(shard);
			break;
		}
		check_records_folded(shard);
		shard->options.stream_advanced(shard->options.ctx, shard);
		break;
	default:
		break;
	}
}

/*
 * Decides on a claim that is not in force after the stream was read: sends it
 * again, or closes the shard if another node's claim came first.
 */
static void recheck_claim(struct shard *shard)
{
	if (shard->state != SHARD_CLAIMING || shard->appending)
		return;
	claim_unless_owned(shard);
}

void shard_read_done(struct shard *shard, bool ok)
{
	if (!ok) {
		shard->last_failure_ms = node_now_ms(shard->options.node);
		if (shard->state == SHARD_OPENING)
			set_state(shard, SHARD_CLOSED);
		else
			shard->unverified = false;
		uv_timer_start(&shard->timer, on_timer, RETRY_WAIT_MS, 0);
		return;
	}
	shard->unverified = false;
	if (shard->state == SHARD_OPENING) {
		claim_unless_owned(shard);
		return;
	}
	shard_update_folded(shard);
	recheck_claim(shard);
	/*
	 * An append whose records were not found in the stream is sent again.
	 */
	if (!shard->appending)
		shard->in_doubt = false;
	if (shard->state != SHARD_CLOSED)
		shard_send_next(shard);
}

/*
 * Applies the records of the append in flight, which needs no read of the
 * stream.
 */
static void fold_in_flight(struct shard *shard, uint64_t offset)
{
	ledger_fold_bytes(shard->ledger, offset, 0, shard->in_flight->data,
			  shard->in_flight->len);
	shard_update_folded(shard);
}

static void handle_appended(struct shard *shard, uint64_t offset)
{
	shard->last_answer_ms = node_now_ms(shard->options.node);
	if (offset == ledger_position(shard->ledger) + 1) {
		fold_in_flight(shard, offset);
		if (shard->state != SHARD_CLOSED)
			shard_send_next(shard);
		return;
	}
	shard->in_doubt = true;
	shard_read(shard);
}

static void on_appended(void *ctx, enum log_service_status status,
			uint64_t offset)
{
	struct shard *shard = ctx;

	shard->appending = false;
	if (shard->state == SHARD_CLOSED || !shard->in_flight)
		return;
	if (status == LOG_SERVICE_OK) {
		handle_appended(shard, offset);
		return;
	}
	shard->last_failure_ms = node_now_ms(shard->options.node);
	if (status == LOG_SERVICE_UNKNOWN) {
		log_info(PART,
			 "shard %u: no answer to an append; reading the stream",
			 shard->options.index);
		shard->in_doubt = true;
		shard_read(shard);
		return;
	}
	uv_timer_start(&shard->timer, on_timer, RETRY_WAIT_MS, 0);
}

static void send_in_flight(struct shard *shard)
{
	struct log_service *log = shard->options.node->log;
	uint64_t now = node_now_ms(shard->options.node);

	shard->appending = true;
	shard->next_append_ms = now + shard->options.append_interval_ms;
	counter_add(shard->appends, 1);
	counter_add(shard->append_bytes, shard->in_flight->len);
	log->ops->append(log, shard->stream, shard->in_flight->data,
			 shard->in_flight->len, on_appended, shard);
}

/* Packs the next append; returns false if there is nothing to send. */
static bool fill_in_flight(struct shard *shard, uint64_t now)
{
	if (shard->state != SHARD_OWNED && shard->state != SHARD_RELEASING)
		return false;
	shard->in_flight = ledger_next_append(shard->ledger, APPEND_BYTES);
	if (!shard->in_flight && shard->state == SHARD_OWNED)
		shard->in_flight = shard_next_refreshed_chunk(shard);
	if (!shard->in_flight && shard->state == SHARD_OWNED)
		shard->in_flight = shard_next_checkpoint_part(shard, now);
	shard->kind = SHARD_APPEND_RECORDS;
	if (!shard->in_flight && shard->state == SHARD_RELEASING) {
		shard->in_flight = ledger_pack_claim(shard->ledger, true);
		shard->kind = SHARD_APPEND_RELEASE;
	}
	return shard->in_flight != NULL;
}

void shard_send_next(struct shard *shard)
{
	uint64_t now = node_now_ms(shard->options.node);

	if (shard->state == SHARD_CLOSED || shard->appending)
		return;
	if (shard->in_doubt || shard->state == SHARD_OPENING) {
		shard_read(shard);
		return;
	}
	if (shard->in_flight) {
		send_in_flight(shard);
		return;
	}
	if (now >= shard->next_append_ms) {
		if (fill_in_flight(shard, now))
			send_in_flight(shard);
		return;
	}
	uv_timer_start(&shard->timer, on_timer, shard->next_append_ms - now, 0);
}

void shard_schedule_append(struct shard *shard)
{
	uint64_t now = node_now_ms(shard->options.node);
	uint64_t wait = BATCH_WAIT_MS;

	if (shard->state != SHARD_OWNED || shard->appending || shard->in_flight)
		return;
	if (uv_is_active((uv_handle_t *)&shard->timer))
		return;
	if (shard->next_append_ms > now + BATCH_WAIT_MS)
		wait = shard->next_append_ms - now;
	uv_timer_start(&shard->timer, on_timer, wait, 0);
}

void shard_catch_up(struct shard *shard)
{
	if (shard->state != SHARD_CLOSED)
		shard_read(shard);
}

void shard_release(struct shard *shard)
{
	if (shard->state == SHARD_CLOSED || shard->state == SHARD_RELEASING)
		return;
	if (shard->state != SHARD_OWNED) {
		set_state(shard, SHARD_CLOSED);
		return;
	}
	shard->last_check_ms = node_now_ms(shard->options.node);
	set_state(shard, SHARD_RELEASING);
	shard_send_next(shard);
}

void shard_tick(struct shard *shard, uint64_t now_ms)
{
	if (shard->state == SHARD_RELEASING &&
	    now_ms > shard->last_check_ms + RELEASE_TIMEOUT_MS) {
		log_warn(PART, "shard %u: release timed out",
			 shard->options.index);
		set_state(shard, SHARD_CLOSED);
	}
	if (shard->state != SHARD_OWNED)
		return;
	if (now_ms > shard->last_tick_ms + PAUSE_THRESHOLD_MS)
		shard->unverified = true;
	shard->last_tick_ms = now_ms;
	if (shard->unverified ||
	    now_ms > shard->last_check_ms + CHECK_INTERVAL_MS) {
		shard->last_check_ms = now_ms;
		shard_read(shard);
	}
	shard_refresh_tick(shard, now_ms);
	shard_schedule_append(shard);
}

bool shard_log_unavailable(const struct shard *shard)
{
	return shard->last_failure_ms >
		       shard->last_answer_ms + LOG_UNAVAILABLE_MS ||
	       (shard->last_failure_ms > shard->last_answer_ms &&
		node_now_ms(shard->options.node) >
			shard->last_answer_ms + LOG_UNAVAILABLE_MS);
}

bool shard_unverified(const struct shard *shard)
{
	return shard->unverified;
}

bool shard_idle(const struct shard *shard)
{
	return shard->state == SHARD_CLOSED && !shard->reading &&
	       !shard->appending && !shard->refresh.reading;
}
