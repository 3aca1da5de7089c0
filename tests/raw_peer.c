#include <arpa/inet.h>
#include <string.h>

#include "common/list.h"
#include "raw_peer.h"

#define READ_BYTES 65536
/* Length of one write of a server that repeats its last line. */
#define REPEAT_BYTES 16384
/* Interval at which a trickling server sends a byte, in ms. */
#define TRICKLE_MS 200

/* A connection of the server; freed when it is closed. */
struct raw_conn {
	struct list link;
	struct raw_server *server;
	uv_tcp_t tcp;
	uv_shutdown_t shutdown;
	bool answered;
};

/* The late part of a reply. */
struct late_reply {
	struct list link;
	struct raw_conn *conn;
	uv_timer_t timer;
	char *bytes;
};

struct raw_server {
	uv_loop_t *loop;
	uv_tcp_t listener;
	uv_timer_t trickle;
	char *address;
	char *bytes;
	enum raw_close_mode then;
	GString *received;
	unsigned accepted;
	uint64_t repeated;
	struct list conns;
	unsigned replies;
	struct list late;
};

struct raw_client {
	uv_tcp_t tcp;
	uv_connect_t connect;
	uv_shutdown_t shutdown;
	bool connected;
	bool ended;
	bool half_close;
	bool paused;
	/* Bytes to send once connected. */
	GString *unsent;
	GString *received;
};

static void on_alloc(uv_handle_t *handle, size_t size, uv_buf_t *buf)
{
	(void)handle;
	(void)size;
	buf->base = g_malloc(READ_BYTES);
	buf->len = READ_BYTES;
}

static void on_written(uv_write_t *write, int status)
{
	(void)status;
	g_free(write->data);
	g_free(write);
}

static void write_copy(uv_tcp_t *tcp, const char *bytes, size_t len)
{
	uv_write_t *write = g_new0(uv_write_t, 1);
	uv_buf_t buf;

	write->data = g_memdup2(bytes, len);
	buf = uv_buf_init(write->data, (unsigned)len);
	uv_write(write, (uv_stream_t *)tcp, &buf, 1, on_written);
}

static void on_conn_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

static void on_late_closed(uv_handle_t *handle)
{
	struct late_reply *late = handle->data;

	g_free(late->bytes);
	g_free(late);
}

static void late_free(struct late_reply *late)
{
	list_remove(&late->link);
	uv_close((uv_handle_t *)&late->timer, on_late_closed);
}

static void on_late(uv_timer_t *timer)
{
	struct late_reply *late = timer->data;

	write_copy(&late->conn->tcp, late->bytes, strlen(late->bytes));
	late_free(late);
}

static void conn_close(struct raw_conn *conn, bool reset)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &conn->server->late) {
		struct late_reply *late =
			list_entry(pos, struct late_reply, link);

		if (late->conn == conn)
			late_free(late);
	}
	list_remove(&conn->link);
	if (reset)
		uv_tcp_close_reset(&conn->tcp, on_conn_closed);
	else
		uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void conn_repeat(struct raw_conn *conn);

static void on_repeated(uv_write_t *write, int status)
{
	struct raw_conn *conn = write->handle->data;

	g_free(write->data);
	g_free(write);
	if (status != 0)
		return;
	conn->server->repeated += REPEAT_BYTES;
	conn_repeat(conn);
}

static void conn_repeat(struct raw_conn *conn)
{
	const char *bytes = conn->server->bytes;
	size_t len = strlen(bytes);
	GString *out = g_string_new(NULL);
	uv_write_t *write = g_new0(uv_write_t, 1);
	uv_buf_t buf;

	while (len > 1 && bytes[len - 2] != '\n')
		len--;
	while (out->len < REPEAT_BYTES)
		g_string_append(out, bytes + len - 1);
	buf = uv_buf_init(out->str, (unsigned)out->len);
	write->data = g_string_free(out, FALSE);
	if (uv_write(write, (uv_stream_t *)&conn->tcp, &buf, 1, on_repeated)) {
		g_free(write->data);
		g_free(write);
	}
}

