/**
 * Declarations shared by the sources of the web server: web.c listens and
 * routes, web_request.c reads requests and sends answers.
 */
#ifndef BRIARPLANKD_WEB_PRIVATE_H
#define BRIARPLANKD_WEB_PRIVATE_H

#include <glib.h>
#include <h2o.h>

#include "briarplankd/web.h"
#include "common/list.h"

/** Bytes that the kernel may hold of what a connection has received, which are read at once. */
#define WEB_RECEIVE_BYTES (128 << 10)

/** An accepted connection, which exists until its handle is closed. */
struct web_connection {
	struct list link;
	struct web *web;
	uv_tcp_t tcp;
	h2o_socket_t *sock;
	/** Loop time at which it was accepted, in ms. */
	uint64_t accepted_ms;
	/** Number of checks in a row that found the connection stale. */
	unsigned stale_checks;
	/** Bytes that it had received at the last look, and loop time since which they are
	 * the same, in ms. */
	size_t received;
	uint64_t received_ms;
	/** Loop time since which it has held bytes of a caller, in ms; 0 without any. */
	uint64_t holds_ms;
	/** Request in progress, the last one of several, and their number. */
	struct web_request *request;
	unsigned requests_nr;
	/** It is being closed to make room. */
	bool shed;
};

struct web {
	uv_loop_t *loop;
	/** Bound over what it holds together with other servers, and link of its list; NULL
	 * without one. */
	struct web_budget *budget;
	struct list budget_link;
	/** Maximum number of connections; 0 for no limit. */
	unsigned connections_max;
	unsigned connections_nr;
	/** A connection waits until another one has been closed for it. */
	bool accept_waits;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	bool listening;
	char *address;
	struct list routes;
	struct list requests;
	struct list connections;
	/** Maps a socket to its struct web_connection *. */
	GHashTable *by_socket;
	unsigned running;
	uv_timer_t caller_timer;
	/* Timer of checks for connections that h2o failed to close. */
	uv_timer_t stale_timer;
	struct counter *requests_total;
	struct counter *callers_left;
};

struct web_request {
	struct list link;
	struct web *web;
	/* Connection that it came on; NULL once that is closed. */
	struct web_connection *conn;
	/* h2o's request; NULL once h2o has disposed of it. */
	h2o_req_t *req;
	h2o_generator_t generator;
	char *method;
	char *target;
	char *path;
	char *query;
	/* Loop time at which it was read, in ms. */
	uint64_t created_ms;
	/* Bytes of an answer that is sent in one piece, and before it those that the
	 * handler holds. */
	size_t answer_len;
	size_t held;
	bool started;
	bool ended;
	bool complete;
	/* h2o is sending in_flight and will call proceed. */
	bool sending;
	GString *queue;
	GString *in_flight;
	void (*on_close)(void *ctx, bool sent);
	void *on_close_ctx;
	void (*on_flushed)(void *ctx);
	void *on_flushed_ctx;
};

/**
 * Notes what a connection has received since the last look; returns false if it is already
 * being closed.
 */
bool web_connection_look(struct web_connection *conn, uint64_t now_ms);

/** Closes a connection, as if its peer had; h2o frees it when it reads the end. */
void web_connection_shed(struct web_connection *conn);

/** Starts polling for callers that disconnect. */
void web_poll_callers(struct web *web);

/** Creates a request, which is freed together with h2o's request. */
struct web_request *web_request_create(struct web *web, h2o_req_t *req);

#endif
