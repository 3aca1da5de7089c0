/*
 * TCP proxy that delays, rate-limits, stalls or resets connections. POST
 * /link?name=N opens a port, POST /target?name=N&address=IP:PORT sets the
 * address that it forwards to, and GET /links returns the bytes forwarded.
 */
#include <string.h>

#include "common/list.h"
#include "proxy_pipe.h"
#include "standin.h"

#define BACKLOG 128

struct proxy_settings {
	int64_t delay_ms;
	int64_t bytes_per_s;
};

struct proxy_state {
	struct standin *standin;
	struct proxy_settings settings;
	struct proxy_shape shape;
	struct list links;
	uv_timer_t timer;
};

/* A listening port and the address that it forwards to. */
struct link {
	struct list link;
	struct proxy_state *state;
	char *name;
	uv_tcp_t *listener;
	struct sockaddr_in target;
	bool has_target;
	struct list pipes;
	uint64_t bytes;
};

static void on_handle_closed(uv_handle_t *handle)
{
	g_free(handle);
}

/* Derives the delay, rate and state of all links from the active fault. */
static void shape_update(struct proxy_state *state)
{
	struct standin *standin = state->standin;
	const struct fault *fault = standin_fault(standin);
	struct proxy_shape *shape = &state->shape;

	shape->cut = standin_fault_active(standin, FAULT_CUT);
	shape->reset = standin_fault_active(standin, FAULT_RESET);
	shape->delay_ms = standin_fault_active(standin, FAULT_SLOW) ?
				  fault->ms :
				  (uint64_t)state->settings.delay_ms;
	shape->bytes_per_s = standin_fault_active(standin, FAULT_NARROW) ?
				     fault->count :
				     (uint64_t)state->settings.bytes_per_s;
}

static void resume_pipes(struct proxy_state *state)
{
	struct list *link_pos, *pos, *tmp;

	list_for_each (link_pos, &state->links) {
		struct link *link = list_entry(link_pos, struct link, link);

		list_for_each_safe (pos, tmp, &link->pipes) {
			struct proxy_pipe *pipe =
				list_entry(pos, struct proxy_pipe, link);

			if (state->shape.reset)
				proxy_pipe_close(pipe, true);
			else
				proxy_pipe_resume(pipe);
		}
	}
}

static void on_fault_end(uv_timer_t *timer)
{
	struct proxy_state *state = timer->data;

	shape_update(state);
	resume_pipes(state);
}

static void proxy_on_fault(void *data, const struct fault *fault)
{
	struct proxy_state *state = data;

	shape_update(state);
	resume_pipes(state);
	/*
	 * Sets a timer that resumes the connections when a fault with a time
	 * limit ends. The ms of FAULT_SLOW are its delay, not a time limit.
	 */
	uv_timer_stop(&state->timer);
	if (fault->ms && fault->kind != FAULT_SLOW)
		uv_timer_start(&state->timer, on_fault_end, fault->ms + 1, 0);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct link *link = listener->data;
	uv_tcp_t *client = g_new0(uv_tcp_t, 1);

	uv_tcp_init(listener->loop, client);
	if (status != 0 || uv_accept(listener, (uv_stream_t *)client) != 0 ||
	    !link->has_target) {
		uv_close((uv_handle_t *)client, on_handle_closed);
		return;
	}
	if (link->state->shape.reset) {
		uv_tcp_close_reset(client, on_handle_closed);
		return;
	}
	proxy_pipe_start(client, &link->target, &link->state->shape,
			 &link->pipes, &link->bytes);
}

static struct link *link_find(struct proxy_state *state, const char *name)
{
	struct list *pos;

	list_for_each (pos, &state->links) {
		struct link *link = list_entry(pos, struct link, link);

		if (name && !strcmp(link->name, name))
			return link;
	}
	return NULL;
}

static struct link *link_open(struct proxy_state *state, const char *name)
{
	struct link *link = g_new0(struct link, 1);
	struct sockaddr_in address;

