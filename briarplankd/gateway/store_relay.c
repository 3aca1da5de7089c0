#include <arpa/inet.h>
#include <netinet/tcp.h>

#include "common/error.h"
#include "common/log.h"
#include "net/address.h"
#include "peers.h"
#include "store_relay.h"

/* Maximum number of connections relayed at once. Each entry that can't reach
 * the store has a few connections. */
#define PIPES_MAX 128
#define LISTEN_BACKLOG 64
/* Timeout for connecting to the store, in ms; the same as for this node's own
 * calls. */
#define CONNECT_TIMEOUT_MS 1000
/* TCP_USER_TIMEOUT: time in which sent bytes must be acknowledged, in ms. */
#define UNACKED_TIMEOUT_MS 1500
/* Idle time before the first TCP keepalive probe, in s. */
#define KEEPALIVE_S 5
/* Size of the read buffer, which all connections share. */
#define READ_BUFFER_BYTES 65536

enum { TO_STORE, TO_ENTRY, ENDS };

struct pipe;

/* One of a pipe's two connections. */
struct pipe_end {
	struct pipe *pipe;
	uv_tcp_t tcp;
	/* Number of writes to this connection that have not ended. */
	unsigned pending_writes;
	/* The other connection was closed; this one is closed after its last
	 * write. */
	bool eof;
};

struct pipe {
	struct list link;
	struct store_relay *relay;
	/* Connection from the entry, and connection to the store. */
	struct pipe_end entry;
	struct pipe_end store;
	uv_timer_t connect_timer;
	uv_connect_t connect;
	/* Number of handles that must be closed before the pipe is freed. */
	int handles;
	bool closing;
};

struct store_relay {
	struct gateway *gateway;
	uv_tcp_t listener;
	int port;
	struct list pipes;
	unsigned pipes_nr;
	struct sockaddr_in store;
};

struct pipe_write {
	uv_write_t req;
	struct pipe_end *end;
	char *data;
};

static void on_handle_closed(uv_handle_t *handle)
{
	struct pipe *pipe = handle->data;

	if (--pipe->handles == 0)
		g_free(pipe);
}

static void pipe_close(struct pipe *pipe)
{
	if (pipe->closing)
		return;
	pipe->closing = true;
	list_remove(&pipe->link);
	pipe->relay->pipes_nr--;
	pipe->entry.tcp.data = pipe;
	pipe->store.tcp.data = pipe;
	uv_close((uv_handle_t *)&pipe->entry.tcp, on_handle_closed);
	uv_close((uv_handle_t *)&pipe->store.tcp, on_handle_closed);
	uv_close((uv_handle_t *)&pipe->connect_timer, on_handle_closed);
}

static struct pipe_end *other_end(struct pipe_end *end)
{
	struct pipe *pipe = end->pipe;

	return end == &pipe->entry ? &pipe->store : &pipe->entry;
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char bytes[READ_BUFFER_BYTES];

	(void)handle;
	(void)suggested;
	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf);

static void on_written(uv_write_t *req, int status)
{
	struct pipe_write *write = (struct pipe_write *)req;
	struct pipe_end *end = write->end;
	struct pipe *pipe = end->pipe;

	g_free(write->data);
	g_free(write);
	end->pending_writes--;
	if (pipe->closing)
		return;
	if (status || end->eof)
		pipe_close(pipe);
	else
		uv_read_start((uv_stream_t *)&other_end(end)->tcp, on_alloc,
			      on_read);
}

/* Forwards bytes to the other connection. The source is not read again until
 * they are written, which propagates backpressure. */
static void forward(struct pipe_end *to, const char *data, size_t len)
{
	struct pipe_write *write = g_new0(struct pipe_write, 1);
	uv_buf_t buf;

	write->end = to;
	write->data = g_memdup2(data, len);
	buf = uv_buf_init(write->data, (unsigned)len);
	uv_read_stop((uv_stream_t *)&other_end(to)->tcp);
	to->pending_writes++;
	if (uv_write(&write->req, (uv_stream_t *)&to->tcp, &buf, 1,
		     on_written)) {
		to->pending_writes--;
		g_free(write->data);
		g_free(write);
		pipe_close(to->pipe);
	}
}

static void on_read(uv_stream_t *stream, ssize_t nread, const uv_buf_t *buf)
{
	struct pipe_end *end = stream->data;
	struct pipe_end *to = other_end(end);

	if (nread > 0) {
		forward(to, buf->base, (size_t)nread);
	} else if (nread == UV_EOF && to->pending_writes) {
		to->eof = true;
		uv_read_stop(stream);
	} else if (nread < 0) {
		pipe_close(end->pipe);
	}
}

