/*
 * The agent's task that makes its engine hold what the configuration says.
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

/* Period of the look at what is to be done, in ms. */
#define TICK_MS 250
/* Actions carried out in one go. */
#define STEP_ACTIONS 8
/* Time that a change may take beside the load itself, in ms. */
#define CHANGE_SLACK_MS 60000
/* Loads may take this many times as long as the store's rate says. */
#define LOAD_FACTOR 2
/* Wait after the weight store did not describe a version, in ms. */
#define DESCRIBE_RETRY_MS 5000

struct orders_task {
	struct task task;
	struct orders *orders;
	struct order_claims *claims;
	struct weight_store *weights;
	/* Freed by its own close, which comes after the task. */
	uv_timer_t *timer;
	bool describing;
	uint64_t describe_at_ms;
	/* Model and version whose size is known, and the claim's limit. */
	char *described;
	uint64_t limit_ms;
	bool stopping;
	bool sending;
	const char *trouble;
};

static void step(struct orders_task *task);

/* Text of one of the server's keys, or NULL; free it with g_free(). */
static char *wanted_text(struct node *node, const char *field,
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

static void take_wanted(struct orders_task *task)
{
	struct node *node = task->task.node;
	struct orders_wanted wanted = { 0 };
	char *model = wanted_text(node, "model", &wanted.revision);
	char *version = wanted_text(node, "version", &wanted.revision);
	char *adapter = wanted_text(node, "adapter", &wanted.revision);
	char *role = wanted_text(node, "role", &wanted.revision);

	wanted.model = model;
	wanted.version = version;
	wanted.adapter = adapter;
	wanted.role = role;
	orders_want(task->orders, &wanted);
	g_free(model);
	g_free(version);
	g_free(adapter);
	g_free(role);
}

static void on_held(void *ctx, bool ok, const struct backend_held *held)
{
	struct orders_task *task = ctx;
	struct orders_held read = { 0 };

	if (ok) {
		read.model = held->model;
		read.version = held->version;
		read.adapter = held->adapter;
		read.role = held->role;
		read.fencing_number = held->fencing_number;
		read.busy = held->busy;
	}
	orders_read(task->orders, ok ? &read : NULL,
		    node_now_ms(task->task.node));
	step(task);
}

static void on_ordered(void *ctx, enum backend_order_status status,
		       const char *message)
{
	static const enum orders_result results[] = {
		[BACKEND_ORDER_DONE] = ORDERS_DONE,
		[BACKEND_ORDER_FENCED] = ORDERS_FENCED,
		[BACKEND_ORDER_REFUSED] = ORDERS_REFUSED,
		[BACKEND_ORDER_UNKNOWN] = ORDERS_UNKNOWN,
	};
	struct orders_task *task = ctx;

	task->sending = false;
	if (status != BACKEND_ORDER_DONE)
		log_warn(PART, "the order was %s: %s",
			 status == BACKEND_ORDER_FENCED	 ? "fenced" :
			 status == BACKEND_ORDER_REFUSED ? "refused" :
							   "left in doubt",
			 message);
	orders_ended(task->orders, results[status],
		     node_now_ms(task->task.node));
	step(task);
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

	log_info(PART, "order %s %s %s under revision %" G_GUINT64_FORMAT,
		 action->order, action->model ? action->model : "",
		 action->version ? action->version : "",
		 action->fencing_number);
	task->sending = true;
	backend->ops->order(backend, &order, on_ordered, task);
}

static void on_described(void *ctx, bool ok, uint64_t bytes, uint64_t rate)
{
	struct orders_task *task = ctx;
	uint64_t share = MAX(rate / order_claims_max(task->claims), 1);

	task->describing = false;
	if (!ok) {
		log_warn(PART, "the weight store doesn't describe %s",
			 task->described);
		g_free(task->described);
		task->described = NULL;
		task->describe_at_ms =
			node_now_ms(task->task.node) + DESCRIBE_RETRY_MS;
		return;
	}
	task->limit_ms = CHANGE_SLACK_MS + LOAD_FACTOR * bytes * 1000 / share;
	step(task);
}

/* Tells whether the time that the load takes is known; asks when it isn't. */
static bool is_described(struct orders_task *task,
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
	known = task->described && !strcmp(task->described, name);
	if (known || task->describing ||
	    node_now_ms(task->task.node) < task->describe_at_ms) {
		g_free(name);
		return known && !task->describing;
	}
	g_free(task->described);
	task->described = name;
	task->describing = true;
	task->weights->ops->describe(task->weights, action->model,
				     action->version ? action->version : "",
				     on_described, task);
	return false;
}

/* Carries out an action; false when there is nothing more to do now. */
static bool carry_out(struct orders_task *task,
		      const struct orders_action *action)
{
	struct gate *gate = gate_of(task->task.node);

	switch (action->kind) {
	case ORDERS_READ_BACK:
		gate->backend->ops->held(gate->backend, on_held, task);
		return true;
	case ORDERS_CLAIM:
		if (is_described(task, action))
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

static void note_trouble(struct orders_task *task)
{
	const char *trouble = orders_trouble(task->orders);

	if (trouble == task->trouble)
		return;
	task->trouble = trouble;
	log_info(PART, "%s",
		 trouble ? trouble : "the server holds what is wanted");
}

static void step(struct orders_task *task)
{
	struct gate *gate = gate_of(task->task.node);
	struct orders_action action;
	unsigned i;

	for (i = 0; i < STEP_ACTIONS && !task->stopping; i++) {
		struct orders_view view = {
			.now_ms = node_now_ms(task->task.node),
			.slot = order_claims_state(task->claims),
			.open = !gate->closed,
			.idle = gate_is_idle(gate),
			.others_ready = order_claims_others_ready(task->claims),
		};

		orders_next(task->orders, &view, &action);
		if (!carry_out(task, &action))
			break;
	}
	note_trouble(task);
}

static void on_claim_changed(void *ctx)
{
	step(ctx);
}

static void on_timer(uv_timer_t *timer)
{
	struct orders_task *task = timer->data;

	if (!config_revision(task->task.node))
		return;
	order_claims_tick(task->claims);
	step(task);
}

static bool orders_task_start(struct task *base)
{
	struct orders_task *task = list_entry(base, struct orders_task, task);
	const struct daemon_settings *settings = base->node->settings;

	/* Plain services take no orders, and without a log there are none. */
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
		take_wanted(task);
	return true;
}

static void orders_task_stop(struct task *base)
{
	list_entry(base, struct orders_task, task)->stopping = true;
}

/* An order that is out is waited for, so that the next start reads its end. */
static bool orders_task_stopped(struct task *base)
{
	struct orders_task *task = list_entry(base, struct orders_task, task);

	if (!task->claims)
		return true;
	return !task->sending &&
	       order_claims_leave(task->claims, !gate_of(base->node)->closed);
}

static void orders_task_event(struct task *base, const struct node_event *event)
{
	struct orders_task *task = list_entry(base, struct orders_task, task);

	if (event->kind != NODE_CONFIG_CHANGED || !task->orders)
		return;
	take_wanted(task);
	step(task);
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
	g_free(task->described);
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
