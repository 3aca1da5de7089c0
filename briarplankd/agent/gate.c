/*
 * The agent's task that schedules all requests to the backend server.
 */
#include <string.h>

#include <glib.h>

#include "gate.h"
#include "report.h"
#include "briarplankd/config_task.h"
#include "briarplankd/tasks.h"
#include "common/log.h"

#define PART "gate"

/* Period of the gate's timer, in ms. */
#define TICK_MS 20
/* Minimum time between two events that counts as a freeze, in ms. */
#define FREEZE_MIN_MS 1000
/*
 * Maximum number and lifetime of the tombstones, which keep ended and cancelled
 * attempts from starting.
 */
#define TOMBSTONES_MAX 65536
#define TOMBSTONE_TTL_MS 120000
/*
 * Maximum length of the queue of online requests, and the cost that each caller
 * may spend per round of the deficit round robin, in bytes.
 */
#define QUEUE_MAX 1024
#define QUEUE_QUANTUM 4096
/*
 * Minimum number of batch requests that the gate accepts in addition to the
 * batch streams that may continue.
 */
#define PREFETCH_MIN 2
/*
 * Weight of a sample in the moving average of the first-token time, and the
 * initial value of the average in us.
 */
#define FIRST_TOKEN_WEIGHT 0.1
#define FIRST_TOKEN_INITIAL_US 100000
/*
 * A call no longer counts as starting after this many times the mean
 * first-token time.
 */
#define STARTING_FACTOR 3
/*
 * Minimum time for which a call without a token counts as in prefill, in us.
 * Token gaps measured in that time are not steady samples.
 */
#define STARTING_MIN_US 2000000

static const struct task_ops gate_ops;

struct gate *gate_of(struct node *node)
{
	struct list *pos;

	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (task->ops == &gate_ops)
			return list_entry(task, struct gate, task);
	}
	return NULL;
}

void gate_detect_freeze(struct gate *gate)
{
	uint64_t now = node_now_us();
	uint64_t gap_ms = (now - gate->last_run_us) / 1000;

	gate->last_run_us = now;
	if (gap_ms < FREEZE_MIN_MS)
		return;
	log_warn(PART, "the process was frozen for %" G_GUINT64_FORMAT " ms",
		 gap_ms);
	gate->freeze_ms = gap_ms;
	gate->thawed_us = now;
	if (gate->on_thaw)
		gate->on_thaw(gate->thaw_ctx);
}

void gate_count_refusal(struct gate *gate, const char *reason)
{
	char *labels = g_strdup_printf("reason=\"%s\"", reason);

	counter_add(metrics_counter(gate->task.node->metrics,
				    "briarplank_gate_refusals_total", labels),
		    1);
	g_free(labels);
}

void gate_streams_changed(struct gate *gate)
{
	gate->streams_changed_us = node_now_us();
}

void gate_record_first_token(struct gate *gate, uint64_t started_us)
{
	uint64_t now = node_now_us();

	gate->first_token_mean_us +=
		FIRST_TOKEN_WEIGHT *
		((double)(now - started_us) - gate->first_token_mean_us);
	concurrency_record_first_token(
		gate->concurrency, gate->running_online + gate->running_batch,
		now - started_us, now);
	gate_streams_changed(gate);
}

uint64_t gate_record_tokens(struct gate *gate, uint64_t last_us,
			    unsigned tokens)
{
	uint64_t now = node_now_us();

	struct concurrency_sample sample = {
		.streams = gate->running_online + gate->running_batch,
		.gap_us = now - last_us,
		.tokens = tokens,
		.steady =
			last_us >= gate->streams_changed_us && !gate->starting,
	};

	concurrency_record_gap(gate->concurrency, &sample, now);
	return now - last_us;
}

static bool is_plain_service(const struct gate *gate)
{
	return gate->task.node->settings->server_kind == SERVER_PLAIN;
}

void gate_record_response(struct gate *gate, uint64_t started_us,
			  unsigned streams)
{
	uint64_t now = node_now_us();
	struct concurrency_sample sample = {
		.streams = streams,
		.gap_us = now - started_us,
		.tokens = 1,
		.steady = true,
	};

	if (is_plain_service(gate))
		concurrency_record_gap(gate->concurrency, &sample, now);
}