static void on_connect_timeout(uv_timer_t *timer)
{
	pipe_close(timer->data);
}

static void set_socket_options(uv_tcp_t *tcp)
{
	unsigned timeout_ms = UNACKED_TIMEOUT_MS;
	uv_os_fd_t fd;

	uv_tcp_nodelay(tcp, 1);
	uv_tcp_keepalive(tcp, 1, KEEPALIVE_S);
	if (!uv_fileno((uv_handle_t *)tcp, &fd))
		setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
			   sizeof(timeout_ms));
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct pipe *pipe = connect->data;

	if (pipe->closing)
		return;
	if (status) {
		pipe_close(pipe);
		return;
	}
	uv_timer_stop(&pipe->connect_timer);
	set_socket_options(&pipe->store.tcp);
	set_socket_options(&pipe->entry.tcp);
	uv_read_start((uv_stream_t *)&pipe->entry.tcp, on_alloc, on_read);
	uv_read_start((uv_stream_t *)&pipe->store.tcp, on_alloc, on_read);
}

static void pipe_end_init(struct pipe *pipe, struct pipe_end *end)
{
	end->pipe = pipe;
	uv_tcp_init(pipe->relay->gateway->loop, &end->tcp);
	end->tcp.data = end;
}

static struct pipe *pipe_create(struct store_relay *relay)
{
	struct pipe *pipe = g_new0(struct pipe, 1);

	pipe->relay = relay;
	pipe->handles = 3;
	pipe->connect.data = pipe;
	pipe_end_init(pipe, &pipe->entry);
	pipe_end_init(pipe, &pipe->store);
	uv_timer_init(relay->gateway->loop, &pipe->connect_timer);
	pipe->connect_timer.data = pipe;
	list_append(&relay->pipes, &pipe->link);
	relay->pipes_nr++;
	return pipe;
}

/* Tells whether the address of a connection is that of a known entry. */
static bool is_known(const struct store_relay *relay, uv_tcp_t *tcp)
{
	struct sockaddr_in from;
	int len = sizeof(from);

	return !uv_tcp_getpeername(tcp, (struct sockaddr *)&from, &len) &&
	       peers_has_address(relay->gateway->peers, &from.sin_addr);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct store_relay *relay = listener->data;
	struct pipe *pipe;

	if (status) {
		log_event("store_relay", LOG_LEVEL_WARN, "accept: %s",
			  uv_strerror(status));
		return;
	}
	pipe = pipe_create(relay);
	if (uv_accept(listener, (uv_stream_t *)&pipe->entry.tcp) ||
	    relay->pipes_nr > PIPES_MAX || !is_known(relay, &pipe->entry.tcp) ||
	    uv_tcp_connect(&pipe->connect, &pipe->store.tcp,
			   (const struct sockaddr *)&relay->store,
			   on_connected)) {
		log_event("store_relay", LOG_LEVEL_WARN,
			  "connection rejected or not relayed, connections=%u",
			  relay->pipes_nr);
		pipe_close(pipe);
		return;
	}
	uv_timer_start(&pipe->connect_timer, on_connect_timeout,
		       CONNECT_TIMEOUT_MS, 0);
}

struct store_relay *store_relay_create(struct gateway *gateway, int port)
{
	struct store_relay *relay = g_new0(struct store_relay, 1);
	struct sockaddr_in addr;
	int rc, len = sizeof(addr);

	relay->gateway = gateway;
	list_init(&relay->pipes);
	uv_tcp_init(gateway->loop, &relay->listener);
	relay->listener.data = relay;
	uv_ip4_addr(gateway->settings->ip, port, &addr);
	rc = uv_tcp_bind(&relay->listener, (struct sockaddr *)&addr, 0);
	if (!rc)
		rc = uv_listen((uv_stream_t *)&relay->listener, LISTEN_BACKLOG,
			       on_connection);
	if (rc ||
	    !address_parse(gateway->settings->store_address, &relay->store)) {
		error_set("can't relay calls to the store %s on %s:%d: %s",
			  gateway->settings->store_address,
			  gateway->settings->ip, port,
			  rc ? uv_strerror(rc) : "invalid store address");
		store_relay_destroy(relay);
		return NULL;
	}
	uv_tcp_getsockname(&relay->listener, (struct sockaddr *)&addr, &len);
	relay->port = ntohs(addr.sin_port);
	return relay;
}

int store_relay_port(const struct store_relay *relay)
{
	return relay->port;
}

static void on_listener_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void store_relay_destroy(struct store_relay *relay)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &relay->pipes)
		pipe_close(list_entry(pos, struct pipe, link));
	uv_close((uv_handle_t *)&relay->listener, on_listener_closed);
}
