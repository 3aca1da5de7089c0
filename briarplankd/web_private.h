/**
 * What the parts of the web server share: web.c listens and routes,
 * web_request.c reads requests and answers them.
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
	/* Looks for connections that h2o has forgotten. */
	uv_timer_t dead_timer;
	struct counter *requests_total;
	struct counter *callers_left;
};

struct web_request {
	struct list link;
	struct web *web;
	/* NULL once h2o has disposed of the request. */
	h2o_req_t *req;
	h2o_generator_t generator;
	char *method;
	char *target;
	char *path;
	char *query;
	bool begun;
	bool ended;
	bool whole;
	/* A piece is with h2o, which will call proceed. */
	bool sending;
	GString *queue;
	GString *in_flight;
	void (*on_close)(void *ctx, bool sent);
	void *on_close_ctx;
	void (*on_taken)(void *ctx);
	void *on_taken_ctx;
};

/** Looks from now on for callers that leave. */
void web_watch_callers(struct web *web);

/** Makes the request, which frees itself when h2o disposes of its own. */
struct web_request *web_request_create(struct web *web, h2o_req_t *req);

#endif
