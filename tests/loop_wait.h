/**
 * Runs a loop until a condition holds, for tests.
 */
#ifndef BRIARPLANK_TESTS_LOOP_WAIT_H
#define BRIARPLANK_TESTS_LOOP_WAIT_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** Longest wait for a condition that is expected, in ms. */
#define LOOP_WAIT_MS 20000

/** Runs the loop until done() holds; false after limit_ms. */
bool loop_wait(uv_loop_t *loop, bool (*done)(void *ctx), void *ctx,
	       uint64_t limit_ms);

/** Runs the loop for a while. */
void loop_sleep(uv_loop_t *loop, uint64_t ms);

/** Closes all handles that are left, and the loop. */
void loop_close(uv_loop_t *loop);

#endif