/*
 * Returns the number of calls that may be in prefill or queued by the engine.
 * A call without a streamed response has no visible first token, so it counts
 * for a limited time only.
 */
static unsigned gate_count_starting(const struct gate *gate, uint64_t now)
{
	uint64_t window =
		(uint64_t)(STARTING_FACTOR * gate->first_token_mean_us);
	uint64_t since = now - MAX(window, STARTING_MIN_US);

	if (is_plain_service(gate))
		return 0;
	return attempts_starting(gate, since) +
	       batch_requests_starting(gate, since);
}

static void plan_batch(struct gate *gate, uint64_t now)
{
	uint64_t since =
		now - (uint64_t)(STARTING_FACTOR * gate->first_token_mean_us);
	struct batch_share_load load = {
		.online_running = gate->running_online,
		.online_waiting = admission_waiting(gate->admission),
		.online_starting = attempts_starting(gate, since),
		.batch_running = gate->running_batch,
		.batch_starting = batch_requests_starting(gate, since),
		.batch_waiting = batch_requests_waiting(gate),
	};

	/* A plain service has no prefill that delays other calls. */
	if (is_plain_service(gate))
		load.online_starting = load.batch_starting = 0;
	gate->starting = gate_count_starting(gate, now);
	gate->batch_starting = load.batch_starting;
	gate->plan =
		batch_share_plan(gate->share, gate->concurrency, &load, now);
}

void gate_schedule(struct gate *gate)
{
	attempts_schedule(gate, concurrency_online_limit(gate->concurrency));
	plan_batch(gate, node_now_us());
	batch_requests_schedule(gate, &gate->plan);
}

bool gate_accepts_work(const struct gate *gate)
{
	return !gate->stopping && !gate->closed && !gate->drained;
}

unsigned gate_batch_capacity(const struct gate *gate)
{
	unsigned held = gate->running_batch + batch_requests_waiting(gate);
	unsigned wanted =
		gate->plan.keep + MAX(PREFETCH_MIN, gate->plan.keep / 2);

	if (!gate_accepts_work(gate) || held >= wanted)
		return 0;
	return wanted - held;
}

/* Applies the service's policy from the current configuration. */
static void apply_policy(struct gate *gate)
{
	struct node *node = gate->task.node;
	struct service_policy policy = { 0 };
	struct concurrency_options targets;
	struct batch_share_options share;

	config_service_policy(node, node->settings->service, &policy);
	targets.gap_target_us = (uint64_t)policy.token_gap_target_ms * 1000;
	targets.first_token_target_us =
		(uint64_t)policy.first_byte_target_ms * 1000;
	if (is_plain_service(gate))
		targets.gap_target_us = targets.first_token_target_us;
	concurrency_set(gate->concurrency, &targets);
	share.weight = policy.batch_weight;
	share.gap_target_us = targets.gap_target_us;
	batch_share_set(gate->share, &share);
}

static void on_timer(uv_timer_t *timer)
{
	struct gate *gate = timer->data;

	gate_detect_freeze(gate);
	attempts_tick(gate);
	gate_schedule(gate);
	report_sender_tick(gate->reports);
}

static void create_metrics(struct gate *gate)
{
	struct metrics *metrics = gate->task.node->metrics;

	gate->metrics.admitted =
		metrics_counter(metrics, "briarplank_gate_admitted_total", "");
	gate->metrics.duplicates = metrics_counter(
		metrics, "briarplank_gate_duplicates_total", "");
	gate->metrics.preemptions = metrics_counter(
		metrics, "briarplank_gate_preemptions_total", "");
	gate->metrics.queue_wait = metrics_histogram(
		metrics, "briarplank_gate_queue_wait_seconds", "");
	gate->metrics.first_token = metrics_histogram(
		metrics, "briarplank_gate_first_token_seconds", "");
	gate->metrics.token_gap = metrics_histogram(
		metrics, "briarplank_gate_token_gap_seconds", "");
	gate->metrics.item_time =
		metrics_histogram(metrics, "briarplank_gate_item_seconds", "");
}

