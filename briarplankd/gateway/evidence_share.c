#include <string.h>

#include "common/log.h"
#include "evidence_share.h"
#include "peers.h"
#include "store_route.h"

#define EVIDENCE_TOPIC "keyed.evidence"
/* Timeout of a call for the topic, and pause before it is repeated, in ms. */
#define CALL_TIMEOUT_MS 900
#define RETRY_MS 300
/* Time for which the store may hold a read until evidence comes, in ms. */
#define READ_WAIT_MS 20000
#define READ_MAX_KB 256
/* Interval at which changes are stored and old evidence is forgotten, in ms. */
#define SAVE_INTERVAL_MS 100
#define SWEEP_INTERVAL_MS 1000
/* Time after the start for which the topic is waited for, in ms: in which the other
 * entries report their evidence, if there are any that know it or the store is away, and
 * otherwise. */
#define LOAD_WAIT_MS 2000
#define LOAD_WAIT_MAX_MS 10000
/* Retry-After before that, in ms. */
#define LOAD_RETRY_MS 200
/* Time for which a change is part of each load report, in ms, and number of
 * suspects in a report. A report has room for about five. */
#define REPORT_MS 1500
#define REPORT_SUSPECTS_MAX 4
/* Range over which entries spread their claims of a trial, in ms: the claim of one reaches
 * most of the others before theirs. */
#define CLAIM_STAGGER_MS 1000
/* Interval at which one key is reported in turn, in ms. */
#define TURN_INTERVAL_MS 300

struct evidence_share {
	struct gateway *gateway;
	struct quarantine *quarantine;
	uv_timer_t read_timer;
	uv_timer_t save_timer;
	int open_handles;
	uint64_t started_ms;
	uint64_t swept_ms;
	/* The newest values were read once. */
	bool read;
	/* The newest values were read, and records from next_offset follow. */
	bool loaded;
	uint64_t next_offset;
	uint64_t snapshot_offset;
	/* Key of the last value of the page that was read last, or NULL. */
	char *page_key;
	/* Records that the store has not confirmed yet. */
	GString *records;
	bool saving;
	/* Time before which nothing is stored after a failure. */
	uint64_t retry_ms;
	/* Keys whose values must be removed from the store. */
	GPtrArray *removals;
	uint64_t turn_ms;
	unsigned turn;
};

static void read_topic(struct evidence_share *share);

/* Tells whether this entry stores what others have learnt of a key. */
static bool owns(const struct evidence_share *share, uint64_t key)
{
	return peers_owns_hash(share->gateway->peers, key);
}

static char *text_of(uint64_t key)
{
	return g_strdup_printf("%016" PRIx64, key);
}

static void count_change(struct evidence_share *share, const char *change)
{
	char *labels = g_strdup_printf("change=\"%s\"", change);

	counter_add(metrics_counter(share->gateway->metrics,
				    "briarplank_quarantine_changes_total",
				    labels),
		    1);
	g_free(labels);
}

static void on_change(void *ctx, const struct suspect *suspect)
{
	struct evidence_share *share = ctx;
	const char *change = suspect->quarantined ? "quarantined" : "released";

	log_event("quarantine", LOG_LEVEL_WARN,
		  "%s=%016" PRIx64 " %s by=%s crashes=%u of %u",
		  quarantine_key_label(suspect->evidence.key),
		  suspect->evidence.key, change,
		  quarantine_cause_name(suspect->cause),
		  evidence_crashes(&suspect->evidence),
		  suspect->evidence.crashes_nr);
	count_change(share, change);
}

/* The owner removes the value from the store, once for all entries. */
static void on_forget(void *ctx, const struct suspect *suspect)
{
	struct evidence_share *share = ctx;

	if (suspect->quarantined) {
		log_event("quarantine", LOG_LEVEL_WARN,
			  "%s=%016" PRIx64 " forgotten crashes=%u",
			  quarantine_key_label(suspect->evidence.key),
			  suspect->evidence.key,
			  evidence_crashes(&suspect->evidence));
		count_change(share, "forgotten");
	}
	if (suspect->evidence.crashes_nr > 1 &&
	    owns(share, suspect->evidence.key))
		g_ptr_array_add(share->removals,
				text_of(suspect->evidence.key));
}

struct quarantine *evidence_share_quarantine(struct evidence_share *share)
{
	return share->quarantine;
}

bool evidence_share_read(const struct evidence_share *share)
{
	return share->read;
}

