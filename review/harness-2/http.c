#include "http.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#define STACK_BYTES (256 << 10)
#define BACKLOG 4096

struct server {
	int listener;
	http_handler handler;
	void *ctx;
};

struct connection {
	int fd;
	struct server *server;
};

int http_listen(int port, int *listener)
{
	struct sockaddr_in addr = { .sin_family = AF_INET };
	socklen_t len = sizeof(addr);
	int on = 1;

	*listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	addr.sin_port = htons((uint16_t)port);
	addr.sin_addr.s_addr = inet_addr(HTTP_IP);
	setsockopt(*listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(*listener, (struct sockaddr *)&addr, len) ||
	    listen(*listener, BACKLOG) ||
	    getsockname(*listener, (struct sockaddr *)&addr, &len)) {
		close(*listener);
		return -1;
	}
	return ntohs(addr.sin_port);
}

bool http_field(const char *head, const char *name, char *value, size_t size)
{
	size_t name_len = strlen(name);
	const char *line = head;

	for (; line && *line; line = strchr(line, '\n'), line += !!line) {
		size_t len;

		if (strncasecmp(line, name, name_len) != 0 ||
		    line[name_len] != ':')
			continue;
		line += name_len + 1;
		line += strspn(line, " ");
		len = strcspn(line, "\r\n");
		if (len >= size)
			len = size - 1;
		memcpy(value, line, len);
		value[len] = '\0';
		return true;
	}
	return false;
}

bool http_query_text(const char *target, const char *name, char *value,
		     size_t size)
{
	const char *at = strchr(target, '?');
	size_t name_len = strlen(name);

	while (at) {
		size_t len;

		at++;
		if (!strncmp(at, name, name_len) && at[name_len] == '=') {
			at += name_len + 1;
			len = strcspn(at, "&");
			if (len >= size)
				len = size - 1;
			memcpy(value, at, len);
			value[len] = '\0';
			return true;
		}
		at = strchr(at, '&');
	}
	return false;
}

long long http_query(const char *target, const char *name, long long fallback)
{
	char text[32];

	return http_query_text(target, name, text, sizeof(text)) ?
		       strtoll(text, NULL, 10) :
		       fallback;
}

bool http_send(int fd, const void *data, size_t len)
{
	const char *at = data;

	while (len) {
		ssize_t nr = send(fd, at, len, MSG_NOSIGNAL);

		if (nr <= 0)
			return false;
		at += nr;
		len -= (size_t)nr;
	}
	return true;
}

bool http_answer(int fd, int status, const char *fields, const void *body,
		 size_t len)
{
	char head[1024];
	int nr = snprintf(head, sizeof(head),
			  "HTTP/1.1 %d X\r\n%sContent-Length: %zu\r\n\r\n",
			  status, fields ? fields : "", len);

	return http_send(fd, head, (size_t)nr) &&
	       (!len || http_send(fd, body, len));
}

bool http_parse_head(struct http_request *request, char *head)
{
	char *line_end = strstr(head, "\r\n");
	char *space = strchr(head, ' ');
	char *end;

	if (!line_end || !space || space > line_end ||
	    (size_t)(space - head) >= sizeof(request->method))
		return false;
	memcpy(request->method, head, (size_t)(space - head));
	request->method[space - head] = '\0';
	request->target = space + 1;
	end = strchr(request->target, ' ');
	if (!end || end > line_end)
		return false;
	*end = '\0';
	request->head = line_end + 2;
	return true;
}

/* Reads and handles one request; *held bytes of it are in the buffer already. Returns
 * whether the connection is kept. */
static bool serve_one(struct connection *conn, char *buffer, size_t *held)
{
	struct http_request request = { .fd = conn->fd };
	char length[32], *end;
	size_t have;
	bool keep;

	while (!(end = memmem(buffer, *held, "\r\n\r\n", 4))) {
		ssize_t nr;

		if (*held >= HTTP_HEAD_MAX)
			return false;
		nr = recv(conn->fd, buffer + *held, HTTP_HEAD_MAX - *held, 0);
		if (nr <= 0)
			return false;
		*held += (size_t)nr;
	}
	end[2] = '\0';
	end += 4;
	have = *held - (size_t)(end - buffer);
	if (!http_parse_head(&request, buffer))
		return false;
	if (http_field(request.head, "Content-Length", length, sizeof(length)))
		request.len = strtoul(length, NULL, 10);
	request.body = malloc(request.len + 1);
	if (have > request.len)
		have = request.len;
	memcpy(request.body, end, have);
	*held -= (size_t)(end - buffer) + have;
	while (have < request.len) {
		ssize_t nr = recv(conn->fd, request.body + have,
				  request.len - have, 0);

		if (nr <= 0) {
			free(request.body);
			return false;
		}
		have += (size_t)nr;
	}
	request.body[request.len] = '\0';
	keep = conn->server->handler(conn->server->ctx, &request);
	memmove(buffer, end + request.len, *held);
	free(request.body);
	return keep;
}

static void *connection_run(void *arg)
{
	struct connection *conn = arg;
	char *buffer = malloc(HTTP_HEAD_MAX + 1);
	size_t held = 0;
	int on = 1;

	setsockopt(conn->fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	while (serve_one(conn, buffer, &held))
		;
	close(conn->fd);
	free(buffer);
	free(conn);
	return NULL;
}

static void *server_run(void *arg)
{
	struct server *server = arg;
	pthread_attr_t attr;

	pthread_attr_init(&attr);
	pthread_attr_setdetachstate(&attr, PTHREAD_CREATE_DETACHED);
	pthread_attr_setstacksize(&attr, STACK_BYTES);
	for (;;) {
		struct connection *conn;
		pthread_t thread;
		int fd = accept4(server->listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd < 0)
			continue;
		conn = calloc(1, sizeof(*conn));
		conn->fd = fd;
		conn->server = server;
		if (pthread_create(&thread, &attr, connection_run, conn)) {
			close(fd);
			free(conn);
		}
	}
	return NULL;
}

void http_serve(int listener, http_handler handler, void *ctx)
{
	struct server *server = calloc(1, sizeof(*server));
	pthread_t thread;

	server->listener = listener;
	server->handler = handler;
	server->ctx = ctx;
	pthread_create(&thread, NULL, server_run, server);
	pthread_detach(thread);
}
