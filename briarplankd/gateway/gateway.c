/*
 * Starts and stops the gateway process, and connects its parts.
 */
#include <arpa/inet.h>
#include <malloc.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include "accounts.h"
#include "batch.h"
#include "briarplankd/gateway.h"
#include "briarplankd/web_budget.h"
#include "common/error.h"
#include "common/hash.h"
#include "common/log.h"
#include "directory.h"
#include "evidence_share.h"
#include "software_history.h"
#include "stream_share.h"
#include "gateway.h"
#include "job_bulk.h"
#include "job_calls.h"
#include "job_store.h"
#include "limits.h"
#include "net/address.h"
#include "operator.h"
#include "peers.h"
#include "platform/codec.h"
#include "refusals.h"
#include "server_call.h"
#include "start_queue.h"
#include "store_relay.h"
#include "store_route.h"
#include "waiting_room.h"

/* Time after SIGTERM for which new connections are accepted, in ms. The
 * platform checks readiness once a second, and stops sending to a node after
 * two failed checks. */
#define DRAIN_ACCEPT_MS 3200
/* Time after SIGTERM from which a request isn't taken that may last longer than the
 * process, in ms, and at which idle connections of callers are closed. The platform
 * expects each request to end that was sent more than 3 s after SIGTERM and taken. */
#define DRAIN_TAKE_MS 2900
/* Time since which a connection must exist to be closed as idle, in ms: a request may be
 * on its way on a younger one. */
#define IDLE_AGE_MS 500
/* Times before the end of the grace period at which requests in progress are ended, and
 * at which the process exits even if callers haven't read their answers, in ms. */
#define GRACE_SLACK_MS 300
#define EXIT_SLACK_MS 100
/* Interval at which a stopping process checks whether all requests ended, in
 * ms. */
#define STOP_CHECK_MS 50
/* Maximum size of a caller's request body, in bytes. */
#define MAX_BODY_BYTES 4194304
/* One part in so many of the process's memory and descriptors that callers may take up, and
 * of the descriptors that connections of other entries may. */
#define CALLERS_SHARE 2
#define ENTRIES_SHARE 4
/* Size from which the memory of a block is given back as it is freed, in bytes. */
#define LARGE_BLOCK_BYTES (128 << 10)
/* Maximum number of connections for readiness checks, and of those for metrics. */
#define CHECKS_CONNECTIONS_MAX 64
/* Idle timeout of callers' connections if no configuration sets one, in ms. */
#define IDLE_TIMEOUT_MS 15000

/* Maximum size of another entry's request, in bytes, and the time in which it
 * must be received, in ms. */
#define NODE_REQUEST_BYTES 4096
#define NODE_REQUEST_TIMEOUT_MS 5000

/* Maximum number of free ports to try, as a port that is free for TCP may be in
 * use for UDP. */
#define FREE_PORT_TRIES 8

struct process {
	struct gateway gateway;
	uv_signal_t sigterm;
	uv_signal_t sighup;
	uv_timer_t stop_timer;
	/* The requests that were in progress have been ended. */
	bool requests_ended;
	struct counter *config_version;
};

uint64_t gateway_wall_ms(void)
{
	return (uint64_t)(g_get_real_time() / 1000);
}

uint64_t gateway_boot_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
}

uint64_t gateway_random(void)
{
	return (uint64_t)g_random_int() << 32 | g_random_int();
}

void gateway_refuse(struct web_request *web, int status, double retry_after_s,
		    const char *fmt, ...)
{
	char retry[G_ASCII_DTOSTR_BUF_SIZE];
	char *detail;
	va_list args;

	va_start(args, fmt);
	detail = g_strdup_vprintf(fmt, args);
	va_end(args);
	g_ascii_formatd(retry, sizeof(retry), "%.3f", retry_after_s);
	web_add_header(web, "Retry-After", retry);
	web_problem(web, status, "Not run", "%s", detail);
	g_free(detail);
}

bool gateway_stops_before(const struct gateway *gateway, uint64_t deadline_ms)
{
	uint64_t now = uv_now(gateway->loop);

	return gateway->stopping && deadline_ms > gateway->stop_end_ms &&
	       (now - gateway->stop_ms >= DRAIN_TAKE_MS ||
		now >= gateway->stop_end_ms);
}