static void on_trickle(uv_timer_t *timer)
{
	struct raw_server *server = timer->data;
	struct list *pos;

	list_for_each (pos, &server->conns) {
		struct raw_conn *conn = list_entry(pos, struct raw_conn, link);

		if (conn->answered)
			write_copy(&conn->tcp, "x", 1);
	}
}

/* Sends the next reply of a server with RAW_REPLIES. */
static void conn_reply(struct raw_conn *conn)
{
	struct raw_server *server = conn->server;
	char **replies = g_strsplit(server->bytes, "\f", -1);
	unsigned at = MIN(server->replies, g_strv_length(replies) - 1);
	char **parts = g_strsplit(replies[at], "\v", 2);
	struct late_reply *late;

	server->replies++;
	if (*parts[0])
		write_copy(&conn->tcp, parts[0], strlen(parts[0]));
	if (parts[1]) {
		late = g_new0(struct late_reply, 1);
		late->conn = conn;
		late->bytes = g_strdup(parts[1]);
		list_append(&server->late, &late->link);
		uv_timer_init(server->loop, &late->timer);
		late->timer.data = late;
		uv_timer_start(&late->timer, on_late, RAW_LATE_MS, 0);
	}
	g_strfreev(parts);
	g_strfreev(replies);
}

static void on_shutdown(uv_shutdown_t *shutdown, int status)
{
	(void)shutdown;
	(void)status;
}

static void on_conn_read(uv_stream_t *stream, ssize_t nr, const uv_buf_t *buf)
{
	struct raw_conn *conn = stream->data;
	struct raw_server *server = conn->server;

	if (nr > 0)
		g_string_append_len(server->received, buf->base, nr);
	g_free(buf->base);
	if (nr < 0) {
		conn_close(conn, false);
		return;
	}
	if (nr > 0 && server->then == RAW_REPLIES) {
		conn_reply(conn);
		return;
	}
	if (conn->answered || nr == 0)
		return;
	conn->answered = true;
	if (*server->bytes)
		write_copy(&conn->tcp, server->bytes, strlen(server->bytes));
	if (server->then == RAW_REPEAT)
		conn_repeat(conn);
	else if (server->then == RAW_FINISH)
		uv_shutdown(&conn->shutdown, (uv_stream_t *)&conn->tcp,
			    on_shutdown);
	else if (server->then != RAW_KEEP_OPEN && server->then != RAW_TRICKLE)
		conn_close(conn, server->then == RAW_RESET);
}

static void on_conn(uv_stream_t *listener, int status)
{
	struct raw_server *server = listener->data;
	struct raw_conn *conn;

	if (status != 0)
		return;
	conn = g_new0(struct raw_conn, 1);
	conn->server = server;
	server->accepted++;
	list_append(&server->conns, &conn->link);
	uv_tcp_init(server->loop, &conn->tcp);
	conn->tcp.data = conn;
	uv_accept(listener, (uv_stream_t *)&conn->tcp);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_conn_read);
}

struct raw_server *raw_server_create(uv_loop_t *loop, const char *bytes,
				     enum raw_close_mode then)
{
	struct raw_server *server = g_new0(struct raw_server, 1);
	struct sockaddr_in addr;
	int len = sizeof(addr);

	server->loop = loop;
	server->bytes = g_strdup(bytes);
	server->then = then;
	server->received = g_string_new(NULL);
	list_init(&server->conns);
	list_init(&server->late);
	uv_tcp_init(loop, &server->listener);
	server->listener.data = server;
	uv_timer_init(loop, &server->trickle);
	server->trickle.data = server;
	if (then == RAW_TRICKLE)
		uv_timer_start(&server->trickle, on_trickle, TRICKLE_MS,
			       TRICKLE_MS);
	uv_ip4_addr("127.0.0.1", 0, &addr);
	uv_tcp_bind(&server->listener, (struct sockaddr *)&addr, 0);
	uv_listen((uv_stream_t *)&server->listener, 16, on_conn);
	uv_tcp_getsockname(&server->listener, (struct sockaddr *)&addr, &len);
	server->address = g_strdup_printf("127.0.0.1:%d", ntohs(addr.sin_port));
	return server;
}

