#include <glib.h>

#include "common/log.h"
#include "briarplankd/web_budget.h"
#include "web_private.h"

/* Interval between two counts, in ms, and connections for each of which it is longer by
 * this share of a ms, so that counting takes no more of a large node's time. */
#define COUNT_INTERVAL_MS 5
#define COUNT_CONNECTIONS 200
/* Share of the bound, in eighths, from which bytes are counted whenever some arrive. */
#define WATCH_EIGHTHS 2
/* Memory of a connection and of a request without their bytes, in bytes. */
#define CONNECTION_BYTES 8192
#define REQUEST_BYTES 8192
/* Number of copies of a body that a request in progress may lead to: decoded and encoded
 * for its server or for the store. */
#define BODY_COPIES 2
/* Share of the bound to which the memory is brought back, in eighths. */
#define ROOM_EIGHTHS 7
/* Time that is added to that for which bytes have been held, in ms, so that their number
 * decides between new ones. */
#define HELD_MIN_MS 100

struct web_budget {
	struct web_budget_options options;
	uv_check_t check;
	struct list webs;
	/* Result of the last count, and its loop time in ms. */
	size_t held;
	uint64_t counted_ms;
	uint64_t interval_ms;
	struct counter *shed_total;
	struct counter *refused_total;
	struct counter *held_gauge;
};

/* Counts for one that is receiving a request also what it may receive until the next count,
 * and the buffer of twice the size that a full one is copied to. */
static size_t connection_bytes(const struct web_connection *conn)
{
	size_t input = conn->holds_ms ? conn->sock->input->capacity : 0;

	if (conn->holds_ms && !conn->requests_nr)
		input += input + WEB_RECEIVE_BYTES;
	return CONNECTION_BYTES + input;
}

static size_t request_bytes(const struct web_request *request)
{
	size_t bytes = REQUEST_BYTES + request->answer_len + request->held +
		       request->queue->allocated_len +
		       request->in_flight->allocated_len;

	if (request->req && !request->ended)
		bytes += BODY_COPIES * request->req->entity.len;
	return bytes;
}

static size_t count_web(struct web *web, uint64_t now_ms)
{
	size_t bytes = 0;
	struct list *pos;

	list_for_each (pos, &web->connections) {
		struct web_connection *conn =
			list_entry(pos, struct web_connection, link);

		if (web_connection_look(conn, now_ms))
			bytes += connection_bytes(conn);
	}
	list_for_each (pos, &web->requests)
		bytes += request_bytes(
			list_entry(pos, struct web_request, link));
	return bytes;
}

static void count(struct web_budget *budget)
{
	const struct web_budget_options *options = &budget->options;
	unsigned connections_nr = 0;
	struct list *pos;

	budget->counted_ms = uv_now(options->loop);
	budget->held = options->held_elsewhere ?
			       options->held_elsewhere(options->ctx) :
			       0;
	list_for_each (pos, &budget->webs) {
		struct web *web = list_entry(pos, struct web, budget_link);

		budget->held += count_web(web, budget->counted_ms);
		connections_nr += web->connections_nr;
	}
	budget->interval_ms =
		budget->held > options->bytes_max / 8 * WATCH_EIGHTHS ?
			0 :
			COUNT_INTERVAL_MS + connections_nr / COUNT_CONNECTIONS;
	counter_set(budget->held_gauge, budget->held);
}

/* A connection, with the request that it serves, that may be closed. */
struct candidate {
	struct web_connection *conn;
	struct web_request *request;
	size_t bytes;
	uint64_t since_ms;
};

static void add_candidates(struct web *web, uint64_t now_ms, GArray *candidates)
{
	struct list *pos;

	list_for_each (pos, &web->connections) {
		struct web_connection *conn =
			list_entry(pos, struct web_connection, link);
		struct candidate candidate = { .conn = conn };

		if (!web_connection_look(conn, now_ms))
			continue;
		candidate.request = conn->request;
		if (!conn->holds_ms && !candidate.request)
			continue;
		candidate.bytes = connection_bytes(conn);
		candidate.since_ms = conn->holds_ms;
		if (candidate.request) {
			candidate.bytes += request_bytes(candidate.request);
			candidate.since_ms = candidate.request->created_ms;
		}
		g_array_append_val(candidates, candidate);
	}
}

