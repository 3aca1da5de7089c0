/*
 * The agent's task that is the only way to the backend server.
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
/* A pause of the loop that counts as frozen, in ms. */
#define FROZEN_MIN_MS 1000
/* Ids remembered so that they never start, and for how long. */
#define TOMBSTONES_MAX 65536
#define TOMBSTONE_KEEP_MS 120000
/* Online requests that wait at most, and bytes that a caller may send in a
 * turn. */
#define QUEUE_MAX 1024
#define QUEUE_QUANTUM 4096
/* Batch work held beside what runs, at least. */
#define PREFETCH_MIN 2
/* Weight of one first token in the mean, and the mean before any, in us. */
#define FIRST_TOKEN_WEIGHT 0.1
#define FIRST_TOKEN_FIRST_US 100000
/* Mean first-token times after which a call counts as begun. */
#define STARTING_FACTOR 3
/* Least time for which a call without a token makes gaps unsteady, in us. */
#define UNSTEADY_US 2000000

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

void gate_wake(struct gate *gate)
{
	uint64_t now = node_now_us();
	uint64_t gap_ms = (now - gate->seen_us) / 1000;

	gate->seen_us = now;
	if (gap_ms < FROZEN_MIN_MS)
		return;
	log_warn(PART, "the process was frozen for %" G_GUINT64_FORMAT " ms",
		 gap_ms);
	gate->frozen_ms = gap_ms;
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
	gate->changed_us = node_now_us();
}

void gate_first_token(struct gate *gate, uint64_t started_us)
{
	uint64_t now = node_now_us();

	gate->first_token_us +=
		FIRST_TOKEN_WEIGHT *
		((double)(now - started_us) - gate->first_token_us);
	concurrency_first_token(gate->concurrency,
				gate->running_online + gate->running_batch,
				now - started_us, now);
	gate_streams_changed(gate);
}

uint64_t gate_tokens(struct gate *gate, uint64_t last_us, unsigned tokens)
{
	uint64_t now = node_now_us();

	struct concurrency_sample sample = {
		.streams = gate->running_online + gate->running_batch,
		.gap_us = now - last_us,
		.tokens = tokens,
		.steady = last_us >= gate->changed_us && !gate->starting,
	};

	concurrency_gap(gate->concurrency, &sample, now);
	return now - last_us;
}

static bool is_plain(const struct gate *gate)
{
	return gate->task.node->settings->server_kind == SERVER_PLAIN;
}

void gate_whole_answer(struct gate *gate, uint64_t started_us, unsigned streams)
{
	uint64_t now = node_now_us();
	struct concurrency_sample sample = {
		.streams = streams,
		.gap_us = now - started_us,
		.tokens = 1,
		.steady = true,
	};

	if (is_plain(gate))
		concurrency_gap(gate->concurrency, &sample, now);
}

/*
 * Calls that may yet compute their prompt, also when the engine queues them.
 * One that answers in whole shows no first token: it counts for a while.
 */
static unsigned gate_unsteady(const struct gate *gate, uint64_t now)
{
	uint64_t window = (uint64_t)(STARTING_FACTOR * gate->first_token_us);
	uint64_t since = now - MAX(window, UNSTEADY_US);

	if (is_plain(gate))
		return 0;
	return attempts_starting(gate, since) + works_starting(gate, since);
}

static void plan_batch(struct gate *gate, uint64_t now)
{
	uint64_t since =
		now - (uint64_t)(STARTING_FACTOR * gate->first_token_us);
	struct batch_share_load load = {
		.online_running = gate->running_online,
		.online_waiting = admission_waiting(gate->admission),
		.online_starting = attempts_starting(gate, since),
		.batch_running = gate->running_batch,
		.batch_starting = works_starting(gate, since),
		.batch_waiting = works_waiting(gate),
	};

	/* A plain service computes no prompts that others wait for. */
	if (is_plain(gate))
		load.online_starting = load.batch_starting = 0;
	gate->starting = gate_unsteady(gate, now);
	gate->batch_starting = load.batch_starting;
	gate->plan =
		batch_share_plan(gate->share, gate->concurrency, &load, now);
}

