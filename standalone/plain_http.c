/*
 * HTTP adapter for plain services, which report no load and accept no orders.
 */
#include "backend_http.h"

static struct backend_call *plain_http_call(
	struct backend *base, const struct backend_call_options *options)
{
	return backend_http_call(base, options, NULL, 0);
}

static void plain_http_load(struct backend *base, backend_load_fn done,
			    void *ctx)
{
	(void)base;
	done(ctx, false, NULL);
}

static void plain_http_order(struct backend *base,
			     const struct backend_order *order,
			     backend_order_fn done, void *ctx)
{
	(void)base;
	(void)order;
	done(ctx, BACKEND_ORDER_REFUSED,
	     "a plain service does not support orders");
}

static void plain_http_held(struct backend *base, backend_model_state_fn done,
			    void *ctx)
{
	(void)base;
	done(ctx, false, NULL);
}

static const struct backend_ops plain_http_ops = {
	.call = plain_http_call,
	.cancel = backend_http_cancel,
	.pause = backend_http_pause,
	.load = plain_http_load,
	.order = plain_http_order,
	.held = plain_http_held,
	.destroy = backend_http_destroy,
};

struct backend *plain_http_create(struct http_client *http, const char *address)
{
	return &backend_http_create(&plain_http_ops, http, address)->super;
}
