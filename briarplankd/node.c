#include <signal.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "briarplankd/config_task.h"
#include "briarplankd/node.h"
#include "common/error.h"
#include "common/log.h"
#include "web_tls.h"

#define PART "node"

/* Interval of checks whether a graceful stop is complete, in ms. */
#define STOP_CHECK_INTERVAL_MS 20

uint64_t node_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (uint64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

uint64_t node_now_ms(const struct node *node)
{
	(void)node;
	return node_now_us() / 1000;
}

uint64_t node_wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void answer_health(void *ctx, struct web_request *request)
{
	(void)ctx;
	web_answer(request, 200, "text/plain", "ok\n", 3);
}

static const char *unready_reason(struct node *node)
{
	struct list *pos;

	if (node->stopping)
		return "the node is stopping";
	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);
		const char *reason = NULL;

		if (task->ops->not_ready_reason)
			reason = task->ops->not_ready_reason(task);
		if (reason)
			return reason;
	}
	return NULL;
}

static void answer_ready(void *ctx, struct web_request *request)
{
	const char *reason = unready_reason(ctx);

	if (reason)
		web_problem(request, 503, "Not ready", "%s", reason);
	else
		web_answer(request, 200, "text/plain", "ready\n", 6);
}

static void answer_metrics(void *ctx, struct web_request *request)
{
	struct node *node = ctx;
	GString *out = g_string_new(NULL);

	metrics_render(node->metrics, out);
	web_answer(request, 200, "text/plain; version=0.0.4", out->str,
		   out->len);
	g_string_free(out, TRUE);
}

static uint64_t read_revision(void *ctx)
{
	return config_revision(ctx);
}

static bool open_bus(struct node *node)
{
	const struct daemon_settings *settings = node->settings;
	struct bus_options options = {
		.loop = &node->loop,
		.name = settings->name,
		.incarnation = node->incarnation,
		.address = settings->bus_address,
		.keys = { settings->bus_public_key, settings->bus_secret_key,
			  settings->bus_other_public_key },
		.metrics = node->metrics,
		.revision = read_revision,
		.revision_ctx = node,
	};

	node->bus = bus_create(&options);
	return node->bus != NULL;
}

static bool open_web(struct node *node)
{
	const struct daemon_settings *settings = node->settings;
	struct web_options options = {
		.loop = &node->loop,
		.address = settings->web_address,
		.max_body_bytes = settings->web_max_body_bytes,
		.request_timeout_ms = settings->web_request_timeout_ms,
		.metrics = node->metrics,
	};

	if (!settings->web_address)
		return true;
	if (settings->web_tls_certificate) {
		options.tls = web_tls_create(settings->web_tls_certificate,
					     settings->web_tls_key);
		if (!options.tls)
			return false;
	}
	node->web = web_create(&options);
	if (!node->web)
		return false;
	web_route(node->web, "/healthz", answer_health, node);
	web_route(node->web, "/readyz", answer_ready, node);
	web_route(node->web, "/metrics", answer_metrics, node);
	return true;
}

/*
 * A restarted node has a higher incarnation, except possibly within the same
 * millisecond, where random bits make it differ.
 */
static uint64_t make_incarnation(void)
{
	return node_wall_ms() << 12 | (g_random_int() & 0xfff);
}

struct node *node_create(const struct daemon_settings *settings)
{
	struct node *node = g_new0(struct node, 1);

	node->settings = settings;
	node->incarnation = make_incarnation();
	list_init(&node->tasks);
	list_init(&node->row_sources);
	uv_loop_init(&node->loop);
	node->metrics = metrics_create();
	node->access = access_index_create(settings);
	uv_timer_init(&node->loop, &node->stop_timer);
	uv_signal_init(&node->loop, &node->sigterm);
	uv_signal_init(&node->loop, &node->sigint);
	if (!open_bus(node) || !open_web(node)) {
		node_destroy(node);
		return NULL;
	}
	node->http = http_client_create(&node->loop);
	if (settings->log_service)
		node->log = log_http_create(node->http, settings->log_service,
					    settings->log_timeout_ms);
	return node;
}

void node_add_task(struct node *node, struct task *task)
{
	task->node = node;
	list_append(&node->tasks, &task->link);
}

