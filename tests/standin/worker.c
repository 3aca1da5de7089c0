/*
 * Simulated backend server of the platform: signs its answers, queues requests
 * above its slots, refuses requests meant for another server, and resumes
 * streams.
 *
 * GET /runs returns the number of runs of each request id, GET /fields?id=ID the header
 * fields with which a request was run last, and GET /held the ids
 * of the requests that are held. A body of "fail " and a status is answered with
 * that status. With a body of "hold " and an event, a stream is held after that
 * event, unless it is resumed; with "pause ", an event and a time in ms, it goes on after
 * that time. A request whose prompt has the part "badbad" ends
 * the process as it begins to answer, one with the body "crash" before it answers.
 */
#include <string.h>
#include <unistd.h>

#include "common/list.h"
#include "standin.h"

#define FAIL "fail "
#define HOLD "hold "
#define PAUSE "pause "
#define CRASH "crash"
#define CRASH_PART "badbad"

struct worker_settings {
	int64_t slots;
	int64_t events;
	int64_t event_ms;
	bool plain;
	int64_t limit;
	int64_t software;
	int64_t event_bytes;
	int64_t burst;
	bool bare;
};

struct worker_state {
	struct standin *standin;
	struct worker_settings settings;
	GHashTable *runs;
	/* Maps a request id to the header fields of its last run, as text. */
	GHashTable *fields;
	/* Text at the end of each event: the version of the software, if it has one. */
	char *mark;
	/* Text that makes each event longer. */
	char *padding;
	/* Lists of running requests and of requests that wait for a slot. */
	struct list running;
	struct list waiting;
	unsigned running_nr;
	unsigned waiting_nr;
};

struct run {
	struct list link;
	struct worker_state *state;
	struct web_request *request;
	char *id;
	int64_t event;
	/* Event after which the stream sends nothing more; 0 for none. */
	int64_t hold_after;
	/* Event after which the stream pauses, 0 for none, and for how long, in ms. */
	int64_t pause_after;
	int64_t pause_ms;
	bool started;
	uv_timer_t timer;
};

static const char *server_name(const struct worker_state *state)
{
	return standin_address(state->standin);
}

static void on_run_closed(uv_handle_t *handle)
{
	struct run *run = handle->data;

	g_free(run->id);
	g_free(run);
}

static void start_next(struct worker_state *state);

static void run_free(struct run *run)
{
	struct worker_state *state = run->state;

	list_remove(&run->link);
	if (run->started)
		state->running_nr--;
	else
		state->waiting_nr--;
	if (run->request)
		web_on_close(run->request, NULL, NULL);
	uv_timer_stop(&run->timer);
	uv_close((uv_handle_t *)&run->timer, on_run_closed);
}

static void add_header_fields(struct run *run)
{
	struct worker_state *state = run->state;
	char *load = g_strdup_printf("%u,%u,%" PRId64, state->running_nr,
				     state->waiting_nr, state->settings.slots);

	web_add_header(run->request, "X-Attempt-Id", run->id);
	web_add_header(run->request, "X-Server-Signature", server_name(state));
	web_add_header(run->request, "X-Server-Load", load);
	g_free(load);
	if (state->settings.limit) {
		char *limit =
			g_strdup_printf("%" PRId64, state->settings.limit);

		web_add_header(run->request, "Server-Limit", limit);
		g_free(limit);
	}
}

static void run_end(struct run *run)
{
	struct worker_state *state = run->state;

	run_free(run);
	start_next(state);
}

/* Begins an answer and then ends the process if the prompt has the part that crashes
 * this server; tells whether it has. */
static bool crash_by_part(struct run *run)
{
	const char *prompt = web_header(run->request, "x-prompt-prefix");

	if (!prompt || !strstr(prompt, CRASH_PART))
		return false;
	/* The head leaves before the process ends. */
	if (run->event++)
		_exit(1);
	web_stream_write(run->request, ": begun\n\n", 9);
	return true;
}

/* Bytes of a stream that may wait for the reader. */
#define QUEUE_BYTES (1 << 20)

static void send_event(struct run *run)
{
	struct worker_state *state = run->state;
	char *text;

	run->event++;
	if (state->settings.bare)
		text = g_strdup_printf("id: %" PRId64 "\ndata: \n\n",
				       run->event);
	else
		text = g_strdup_printf("id: %" PRId64 "\ndata: %s-%" PRId64
				       "%s%s\n\n",
				       run->event, run->id, run->event,
				       state->mark, state->padding);
	web_stream_write(run->request, text, strlen(text));
	g_free(text);
}

