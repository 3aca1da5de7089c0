/*
 * Simulated plain HTTP service: echoes bodies, delays answers on request and
 * counts its runs.
 */
#include <string.h>

#include "common/list.h"
#include "standin.h"

#define COUNT_PREFIX "/count/"

struct plain_state {
	struct standin *standin;
	GHashTable *runs;
	struct list works;
};

/* A running POST /work request. */
struct work {
	struct list link;
	struct plain_state *state;
	struct web_request *request;
	uv_timer_t timer;
};

static void count_run(struct plain_state *state, const char *key)
{
	gpointer nr = g_hash_table_lookup(state->runs, key);

	g_hash_table_insert(state->runs, g_strdup(key),
			    GSIZE_TO_POINTER(GPOINTER_TO_SIZE(nr) + 1));
}

static void answer_body(struct plain_state *state, struct web_request *request)
{
	const char *type = web_header(request, "content-type");
	size_t len;
	const char *body = web_body(request, &len);

	standin_answer(state->standin, request, 200,
		       type ? type : "application/octet-stream", body, len);
}

static void on_echo(void *ctx, struct web_request *request)
{
	answer_body(ctx, request);
}

static void on_count(void *ctx, struct web_request *request)
{
	struct plain_state *state = ctx;

	count_run(state, web_path(request) + strlen(COUNT_PREFIX));
	answer_body(state, request);
}

static void on_work_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void work_free(struct work *work)
{
	list_remove(&work->link);
	uv_timer_stop(&work->timer);
	uv_close((uv_handle_t *)&work->timer, on_work_closed);
}

static void on_work_timer(uv_timer_t *timer)
{
	struct work *work = timer->data;
	struct web_request *request = work->request;

	if (standin_fault_active(work->state->standin, FAULT_STALL))
		return;
	if (request) {
		web_on_close(request, NULL, NULL);
		answer_body(work->state, request);
	}
	work_free(work);
}

/* The work continues after its client has disconnected. */
static void on_client_closed(void *ctx, bool sent)
{
	struct work *work = ctx;

	(void)sent;
	work->request = NULL;
}

static void on_work(void *ctx, struct web_request *request)
{
	struct plain_state *state = ctx;
	struct work *work = g_new0(struct work, 1);
	int64_t ms = standin_query_int(request, "ms", 10);

	count_run(state, "work");
	work->state = state;
	work->request = request;
	list_append(&state->works, &work->link);
	uv_timer_init(standin_loop(state->standin), &work->timer);
	work->timer.data = work;
	uv_timer_start(&work->timer, on_work_timer, ms, MAX(ms, 10));
	web_on_close(request, on_client_closed, work);
}

/*
 * Handles a request like /work, but counts it by its body, so that tests can
 * find duplicate runs.
 */
static void on_tally(void *ctx, struct web_request *request)
{
	struct plain_state *state = ctx;
	size_t len;
	const char *body = web_body(request, &len);
	char *key = g_strndup(body, len);

	count_run(state, key);
	g_free(key);
	on_work(state, request);
}

static void on_runs(void *ctx, struct web_request *request)
{
	struct plain_state *state = ctx;
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

static void plain_on_fault(void *data, const struct fault *fault)
{
	struct plain_state *state = data;
	struct list *pos, *tmp;

	if (fault->kind != FAULT_KILL_STREAMS)
		return;
	list_for_each_safe (pos, tmp, &state->works) {
		struct work *work = list_entry(pos, struct work, link);
		struct web_request *request = work->request;

		if (!request)
			continue;
		web_on_close(request, NULL, NULL);
		work_free(work);
		web_abort(request);
	}
}

static void *plain_create(struct standin *standin, const void *settings)
{
	struct plain_state *state = g_new0(struct plain_state, 1);

	(void)settings;
	state->standin = standin;
	state->runs =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	list_init(&state->works);
	standin_route(standin, "/echo", on_echo, state);
	standin_route(standin, "/work", on_work, state);
	standin_route(standin, COUNT_PREFIX, on_count, state);
	standin_route(standin, "/tally", on_tally, state);
	standin_route(standin, "/runs", on_runs, state);
	return state;
}

static void plain_destroy(void *data)
{
	struct plain_state *state = data;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &state->works)
		work_free(list_entry(pos, struct work, link));
	g_hash_table_destroy(state->runs);
	g_free(state);
}

const struct standin_command plain_command = {
	.name = "plain",
	.settings_size = sizeof(int64_t),
	.create = plain_create,
	.destroy = plain_destroy,
	.on_fault_change = plain_on_fault,
};