void node_notify_tasks(struct node *node, const struct node_event *event)
{
	struct list *pos;

	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (task->ops->event)
			task->ops->event(task, event);
	}
}

static bool all_stopped(struct node *node)
{
	struct list *pos;

	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (task->ops->stopped && !task->ops->stopped(task))
			return false;
	}
	return !node->web || !web_running_requests(node->web);
}

static void check_stop_limit(struct node *node)
{
	if (node_now_ms(node) < node->stop_deadline_ms)
		return;
	log_error(PART, "graceful stop timed out, aborting %u requests",
		  node->web ? web_running_requests(node->web) : 0);
	node->stop_timed_out = true;
	uv_stop(&node->loop);
}

static void on_stop_timer(uv_timer_t *timer)
{
	struct node *node = timer->data;

	if (!all_stopped(node)) {
		check_stop_limit(node);
	} else if (node->web && web_listening(node->web)) {
		/*
		 * Requests that arrive in the grace period are still answered.
		 */
		if (node_now_ms(node) >= node->listen_until_ms)
			web_stop_listening(node->web);
	} else {
		uv_stop(&node->loop);
	}
}

static void begin_stop(struct node *node)
{
	struct list *pos;

	if (node->stopping)
		return;
	node->stopping = true;
	log_info(PART, "stopping gracefully");
	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (task->ops->stop)
			task->ops->stop(task);
	}
	node->stop_deadline_ms =
		node_now_ms(node) + node->settings->stop_limit_ms;
	node->listen_until_ms =
		node_now_ms(node) + node->settings->stop_grace_ms;
	node->stop_timer.data = node;
	uv_timer_start(&node->stop_timer, on_stop_timer, STOP_CHECK_INTERVAL_MS,
		       STOP_CHECK_INTERVAL_MS);
}

static void on_signal(uv_signal_t *signal, int number)
{
	(void)number;
	begin_stop(signal->data);
}

static bool start_tasks(struct node *node)
{
	struct list *pos;

	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (task->ops->start(task))
			continue;
		log_error(PART, "task %s did not start: %s", task->ops->name,
			  error_last());
		return false;
	}
	return true;
}

int node_run(struct node *node)
{
	node->sigterm.data = node;
	node->sigint.data = node;
	uv_signal_start(&node->sigterm, on_signal, SIGTERM);
	uv_signal_start(&node->sigint, on_signal, SIGINT);
	if (!start_tasks(node))
		return 1;
	log_info(PART, "%s started: bus %s, web %s", node->settings->name,
		 bus_address(node->bus),
		 node->web ? web_address(node->web) : "none");
	uv_run(&node->loop, UV_RUN_DEFAULT);
	log_info(PART, "stopped");
	return node->stop_timed_out ? 1 : 0;
}

static void close_handle(uv_handle_t *handle, void *ctx)
{
	(void)ctx;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

static void destroy_task(struct task *task)
{
	list_remove(&task->link);
	task->ops->destroy(task);
}

/* Tasks may use the configuration and the members until they are destroyed. */
static void destroy_tasks(struct node *node)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (task != node->config && task != node->members)
			destroy_task(task);
	}
	list_for_each_safe (pos, tmp, &node->tasks)
		destroy_task(list_entry(pos, struct task, link));
}

void node_destroy(struct node *node)
{
	/*
	 * The web server must be destroyed first, as the requests that it
	 * closes call back into their tasks.
	 */
	if (node->web)
		web_destroy(node->web);
	node->web = NULL;
	/*
	 * A task may run the loop in its destroy(). Handlers of tasks that are
	 * already destroyed must not be called then.
	 */
	if (node->bus)
		bus_discard_incoming(node->bus);
	if (node->http)
		http_client_disable_callbacks(node->http);
	destroy_tasks(node);
	if (node->log)
		node->log->ops->destroy(node->log);
	if (node->http)
		http_client_destroy(node->http);
	if (node->bus)
		bus_destroy(node->bus);
	access_index_destroy(node->access);
	metrics_destroy(node->metrics);
	uv_walk(&node->loop, close_handle, NULL);
	uv_run(&node->loop, UV_RUN_NOWAIT);
	uv_loop_close(&node->loop);
	g_free(node);
}