static void on_event_timer(uv_timer_t *timer)
{
	struct run *run = timer->data;
	struct worker_state *state = run->state;
	struct web_request *request = run->request;
	int64_t i;

	if (standin_fault_active(state->standin, FAULT_STALL) ||
	    (run->hold_after && run->event >= run->hold_after))
		return;
	if (crash_by_part(run))
		return;
	if (run->pause_after && run->event >= run->pause_after) {
		run->pause_after = 0;
		uv_timer_start(&run->timer, on_event_timer,
			       (uint64_t)run->pause_ms,
			       (uint64_t)state->settings.event_ms);
		return;
	}
	for (i = 0;
	     i < state->settings.burst && run->event < state->settings.events &&
	     web_stream_queued(request) < QUEUE_BYTES;
	     i++)
		send_event(run);
	if (run->event < state->settings.events)
		return;
	run_end(run);
	web_stream_end(request, true);
}

static void on_crash_timer(uv_timer_t *timer)
{
	(void)timer;
	_exit(1);
}

static void answer_plain(struct run *run, int status)
{
	struct web_request *request = run->request;
	size_t len;
	const char *body = web_body(request, &len);

	add_header_fields(run);
	run_end(run);
	web_answer(request, status, "text/plain", body, len);
}

static void on_plain_timer(uv_timer_t *timer)
{
	answer_plain(timer->data, 200);
}

static char *fields_of(const struct web_request *request)
{
	GString *out = g_string_new(NULL);
	const char *name, *value;
	size_t i;

	for (i = 0; i < web_headers_nr(request); i++) {
		web_header_at(request, i, &name, &value);
		g_string_append_printf(out, "%s: %s\n", name, value);
	}
	return g_string_free(out, FALSE);
}

static void run_start(struct run *run)
{
	struct worker_state *state = run->state;
	gpointer nr = g_hash_table_lookup(state->runs, run->id);
	uint64_t ms = (uint64_t)state->settings.event_ms;
	struct web_request *request;
	size_t len;
	const char *body = web_body(run->request, &len);

	run->started = true;
	state->running_nr++;
	state->waiting_nr--;
	list_remove(&run->link);
	list_append(&state->running, &run->link);
	g_hash_table_insert(state->runs, g_strdup(run->id),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(nr) + 1));
	g_hash_table_insert(state->fields, g_strdup(run->id),
			    fields_of(run->request));
	if (len > strlen(FAIL) && !memcmp(body, FAIL, strlen(FAIL))) {
		char *status =
			g_strndup(body + strlen(FAIL), len - strlen(FAIL));

		answer_plain(run, (int)g_ascii_strtoll(status, NULL, 10));
		g_free(status);
		return;
	}
	if (len == strlen(CRASH) && !memcmp(body, CRASH, len)) {
		uv_timer_start(&run->timer, on_crash_timer, ms, 0);
		return;
	}
	if (state->settings.plain) {
		uv_timer_start(&run->timer, on_plain_timer, ms, 0);
		return;
	}
	request = run->request;
	add_header_fields(run);
	web_stream_begin(request, 200, "text/event-stream");
	if (run->event < state->settings.events) {
		uv_timer_start(&run->timer, on_event_timer, ms, ms);
		return;
	}
	/*
	 * The stream was resumed after its last event: nothing is left to send.
	 */
	run_end(run);
	web_stream_end(request, true);
}

static void start_next(struct worker_state *state)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &state->waiting) {
		if (state->running_nr >= state->settings.slots)
			return;
		run_start(list_entry(pos, struct run, link));
	}
}

static void on_client_closed(void *ctx, bool sent)
{
	struct run *run = ctx;

	(void)sent;
	run->request = NULL;
	run_end(run);
}

/* Returns the event after which a request with the body "hold EVENT" is held, or
 * 0 for other requests and for those that resume a stream. */
static int64_t hold_after(const struct web_request *request)
{
	size_t len;
	const char *body = web_body(request, &len);
	int64_t event = 0;
	char *text;

	if (len <= strlen(HOLD) || memcmp(body, HOLD, strlen(HOLD)) != 0 ||
	    web_header(request, "last-event-id"))
		return 0;
	text = g_strndup(body + strlen(HOLD), len - strlen(HOLD));
	event = g_ascii_strtoll(text, NULL, 10);
	g_free(text);
	return event;
}

static void read_pause(struct run *run)
{
	size_t len;
	const char *body = web_body(run->request, &len);
	char *text, *end;

	if (len <= strlen(PAUSE) || memcmp(body, PAUSE, strlen(PAUSE)) != 0)
		return;
	text = g_strndup(body + strlen(PAUSE), len - strlen(PAUSE));
	run->pause_after = g_ascii_strtoll(text, &end, 10);
	run->pause_ms = g_ascii_strtoll(end, NULL, 10);
	g_free(text);
}

