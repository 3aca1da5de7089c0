/**
 * HTTP requests to backend servers over pooled connections.
 *
 * Each call updates the fleet's record of its server: requests sent, data
 * received, the load that the server reports, and how the call ended.
 */
#ifndef BRIARPLANKD_GATEWAY_SERVER_CALL_H
#define BRIARPLANKD_GATEWAY_SERVER_CALL_H

#include "core/event_stream.h"
#include "core/prompt.h"
#include "gateway.h"
#include "net/http_link.h"

struct server_call;

/** How a call to a server ended. */
enum server_call_end {
	/** The complete response arrived. */
	SERVER_CALL_COMPLETE,
	/** The server has not run the request and never will. */
	SERVER_CALL_NOT_RUN,
	/** No response arrived; the server may have run the request. */
	SERVER_CALL_NO_RESPONSE,
	/** The response broke off after its head. */
	SERVER_CALL_TRUNCATED,
};

/** Returns the name under which an end is logged. */
const char *server_call_end_name(enum server_call_end end);

/** Head of a response; valid during on_head. */
struct server_response {
	int status;
	/** The response carries a signature field of the server. */
	bool is_signed;
	/** The response names another media type than that of server-sent events. */
	bool not_events;
	const struct http_link_head *head;
};

struct server_call_options {
	struct gateway *gateway;
	struct server *server;
	enum work_class class;
	const char *method;
	/** Path and query. */
	const char *target;
	const char *host;
	/** Id of the request; a response that echoes another id is skipped, and so is one
	 * without an id on a connection that carried other requests. */
	const char *request_id;
	/** Status of an earlier answer to a request with the same id, or 0. An answer with
	 * this status counts only if no other one follows soon. */
	int earlier_status;
	/** Name of the client account; NULL for none. */
	const char *account;
	/** Shared parts of the prompt; must stay valid until the call ends. */
	const struct prompt *prompt;
	/** Further header fields, each line ending with CRLF. */
	const char *fields;
	const char *body;
	size_t body_len;
	bool has_body;
	/** Time that the server has for the request, in ms. */
	uint64_t deadline_ms;
	/** The stream resumes after this event id; negative for its start. */
	int64_t last_event;
	/**
	 * Reuses a connection only after a short idle time, when the server
	 * can't have closed it yet; for requests that can't be repeated.
	 */
	bool recent_connection_only;
	/**
	 * Parser that on_body feeds, for a response that is a stream of events
	 * if it succeeds; the caller of this function limits its length. NULL
	 * for other responses, which end as truncated when they get too long.
	 */
	const struct event_stream *events;
	void (*on_head)(void *ctx, const struct server_response *answer);
	void (*on_body)(void *ctx, const char *data, size_t len);
	/** Called once, as the last callback, unless the call was cancelled. */
	void (*on_end)(void *ctx, enum server_call_end end);
	void *ctx;
};

/** Sends a request. The options and their strings are copied. */
struct server_call *server_call_start(
	const struct server_call_options *options);

/** Ends a call whose response can't be used, without on_end: closes its
 * connection and counts the call as failed. */
void server_call_reject(struct server_call *call, const char *reason);

/** Stops reading the response, so that no callback is called, and goes on with it. */
void server_call_pause(struct server_call *call);
void server_call_resume(struct server_call *call);

/** Tells whether the request may have reached the server. */
bool server_call_sent(const struct server_call *call);

/** Ends a call without on_end and closes its connection, so that the server
 * drops the request. */
void server_call_cancel(struct server_call *call);

/** Tells whether a header field applies to a single connection only. */
bool server_call_hop_by_hop_field(const char *name);

/**
 * Tells whether a header field of a request is forwarded to a server: not if
 * it applies to a single connection or is set by the gateway.
 */
bool server_call_forwards_field(const struct gateway *gateway,
				const char *name);

/** Tells whether an open connection to the server is idle. */
bool server_connection_idle(const struct server *server);

/** Closes the pooled connections to a server; the fleet's on_forget. */
void server_connections_close(struct server *server);

#endif
