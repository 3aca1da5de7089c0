/**
 * Test helpers that run a loop until a condition holds.
 */
#ifndef BRIARPLANK_TESTS_LOOP_WAIT_H
#define BRIARPLANK_TESTS_LOOP_WAIT_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** Timeout for a condition that is expected to hold, in ms. */
#define LOOP_WAIT_MS 20000

/** Runs the loop until done() returns true; returns false after limit_ms. */
bool loop_wait(uv_loop_t *loop, bool (*done)(void *ctx), void *ctx,
	       uint64_t limit_ms);

/** Runs the loop for ms milliseconds. */
void loop_sleep(uv_loop_t *loop, uint64_t ms);

/** Closes all remaining handles and the loop. */
void loop_close(uv_loop_t *loop);

#endif
