/**
 * Keeps requests from an agent that fails again and again.
 *
 * After a number of failures in a row the circuit opens. When its time is
 * over one request goes through as a probe: its success closes the circuit,
 * its failure opens it for twice as long.
 */
#ifndef BRIARPLANK_CORE_CIRCUIT_H
#define BRIARPLANK_CORE_CIRCUIT_H

#include <stdbool.h>
#include <stdint.h>

enum circuit_state { CIRCUIT_CLOSED, CIRCUIT_OPEN, CIRCUIT_HALF_OPEN };

struct circuit {
	enum circuit_state state;
	uint32_t failures;
	uint32_t open_ms;
	uint64_t until_ms;
};

/** Tells whether a request may go to the agent. */
bool circuit_allows(const struct circuit *circuit, uint64_t now_ms);

/** A request goes to the agent. */
void circuit_dispatched(struct circuit *circuit, uint64_t now_ms);

void circuit_succeeded(struct circuit *circuit);
void circuit_failed(struct circuit *circuit, uint64_t now_ms);

const char *circuit_state_text(enum circuit_state state);

#endif
