/*
 * Simulated weight store: describes model versions and streams them at a rate
 * that all downloads share.
 */
#include <string.h>

#include "common/list.h"
#include "standin.h"

#define PREFIX "/v1/models/"
#define TICK_MS 20

struct weights_settings {
	int64_t bytes;
	int64_t bytes_per_s;
};

struct weights_state {
	struct standin *standin;
	struct weights_settings settings;
	struct list downloads;
	unsigned downloads_nr;
	uv_timer_t timer;
};

struct download {
	struct list link;
	struct weights_state *state;
	struct web_request *request;
	int64_t bytes_left;
};

static void download_free(struct download *download)
{
	list_remove(&download->link);
	download->state->downloads_nr--;
	g_free(download);
}

static void on_client_closed(void *ctx, bool sent)
{
	(void)sent;
	download_free(ctx);
}

static void download_step(struct download *download, int64_t share)
{
	struct web_request *request = download->request;
	int64_t nr = MIN(share, download->bytes_left);
	char *bytes = g_malloc0(nr);

	web_stream_write(request, bytes, nr);
	g_free(bytes);
	download->bytes_left -= nr;
	if (download->bytes_left)
		return;
	web_on_close(request, NULL, NULL);
	download_free(download);
	web_stream_end(request, true);
}

static void on_tick(uv_timer_t *timer)
{
	struct weights_state *state = timer->data;
	struct list *pos, *tmp;
	int64_t share;

	if (!state->downloads_nr ||
	    standin_fault_active(state->standin, FAULT_STALL))
		return;
	share = state->settings.bytes_per_s * TICK_MS / 1000 /
		state->downloads_nr;
	list_for_each_safe (pos, tmp, &state->downloads)
		download_step(list_entry(pos, struct download, link),
			      MAX(share, 1));
}

static void start_download(struct weights_state *state,
			   struct web_request *request)
{
	struct download *download = g_new0(struct download, 1);

	download->state = state;
	download->request = request;
	download->bytes_left = state->settings.bytes;
	list_append(&state->downloads, &download->link);
	state->downloads_nr++;
	web_on_close(request, on_client_closed, download);
	web_stream_begin(request, 200, "application/octet-stream");
}

static void describe(struct weights_state *state, struct web_request *request)
{
	struct json_object *root = json_object_new_object();

	json_object_object_add(root, "bytes",
			       json_object_new_int64(state->settings.bytes));
	json_object_object_add(
		root, "bytes_per_s",
		json_object_new_int64(state->settings.bytes_per_s));
	standin_answer_json(state->standin, request, 200, root);
}

/* Models whose name begins with "missing" do not exist. */
static void on_models(void *ctx, struct web_request *request)
{
	const char *rest = web_path(request) + strlen(PREFIX);

	if (!strstr(rest, "/versions/") || g_str_has_prefix(rest, "missing"))
		web_problem(request, 404, "Not found", "no such version");
	else if (g_str_has_suffix(rest, "/download"))
		start_download(ctx, request);
	else
		describe(ctx, request);
}

static void *weights_create(struct standin *standin, const void *settings)
{
	struct weights_state *state = g_new0(struct weights_state, 1);

	state->standin = standin;
	state->settings = *(const struct weights_settings *)settings;
	list_init(&state->downloads);
	uv_timer_init(standin_loop(standin), &state->timer);
	state->timer.data = state;
	uv_timer_start(&state->timer, on_tick, TICK_MS, TICK_MS);
	standin_route(standin, PREFIX, on_models, state);
	return state;
}

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void weights_destroy(void *data)
{
	struct weights_state *state = data;

	uv_close((uv_handle_t *)&state->timer, on_timer_closed);
}

static const struct standin_option weights_options[] = {
	{ "bytes", offsetof(struct weights_settings, bytes), 1 << 20,
	  .help = "size of each model version" },
	{ "bytes-per-s", offsetof(struct weights_settings, bytes_per_s),
	  10 << 20, .help = "rate that all downloads share" },
	{ 0 },
};

const struct standin_command weights_command = {
	.name = "weights",
	.options = weights_options,
	.settings_size = sizeof(struct weights_settings),
	.create = weights_create,
	.destroy = weights_destroy,
};