	link->state = state;
	link->name = g_strdup(name);
	list_init(&link->pipes);
	list_append(&state->links, &link->link);
	link->listener = g_new0(uv_tcp_t, 1);
	uv_tcp_init(standin_loop(state->standin), link->listener);
	link->listener->data = link;
	uv_ip4_addr("127.0.0.1", 0, &address);
	uv_tcp_bind(link->listener, (struct sockaddr *)&address, 0);
	uv_listen((uv_stream_t *)link->listener, BACKLOG, on_connection);
	return link;
}

static void answer_port(const struct link *link, struct web_request *request)
{
	struct sockaddr_in address;
	int len = sizeof(address);
	char text[64];

	uv_tcp_getsockname(link->listener, (struct sockaddr *)&address, &len);
	g_snprintf(text, sizeof(text), "127.0.0.1:%u\n",
		   ntohs(address.sin_port));
	web_answer(request, 200, "text/plain", text, strlen(text));
}

static void on_link(void *ctx, struct web_request *request)
{
	struct proxy_state *state = ctx;
	char *name = standin_query(request, "name");
	struct link *link = link_find(state, name);

	if (!name)
		web_problem(request, 400, "No name", "name=N is missing");
	else
		answer_port(link ? link : link_open(state, name), request);
	g_free(name);
}

static bool parse_target(const char *text, struct sockaddr_in *target)
{
	char **parts = g_strsplit(text ? text : "", ":", 2);
	bool ok =
		parts[0] && parts[1] &&
		uv_ip4_addr(parts[0], (int)g_ascii_strtoll(parts[1], NULL, 10),
			    target) == 0;

	g_strfreev(parts);
	return ok;
}

static void on_target(void *ctx, struct web_request *request)
{
	char *name = standin_query(request, "name");
	char *address = standin_query(request, "address");
	struct link *link = link_find(ctx, name);

	if (!link || !parse_target(address, &link->target)) {
		web_problem(request, 400, "No such link or address",
			    "unknown link name or invalid IP:PORT");
	} else {
		link->has_target = true;
		web_answer(request, 200, "text/plain", "ok\n", 3);
	}
	g_free(name);
	g_free(address);
}

static void on_links(void *ctx, struct web_request *request)
{
	struct proxy_state *state = ctx;
	struct json_object *root = json_object_new_object();
	struct list *pos;

	list_for_each (pos, &state->links) {
		const struct link *link = list_entry(pos, struct link, link);

		json_object_object_add(
			root, link->name,
			json_object_new_int64((int64_t)link->bytes));
	}
	standin_answer_json(state->standin, request, 200, root);
}

static void *proxy_create(struct standin *standin, const void *settings)
{
	struct proxy_state *state = g_new0(struct proxy_state, 1);

	state->standin = standin;
	state->settings = *(const struct proxy_settings *)settings;
	list_init(&state->links);
	uv_timer_init(standin_loop(standin), &state->timer);
	state->timer.data = state;
	shape_update(state);
	web_route(standin_web(standin), "/link", on_link, state);
	web_route(standin_web(standin), "/target", on_target, state);
	web_route(standin_web(standin), "/links", on_links, state);
	return state;
}

static void link_free(struct link *link)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &link->pipes)
		proxy_pipe_close(list_entry(pos, struct proxy_pipe, link),
				 false);
	uv_close((uv_handle_t *)link->listener, on_handle_closed);
	list_remove(&link->link);
	g_free(link->name);
	g_free(link);
}

static void on_timer_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void proxy_destroy(void *data)
{
	struct proxy_state *state = data;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &state->links)
		link_free(list_entry(pos, struct link, link));
	uv_timer_stop(&state->timer);
	uv_close((uv_handle_t *)&state->timer, on_timer_closed);
}

static const struct standin_option proxy_options[] = {
	{ "delay-ms", offsetof(struct proxy_settings, delay_ms), 0,
	  .help = "delay in each direction, in ms" },
	{ "bytes-per-s", offsetof(struct proxy_settings, bytes_per_s), 0,
	  .help = "total rate of all links in each direction, 0 for no limit" },
	{ 0 },
};

const struct standin_command proxy_command = {
	.name = "proxy",
	.options = proxy_options,
	.settings_size = sizeof(struct proxy_settings),
	.create = proxy_create,
	.destroy = proxy_destroy,
	.on_fault_change = proxy_on_fault,
};