static bool gate_start(struct task *task)
{
	struct gate *gate = list_entry(task, struct gate, task);
	struct node *node = task->node;
	const struct daemon_settings *settings = node->settings;

	gate->backend =
		settings->server_kind == SERVER_ENGINE ?
			engine_http_create(node->http, settings->server) :
			plain_http_create(node->http, settings->server);
	create_metrics(gate);
	apply_policy(gate);
	attempts_register(gate);
	gate->last_run_us = node_now_us();
	uv_timer_init(&node->loop, &gate->timer);
	gate->timer_open = true;
	gate->timer.data = gate;
	uv_timer_start(&gate->timer, on_timer, TICK_MS, TICK_MS);
	return true;
}

void gate_set_closed(struct gate *gate, bool closed)
{
	if (gate->closed == closed)
		return;
	gate->closed = closed;
	report_sender_send_all(gate->reports);
	gate_schedule(gate);
}

bool gate_is_idle(const struct gate *gate)
{
	return !gate->running_online && !gate->running_batch &&
	       !admission_waiting(gate->admission) &&
	       list_empty(&gate->batch_requests);
}

static void gate_stop(struct task *task)
{
	struct gate *gate = list_entry(task, struct gate, task);

	gate->stopping = true;
	report_sender_send_all(gate->reports);
}

static bool gate_stopped(struct task *task)
{
	struct gate *gate = list_entry(task, struct gate, task);

	return !g_hash_table_size(gate->attempts) &&
	       list_empty(&gate->batch_requests);
}

static void apply_config(struct gate *gate)
{
	struct node *node = gate->task.node;
	bool drained = config_server_drained(node, node->settings->name);

	apply_policy(gate);
	if (drained == gate->drained)
		return;
	gate->drained = drained;
	log_info(PART, "the server is %s",
		 drained ? "drained" : "no longer drained");
	report_sender_send_all(gate->reports);
	gate_schedule(gate);
}

static void gate_event(struct task *task, const struct node_event *event)
{
	struct gate *gate = list_entry(task, struct gate, task);

	if (event->kind == NODE_CONFIG_CHANGED)
		apply_config(gate);
	else
		report_sender_members_changed(gate->reports);
	if (event->kind == NODE_PEER_DOWN)
		attempts_entry_down(gate, event->peer, true);
	if (event->kind == NODE_PEER_UP)
		attempts_entry_down(gate, event->peer, false);
}

static void gate_destroy(struct task *task)
{
	struct gate *gate = list_entry(task, struct gate, task);

	attempts_destroy(gate);
	batch_requests_destroy(gate);
	if (gate->timer_open)
		uv_close((uv_handle_t *)&gate->timer, NULL);
	uv_run(&task->node->loop, UV_RUN_NOWAIT);
	if (gate->backend)
		gate->backend->ops->destroy(gate->backend);
	batch_share_destroy(gate->share);
	admission_destroy(gate->admission);
	concurrency_destroy(gate->concurrency);
	tombstones_destroy(gate->tombstones);
	report_sender_destroy(gate->reports);
	g_free(gate);
}

static const struct task_ops gate_ops = {
	.name = "gate",
	.start = gate_start,
	.stop = gate_stop,
	.stopped = gate_stopped,
	.event = gate_event,
	.destroy = gate_destroy,
};

struct task *gate_task_create(void)
{
	struct gate *gate = g_new0(struct gate, 1);
	struct admission_options admission = {
		.max_waiting = QUEUE_MAX,
		.quantum = QUEUE_QUANTUM,
	};
	struct concurrency_options concurrency = { 0 };
	struct batch_share_options share = { 0 };

	gate->concurrency = concurrency_create(&concurrency);
	gate->admission = admission_create(&admission);
	gate->share = batch_share_create(&share);
	gate->first_token_mean_us = FIRST_TOKEN_INITIAL_US;
	gate->task.ops = &gate_ops;
	gate->attempts = g_hash_table_new(g_str_hash, g_str_equal);
	gate->tombstones = tombstones_create(TOMBSTONES_MAX, TOMBSTONE_TTL_MS);
	gate->reports = report_sender_create(gate);
	list_init(&gate->batch_requests);
	return &gate->task;
}
