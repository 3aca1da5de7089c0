/*
 * The agent's task that orders its engine to load the model that the
 * configuration names, or to change its role.
 */
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "briarplankd/config_task.h"
#include "briarplankd/tasks.h"
#include "common/log.h"
#include "gate.h"
#include "order_claims.h"
#include "standalone/weight_store.h"

#define PART "orders"

/* Period of the check for actions, in ms. */
#define TICK_MS 250
/* Maximum number of actions performed at a time. */
#define ACTIONS_MAX 8
/* Time allowed for a change in addition to the load itself, in ms. */
#define CHANGE_SLACK_MS 60000
/*
 * The time limit of a load is this many times its duration at the store's full
 * rate.
 */
#define LOAD_FACTOR 2
/* Delay before the size of a version is queried again, in ms. */
#define DESCRIBE_RETRY_MS 5000

struct orders_task {
	struct task task;
	struct orders *orders;
	struct order_claims *claims;
	struct weight_store *weights;
	/*
	 * The timer is freed in its close callback, which runs after the task
	 * is freed.
	 */
	uv_timer_t *timer;
	bool querying_size;
	uint64_t query_size_at_ms;
	/*
	 * Model and version whose size was queried, and the time limit of a
	 * claim for loading it.
	 */
	char *sized_version;
	uint64_t limit_ms;
	bool stopping;
	bool order_pending;
	const char *problem;
};

static void run_actions(struct orders_task *task);

/*
 * Returns the value of one of the server's configuration keys, or NULL, and
 * raises *revision to the revision of that key. The caller frees the text with
 * g_free().
 */
static char *config_text(struct node *node, const char *field,
			 uint64_t *revision)
{
	char *key =
		g_strdup_printf("server.%s.%s", node->settings->name, field);
	const struct config_store *store = node_config_store(node);
	const char *json = config_store_value(store, key);
	struct json_object *value = json ? json_tokener_parse(json) : NULL;
	char *text = NULL;

	*revision = MAX(*revision, config_store_key_revision(store, key));
	if (value)
		text = g_strdup(json_object_get_string(value));
	json_object_put(value);
	g_free(key);
	return text;
}

static void apply_config(struct orders_task *task)
{
	struct node *node = task->task.node;
	struct orders_desired wanted = { 0 };
	char *model = config_text(node, "model", &wanted.revision);
	char *version = config_text(node, "version", &wanted.revision);
	char *adapter = config_text(node, "adapter", &wanted.revision);
	char *role = config_text(node, "role", &wanted.revision);

	wanted.model = model;
	wanted.version = version;
	wanted.adapter = adapter;
	wanted.role = role;
	orders_set_desired(task->orders, &wanted);
	g_free(model);
	g_free(version);
	g_free(adapter);
	g_free(role);
}

static void on_server_state(void *ctx, bool ok,
			    const struct backend_model_state *held)
{
	struct orders_task *task = ctx;
	struct orders_current read = { 0 };

	if (ok) {
		read.model = held->model;
		read.version = held->version;
		read.adapter = held->adapter;
		read.role = held->role;
		read.fencing_number = held->fencing_number;
		read.busy = held->busy;
	}
	orders_note_state(task->orders, ok ? &read : NULL,
			  node_now_ms(task->task.node));
	run_actions(task);
}

static void on_order_end(void *ctx, enum backend_order_status status,
			 const char *message)
{
	static const enum orders_result results[] = {
		[BACKEND_ORDER_DONE] = ORDERS_DONE,
		[BACKEND_ORDER_FENCED] = ORDERS_FENCED,
		[BACKEND_ORDER_REFUSED] = ORDERS_REFUSED,
		[BACKEND_ORDER_UNKNOWN] = ORDERS_UNKNOWN,
	};
	struct orders_task *task = ctx;

	task->order_pending = false;
	if (status != BACKEND_ORDER_DONE)
		log_warn(PART, "order %s: %s",
			 status == BACKEND_ORDER_FENCED	 ? "fenced" :
			 status == BACKEND_ORDER_REFUSED ? "refused" :
							   "result unknown",
			 message);
	orders_note_result(task->orders, results[status],
			   node_now_ms(task->task.node));
	run_actions(task);
}

static void send_order(struct orders_task *task,
		       const struct orders_action *action)
{
	struct backend *backend = gate_of(task->task.node)->backend;
	struct backend_order order = {
		.action = action->order,
		.model = action->model,
		.version = action->version,
		.adapter = action->adapter,
		.role = action->role,
		.fencing_number = action->fencing_number,
	};

	log_info(
		PART,
		"sending order %s %s %s with fencing number %" G_GUINT64_FORMAT,
		action->order, action->model ? action->model : "",
		action->version ? action->version : "", action->fencing_number);
	task->order_pending = true;
	backend->ops->order(backend, &order, on_order_end, task);
}

static void on_described(void *ctx, bool ok, uint64_t bytes, uint64_t rate)
{
	struct orders_task *task = ctx;
	uint64_t share = MAX(rate / order_claims_max(task->claims), 1);

	task->querying_size = false;
	if (!ok) {
		log_warn(PART, "the weight store returned no size of %s",
			 task->sized_version);
		g_free(task->sized_version);
		task->sized_version = NULL;
		task->query_size_at_ms =
			node_now_ms(task->task.node) + DESCRIBE_RETRY_MS;
		return;
	}
	task->limit_ms = CHANGE_SLACK_MS + LOAD_FACTOR * bytes * 1000 / share;
	run_actions(task);
}

