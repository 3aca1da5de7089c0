#include <glib.h>

#include "core/circuit.h"

/* Number of consecutive failures that opens the circuit. */
#define FAILURES_TO_OPEN 5
/* Bounds of the time for which the circuit stays open, in ms. */
#define OPEN_MIN_MS 1000
#define OPEN_MAX_MS 30000
/* Timeout after which a probe without a result is repeated, in ms. */
#define PROBE_TIMEOUT_MS 5000

bool circuit_allows(const struct circuit *circuit, uint64_t now_ms)
{
	return circuit->state == CIRCUIT_CLOSED || now_ms >= circuit->until_ms;
}

void circuit_dispatched(struct circuit *circuit, uint64_t now_ms)
{
	if (circuit->state == CIRCUIT_CLOSED || now_ms < circuit->until_ms)
		return;
	circuit->state = CIRCUIT_HALF_OPEN;
	circuit->until_ms = now_ms + PROBE_TIMEOUT_MS;
}

void circuit_succeeded(struct circuit *circuit)
{
	*circuit = (struct circuit){ .state = CIRCUIT_CLOSED };
}

static void open_circuit(struct circuit *circuit, uint64_t now_ms)
{
	if (circuit->open_ms)
		circuit->open_ms = MIN(2 * circuit->open_ms, OPEN_MAX_MS);
	else
		circuit->open_ms = OPEN_MIN_MS;
	circuit->state = CIRCUIT_OPEN;
	circuit->until_ms = now_ms + circuit->open_ms;
}

void circuit_failed(struct circuit *circuit, uint64_t now_ms)
{
	bool probe = circuit->state == CIRCUIT_HALF_OPEN;
	bool closed = circuit->state == CIRCUIT_CLOSED;

	circuit->failures++;
	if (probe || (closed && circuit->failures >= FAILURES_TO_OPEN))
		open_circuit(circuit, now_ms);
}

const char *circuit_state_text(enum circuit_state state)
{
	static const char *const texts[] = {
		[CIRCUIT_CLOSED] = "closed",
		[CIRCUIT_OPEN] = "open",
		[CIRCUIT_HALF_OPEN] = "half_open",
	};

	return texts[state];
}
