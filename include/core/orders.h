/**
 * What an agent orders of its server, one order at a time.
 *
 * The configuration says what the server must hold. Nothing is ordered before
 * the server was read back, a slot of the fleet is held, the gate is closed
 * and the server idle. Each order carries the configuration's revision as its
 * fencing number. A server that ignores the number may still carry out an
 * order of an earlier incarnation of this agent, so that one is waited out.
 *
 * Pure state: facts and the time go in, one action at a time comes out.
 */
#ifndef BRIARPLANK_CORE_ORDERS_H
#define BRIARPLANK_CORE_ORDERS_H

#include <stdbool.h>
#include <stdint.h>

struct orders;

/** What the configuration says. A NULL text is left as the server has it. */
struct orders_wanted {
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	/** Highest revision among the server's keys. */
	uint64_t revision;
};

/** What the server says that it holds. */
struct orders_held {
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	uint64_t fencing_number;
	/** An order is being carried out. */
	bool busy;
};

enum orders_result {
	ORDERS_DONE,
	/** The server had an order with a higher number before. */
	ORDERS_FENCED,
	/** Without effect. */
	ORDERS_REFUSED,
	/** The answer was lost. */
	ORDERS_UNKNOWN,
};

enum orders_slot {
	ORDERS_SLOT_NONE,
	/** Claimed, and others come first. */
	ORDERS_SLOT_WAITING,
	ORDERS_SLOT_GRANTED,
};

enum orders_action_kind {
	/** Nothing to do before something changes. */
	ORDERS_WAIT,
	/** Ask the server what it holds. */
	ORDERS_READ_BACK,
	/** Ask for a slot of the fleet for the order that is named. */
	ORDERS_CLAIM,
	/** Give the slot back; ready tells whether the server can serve. */
	ORDERS_RELEASE,
	/** Take no new work. */
	ORDERS_CLOSE,
	/** Take work again. */
	ORDERS_OPEN,
	/** Send the order. */
	ORDERS_SEND,
};

/** The next action. Strings are valid until the next call on orders. */
struct orders_action {
	enum orders_action_kind kind;
	/** "load", "unload" or "role". */
	const char *order;
	const char *model;
	const char *version;
	const char *adapter;
	const char *role;
	uint64_t fencing_number;
	bool ready;
};

/** What the agent sees beside the server. */
struct orders_view {
	uint64_t now_ms;
	enum orders_slot slot;
	/** The gate takes work. */
	bool open;
	/** Nothing runs or waits at the gate. */
	bool idle;
	/** Other servers of the service that can take the work. */
	unsigned others_ready;
};

/** Makes the state of a server that nothing is known of. */
struct orders *orders_create(bool checks_fencing);
void orders_destroy(struct orders *orders);

/** Takes over the configuration; an older revision is without effect. */
void orders_want(struct orders *orders, const struct orders_wanted *wanted);

/** Takes in what the server answered; NULL when it can't be reached. */
void orders_read(struct orders *orders, const struct orders_held *held,
		 uint64_t now_ms);

/** Takes in the end of the order that was sent. */
void orders_ended(struct orders *orders, enum orders_result result,
		  uint64_t now_ms);

/**
 * Names the next action. READ_BACK and SEND are named once, until their end
 * comes in; the others as long as the view shows them to be needed.
 */
void orders_next(struct orders *orders, const struct orders_view *view,
		 struct orders_action *action);

/** Tells why the server doesn't hold what is wanted; NULL when it does. */
const char *orders_trouble(const struct orders *orders);

#endif