/*
 * Returns whether the time limit of a load is known. If not, queries the size
 * of the model's weights.
 */
static bool limit_is_known(struct orders_task *task,
			   const struct orders_action *action)
{
	char *name;
	bool known;

	if (!action->model || !*action->model || !task->weights) {
		task->limit_ms = CHANGE_SLACK_MS;
		return true;
	}
	name = g_strdup_printf("%s %s", action->model,
			       action->version ? action->version : "");
	known = task->sized_version && !strcmp(task->sized_version, name);
	if (known || task->querying_size ||
	    node_now_ms(task->task.node) < task->query_size_at_ms) {
		g_free(name);
		return known && !task->querying_size;
	}
	g_free(task->sized_version);
	task->sized_version = name;
	task->querying_size = true;
	task->weights->ops->describe(task->weights, action->model,
				     action->version ? action->version : "",
				     on_described, task);
	return false;
}

/* Performs an action. Returns false if no other action can follow yet. */
static bool perform_action(struct orders_task *task,
			   const struct orders_action *action)
{
	struct gate *gate = gate_of(task->task.node);

	switch (action->kind) {
	case ORDERS_READ_BACK:
		gate->backend->ops->held(gate->backend, on_server_state, task);
		return true;
	case ORDERS_CLAIM:
		if (limit_is_known(task, action))
			order_claims_claim(task->claims, task->limit_ms);
		return false;
	case ORDERS_RELEASE:
		order_claims_release(task->claims, action->ready);
		return false;
	case ORDERS_CLOSE:
	case ORDERS_OPEN:
		log_info(PART, "the gate %s",
			 action->kind == ORDERS_OPEN ? "opens" : "closes");
		gate_set_closed(gate, action->kind == ORDERS_CLOSE);
		return true;
	case ORDERS_SEND:
		send_order(task, action);
		return false;
	case ORDERS_WAIT:
		break;
	}
	return false;
}

static void log_problem(struct orders_task *task)
{
	const char *problem = orders_blocked_reason(task->orders);

	if (problem == task->problem)
		return;
	task->problem = problem;
	log_info(PART, "%s",
		 problem ? problem : "the server matches the configuration");
}

static void run_actions(struct orders_task *task)
{
	struct gate *gate = gate_of(task->task.node);
	struct orders_action action;
	unsigned i;

	for (i = 0; i < ACTIONS_MAX && !task->stopping; i++) {
		struct orders_view view = {
			.now_ms = node_now_ms(task->task.node),
			.slot = order_claims_state(task->claims),
			.open = !gate->closed,
			.idle = gate_is_idle(gate),
			.others_ready = order_claims_others_ready(task->claims),
		};

		orders_next(task->orders, &view, &action);
		if (!perform_action(task, &action))
			break;
	}
	log_problem(task);
}

static void on_claim_changed(void *ctx)
{
	run_actions(ctx);
}

static void on_timer(uv_timer_t *timer)
{
	struct orders_task *task = timer->data;

	if (!config_revision(task->task.node))
		return;
	order_claims_tick(task->claims);
	run_actions(task);
}

static bool orders_task_start(struct task *base)
{
	struct orders_task *task = list_entry(base, struct orders_task, task);
	const struct daemon_settings *settings = base->node->settings;

	/* A plain service accepts no orders, and claims need the log. */
	if (settings->server_kind != SERVER_ENGINE || !base->node->log)
		return true;
	task->orders = orders_create(settings->server_checks_fencing);
	task->claims = order_claims_create(base->node, on_claim_changed, task);
	if (settings->weight_store)
		task->weights = weight_store_http_create(
			base->node->http, settings->weight_store);
	task->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(&base->node->loop, task->timer);
	task->timer->data = task;
	uv_timer_start(task->timer, on_timer, TICK_MS, TICK_MS);
	if (config_revision(base->node))
		apply_config(task);
	return true;
}

static void orders_task_stop(struct task *base)
{
	list_entry(base, struct orders_task, task)->stopping = true;
}

/*
 * Returns whether the task can stop. It waits until an order in flight has
 * ended, so that the next incarnation can read back its result.
 */
static bool orders_task_stopped(struct task *base)
{
	struct orders_task *task = list_entry(base, struct orders_task, task);

	if (!task->claims)
		return true;
	return !task->order_pending &&
	       order_claims_stop(task->claims, !gate_of(base->node)->closed);
}

static void orders_task_event(struct task *base, const struct node_event *event)
{
	struct orders_task *task = list_entry(base, struct orders_task, task);

	if (event->kind != NODE_CONFIG_CHANGED || !task->orders)
		return;
	apply_config(task);
	run_actions(task);
}

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void orders_task_destroy(struct task *base)
{
	struct orders_task *task = list_entry(base, struct orders_task, task);

	if (task->timer)
		uv_close((uv_handle_t *)task->timer, on_timer_closed);
	if (task->weights)
		task->weights->ops->destroy(task->weights);
	if (task->claims)
		order_claims_destroy(task->claims);
	if (task->orders)
		orders_destroy(task->orders);
	g_free(task->sized_version);
	g_free(task);
}

static const struct task_ops orders_task_ops = {
	.name = "orders",
	.start = orders_task_start,
	.stop = orders_task_stop,
	.stopped = orders_task_stopped,
	.event = orders_task_event,
	.destroy = orders_task_destroy,
};

struct task *orders_task_create(void)
{
	struct orders_task *task = g_new0(struct orders_task, 1);

	task->task.ops = &orders_task_ops;
	return &task->task;
}