static void on_request(void *ctx, struct web_request *request)
{
	struct worker_state *state = ctx;
	const char *id = web_header(request, "x-attempt-id");
	const char *expected = web_header(request, "x-expect-instance");
	const char *last = web_header(request, "last-event-id");
	struct run *run;

	if (!id || (expected && strcmp(expected, server_name(state)) != 0)) {
		web_add_header(request, "X-Not-Executed", "1");
		web_add_header(request, "X-Instance-Id", server_name(state));
		web_answer(request, id ? 421 : 400, NULL, "", 0);
		return;
	}
	run = g_new0(struct run, 1);
	run->state = state;
	run->request = request;
	run->id = g_strdup(id);
	run->event = last ? g_ascii_strtoll(last, NULL, 10) : 0;
	run->hold_after = hold_after(request);
	read_pause(run);
	uv_timer_init(standin_loop(state->standin), &run->timer);
	run->timer.data = run;
	list_append(&state->waiting, &run->link);
	state->waiting_nr++;
	web_on_close(request, on_client_closed, run);
	start_next(state);
}

static void on_runs(void *ctx, struct web_request *request)
{
	struct worker_state *state = ctx;
	struct json_object *root = json_object_new_object();
	GHashTableIter iter;
	gpointer key, nr;

	g_hash_table_iter_init(&iter, state->runs);
	while (g_hash_table_iter_next(&iter, &key, &nr))
		json_object_object_add(
			root, key,
			json_object_new_int64((int64_t)GPOINTER_TO_SIZE(nr)));
	standin_answer_json(state->standin, request, 200, root);
}

static void on_fields(void *ctx, struct web_request *request)
{
	struct worker_state *state = ctx;
	char *id = standin_query(request, "id");
	const char *text = g_hash_table_lookup(state->fields, id ? id : "");

	g_free(id);
	web_answer(request, 200, "text/plain", text ? text : "",
		   text ? strlen(text) : 0);
}

static void on_held(void *ctx, struct web_request *request)
{
	struct worker_state *state = ctx;
	struct json_object *root = json_object_new_object();
	struct list *pos;

	list_for_each (pos, &state->running) {
		const struct run *run = list_entry(pos, struct run, link);

		if (run->hold_after && run->event >= run->hold_after)
			json_object_object_add(
				root, run->id,
				json_object_new_int64(run->event));
	}
	standin_answer_json(state->standin, request, 200, root);
}

static void worker_on_fault(void *data, const struct fault *fault)
{
	struct worker_state *state = data;

	struct list *pos, *tmp;

	if (fault->kind != FAULT_KILL_STREAMS)
		return;
	list_for_each_safe (pos, tmp, &state->running) {
		struct run *run = list_entry(pos, struct run, link);
		struct web_request *request = run->request;

		run_free(run);
		web_abort(request);
	}
	start_next(state);
}

static void *worker_create(struct standin *standin, const void *settings)
{
	struct worker_state *state = g_new0(struct worker_state, 1);

	state->standin = standin;
	state->settings = *(const struct worker_settings *)settings;
	state->mark = state->settings.software ?
			      g_strdup_printf("-v%" PRId64,
					      state->settings.software) :
			      g_strdup("");
	state->padding = g_strnfill((gsize)state->settings.event_bytes, '.');
	state->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	state->fields =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	list_init(&state->running);
	list_init(&state->waiting);
	standin_route(standin, "/", on_request, state);
	web_route(standin_web(standin), "/runs", on_runs, state);
	web_route(standin_web(standin), "/fields", on_fields, state);
	web_route(standin_web(standin), "/held", on_held, state);
	return state;
}

static void worker_destroy(void *data)
{
	struct worker_state *state = data;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &state->waiting)
		run_free(list_entry(pos, struct run, link));
	list_for_each_safe (pos, tmp, &state->running)
		run_free(list_entry(pos, struct run, link));
	g_hash_table_destroy(state->runs);
	g_hash_table_destroy(state->fields);
	g_free(state->mark);
	g_free(state->padding);
	g_free(state);
}

static const struct standin_option worker_options[] = {
	{ "slots", offsetof(struct worker_settings, slots), 4,
	  .help = "requests that run at once" },
	{ "events", offsetof(struct worker_settings, events), 20,
	  .help = "events in a stream" },
	{ "event-ms", offsetof(struct worker_settings, event_ms), 20,
	  .help = "time per event or per plain answer, in ms" },
	{ "limit", offsetof(struct worker_settings, limit), 0,
	  .help = "limit that all answers name, in requests a second" },
	{ "software", offsetof(struct worker_settings, software), 0,
	  .help = "version that each event names; 0 for none" },
	{ "event-bytes", offsetof(struct worker_settings, event_bytes), 0,
	  .help = "bytes that make each event longer" },
	{ "burst", offsetof(struct worker_settings, burst), 1,
	  .help = "events sent at a time" },
	{ "bare", offsetof(struct worker_settings, bare), 0, .on_off = true,
	  .help = "on: events have no text" },
	{ "plain", offsetof(struct worker_settings, plain), 0, .on_off = true,
	  .help = "on: answer with the body instead of a stream" },
	{ 0 },
};

const struct standin_command worker_command = {
	.name = "worker",
	.options = worker_options,
	.settings_size = sizeof(struct worker_settings),
	.create = worker_create,
	.destroy = worker_destroy,
	.on_fault_change = worker_on_fault,
};
