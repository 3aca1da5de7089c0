/**
 * A request to a backend server, on kept connections.
 *
 * Keeps the fleet's view of the server true: what was sent, heard, reported
 * and how it ended.
 */
#ifndef BRIARPLANKD_GATEWAY_SERVER_CALL_H
#define BRIARPLANKD_GATEWAY_SERVER_CALL_H

#include "gateway.h"
#include "net/http_link.h"

struct server_call;

/** What is known of a call that ended. */
enum server_call_end {
	/** The whole answer arrived. */
	SERVER_CALL_WHOLE,
	/** The server has not run the request and never will. */
	SERVER_CALL_NOT_RUN,
	/** No answer came; the request may have run. */
	SERVER_CALL_UNKNOWN,
	/** The answer broke off. */
	SERVER_CALL_CUT,
};

const char *server_call_end_name(enum server_call_end end);

/** Head of an answer; valid during on_head. */
struct server_answer {
	int status;
	/** The server signed the answer. */
	bool is_signed;
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
	/** Identity that the answer must echo. */
	const char *request_id;
	/** Further fields, each line with its line end. */
	const char *fields;
	const char *body;
	size_t body_len;
	bool has_body;
	/** Time that the server may take, in ms. */
	uint64_t deadline_ms;
	/** The stream goes on behind this event; negative for its start. */
	int64_t last_event;
	/** Uses only connections that are surely alive. */
	bool careful;
	void (*on_head)(void *ctx, const struct server_answer *answer);
	void (*on_body)(void *ctx, const char *data, size_t len);
	/** Called once, last, unless the call was cancelled. */
	void (*on_end)(void *ctx, enum server_call_end end);
	void *ctx;
};

struct server_call *server_call_start(
	const struct server_call_options *options);

/** Ends a call without on_end; the server drops the request. */
void server_call_cancel(struct server_call *call);

/** Tells whether a field concerns a single connection only. */
bool server_call_connection_field(const char *name);

/**
 * Tells whether a field of a request is passed on to a server: one that
 * concerns a single connection, or that the gateway sets itself, is not.
 */
bool server_call_passes_field(const char *name);

/** Closes the kept connections to a server, before it is forgotten. */
void server_connections_close(struct server *server);

#endif