void gateway_apply_config(struct gateway *gateway)
{
	uint32_t idle_ms = gateway->config->limits.idle_timeout_ms;

	if (idle_ms)
		web_set_idle_timeout(gateway->front, idle_ms);
}

static bool is_ready(const struct gateway *gateway)
{
	return !gateway->stopping && directory_loaded(gateway->directory) &&
	       job_store_loaded(gateway->job_store);
}

bool gateway_may_send(const struct gateway *gateway)
{
	return directory_loaded(gateway->directory) &&
	       evidence_share_known(gateway->evidence);
}

static void on_front(void *ctx, struct web_request *web)
{
	struct gateway *gateway = ctx;
	struct platform_call call;

	platform_call_parse(web_method(web), web_path(web), web_query(web),
			    &call);
	if (call.kind != PLATFORM_REQUEST && call.kind != PLATFORM_READY)
		job_calls_start(gateway, web, &call);
	else if (gateway_may_send(gateway) ||
		 !start_queue_add(gateway->start_queue, web))
		online_request_start(gateway, web, web_path(web),
				     uv_now(gateway->loop));
	platform_call_clear(&call);
}

static void on_ready(void *ctx, struct web_request *web)
{
	struct gateway *gateway = ctx;

	if (is_ready(gateway))
		web_answer(web, 200, "text/plain", "ready\n", 6);
	else
		gateway_refuse(web, 503, 1, "not ready");
}

static void on_metrics(void *ctx, struct web_request *web)
{
	struct gateway *gateway = ctx;
	GString *out = g_string_new(NULL);

	metrics_render(gateway->metrics, out);
	web_answer(web, 200, "text/plain; version=0.0.4", out->str, out->len);
	g_string_free(out, TRUE);
}

/* Functions that the job log calls when its state changes. */

static void on_submission(void *ctx, uint64_t number,
			  enum job_submission_outcome outcome, struct job *job)
{
	struct gateway *gateway = ctx;

	job_calls_submission_decided(gateway->job_calls, number, outcome, job);
}

static void on_result(void *ctx, struct job *job, struct job_item *item)
{
	struct gateway *gateway = ctx;

	batch_item_ended(gateway->batch, item);
	job_calls_item_ended(gateway->job_calls, job);
}

static void on_job_end(void *ctx, struct job *job)
{
	struct gateway *gateway = ctx;

	batch_job_ended(gateway->batch, job);
}

static void on_node(void *ctx, const char *name, const char *address,
		    const char *data_centre)
{
	struct gateway *gateway = ctx;

	peers_add_announced(gateway->peers, name, address, data_centre);
}

static bool has_connection(void *ctx, const struct server *server)
{
	(void)ctx;
	return server_connection_idle(server);
}

static void on_server_forgotten(void *ctx, struct server *server)
{
	(void)ctx;
	server_connections_close(server);
}

/* Functions that stop the process after SIGTERM. */

/* Answers the callers whose requests are still in progress as well as it can. */
static void end_requests(struct process *process)
{
	struct gateway *gateway = &process->gateway;

	log_event("stop", LOG_LEVEL_WARN, "the grace period ends running=%u",
		  web_running_requests(gateway->front));
	process->requests_ended = true;
	start_queue_stop(gateway->start_queue);
	online_requests_stop(gateway);
	job_calls_stop(gateway->job_calls);
}

static void on_stop_check(uv_timer_t *timer)
{
	struct process *process = timer->data;
	struct gateway *gateway = &process->gateway;
	uint64_t now = uv_now(gateway->loop);
	uint64_t elapsed = now - gateway->stop_ms;
	uint64_t grace_ms = (uint64_t)gateway->settings->stop_grace_ms;

	if (elapsed >= DRAIN_ACCEPT_MS && web_listening(gateway->front)) {
		log_event("stop", LOG_LEVEL_INFO,
			  "no longer listening running=%u",
			  web_running_requests(gateway->front));
		web_stop_listening(gateway->front);
	}
	if (elapsed >= DRAIN_TAKE_MS)
		web_close_idle(gateway->front, IDLE_AGE_MS);
	if (now >= gateway->stop_end_ms && !process->requests_ended)
		end_requests(process);
	if (((elapsed >= DRAIN_ACCEPT_MS || process->requests_ended) &&
	     !web_running_requests(gateway->front)) ||
	    elapsed + EXIT_SLACK_MS >= grace_ms)
		uv_stop(gateway->loop);
}