/* Returns the bytes of a candidate times the time for which it has held them. */
static double burden(const struct candidate *candidate, uint64_t now_ms)
{
	return (double)candidate->bytes *
	       (double)(now_ms - candidate->since_ms + HELD_MIN_MS);
}

static gint compare(gconstpointer a, gconstpointer b, gpointer now_ms)
{
	double first = burden(a, *(const uint64_t *)now_ms);
	double second = burden(b, *(const uint64_t *)now_ms);

	return (first < second) - (first > second);
}

static void shed(struct web_budget *budget, const struct candidate *candidate)
{
	counter_add(budget->shed_total, 1);
	budget->held -= MIN(budget->held, candidate->bytes);
	if (candidate->request)
		web_abort(candidate->request);
	web_connection_shed(candidate->conn);
}

/* Closes connections until there is room again. */
static void make_room(struct web_budget *budget)
{
	size_t goal = budget->options.bytes_max / 8 * ROOM_EIGHTHS;
	size_t held = budget->held;
	GArray *candidates =
		g_array_new(FALSE, FALSE, sizeof(struct candidate));
	struct list *pos;
	guint i;

	list_for_each (pos, &budget->webs)
		add_candidates(list_entry(pos, struct web, budget_link),
			       budget->counted_ms, candidates);
	g_array_sort_with_data(candidates, compare, &budget->counted_ms);
	for (i = 0; i < candidates->len && budget->held > goal; i++)
		shed(budget, &g_array_index(candidates, struct candidate, i));
	log_event("callers", LOG_LEVEL_WARN,
		  "hold too much: connections closed=%u of %u holding "
		  "bytes=%zu bound=%zu left=%zu",
		  i, candidates->len, held, budget->options.bytes_max,
		  budget->held);
	g_array_free(candidates, TRUE);
}

/* Bytes have arrived only if the loop has woken up. */
static void on_check(uv_check_t *check)
{
	struct web_budget *budget = check->data;

	if (uv_now(budget->options.loop) - budget->counted_ms <
	    budget->interval_ms)
		return;
	count(budget);
	if (budget->held > budget->options.bytes_max)
		make_room(budget);
}

bool web_budget_reserve(struct web_budget *budget, size_t bytes)
{
	if (budget->held + bytes > budget->options.bytes_max) {
		counter_add(budget->refused_total, 1);
		return false;
	}
	budget->held += bytes;
	return true;
}

bool web_budget_admits(struct web_budget *budget, size_t body_len)
{
	return web_budget_reserve(budget,
				  REQUEST_BYTES + BODY_COPIES * body_len);
}

void web_budget_add(struct web_budget *budget, struct web *web)
{
	web->budget = budget;
	list_append(&budget->webs, &web->budget_link);
}

struct web_budget *web_budget_create(const struct web_budget_options *options)
{
	struct web_budget *budget = g_new0(struct web_budget, 1);

	budget->options = *options;
	list_init(&budget->webs);
	budget->shed_total = metrics_counter(
		options->metrics, "briarplank_callers_closed_total", "");
	budget->refused_total = metrics_counter(
		options->metrics, "briarplank_callers_refused_total", "");
	budget->held_gauge =
		metrics_gauge(options->metrics, "briarplank_callers_bytes", "");
	uv_check_init(options->loop, &budget->check);
	budget->check.data = budget;
	uv_check_start(&budget->check, on_check);
	uv_unref((uv_handle_t *)&budget->check);
	return budget;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void web_budget_destroy(struct web_budget *budget)
{
	uv_close((uv_handle_t *)&budget->check, on_closed);
}