bool evidence_share_known(const struct evidence_share *share)
{
	const struct gateway *gateway = share->gateway;
	uint64_t waited_ms = uv_now(gateway->loop) - share->started_ms;

	if (share->read || waited_ms >= LOAD_WAIT_MAX_MS)
		return true;
	return waited_ms >= LOAD_WAIT_MS &&
	       (peers_have_loaded(gateway->peers) ||
		!store_route_is_direct(gateway->store_route));
}

bool evidence_share_allows(struct evidence_share *share,
			   const struct prompt *prompt,
			   struct quarantine_verdict *verdict)
{
	uint64_t now = uv_now(share->gateway->loop);

	*verdict = quarantine_check(share->quarantine, prompt, now,
				    gateway_wall_ms());
	if (!verdict->refused && (prompt->parts_nr || prompt->request) &&
	    !evidence_share_known(share)) {
		verdict->refused = true;
		verdict->retry_after_ms = LOAD_RETRY_MS;
	}
	return !verdict->refused;
}

/* Functions that convert evidence to messages and back. */

/* Returns a new message; the caller frees it with its lists. */
static PartEvidence *message_create(const struct evidence *evidence)
{
	PartEvidence *message = g_new(PartEvidence, 1);
	unsigned nr = MIN(evidence->crashes_nr, EVIDENCE_CRASHES_MAX), i;

	part_evidence__init(message);
	message->part = evidence->key;
	message->crashes = g_new(uint64_t, nr);
	message->n_crashes = nr;
	message->before_ms = g_new(uint32_t, nr);
	message->n_before_ms = nr;
	message->crashed_ms = evidence_crashed_ms(evidence);
	message->trials = evidence->trials;
	message->claimant = evidence->claimant;
	message->cleared_trials = evidence->cleared_trials;
	for (i = 0; i < nr; i++) {
		const struct evidence_crash *crash = &evidence->crashes[i];

		message->crashes[i] = crash->server;
		message->before_ms[i] = (uint32_t)MIN(
			message->crashed_ms - crash->wall_ms, UINT32_MAX);
		message->refuted |= (uint32_t)crash->refuted << i;
	}
	return message;
}

static void message_free(PartEvidence *message)
{
	g_free(message->crashes);
	g_free(message->before_ms);
	g_free(message);
}

static void read_message(const PartEvidence *message, struct evidence *evidence)
{
	unsigned i;

	evidence->key = message->part;
	evidence->crashes_nr =
		(unsigned)MIN(message->n_crashes, EVIDENCE_CRASHES_MAX);
	evidence->trials = message->trials;
	evidence->claimant = message->claimant;
	evidence->cleared_trials = message->cleared_trials;
	for (i = 0; i < evidence->crashes_nr; i++) {
		struct evidence_crash *crash = &evidence->crashes[i];

		crash->server = message->crashes[i];
		crash->wall_ms = message->crashed_ms;
		if (i < message->n_before_ms)
			crash->wall_ms -=
				MIN(message->before_ms[i], crash->wall_ms);
		crash->refuted = message->refuted >> i & 1;
	}
}

static struct quarantine_merged merge_message(struct evidence_share *share,
					      const PartEvidence *message,
					      enum quarantine_source source)
{
	struct quarantine_merged merged = { 0 };
	struct evidence evidence = { 0 };
	struct quarantine_news news = {
		.evidence = &evidence,
		.source = source,
		.now_ms = uv_now(share->gateway->loop),
		.wall_ms = gateway_wall_ms(),
	};

	read_message(message, &evidence);
	if (!evidence_expired(&evidence, news.wall_ms))
		merged = quarantine_merge(share->quarantine, &news);
	return merged;
}

/* Adds the next key in turn to a report. */
static void add_in_turn(struct evidence_share *share, NodeLoad *load)
{
	uint64_t wall_ms = gateway_wall_ms();
	const struct suspect *in_turn = NULL;
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, quarantine_suspects(share->quarantine)) {
		const struct suspect *suspect =
			list_entry(pos, struct suspect, link);

		if (quarantine_told_in_turn(suspect, wall_ms) &&
		    nr++ == share->turn)
			in_turn = suspect;
	}
	share->turn = nr ? (share->turn + 1) % nr : 0;
	if (in_turn)
		load->evidence[load->n_evidence++] =
			message_create(&in_turn->evidence);
}

