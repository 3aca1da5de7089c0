#include "common/log.h"
#include "start_queue.h"

/* Interval at which it is checked whether requests may be sent, in ms. */
#define CHECK_INTERVAL_MS 5
/* Most requests that are kept; with small bodies they take a few megabytes. */
#define KEPT_MAX 1000

struct kept_request {
	struct list link;
	struct start_queue *queue;
	struct web_request *web;
	uint64_t arrived_ms;
};

struct start_queue {
	struct gateway *gateway;
	struct list kept;
	unsigned kept_nr;
	uv_timer_t timer;
};

static void kept_free(struct kept_request *kept)
{
	list_remove(&kept->link);
	kept->queue->kept_nr--;
	g_free(kept);
}

static void on_caller_left(void *ctx, bool sent)
{
	(void)sent;
	kept_free(ctx);
}

/* Starts a request; one whose time is over is refused for want of what it needs. */
static void start(struct kept_request *kept)
{
	struct gateway *gateway = kept->queue->gateway;
	struct web_request *web = kept->web;
	uint64_t arrived_ms = kept->arrived_ms;

	web_on_close(web, NULL, NULL);
	kept_free(kept);
	online_request_start(gateway, web, web_path(web), arrived_ms);
}

void start_queue_stop(struct start_queue *queue)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &queue->kept) {
		struct kept_request *kept =
			list_entry(pos, struct kept_request, link);
		struct web_request *web = kept->web;

		web_on_close(web, NULL, NULL);
		kept_free(kept);
		gateway_refuse(web, 503, STOPPING_RETRY_AFTER_S,
			       STOPPING_REASON);
	}
}

static void on_timer(uv_timer_t *timer)
{
	struct start_queue *queue = timer->data;
	const struct gateway *gateway = queue->gateway;
	uint64_t keep_ms = (uint64_t)gateway->settings->start_hold_ms;
	bool loaded = gateway_may_send(gateway);
	struct list *pos, *tmp;

	if (loaded && queue->kept_nr)
		log_event("start", LOG_LEVEL_INFO, "starts requests kept=%u",
			  queue->kept_nr);
	list_for_each_safe (pos, tmp, &queue->kept) {
		struct kept_request *kept =
			list_entry(pos, struct kept_request, link);

		if (loaded ||
		    uv_now(gateway->loop) - kept->arrived_ms >= keep_ms)
			start(kept);
	}
	if (!queue->kept_nr)
		uv_timer_stop(timer);
}

bool start_queue_add(struct start_queue *queue, struct web_request *web)
{
	struct kept_request *kept;

	if (!queue->gateway->settings->start_hold_ms ||
	    queue->kept_nr >= KEPT_MAX)
		return false;
	kept = g_new0(struct kept_request, 1);
	kept->queue = queue;
	kept->web = web;
	kept->arrived_ms = uv_now(queue->gateway->loop);
	list_append(&queue->kept, &kept->link);
	queue->kept_nr++;
	web_on_close(web, on_caller_left, kept);
	if (!uv_is_active((uv_handle_t *)&queue->timer))
		uv_timer_start(&queue->timer, on_timer, CHECK_INTERVAL_MS,
			       CHECK_INTERVAL_MS);
	return true;
}

struct start_queue *start_queue_create(struct gateway *gateway)
{
	struct start_queue *queue = g_new0(struct start_queue, 1);

	queue->gateway = gateway;
	list_init(&queue->kept);
	uv_timer_init(gateway->loop, &queue->timer);
	queue->timer.data = queue;
	return queue;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

void start_queue_destroy(struct start_queue *queue)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &queue->kept)
		kept_free(list_entry(pos, struct kept_request, link));
	uv_close((uv_handle_t *)&queue->timer, on_closed);
}
