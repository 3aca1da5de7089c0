/**
 * A small HTTP/1.1 server with a thread for each connection.
 */
#ifndef BRIARPLANK_REVIEW_HTTP_H
#define BRIARPLANK_REVIEW_HTTP_H

#include <stdbool.h>
#include <stddef.h>

#define HTTP_HEAD_MAX 65536
/** Address of all listeners. Outgoing connections have another one. */
#define HTTP_IP "127.0.0.2"

struct http_request {
	int fd;
	char method[16];
	char *target;
	/** The header fields, as lines. */
	char *head;
	char *body;
	size_t len;
};

/** Handles a request; returns whether the connection is kept. */
typedef bool (*http_handler)(void *ctx, const struct http_request *request);

/** Listens on a port of HTTP_IP, or any if it is 0; returns the port or -1. */
int http_listen(int port, int *listener);
/** Serves the connections of a listener in a thread of its own. */
void http_serve(int listener, http_handler handler, void *ctx);
/** Splits a head in place into the request line and the fields. */
bool http_parse_head(struct http_request *request, char *head);
/** Copies the value of a header field; returns whether it is there. */
bool http_field(const char *head, const char *name, char *value, size_t size);
/** Returns a number of the query, or the fallback. */
long long http_query(const char *target, const char *name, long long fallback);
bool http_query_text(const char *target, const char *name, char *value,
		     size_t size);
bool http_send(int fd, const void *data, size_t len);
/** Sends an answer with a length. */
bool http_answer(int fd, int status, const char *fields, const void *body,
		 size_t len);

#endif