static void on_sigterm(uv_signal_t *handle, int signum)
{
	struct process *process = handle->data;
	struct gateway *gateway = &process->gateway;

	(void)signum;
	if (gateway->stopping)
		return;
	log_event("stop", LOG_LEVEL_INFO, "SIGTERM running=%u",
		  web_running_requests(gateway->front));
	gateway->stopping = true;
	gateway->stop_ms = uv_now(gateway->loop);
	gateway->stop_end_ms =
		gateway->stop_ms +
		(uint64_t)MAX(gateway->settings->stop_grace_ms - GRACE_SLACK_MS,
			      0);
	web_drain(gateway->front);
	batch_stop(gateway->batch);
	peers_load_changed(gateway->peers);
	uv_timer_start(&process->stop_timer, on_stop_check, STOP_CHECK_MS,
		       STOP_CHECK_MS);
}

/* Does not reload the settings: addresses can't change while the process runs,
 * and the other settings are read only at the start. */
static void on_sighup(uv_signal_t *handle, int signum)
{
	(void)handle;
	(void)signum;
	log_event("reload", LOG_LEVEL_INFO,
		  "SIGHUP ignored: settings are read only at the start");
}

/* Returns the memory that the process may use, in bytes. */
static size_t memory_bytes(const struct gateway_settings *settings)
{
	if (settings->memory_mb)
		return (size_t)settings->memory_mb << 20;
	return (size_t)sysconf(_SC_PHYS_PAGES) * (size_t)sysconf(_SC_PAGESIZE);
}

/* Returns the number of descriptors that the process may open. */
static unsigned descriptors(const struct gateway_settings *settings)
{
	struct rlimit limit;

	if (settings->descriptors)
		return (unsigned)settings->descriptors;
	if (getrlimit(RLIMIT_NOFILE, &limit) || limit.rlim_cur > INT32_MAX)
		return INT32_MAX;
	return (unsigned)limit.rlim_cur;
}

/* Returns bytes that are held for callers outside the HTTP servers. */
static size_t held_elsewhere(void *ctx)
{
	const struct gateway *gateway = ctx;

	return gateway->response_bytes;
}

static void open_budget(struct gateway *gateway)
{
	struct web_budget_options options = {
		.loop = gateway->loop,
		.bytes_max = memory_bytes(gateway->settings) / CALLERS_SHARE,
		.held_elsewhere = held_elsewhere,
		.ctx = gateway,
		.metrics = gateway->metrics,
	};

	/* Without a fixed threshold, glibc raises it with the first large block that is
	 * freed, and keeps the memory of later ones. */
	mallopt(M_MMAP_THRESHOLD, LARGE_BLOCK_BYTES);
	gateway->budget = web_budget_create(&options);
}

static struct web *open_web(struct gateway *gateway, const char *address,
			    web_handler_fn fn, unsigned connections_max)
{
	struct web_options options = {
		.loop = gateway->loop,
		.address = address,
		.max_body_bytes = MAX_BODY_BYTES,
		.request_timeout_ms = IDLE_TIMEOUT_MS,
		.metrics = gateway->metrics,
		.connections_max = connections_max,
		.budget = gateway->budget,
	};
	struct web *web = web_create(&options);

	if (web)
		web_route(web, "", fn, gateway);
	return web;
}

static void read_regions(struct gateway *gateway)
{
	const struct gateway_settings *settings = gateway->settings;
	const struct data_centre_settings *items = settings->data_centres.items;
	size_t i;

	gateway->regions = g_hash_table_new(g_str_hash, g_str_equal);
	for (i = 0; i < settings->data_centres.nr; i++)
		g_hash_table_insert(gateway->regions, items[i].name,
				    items[i].region);
}