void evidence_share_add_to_report(struct evidence_share *share, NodeLoad *load)
{
	uint64_t now = uv_now(share->gateway->loop);
	struct suspect *changes[REPORT_SUSPECTS_MAX];
	unsigned changes_nr, i;

	if (list_empty(quarantine_suspects(share->quarantine)))
		return;
	load->evidence = g_new0(PartEvidence *, REPORT_SUSPECTS_MAX + 1);
	changes_nr = quarantine_changes(share->quarantine,
					now > REPORT_MS ? now - REPORT_MS : 0,
					now, changes, REPORT_SUSPECTS_MAX);
	for (i = 0; i < changes_nr; i++)
		load->evidence[load->n_evidence++] =
			message_create(&changes[i]->evidence);
	if (now - share->turn_ms < TURN_INTERVAL_MS)
		return;
	share->turn_ms = now;
	add_in_turn(share, load);
}

void evidence_share_free_report(NodeLoad *load)
{
	size_t i;

	for (i = 0; i < load->n_evidence; i++)
		message_free(load->evidence[i]);
	g_free(load->evidence);
}

void evidence_share_apply_report(struct evidence_share *share,
				 const NodeLoad *load)
{
	size_t i;

	for (i = 0; i < load->n_evidence; i++) {
		uint64_t key = load->evidence[i]->part;

		/* The sender may end, or lose the store, before it is stored. */
		if (merge_message(share, load->evidence[i], SOURCE_REPORT)
			    .is_new &&
		    owns(share, key))
			quarantine_save(share->quarantine, key);
	}
}

void evidence_share_peer_alive(struct evidence_share *share)
{
	quarantine_tell_again(share->quarantine, uv_now(share->gateway->loop));
}

/* Functions that read the topic. */

static void apply_record(struct evidence_share *share,
			 const struct store_record *record,
			 enum quarantine_source source)
{
	PartEvidence *message;

	if (!record->len)
		return;
	message = part_evidence__unpack(NULL, record->len,
					(const uint8_t *)record->data);
	if (!message) {
		log_event("quarantine", LOG_LEVEL_WARN,
			  "key=%s malformed evidence", record->key);
		return;
	}
	/* Of entries that store evidence at the same time, the last one replaces
	 * what the others have written. */
	if (merge_message(share, message, source).lacks &&
	    owns(share, message->part))
		quarantine_save(share->quarantine, message->part);
	part_evidence__free_unpacked(message, NULL);
}

static void on_read_timer(uv_timer_t *timer)
{
	read_topic(timer->data);
}

static void read_later(struct evidence_share *share, uint64_t ms)
{
	uv_timer_start(&share->read_timer, on_read_timer, ms, 0);
}

static void on_newest(void *ctx, const struct store_read_result *result)
{
	struct evidence_share *share = ctx;
	size_t i;

	if (result->status != STORE_OK) {
		read_later(share, RETRY_MS);
		return;
	}
	/* Pages aren't read atomically, so that records are read again from the
	 * end offset of the first page on. */
	if (!share->page_key)
		share->snapshot_offset = result->end_offset;
	for (i = 0; i < result->records_nr; i++)
		apply_record(share, &result->records[i], SOURCE_SNAPSHOT);
	g_free(share->page_key);
	share->page_key = NULL;
	if (result->more && result->records_nr) {
		share->page_key =
			g_strdup(result->records[result->records_nr - 1].key);
	} else {
		if (!share->loaded)
			log_event("quarantine", LOG_LEVEL_INFO,
				  "evidence read end=%" PRIu64,
				  share->snapshot_offset);
		share->read = true;
		share->loaded = true;
		share->next_offset = share->snapshot_offset;
	}
	read_later(share, 0);
}

static void on_records(void *ctx, const struct store_read_result *result)
{
	struct evidence_share *share = ctx;
	size_t i;

	if (result->status == STORE_EXPIRED) {
		log_event("quarantine", LOG_LEVEL_WARN,
			  "evidence is no longer kept from=%" PRIu64
			  "; reading the newest values",
			  share->next_offset);
		share->loaded = false;
		read_later(share, 0);
		return;
	}
	if (result->status != STORE_OK) {
		read_later(share, RETRY_MS);
		return;
	}
	for (i = 0; i < result->records_nr; i++)
		apply_record(share, &result->records[i], SOURCE_RECORDS);
	share->next_offset = result->next_offset;
	read_later(share, 0);
}

static void read_topic(struct evidence_share *share)
{
	struct store_read read = {
		.topic = EVIDENCE_TOPIC,
		.from = share->next_offset,
		.max_kb = READ_MAX_KB,
		.wait_ms = READ_WAIT_MS,
		.timeout_ms = CALL_TIMEOUT_MS,
		.after_key = share->page_key,
		.done = on_records,
		.ctx = share,
	};

	if (share->loaded) {
		store_read(share->gateway->store, &read);
		return;
	}
	read.wait_ms = 0;
	read.done = on_newest;
	store_read_newest(share->gateway->store, &read);
}