void gate_schedule(struct gate *gate)
{
	attempts_schedule(gate, concurrency_online_limit(gate->concurrency));
	plan_batch(gate, node_now_us());
	works_schedule(gate, &gate->plan);
}

bool gate_takes_work(const struct gate *gate)
{
	return !gate->leaving && !gate->closed && !gate->drained;
}

unsigned gate_batch_room(const struct gate *gate)
{
	unsigned held = gate->running_batch + works_waiting(gate);
	unsigned wanted =
		gate->plan.keep + MAX(PREFETCH_MIN, gate->plan.keep / 2);

	if (!gate_takes_work(gate) || held >= wanted)
		return 0;
	return wanted - held;
}

/* Takes over the service's policy from the configuration in force. */
static void apply_policy(struct gate *gate)
{
	struct node *node = gate->task.node;
	struct service_policy policy = { 0 };
	struct concurrency_options targets;
	struct batch_share_options share;

	config_service(node, node->settings->service, &policy);
	targets.gap_target_us = (uint64_t)policy.token_gap_target_ms * 1000;
	targets.first_token_target_us =
		(uint64_t)policy.first_byte_target_ms * 1000;
	if (is_plain(gate))
		targets.gap_target_us = targets.first_token_target_us;
	concurrency_set(gate->concurrency, &targets);
	share.weight = policy.batch_weight;
	share.gap_target_us = targets.gap_target_us;
	batch_share_set(gate->share, &share);
}

static void on_timer(uv_timer_t *timer)
{
	struct gate *gate = timer->data;

	gate_wake(gate);
	attempts_tick(gate);
	gate_schedule(gate);
	report_sender_tick(gate->reports);
}

static void make_metrics(struct gate *gate)
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
	make_metrics(gate);
	apply_policy(gate);
	attempts_register(gate);
	gate->seen_us = node_now_us();
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
	report_sender_all(gate->reports);
	gate_schedule(gate);
}

bool gate_is_idle(const struct gate *gate)
{
	return !gate->running_online && !gate->running_batch &&
	       !admission_waiting(gate->admission) && list_empty(&gate->works);
}

static void gate_stop(struct task *task)
{
	struct gate *gate = list_entry(task, struct gate, task);

	gate->leaving = true;
	report_sender_all(gate->reports);
}

static bool gate_stopped(struct task *task)
{
	struct gate *gate = list_entry(task, struct gate, task);

	return !g_hash_table_size(gate->attempts) && list_empty(&gate->works);
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
	report_sender_all(gate->reports);
	gate_schedule(gate);
}

static void gate_event(struct task *task, const struct node_event *event)
{
	struct gate *gate = list_entry(task, struct gate, task);

	if (event->kind == NODE_CONFIG_CHANGED)
		apply_config(gate);
	else
		report_sender_changed(gate->reports);
	if (event->kind == NODE_PEER_DOWN)
		attempts_entry_down(gate, event->peer, true);
	if (event->kind == NODE_PEER_UP)
		attempts_entry_down(gate, event->peer, false);
}

static void gate_destroy(struct task *task)
{
	struct gate *gate = list_entry(task, struct gate, task);

	attempts_destroy(gate);
	works_destroy(gate);
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
	gate->first_token_us = FIRST_TOKEN_FIRST_US;
	gate->task.ops = &gate_ops;
	gate->attempts = g_hash_table_new(g_str_hash, g_str_equal);
	gate->tombstones = tombstones_create(TOMBSTONES_MAX, TOMBSTONE_KEEP_MS);
	gate->reports = report_sender_create(gate);
	list_init(&gate->works);
	return &gate->task;
}
