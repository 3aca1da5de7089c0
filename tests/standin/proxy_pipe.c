/*
 * Forwards the bytes of one proxied connection in both directions.
 */
#include <string.h>

#include <glib.h>

#include "proxy_pipe.h"
#include "standin.h"

/* Number of queued bytes at which a direction stops reading. */
#define QUEUE_MAX_BYTES (1 << 20)
#define READ_BYTES 65536

/* Bytes that were read and are to be written at due_us. */
struct chunk {
	struct list link;
	uint64_t due_us;
	size_t len;
	uv_write_t write;
	char bytes[];
};

struct pipe;

/* One direction of a connection. */
struct flow {
	struct pipe *pipe;
	enum proxy_direction direction;
	uv_tcp_t *from;
	uv_tcp_t *to;
	uv_timer_t *timer;
	struct list queue;
	size_t queued;
	bool reading;
	bool ended;
	/* Time at which the end of the connection is to be forwarded. */
	uint64_t end_us;
};

struct pipe {
	struct proxy_pipe super;
	struct proxy_shape *shape;
	struct sockaddr_in target;
	uint64_t *bytes;
	struct flow flows[PROXY_DIRECTIONS];
	uv_connect_t *connect;
	bool connected;
	char buffer[READ_BYTES];
};

static void flow_run(struct flow *flow);

static struct pipe *pipe_of(struct proxy_pipe *pipe)
{
	return (struct pipe *)pipe;
}

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	struct flow *flow = handle->data;

	(void)size;
	*buf = uv_buf_init(flow->pipe->buffer, READ_BYTES);
}

/* Returns the time at which bytes that are read now are to be written. */
static uint64_t due_us(struct flow *flow, size_t len)
{
	struct proxy_shape *shape = flow->pipe->shape;
	uint64_t *free_us = &shape->free_us[flow->direction];
	uint64_t now_us = standin_now_us();

	if (shape->bytes_per_s) {
		*free_us = MAX(*free_us, now_us) +
			   len * 1000000 / shape->bytes_per_s;
		now_us = *free_us;
	}
	return now_us + shape->delay_ms * 1000;
}

static void stop_reading(struct flow *flow)
{
	if (flow->reading)
		uv_read_stop((uv_stream_t *)flow->from);
	flow->reading = false;
}

static void on_read(uv_stream_t *stream, ssize_t nr, const uv_buf_t *buf)
{
	struct flow *flow = stream->data;
	struct chunk *chunk;

	if (nr == 0)
		return;
	if (nr < 0) {
		stop_reading(flow);
		flow->ended = true;
		flow->end_us = due_us(flow, 0);
	} else {
		chunk = g_malloc0(sizeof(*chunk) + nr);
		chunk->due_us = due_us(flow, nr);
		chunk->len = nr;
		memcpy(chunk->bytes, buf->base, nr);
		list_append(&flow->queue, &chunk->link);
		flow->queued += nr;
		*flow->pipe->bytes += nr;
	}
	flow_run(flow);
}

static void update_reading(struct flow *flow)
{
	bool wanted = flow->pipe->connected && !flow->ended &&
		      !flow->pipe->shape->cut && flow->queued < QUEUE_MAX_BYTES;

	if (!wanted) {
		stop_reading(flow);
		return;
	}
	if (flow->reading)
		return;
	flow->from->data = flow;
	flow->reading = true;
	uv_read_start((uv_stream_t *)flow->from, on_alloc, on_read);
}

static void on_written(uv_write_t *write, int status)
{
	(void)status;
	g_free(write->data);
}

static void write_due(struct flow *flow)
{
	uint64_t now_us = standin_now_us();
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &flow->queue) {
		struct chunk *chunk = list_entry(pos, struct chunk, link);
		uv_buf_t buf = uv_buf_init(chunk->bytes, chunk->len);

		if (chunk->due_us > now_us)
			return;
		chunk->write.data = chunk;
		if (uv_write(&chunk->write, (uv_stream_t *)flow->to, &buf, 1,
			     on_written) != 0)
			return;
		list_remove(pos);
		flow->queued -= chunk->len;
	}
}

static void on_flow_timer(uv_timer_t *timer)
{
	flow_run(timer->data);
}

