/**
 * Brings a backend server to its configured model and role, by one order of its
 * agent at a time.
 *
 * An order is sent only after the server's state was read, a change slot of the
 * fleet is granted, the gate is closed and the server is idle. Each order has
 * the configuration's revision as its fencing number. A server that ignores the
 * number may still execute an order of an earlier incarnation of this agent,
 * so that the agent first waits until that is no longer possible.
 *
 * It does no I/O: events and the time go in, one action at a time comes out.
 */
#ifndef BRIARPLANK_CORE_ORDERS_H
#define BRIARPLANK_CORE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

struct orders;

/** Desired state by the configuration; NULL leaves a value as it is. */
struct orders_desired {
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	/** Highest revision of the server's configuration keys. */
	uint64_t revision;
};

/** Current state as the server reports it. */
struct orders_current {
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	uint64_t fencing_number;
	/** The server is executing an order. */
	bool busy;
};

/** Result of an order. */
enum orders_result {
	ORDERS_DONE,
	/** The server has already received an order with a higher fencing
	 * number. */
	ORDERS_FENCED,
	/** The server rejected the order, which had no effect. */
	ORDERS_REFUSED,
	/** The answer was lost: the order may have been executed. */
	ORDERS_UNKNOWN,
};

/** State of the agent's claim of a change slot. */
enum orders_slot {
	ORDERS_SLOT_NONE,
	/** The slot is claimed, but earlier claims are granted first. */
	ORDERS_SLOT_WAITING,
	ORDERS_SLOT_GRANTED,
};

enum orders_action_kind {
	/** No action is needed until the state or the orders_view changes. */
	ORDERS_WAIT,
	/** Query the server's state. */
	ORDERS_READ_BACK,
	/** Claim a change slot for the order in this action. */
	ORDERS_CLAIM,
	/**
	 * Release the change slot; ready tells whether the server can serve.
	 */
	ORDERS_RELEASE,
	/** Close the agent's gate: it takes no new work. */
	ORDERS_CLOSE,
	/** Open the agent's gate: it takes work again. */
	ORDERS_OPEN,
	/** Send the order. */
	ORDERS_SEND,
};

/** The next action. Strings are valid until the next call on orders. */
struct orders_action {
	enum orders_action_kind kind;
	/** Kind of the order to send: "load", "unload" or "role". */
	const char *order;
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	uint64_t fencing_number;
	bool ready;
};

/** State of the agent and the fleet around the server. */
struct orders_view {
	uint64_t now_ms;
	enum orders_slot slot;
	/** The agent's gate is open: the agent takes work. */
	bool open;
	/** No work is running or waiting at the agent. */
	bool idle;
	/** Number of other servers of the service that can take work. */
	unsigned others_ready;
};

/**
 * Creates the state machine of a server in an unknown state. checks_fencing
 * tells whether the server rejects orders with a lower fencing number than
 * before.
 */
struct orders *orders_create(bool checks_fencing);
void orders_destroy(struct orders *orders);

/** Sets the desired state; an older or equal revision has no effect. */
void orders_set_desired(struct orders *orders,
			const struct orders_desired *desired);

/**
 * Handles the server's answer to a query. current is NULL when the server is
 * unreachable.
 */
void orders_note_state(struct orders *orders,
		       const struct orders_current *current, uint64_t now_ms);

/** Handles the result of the order that was sent. */
void orders_note_result(struct orders *orders, enum orders_result result,
			uint64_t now_ms);

/**
 * Determines the next action. ORDERS_READ_BACK and ORDERS_SEND are returned
 * only once until their result arrives, the others as long as the view shows
 * that they are needed.
 */
void orders_next(struct orders *orders, const struct orders_view *view,
		 struct orders_action *action);

/** Returns why the server is not in its desired state; NULL when it is. */
const char *orders_blocked_reason(const struct orders *orders);

#endif
