/**
 * One kept HTTP/1.1 connection to a server, on the process's uv loop.
 *
 * A link carries one exchange at a time. The end of an exchange says what is
 * known of its fate: only HTTP_LINK_UNSENT proves that the other side saw no
 * byte of the request.
 */
#ifndef BRIARPLANK_NET_HTTP_LINK_H
#define BRIARPLANK_NET_HTTP_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <uv.h>

struct http_link;

enum http_link_end {
	/** The whole answer arrived. */
	HTTP_LINK_WHOLE,
	/** The connection was never established. */
	HTTP_LINK_UNSENT,
	/** The connection broke before the head of the answer. */
	HTTP_LINK_NO_HEAD,
	/** The connection broke in the answer's body. */
	HTTP_LINK_CUT,
	/** The bytes that came are no HTTP answer. */
	HTTP_LINK_GARBLED,
};

struct http_link_field {
	char *name;
	char *value;
};

/** Status line and fields of an answer; valid during on_head. */
struct http_link_head {
	int status;
	const struct http_link_field *fields;
	size_t fields_nr;
	/** The body's length is given, or it comes in chunks. */
	bool framed;
	/** Content-Length, or -1. */
	int64_t length;
};

/** Whom an exchange tells. None is called after http_link_close(). */
struct http_link_handlers {
	/**
	 * Returns false for an answer that isn't to this request; it is
	 * skipped and the next one is waited for.
	 */
	bool (*on_head)(void *ctx, const struct http_link_head *head);
	void (*on_body)(void *ctx, const char *data, size_t len);
	/** Called once, last; the link may be closed or used again in it. */
	void (*on_end)(void *ctx, enum http_link_end end);
};

struct http_link_options {
	uv_loop_t *loop;
	/** IP:PORT, numeric. */
	const char *address;
	/** Time in which the connection must be established, in ms. */
	uint32_t connect_timeout_ms;
	/** Time in which sent bytes must be acknowledged, in ms. */
	uint32_t unacked_timeout_ms;
	/** Called when the connection ends between exchanges; may be NULL. */
	void (*on_lost)(void *ctx, struct http_link *link);
	void *ctx;
};

/** Starts to connect; the link lives until http_link_close(). */
struct http_link *http_link_open(const struct http_link_options *options);

/** Closes the connection; no callback comes any more. */
void http_link_close(struct http_link *link);

/** Sends a request; takes over the buffer. The link must be idle. */
void http_link_send(struct http_link *link, GString *request,
		    const struct http_link_handlers *handlers, void *ctx);

/** Tells whether another exchange may follow on this connection. */
bool http_link_reusable(const struct http_link *link);

/** The server's idle timeout in ms; 0 when it named none. */
uint64_t http_link_idle_limit_ms(const struct http_link *link);

/** Time of the loop at which the last exchange ended, in ms. */
uint64_t http_link_idle_since_ms(const struct http_link *link);

/** Returns a field's value, its name in any case, or NULL. */
const char *http_link_head_field(const struct http_link_head *head,
				 const char *name);

#endif
