/**
 * A persistent HTTP/1.1 client connection on a uv loop.
 *
 * A link carries one exchange (request and answer) at a time. Only an exchange
 * that ends with HTTP_LINK_NOT_SENT is certain not to have sent any byte of its
 * request.
 */
#ifndef BRIARPLANK_NET_HTTP_LINK_H
#define BRIARPLANK_NET_HTTP_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <uv.h>

struct http_link;

/** How an exchange ended. */
enum http_link_end {
	/** The complete answer arrived. */
	HTTP_LINK_COMPLETE,
	/** The connection was never established. */
	HTTP_LINK_NOT_SENT,
	/** The connection ended before the answer's head was complete. */
	HTTP_LINK_NO_HEAD,
	/** The connection ended in the answer's body. */
	HTTP_LINK_TRUNCATED,
	/** The bytes received aren't a valid HTTP answer. */
	HTTP_LINK_MALFORMED,
};

/** What marks the end of an answer's body. */
enum http_link_framing {
	/** No head was received. */
	HTTP_LINK_FRAMING_UNKNOWN,
	/** The end of the connection. */
	HTTP_LINK_UNTIL_CLOSE,
	/** Content-Length. */
	HTTP_LINK_LENGTH,
	HTTP_LINK_CHUNKED,
};

/** One header field. */
struct http_link_field {
	char *name;
	char *value;
};

/** Status and header fields of an answer; valid during on_head. */
struct http_link_head {
	int status;
	const struct http_link_field *fields;
	size_t fields_nr;
	enum http_link_framing framing;
	/** Content-Length, or -1 without one and for a chunked body. */
	int64_t length;
};

/** Callbacks of an exchange. None is called after http_link_close(). */
struct http_link_handlers {
	/** The request is being written to an established connection; may be NULL. */
	void (*on_sent)(void *ctx);
	/**
	 * Returns false for an answer that doesn't belong to this request. It
	 * is skipped, and the next one is awaited.
	 */
	bool (*on_head)(void *ctx, const struct http_link_head *head);
	void (*on_body)(void *ctx, const char *data, size_t len);
	/** Called once, as the last callback. It may close or reuse the
	 * link. */
	void (*on_end)(void *ctx, enum http_link_end end);
};

struct http_link_options {
	uv_loop_t *loop;
	/** Address of the server, see address_parse_any(). */
	const char *address;
	/** Timeout for establishing the connection, in ms. */
	uint32_t connect_timeout_ms;
	/** TCP_USER_TIMEOUT: time in which sent bytes must be acknowledged, in
	 * ms; 0 for the system's default. It is some seconds for long requests, which a
	 * sound server may read slowly. */
	uint32_t unacked_timeout_ms;
	/** The server sends all answers with a length or in chunks; one that
	 * ends with the connection is truncated. */
	bool framed_only;
	/** Called when the connection ends without an exchange; may be NULL. */
	void (*on_idle_close)(void *ctx, struct http_link *link);
	void *ctx;
};

/** Starts to connect. The caller ends the link with http_link_close(). */
struct http_link *http_link_open(const struct http_link_options *options);

/** Closes and frees the link; no callback is called any more. */
void http_link_close(struct http_link *link);

/**
 * Starts an exchange on an idle link and takes over the request's buffer. The
 * request is sent once the connection is established.
 */
void http_link_send(struct http_link *link, GString *request,
		    const struct http_link_handlers *handlers, void *ctx);

/** Tells whether the connection carried another exchange before the current one. */
bool http_link_used_before(const struct http_link *link);

/** Stops or resumes reading from an established connection. */
void http_link_pause(struct http_link *link, bool paused);

/** Replaces the callbacks of the exchange in progress. */
void http_link_hand_over(struct http_link *link,
			 const struct http_link_handlers *handlers, void *ctx);

/** Tells whether the connection can carry another exchange. */
bool http_link_reusable(const struct http_link *link);

/**
 * Records the key of the request in progress. Late answers to it may arrive on this
 * connection as long as it is open. The connection isn't reused after some hundred keys.
 */
void http_link_add_key(struct http_link *link, uint64_t key);

/** Tells whether a request with this key was sent on the connection. */
bool http_link_has_key(const struct http_link *link, uint64_t key);

/** Tells whether the connection ended because the server was silent. */
bool http_link_timed_out(const struct http_link *link);

/** Returns the loop time at which the connection was established, in ms, or 0. */
uint64_t http_link_connected_ms(const struct http_link *link);

/** Returns the time that it took to establish the connection, in ms. */
uint64_t http_link_round_trip_ms(const struct http_link *link);

/** Returns the server's announced idle timeout in ms, or 0 without one. */
uint64_t http_link_idle_timeout_ms(const struct http_link *link);

/** Returns the loop time at which the last exchange ended, in ms. */
uint64_t http_link_idle_since_ms(const struct http_link *link);

/** Returns the name under which a framing is logged. */
const char *http_link_framing_name(enum http_link_framing framing);

/** Returns a field's value, or NULL; the name is case-insensitive. */
const char *http_link_head_field(const struct http_link_head *head,
				 const char *name);

#endif
