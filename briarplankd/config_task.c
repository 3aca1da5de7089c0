/*
 * Holds the current configuration, and reads it from the log if this node is a
 * relay of its data centre.
 */
#include <string.h>

#include "config_private.h"
#include "briarplankd/members_task.h"
#include "briarplankd/tasks.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/relays.h"

#define PART CONFIG_PART

/* Interval of the task's timer, in ms. */
#define TICK_INTERVAL_MS 100
/* Time allowed for discovering peers before relays are chosen, in ms. */
#define DISCOVERY_MS 300
/* Time that a new node waits for its peers before it reads the log, in ms. */
#define PEERS_TIMEOUT_MS 1500
/* Time for which a relay retries the push of a revision, in ms. */
#define PUSH_RETRY_MS 2000
/* Maximum time for which a read waits for the next record, in ms. */
#define READ_WAIT_MS 10000
#define READ_MAX_BYTES (4 << 20)
/* Minimum delay after a read without records, in ms. */
#define READ_PAUSE_MS 100
#define READ_BACKOFF_MAX_MS 2000
/*
 * Limits of the delay before a relay writes a snapshot, in ms and in percent of
 * the snapshot interval. The delay depends on the relay's name, so that one
 * relay writes the snapshot before the others.
 */
#define SNAPSHOT_JITTER_MS 60000
#define SNAPSHOT_JITTER_PERCENT 20

struct config_task *config_task_of(struct node *node)
{
	return (struct config_task *)node->config;
}

static void apply_log_level(struct config_task *task)
{
	struct node *node = task->super.node;
	char *key = g_strdup_printf("node.%s.log_level", node->settings->name);
	const char *value = config_value(node, key);
	enum log_level level = node->settings->log_level;
	char *text;

	if (!value)
		value = config_value(node, "log.level");
	text = value ? g_strndup(value + 1, strlen(value) - 2) : NULL;
	if (text)
		log_level_parse(text, &level);
	log_set_level(level);
	g_free(text);
	g_free(key);
}

static void record_delay(struct config_task *task, uint64_t revision)
{
	uint64_t published_ms = config_store_published_ms(task->store);
	uint64_t now_ms = node_wall_ms();

	if (!published_ms || published_ms > now_ms) {
		log_info(PART, "revision %" G_GUINT64_FORMAT " is in force",
			 revision);
		return;
	}
	histogram_record(task->spread, (now_ms - published_ms) * 1000);
	log_info(PART,
		 "revision %" G_GUINT64_FORMAT
		 " is in force, %" G_GUINT64_FORMAT " ms after its publication",
		 revision, now_ms - published_ms);
}

void config_advanced(struct config_task *task, uint64_t old_revision)
{
	uint64_t revision = config_store_revision(task->store);
	struct node_event event = {
		.kind = NODE_CONFIG_CHANGED,
		.revision = revision,
	};

	config_publishes_check(task);
	if (revision == old_revision)
		return;
	counter_set(task->revision_gauge, revision);
	record_delay(task, revision);
	apply_log_level(task);
	task->push_until_ms = node_now_ms(task->super.node) + PUSH_RETRY_MS;
	config_spread_push(task);
	node_notify_tasks(task->super.node, &event);
}

static bool should_read(const struct config_task *task, uint64_t now_ms)
{
	bool peers_timed_out = now_ms - task->started_ms >= PEERS_TIMEOUT_MS;

	if (!task->super.node->log || task->reading ||
	    now_ms < task->next_read_ms)
		return false;
	return task->relay || task->read_requested ||
	       (!task->synced && peers_timed_out);
}

static void on_read_failed(struct config_task *task, uint64_t now_ms)
{
	if (!task->log_unreachable)
		log_warn(PART, "the configuration log can't be read");
	task->log_unreachable = true;
	task->read_backoff_ms =
		MIN(MAX(task->read_backoff_ms * 2, READ_PAUSE_MS),
		    READ_BACKOFF_MAX_MS);
	task->next_read_ms = now_ms + task->read_backoff_ms;
}