/* Functions that store changes. */

static void on_saved(void *ctx, const struct store_append_result *result)
{
	struct evidence_share *share = ctx;

	share->saving = false;
	if (result->status == STORE_OK || result->status == STORE_INVALID) {
		g_string_truncate(share->records, 0);
		return;
	}
	log_event("quarantine", LOG_LEVEL_WARN, "evidence not stored: %s",
		  store_status_name(result->status));
	share->retry_ms = uv_now(share->gateway->loop) + RETRY_MS;
}

static void add_record(struct evidence_share *share,
		       const struct evidence *evidence)
{
	PartEvidence *message = message_create(evidence);
	size_t len = part_evidence__get_packed_size(message);
	uint8_t *bytes = g_malloc(len);
	char *key = text_of(evidence->key);

	part_evidence__pack(message, bytes);
	store_add_keyed_record(share->records, key, bytes, len);
	g_free(key);
	g_free(bytes);
	message_free(message);
}

/* Adds claims of trials. An entry that doesn't follow the topic can't tell whether it has
 * won. */
static void add_claims(struct evidence_share *share)
{
	struct evidence claim;

	while (share->loaded &&
	       quarantine_claim(share->quarantine, uv_now(share->gateway->loop),
				&claim)) {
		log_event("quarantine", LOG_LEVEL_INFO,
			  "%s=%016" PRIx64 " trial=%u claimed crashes=%u",
			  quarantine_key_label(claim.key), claim.key,
			  claim.trials, evidence_crashes(&claim));
		add_record(share, &claim);
	}
}

static void add_changes(struct evidence_share *share)
{
	struct list *pos;
	guint i;

	list_for_each (pos, quarantine_suspects(share->quarantine)) {
		struct suspect *suspect = list_entry(pos, struct suspect, link);

		if (!suspect->unsaved)
			continue;
		suspect->unsaved = false;
		add_record(share, &suspect->evidence);
	}
	for (i = 0; i < share->removals->len; i++)
		store_add_keyed_record(share->records,
				       g_ptr_array_index(share->removals, i),
				       NULL, 0);
	g_ptr_array_set_size(share->removals, 0);
}

static void on_save_timer(uv_timer_t *timer)
{
	struct evidence_share *share = timer->data;
	uint64_t now = uv_now(share->gateway->loop);
	struct store_append append = {
		.topic = EVIDENCE_TOPIC,
		.timeout_ms = CALL_TIMEOUT_MS,
		.done = on_saved,
		.ctx = share,
	};

	if (now - share->swept_ms >= SWEEP_INTERVAL_MS) {
		share->swept_ms = now;
		quarantine_sweep(share->quarantine, gateway_wall_ms());
	}
	if (share->saving || now < share->retry_ms)
		return;
	add_changes(share);
	add_claims(share);
	if (!share->records->len)
		return;
	share->saving = true;
	append.records = g_string_new_len(share->records->str,
					  (gssize)share->records->len);
	store_append(share->gateway->store, &append);
}

struct evidence_share *evidence_share_create(struct gateway *gateway)
{
	struct evidence_share *share = g_new0(struct evidence_share, 1);
	struct quarantine_options options = {
		.self = gateway->identity_hash,
		.stagger_ms = gateway->identity_hash % CLAIM_STAGGER_MS,
		.on_change = on_change,
		.on_forget = on_forget,
		.ctx = share,
	};

	share->gateway = gateway;
	share->quarantine = quarantine_create(&options);
	share->records = g_string_new(NULL);
	share->removals = g_ptr_array_new_with_free_func(g_free);
	share->started_ms = uv_now(gateway->loop);
	uv_timer_init(gateway->loop, &share->read_timer);
	share->read_timer.data = share;
	read_later(share, 0);
	uv_timer_init(gateway->loop, &share->save_timer);
	share->save_timer.data = share;
	uv_timer_start(&share->save_timer, on_save_timer, SAVE_INTERVAL_MS,
		       SAVE_INTERVAL_MS);
	return share;
}

static void on_closed(uv_handle_t *handle)
{
	struct evidence_share *share = handle->data;

	if (--share->open_handles == 0)
		g_free(share);
}

void evidence_share_destroy(struct evidence_share *share)
{
	quarantine_destroy(share->quarantine);
	g_string_free(share->records, TRUE);
	g_ptr_array_free(share->removals, TRUE);
	g_free(share->page_key);
	share->open_handles = 2;
	uv_close((uv_handle_t *)&share->read_timer, on_closed);
	uv_close((uv_handle_t *)&share->save_timer, on_closed);
}
