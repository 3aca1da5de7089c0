/**
 * Circuit breaker that stops requests to an agent after repeated failures.
 *
 * After a number of consecutive failures the circuit opens. When the open time
 * is over, one request is sent as a probe: a success closes the circuit, a
 * failure opens it for twice as long.
 */
#ifndef BRIARPLANK_CORE_CIRCUIT_H
#define BRIARPLANK_CORE_CIRCUIT_H

#include <stdbool.h>
#include <stdint.h>

enum circuit_state { CIRCUIT_CLOSED, CIRCUIT_OPEN, CIRCUIT_HALF_OPEN };

struct circuit {
	enum circuit_state state;
	/** Number of consecutive failures. */
	uint32_t failures;
	/** Time for which the circuit was last opened, in ms. */
	uint32_t open_ms;
	/** Time of the next probe, unless the circuit is closed. */
	uint64_t until_ms;
};

/** Tells whether a request may be sent to the agent. */
bool circuit_allows(const struct circuit *circuit, uint64_t now_ms);

/** Records that a request is sent; it is the probe if the open time is over. */
void circuit_dispatched(struct circuit *circuit, uint64_t now_ms);

void circuit_succeeded(struct circuit *circuit);
void circuit_failed(struct circuit *circuit, uint64_t now_ms);

const char *circuit_state_text(enum circuit_state state);

#endif