static void apply_page(struct config_task *task,
		       const struct log_service_page *page)
{
	struct config_page_entry *entries =
		g_new0(struct config_page_entry, page->nr + 1);
	struct config_page to_apply = {
		.from = task->read_from,
		.first_offset = page->first_offset,
		.end_offset = page->end_offset,
		.entries = entries,
		.nr = page->nr,
	};
	size_t i;

	for (i = 0; i < page->nr; i++) {
		entries[i].offset = page->entries[i].offset;
		entries[i].stored_ms = page->entries[i].stored_ms;
		entries[i].payload = page->entries[i].payload;
		entries[i].len = page->entries[i].len;
	}
	config_reader_add_page(task->reader, &to_apply);
	g_free(entries);
}

static void set_synced(struct config_task *task, const char *source)
{
	if (task->synced)
		return;
	task->synced = true;
	log_info(PART, "loaded revision %" G_GUINT64_FORMAT " from %s",
		 config_store_revision(task->store), source);
}

static void on_page(struct config_task *task,
		    const struct log_service_page *page, uint64_t now_ms)
{
	uint64_t old = config_store_revision(task->store);
	const char *problem;

	if (task->log_unreachable)
		log_info(PART, "the configuration log can be read again");
	task->log_unreachable = false;
	task->read_backoff_ms = 0;
	apply_page(task, page);
	problem = config_reader_error(task->reader);
	if (problem)
		log_warn(PART, "%s", problem);
	if (config_reader_is_current(task->reader))
		set_synced(task, "the log");
	if (!page->nr)
		task->next_read_ms = now_ms + READ_PAUSE_MS;
	if (!problem && !config_reader_is_current(task->reader))
		task->read_requested = true;
	config_advanced(task, old);
}

static void read_log(struct config_task *task);

static void on_read(void *ctx, enum log_service_status status,
		    const struct log_service_page *page)
{
	struct config_task *task = ctx;
	uint64_t now_ms = node_now_ms(task->super.node);

	task->reading = false;
	if (status == LOG_SERVICE_OK)
		on_page(task, page, now_ms);
	else
		on_read_failed(task, now_ms);
	if (should_read(task, now_ms))
		read_log(task);
}

static void read_log(struct config_task *task)
{
	struct log_service *log = task->super.node->log;
	bool waits = task->relay && task->synced && !task->read_requested;

	task->reading = true;
	task->read_requested = false;
	task->read_from = config_reader_next(task->reader);
	counter_add(task->reads_total, 1);
	log->ops->read(log, CONFIG_STREAM, task->read_from, READ_MAX_BYTES,
		       waits ? READ_WAIT_MS : 0, on_read, task);
}

void config_request_read(struct config_task *task)
{
	uint64_t now_ms = node_now_ms(task->super.node);

	task->read_requested = true;
	if (should_read(task, now_ms))
		read_log(task);
}

static void choose_relay(struct config_task *task, uint64_t now_ms)
{
	struct node *node = task->super.node;
	struct relay_self self = {
		.name = node->settings->name,
		.role = node->settings->role == ROLE_AGENT ? MEMBER_AGENT :
							     MEMBER_ENTRY,
		.data_centre = node->settings->data_centre,
		.leaving = node->stopping,
	};
	bool chosen = node->log && now_ms - task->started_ms >= DISCOVERY_MS &&
		      relays_self_is_relay(node_members(node), &self);

	if (chosen != task->relay)
		log_info(PART, "%s",
			 chosen ?
				 "this node is now a relay of its data centre" :
				 "this node is no longer a relay");
	if (chosen && !task->relay)
		task->snapshot_from_ms = node_wall_ms();
	task->relay = chosen;
	counter_set(task->relay_gauge, chosen);
}

static void on_snapshot_appended(void *ctx, enum log_service_status status,
				 uint64_t offset)
{
	struct config_task *task = ctx;

	task->snapshot_running = false;
	if (status == LOG_SERVICE_OK)
		log_info(PART, "wrote a snapshot at offset %" G_GUINT64_FORMAT,
			 offset);
}

static void append_snapshot(struct config_task *task)
{
	struct log_service *log = task->super.node->log;
	Briarplank__ConfigAppend append = BRIARPLANK__CONFIG_APPEND__INIT;
	uint8_t *bytes;
	size_t len;

	append.snapshot = config_store_snapshot(task->store);
	len = briarplank__config_append__get_packed_size(&append);
	bytes = g_malloc(len);
	briarplank__config_append__pack(&append, bytes);
	task->snapshot_running = true;
	log->ops->append(log, CONFIG_STREAM, bytes, len, on_snapshot_appended,
			 task);
	g_free(bytes);
	briarplank__config_snapshot__free_unpacked(append.snapshot, NULL);
}

