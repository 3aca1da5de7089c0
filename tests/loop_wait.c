#include "loop_wait.h"

static void on_timer(uv_timer_t *timer)
{
	*(bool *)timer->data = true;
}

static bool never(void *ctx)
{
	(void)ctx;
	return false;
}

bool loop_wait(uv_loop_t *loop, bool (*done)(void *ctx), void *ctx,
	       uint64_t limit_ms)
{
	bool timed_out = false;
	bool held;
	uv_timer_t timer;

	uv_update_time(loop);
	uv_timer_init(loop, &timer);
	timer.data = &timed_out;
	uv_timer_start(&timer, on_timer, limit_ms, 0);
	while (!(held = done(ctx)) && !timed_out)
		uv_run(loop, UV_RUN_ONCE);
	uv_close((uv_handle_t *)&timer, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
	return held;
}

void loop_sleep(uv_loop_t *loop, uint64_t ms)
{
	loop_wait(loop, never, NULL, ms);
}

static void close_handle(uv_handle_t *handle, void *ctx)
{
	(void)ctx;
	if (!uv_is_closing(handle))
		uv_close(handle, NULL);
}

void loop_close(uv_loop_t *loop)
{
	uv_walk(loop, close_handle, NULL);
	uv_run(loop, UV_RUN_NOWAIT);
	uv_loop_close(loop);
}