const char *raw_server_address(const struct raw_server *server)
{
	return server->address;
}

const GString *raw_server_received(const struct raw_server *server)
{
	return server->received;
}

unsigned raw_server_accepted(const struct raw_server *server)
{
	return server->accepted;
}

unsigned raw_server_open(const struct raw_server *server)
{
	const struct list *pos;
	unsigned nr = 0;

	list_for_each (pos, &server->conns)
		nr++;
	return nr;
}

unsigned raw_server_replies(const struct raw_server *server)
{
	return server->replies;
}

uint64_t raw_server_repeated(const struct raw_server *server)
{
	return server->repeated;
}

void raw_server_destroy(struct raw_server *server)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &server->conns)
		conn_close(list_entry(pos, struct raw_conn, link), false);
	uv_close((uv_handle_t *)&server->listener, NULL);
	uv_close((uv_handle_t *)&server->trickle, NULL);
	uv_run(server->loop, UV_RUN_NOWAIT);
	g_string_free(server->received, TRUE);
	g_free(server->address);
	g_free(server->bytes);
	g_free(server);
}

static void on_client_read(uv_stream_t *stream, ssize_t nr, const uv_buf_t *buf)
{
	struct raw_client *client = stream->data;

	if (nr > 0)
		g_string_append_len(client->received, buf->base, nr);
	g_free(buf->base);
	if (nr < 0) {
		client->ended = true;
		uv_read_stop(stream);
	}
}

static void on_connected(uv_connect_t *connect, int status)
{
	struct raw_client *client = connect->data;

	if (status != 0) {
		client->ended = true;
		return;
	}
	client->connected = true;
	raw_client_read(client, !client->paused);
	if (client->unsent->len)
		write_copy(&client->tcp, client->unsent->str,
			   client->unsent->len);
	if (client->half_close)
		raw_client_half_close(client);
}

struct raw_client *raw_client_create(uv_loop_t *loop, const char *address)
{
	struct raw_client *client = g_new0(struct raw_client, 1);
	const char *colon = strrchr(address, ':');
	char *host = g_strndup(address, colon - address);
	struct sockaddr_in addr;

	client->unsent = g_string_new(NULL);
	client->received = g_string_new(NULL);
	uv_ip4_addr(host, (int)g_ascii_strtoll(colon + 1, NULL, 10), &addr);
	g_free(host);
	uv_tcp_init(loop, &client->tcp);
	client->tcp.data = client;
	client->connect.data = client;
	uv_tcp_connect(&client->connect, &client->tcp, (struct sockaddr *)&addr,
		       on_connected);
	return client;
}

void raw_client_send(struct raw_client *client, const char *bytes, size_t len)
{
	if (client->connected)
		write_copy(&client->tcp, bytes, len);
	else
		g_string_append_len(client->unsent, bytes, (gssize)len);
}

void raw_client_half_close(struct raw_client *client)
{
	client->half_close = true;
	if (client->connected)
		uv_shutdown(&client->shutdown, (uv_stream_t *)&client->tcp,
			    on_shutdown);
}

void raw_client_read(struct raw_client *client, bool read)
{
	client->paused = !read;
	if (!client->connected)
		return;
	if (read)
		uv_read_start((uv_stream_t *)&client->tcp, on_alloc,
			      on_client_read);
	else
		uv_read_stop((uv_stream_t *)&client->tcp);
}

GString *raw_client_received(struct raw_client *client)
{
	return client->received;
}

bool raw_client_ended(const struct raw_client *client)
{
	return client->ended;
}

static void on_client_closed(uv_handle_t *handle)
{
	struct raw_client *client = handle->data;

	g_string_free(client->received, TRUE);
	g_string_free(client->unsent, TRUE);
	g_free(client);
}

void raw_client_destroy(struct raw_client *client, bool reset)
{
	if (reset && client->connected)
		uv_tcp_close_reset(&client->tcp, on_client_closed);
	else
		uv_close((uv_handle_t *)&client->tcp, on_client_closed);
}