/* Appends a snapshot before the log drops the records that it replaces. */
static void check_snapshot(struct config_task *task)
{
	struct node *node = task->super.node;
	uint64_t interval_ms =
		1000 * g_ascii_strtoull(
			       config_value(node, "config.snapshot_interval_s"),
			       NULL, 10);
	uint64_t jitter_ms = MIN(interval_ms * SNAPSHOT_JITTER_PERCENT / 100,
				 SNAPSHOT_JITTER_MS);
	uint64_t from_ms = MAX(config_reader_snapshot_ms(task->reader),
			       task->snapshot_from_ms);
	uint64_t due_ms =
		from_ms + interval_ms +
		hash_string(node->settings->name, 0) % (jitter_ms + 1);

	if (!task->relay || !task->synced || task->snapshot_running ||
	    task->log_unreachable ||
	    config_store_next_offset(task->store) <= 1 ||
	    node_wall_ms() < due_ms)
		return;
	task->snapshot_from_ms = node_wall_ms() - interval_ms;
	append_snapshot(task);
}

/* An entry without a log service starts with the defaults. */
static void start_without_log(struct config_task *task)
{
	const struct daemon_settings *settings = task->super.node->settings;

	if (task->super.node->log || settings->role != ROLE_ENTRY)
		return;
	config_store_begin(task->store);
	set_synced(task, "the defaults, as no log service is configured");
}

static void on_tick(uv_timer_t *timer)
{
	struct config_task *task = timer->data;
	uint64_t now_ms = node_now_ms(task->super.node);

	choose_relay(task, now_ms);
	config_spread_tick(task, now_ms);
	if (!task->synced && config_store_next_offset(task->store) &&
	    config_store_revision(task->store) >= task->announced_revision)
		set_synced(task, "peers");
	config_publishes_check(task);
	check_snapshot(task);
	if (should_read(task, now_ms))
		read_log(task);
}

static void make_metrics(struct config_task *task)
{
	struct metrics *metrics = task->super.node->metrics;

	task->revision_gauge =
		metrics_gauge(metrics, "briarplank_config_revision", "");
	task->relay_gauge =
		metrics_gauge(metrics, "briarplank_config_relay", "");
	task->fetches_total =
		metrics_counter(metrics, "briarplank_config_fetches_total", "");
	task->spread = metrics_histogram(
		metrics, "briarplank_config_spread_seconds", "");
	task->reads_total =
		metrics_counter(metrics, "briarplank_config_reads_total", "");
}

static bool config_start(struct task *base)
{
	struct config_task *task = (struct config_task *)base;
	struct node *node = base->node;

	node->config = base;
	task->started_ms = node_now_ms(node);
	make_metrics(task);
	config_spread_start(task);
	uv_timer_init(&node->loop, &task->tick);
	task->tick.data = task;
	uv_timer_start(&task->tick, on_tick, 0, TICK_INTERVAL_MS);
	start_without_log(task);
	return true;
}

static const char *config_unready(struct task *base)
{
	struct config_task *task = (struct config_task *)base;
	const char *problem = config_reader_error(task->reader);

	if (task->synced)
		return NULL;
	if (problem)
		return problem;
	if (task->log_unreachable)
		return "the configuration is not loaded: neither the log nor "
		       "a peer answers";
	return "the configuration is not loaded yet";
}

static void config_task_free(struct config_task *task)
{
	config_publishes_free(task);
	config_reader_destroy(task->reader);
	config_store_destroy(task->store);
	g_free(task->announced_by);
	g_free(task);
}

static void on_tick_closed(uv_handle_t *handle)
{
	config_task_free(handle->data);
}

/* Callbacks of the log may still run until the loop has closed the timer. */
static void config_destroy(struct task *base)
{
	struct config_task *task = (struct config_task *)base;

	if (task->started_ms)
		uv_close((uv_handle_t *)&task->tick, on_tick_closed);
	else
		config_task_free(task);
}

static const struct task_ops config_ops = {
	.name = "config",
	.start = config_start,
	.not_ready_reason = config_unready,
	.destroy = config_destroy,
};

struct task *config_task_create(void)
{
	struct config_task *task = g_new0(struct config_task, 1);

	task->super.ops = &config_ops;
	task->store = config_store_create();
	task->reader = config_reader_create(task->store);
	list_init(&task->publishes);
	return &task->super;
}
