/*
 * Simulated VM list of the platform: POST sets it, GET returns it with a
 * delay.
 */
#include <string.h>

#include "standin.h"

struct vms_settings {
	int64_t lag_ms;
};

/* A version of the list and the time at which it was set. */
struct version {
	uint64_t set_ms;
	char *text;
};

struct vms_state {
	struct standin *standin;
	struct vms_settings settings;
	GQueue versions;
};

static void version_free(void *data)
{
	struct version *version = data;

	g_free(version->text);
	g_free(version);
}

static void set_list(struct vms_state *state, const char *text, size_t len)
{
	struct version *version = g_new0(struct version, 1);

	version->set_ms = standin_wall_ms();
	version->text = g_strndup(text, len);
	g_queue_push_tail(&state->versions, version);
}

/*
 * Returns the newest version that was set at least lag_ms ago, or the oldest
 * version if all are newer. Frees the versions before the returned one.
 */
static const char *visible_list(struct vms_state *state)
{
	uint64_t seen_ms = standin_wall_ms() - state->settings.lag_ms;
	struct version *next;

	while ((next = g_queue_peek_nth(&state->versions, 1)) != NULL &&
	       next->set_ms <= seen_ms)
		version_free(g_queue_pop_head(&state->versions));
	return ((struct version *)g_queue_peek_head(&state->versions))->text;
}

static void on_vms(void *ctx, struct web_request *request)
{
	struct vms_state *state = ctx;
	const char *text;
	size_t len;

	if (!strcmp(web_method(request), "POST")) {
		text = web_body(request, &len);
		set_list(state, text ? text : "[]", text ? len : 2);
		web_answer(request, 200, "application/json", "{}", 2);
		return;
	}
	text = visible_list(state);
	standin_answer(state->standin, request, 200, "application/json", text,
		       strlen(text));
}

static void *vms_create(struct standin *standin, const void *settings)
{
	struct vms_state *state = g_new0(struct vms_state, 1);

	state->standin = standin;
	state->settings = *(const struct vms_settings *)settings;
	g_queue_init(&state->versions);
	set_list(state, "[]", 2);
	standin_route(standin, "/v1/vms", on_vms, state);
	return state;
}

static void vms_destroy(void *data)
{
	struct vms_state *state = data;

	g_queue_clear_full(&state->versions, version_free);
	g_free(state);
}

static const struct standin_option vms_options[] = {
	{ "lag-ms", offsetof(struct vms_settings, lag_ms), 0,
	  .help = "time after which a new list is returned, in ms" },
	{ 0 },
};

const struct standin_command vms_command = {
	.name = "vms",
	.options = vms_options,
	.settings_size = sizeof(struct vms_settings),
	.create = vms_create,
	.destroy = vms_destroy,
};