static void create_core(struct gateway *gateway)
{
	const struct gateway_settings *settings = gateway->settings;
	struct fleet_options fleet = {
		.data_centre = settings->data_centre,
		.region = settings->region,
		.regions = gateway->regions,
		.on_forget = on_server_forgotten,
		.has_connection = has_connection,
	};
	struct store_options store = {
		.loop = gateway->loop,
		.address = settings->store_address,
		.call_bytes = (size_t)settings->store_call_bytes,
		.metrics = gateway->metrics,
		.route = &store_route,
	};

	gateway->identity = g_strdup_printf("%s-%08x%08x", settings->name,
					    g_random_int(), g_random_int());
	gateway->identity_hash = hash_string(gateway->identity, 0);
	list_init(&gateway->requests);
	gateway->refusals = refusals_create();
	gateway->fleet = fleet_create(&fleet);
	gateway->accounts = accounts_create(gateway);
	gateway->waiting_room = waiting_room_create(gateway);
	gateway->start_queue = start_queue_create(gateway);
	gateway->store_route = store_route_create(gateway);
	store.route_ctx = gateway->store_route;
	gateway->store = store_create(&store);
	gateway->job_bulk = job_bulk_create(gateway);
	gateway->batch = batch_create(gateway);
	gateway->job_calls = job_calls_create(gateway);
}

/* Opens one port for load reports over UDP and relayed store calls over TCP. */
static bool open_node_port(struct gateway *gateway)
{
	int port = (int)gateway->settings->node_port;
	int tries = port ? 1 : FREE_PORT_TRIES;

	while (!gateway->peers && tries--) {
		if (gateway->store_relay)
			store_relay_destroy(gateway->store_relay);
		gateway->store_relay = store_relay_create(gateway, port);
		if (!gateway->store_relay)
			return false;
		gateway->peers = peers_create(
			gateway, store_relay_port(gateway->store_relay));
	}
	return gateway->peers != NULL;
}

/* Opens the HTTP server for other entries, at the port after the first one. */
static bool open_node_web(struct gateway *gateway)
{
	int64_t port = gateway->settings->node_port;
	char *address = g_strdup_printf("%s:%" PRId64, gateway->settings->ip,
					port ? port + 1 : 0);
	struct web_options options = {
		.loop = gateway->loop,
		.address = address,
		.max_body_bytes = NODE_REQUEST_BYTES,
		.request_timeout_ms = NODE_REQUEST_TIMEOUT_MS,
		.metrics = gateway->metrics,
		.connections_max =
			descriptors(gateway->settings) / ENTRIES_SHARE,
		.budget = gateway->budget,
	};
	struct sockaddr_in addr;

	gateway->node_web = web_create(&options);
	g_free(address);
	if (!gateway->node_web ||
	    !address_parse(web_address(gateway->node_web), &addr))
		return false;
	gateway->node_web_port = ntohs(addr.sin_port);
	return true;
}

static bool gateway_open(struct gateway *gateway)
{
	const struct gateway_settings *settings = gateway->settings;
	struct job_store_options jobs = {
		.gateway = gateway,
		.watcher = {
			.on_submission = on_submission,
			.on_result = on_result,
			.on_end = on_job_end,
			.on_node = on_node,
			.ctx = gateway,
		},
	};

	open_budget(gateway);
	if (!open_node_port(gateway) || !open_node_web(gateway))
		return false;
	gateway->front = open_web(gateway, settings->front_address, on_front,
				  descriptors(settings) / CALLERS_SHARE);
	gateway->ready = gateway->front ?
				 open_web(gateway, settings->ready_address,
					  on_ready, CHECKS_CONNECTIONS_MAX) :
				 NULL;
	gateway->metrics_web =
		gateway->ready ? open_web(gateway, settings->metrics_address,
					  on_metrics, CHECKS_CONNECTIONS_MAX) :
				 NULL;
	if (!gateway->metrics_web)
		return false;
	web_route(gateway->metrics_web, "/v1/operator", operator_request,
		  gateway);
	gateway->job_store = job_store_create(&jobs);
	gateway->directory = directory_create(gateway);
	gateway->evidence = evidence_share_create(gateway);
	gateway->software_history = software_history_create(gateway);
	gateway->streams = stream_share_create(gateway);
	gateway->limits = limits_create(gateway);
	peers_announce(gateway->peers);
	return true;
}

