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

struct web {
	uv_loop_t *loop;
	h2o_globalconf_t config;
	h2o_context_t context;
	h2o_accept_ctx_t accept;
	uv_tcp_t listener;
	bool listening;
	char *address;
	struct list routes;
	struct list requests;
	struct list connections;
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
	/* h2o's request; NULL once h2o has disposed of it. */
	h2o_req_t *req;
	h2o_generator_t generator;
	char *method;
	char *target;
	char *path;
	char *query;
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

/** Starts polling for callers that disconnect. */
void web_poll_callers(struct web *web);

/** Creates a request, which is freed together with h2o's request. */
struct web_request *web_request_create(struct web *web, h2o_req_t *req);

#endif
