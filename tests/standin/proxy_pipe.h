/**
 * One proxied connection: bytes go on in both directions after the delay, at
 * the rate, and not while the link is cut.
 */
#ifndef BRIARPLANK_TESTS_PROXY_PIPE_H
#define BRIARPLANK_TESTS_PROXY_PIPE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/list.h"

enum proxy_direction { PROXY_TO_TARGET, PROXY_TO_CLIENT, PROXY_DIRECTIONS };

/** How all connections of a proxy are treated. */
struct proxy_shape {
	uint64_t delay_ms;
	/** Of all connections together in each direction, 0 for no limit. */
	uint64_t bytes_per_s;
	/** Nothing passes, ends of connections neither; all is kept. */
	bool cut;
	bool reset;
	/** When the link is free of what was sent before, in us. */
	uint64_t free_us[PROXY_DIRECTIONS];
};

struct proxy_pipe {
	/** In the list of its link. */
	struct list link;
};

/** Takes over an accepted connection; counts the bytes that it carries. */
void proxy_pipe_start(uv_tcp_t *client, const struct sockaddr_in *target,
		      struct proxy_shape *shape, struct list *pipes,
		      uint64_t *bytes);

/** Goes on after the shape has changed. */
void proxy_pipe_resume(struct proxy_pipe *pipe);

/** Closes both connections, by a reset if so asked, and frees the pipe. */
void proxy_pipe_close(struct proxy_pipe *pipe, bool reset);

#endif
