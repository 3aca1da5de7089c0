/**
 * One proxied connection: forwards bytes in both directions with the delay and
 * at the rate of its proxy, and forwards nothing while the link is cut.
 */
#ifndef BRIARPLANK_TESTS_PROXY_PIPE_H
#define BRIARPLANK_TESTS_PROXY_PIPE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "common/list.h"

enum proxy_direction { PROXY_TO_TARGET, PROXY_TO_CLIENT, PROXY_DIRECTIONS };

/** Delay, rate and faults of all connections of a proxy. */
struct proxy_shape {
	uint64_t delay_ms;
	/** Total rate of all connections in each direction, 0 for no limit. */
	uint64_t bytes_per_s;
	/** Nothing is forwarded, not even closes; connections stay open. */
	bool cut;
	/** Open and new connections are reset. */
	bool reset;
	/**
	 * Time at which the link has sent all earlier bytes at its limited
	 * rate, in us.
	 */
	uint64_t free_us[PROXY_DIRECTIONS];
};

struct proxy_pipe {
	/** Entry in the list of pipes of its link. */
	struct list link;
};

/**
 * Forwards an accepted connection, of which it takes ownership; adds the
 * forwarded bytes to *bytes.
 */
void proxy_pipe_start(uv_tcp_t *client, const struct sockaddr_in *target,
		      struct proxy_shape *shape, struct list *pipes,
		      uint64_t *bytes);

/** Applies a changed struct proxy_shape to the connection. */
void proxy_pipe_resume(struct proxy_pipe *pipe);

/** Closes both connections, with a TCP reset if reset, and frees the pipe. */
void proxy_pipe_close(struct proxy_pipe *pipe, bool reset);

#endif