static void schedule_flow(struct flow *flow, uint64_t at_us)
{
	uint64_t now_us = standin_now_us();
	uint64_t wait_ms = at_us > now_us ? (at_us - now_us + 999) / 1000 : 0;

	uv_update_time(flow->timer->loop);
	uv_timer_start(flow->timer, on_flow_timer, wait_ms, 0);
}

/*
 * Writes the chunks that are due and sets a timer for the next one. Closes
 * the pipe when the end of the connection is due.
 */
static void flow_run(struct flow *flow)
{
	struct list *first;

	if (!flow->pipe->connected || flow->pipe->shape->cut) {
		stop_reading(flow);
		return;
	}
	write_due(flow);
	update_reading(flow);
	first = list_first(&flow->queue);
	if (first)
		schedule_flow(flow,
			      list_entry(first, struct chunk, link)->due_us);
	else if (flow->ended && flow->end_us <= standin_now_us())
		proxy_pipe_close(&flow->pipe->super, false);
	else if (flow->ended)
		schedule_flow(flow, flow->end_us);
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct pipe *pipe = connect->data;

	g_free(connect);
	if (!pipe)
		return;
	pipe->connect = NULL;
	if (status != 0) {
		proxy_pipe_close(&pipe->super, false);
		return;
	}
	pipe->connected = true;
	proxy_pipe_resume(&pipe->super);
}

/* Connects to the target, unless the link is cut. */
static void connect_target(struct pipe *pipe)
{
	if (pipe->connect || pipe->connected || pipe->shape->cut)
		return;
	pipe->connect = g_new0(uv_connect_t, 1);
	pipe->connect->data = pipe;
	uv_tcp_connect(pipe->connect, pipe->flows[PROXY_TO_CLIENT].from,
		       (const struct sockaddr *)&pipe->target, on_connected);
}

void proxy_pipe_resume(struct proxy_pipe *super)
{
	struct pipe *pipe = pipe_of(super);
	int i;

	connect_target(pipe);
	for (i = 0; i < PROXY_DIRECTIONS; i++) {
		if (pipe->connected)
			schedule_flow(&pipe->flows[i], 0);
		if (pipe->shape->cut)
			stop_reading(&pipe->flows[i]);
	}
}

static void flow_init(struct pipe *pipe, enum proxy_direction direction,
		      uv_tcp_t *from, uv_tcp_t *to)
{
	struct flow *flow = &pipe->flows[direction];

	flow->pipe = pipe;
	flow->direction = direction;
	flow->from = from;
	flow->to = to;
	list_init(&flow->queue);
	flow->timer = g_new0(uv_timer_t, 1);
	uv_timer_init(from->loop, flow->timer);
	flow->timer->data = flow;
}

void proxy_pipe_start(uv_tcp_t *client, const struct sockaddr_in *target,
		      struct proxy_shape *shape, struct list *pipes,
		      uint64_t *bytes)
{
	struct pipe *pipe = g_new0(struct pipe, 1);
	uv_tcp_t *server = g_new0(uv_tcp_t, 1);

	uv_tcp_init(client->loop, server);
	uv_tcp_nodelay(client, 1);
	pipe->shape = shape;
	pipe->target = *target;
	pipe->bytes = bytes;
	flow_init(pipe, PROXY_TO_TARGET, client, server);
	flow_init(pipe, PROXY_TO_CLIENT, server, client);
	list_append(pipes, &pipe->super.link);
	proxy_pipe_resume(&pipe->super);
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle);
}

static void close_end(uv_tcp_t *end, bool reset)
{
	/* A socket that is not connected can't be reset, so it is closed. */
	if (!reset || uv_tcp_close_reset(end, on_closed) != 0)
		uv_close((uv_handle_t *)end, on_closed);
}

void proxy_pipe_close(struct proxy_pipe *super, bool reset)
{
	struct pipe *pipe = pipe_of(super);
	int i;

	if (pipe->connect)
		pipe->connect->data = NULL;
	for (i = 0; i < PROXY_DIRECTIONS; i++) {
		struct flow *flow = &pipe->flows[i];
		struct list *pos, *tmp;

		list_for_each_safe (pos, tmp, &flow->queue)
			g_free(list_entry(pos, struct chunk, link));
		uv_timer_stop(flow->timer);
		uv_close((uv_handle_t *)flow->timer, on_closed);
		close_end(flow->from, reset);
	}
	list_remove(&pipe->super.link);
	g_free(pipe);
}