static void open_signals(struct process *process)
{
	uv_loop_t *loop = process->gateway.loop;

	uv_signal_init(loop, &process->sigterm);
	process->sigterm.data = process;
	uv_signal_start(&process->sigterm, on_sigterm, SIGTERM);
	uv_signal_init(loop, &process->sighup);
	process->sighup.data = process;
	uv_signal_start(&process->sighup, on_sighup, SIGHUP);
	uv_timer_init(loop, &process->stop_timer);
	process->stop_timer.data = process;
}

/* Closes the connections of callers first, as their requests hold calls to
 * servers and to the store. */
static void process_close(struct process *process)
{
	struct gateway *gateway = &process->gateway;

	if (gateway->front)
		web_destroy(gateway->front);
	if (gateway->ready)
		web_destroy(gateway->ready);
	if (gateway->metrics_web)
		web_destroy(gateway->metrics_web);
	if (gateway->node_web)
		web_destroy(gateway->node_web);
	if (gateway->budget)
		web_budget_destroy(gateway->budget);
	batch_destroy(gateway->batch);
	job_calls_destroy(gateway->job_calls);
	store_destroy(gateway->store);
	store_route_destroy(gateway->store_route);
	if (gateway->store_relay)
		store_relay_destroy(gateway->store_relay);
	job_bulk_destroy(gateway->job_bulk);
	if (gateway->job_store)
		job_store_destroy(gateway->job_store);
	if (gateway->directory)
		directory_destroy(gateway->directory);
	if (gateway->limits)
		limits_destroy(gateway->limits);
	if (gateway->evidence)
		evidence_share_destroy(gateway->evidence);
	if (gateway->streams)
		stream_share_destroy(gateway->streams);
	if (gateway->software_history)
		software_history_destroy(gateway->software_history);
	if (gateway->peers)
		peers_destroy(gateway->peers);
	accounts_destroy(gateway->accounts);
	waiting_room_destroy(gateway->waiting_room);
	start_queue_destroy(gateway->start_queue);
	refusals_destroy(gateway->refusals);
	fleet_destroy(gateway->fleet);
	uv_close((uv_handle_t *)&process->sigterm, NULL);
	uv_close((uv_handle_t *)&process->sighup, NULL);
	uv_close((uv_handle_t *)&process->stop_timer, NULL);
	uv_run(gateway->loop, UV_RUN_DEFAULT);
	uv_loop_close(gateway->loop);
	route_table_destroy(gateway->config);
	metrics_destroy(gateway->metrics);
	g_hash_table_destroy(gateway->regions);
	g_free(gateway->identity);
}

int gateway_run(const struct gateway_settings *settings)
{
	struct process process = { 0 };
	struct gateway *gateway = &process.gateway;

	log_event_configure(settings->name,
			    (enum log_level)settings->log_level);
	gateway->loop = uv_default_loop();
	gateway->settings = settings;
	gateway->metrics = metrics_create();
	read_regions(gateway);
	create_core(gateway);
	open_signals(&process);
	if (!gateway_open(gateway)) {
		log_event("start", LOG_LEVEL_ERROR, "%s", error_last());
		process_close(&process);
		return 1;
	}
	log_event("start", LOG_LEVEL_INFO,
		  "identity=%s front=%s ready=%s metrics=%s nodes=%s "
		  "directory=%u store=%s "
		  "data_centre=%s region=%s retention_ms=%" PRId64,
		  gateway->identity, web_address(gateway->front),
		  web_address(gateway->ready),
		  web_address(gateway->metrics_web),
		  peers_address(gateway->peers), gateway->node_web_port,
		  settings->store_address, settings->data_centre,
		  settings->region, settings->store_retention_ms);
	/* Jobs must stay in the store's log while their results are kept. */
	if (settings->results_kept_ms > settings->store_retention_ms)
		log_event("start", LOG_LEVEL_WARN,
			  "the store keeps records for %" PRId64
			  " ms, less than the results are kept (%" PRId64
			  " ms)",
			  settings->store_retention_ms,
			  settings->results_kept_ms);
	uv_run(gateway->loop, UV_RUN_DEFAULT);
	log_event("stop", LOG_LEVEL_INFO, "ended running=%u",
		  web_running_requests(gateway->front));
	process_close(&process);
	return 0;
}
