/*
 * State machine of an agent's orders to its server.
 */
#include <string.h>

#include <glib.h>

#include "core/orders.h"

/* Interval of state queries to a server that is busy or unreachable. */
#define READ_INTERVAL_MS 1000
/*
 * Time for which a server that ignores fencing numbers must be seen idle, since
 * an order of an earlier incarnation may still be in flight.
 */
#define IDLE_MIN_MS 2000
/* Minimum and maximum of the exponential backoff after an order that failed. */
#define RETRY_MIN_MS 5000
#define RETRY_MAX_MS 60000

/* Model and role of the server: those configured, or its current ones. */
struct server_state {
	char *model;
	char *version;
	char *adapter;
	char *role;
};

struct orders {
	bool checks_fencing;
	struct server_state desired;
	uint64_t revision;
	struct server_state current;
	uint64_t current_number;
	bool known;
	bool unreachable;
	bool busy;
	/* No order of an earlier incarnation and no unanswered order can still
	 * be in flight. */
	bool no_order_in_flight;
	/* A state query or an order is in progress. */
	bool reading;
	bool sending;
	/* Time since which the server has been idle; 0 if not known to be. */
	uint64_t idle_since_ms;
	uint64_t read_at_ms;
	uint64_t retry_at_ms;
	uint64_t retry_ms;
	const char *blocked_reason;
};

struct orders *orders_create(bool checks_fencing)
{
	struct orders *orders = g_new0(struct orders, 1);

	orders->checks_fencing = checks_fencing;
	orders->no_order_in_flight = checks_fencing;
	orders->blocked_reason = "the server's state has not been read yet";
	return orders;
}

static void server_state_clear(struct server_state *state)
{
	g_free(state->model);
	g_free(state->version);
	g_free(state->adapter);
	g_free(state->role);
}

void orders_destroy(struct orders *orders)
{
	server_state_clear(&orders->desired);
	server_state_clear(&orders->current);
	g_free(orders);
}

void orders_set_desired(struct orders *orders,
			const struct orders_desired *desired)
{
	if (desired->revision <= orders->revision)
		return;
	server_state_clear(&orders->desired);
	orders->desired.model = g_strdup(desired->model);
	orders->desired.version = g_strdup(desired->version);
	orders->desired.adapter = g_strdup(desired->adapter);
	orders->desired.role = g_strdup(desired->role);
	orders->revision = desired->revision;
	orders->retry_at_ms = 0;
	orders->retry_ms = 0;
}

void orders_note_state(struct orders *orders,
		       const struct orders_current *current, uint64_t now_ms)
{
	orders->reading = false;
	orders->read_at_ms = now_ms;
	orders->unreachable = !current;
	if (!current) {
		orders->known = false;
		orders->idle_since_ms = 0;
		return;
	}
	server_state_clear(&orders->current);
	orders->current.model = g_strdup(current->model);
	orders->current.version = g_strdup(current->version);
	orders->current.adapter = g_strdup(current->adapter);
	orders->current.role = g_strdup(current->role);
	orders->current_number = current->fencing_number;
	orders->known = true;
	orders->busy = current->busy;
	if (current->busy)
		orders->idle_since_ms = 0;
	else if (!orders->idle_since_ms)
		orders->idle_since_ms = now_ms;
	if (!current->busy && now_ms - orders->idle_since_ms >= IDLE_MIN_MS)
		orders->no_order_in_flight = true;
}

static void retry_later(struct orders *orders, uint64_t now_ms)
{
	orders->retry_ms =
		orders->retry_ms ? orders->retry_ms * 2 : RETRY_MIN_MS;
	orders->retry_ms = MIN(orders->retry_ms, RETRY_MAX_MS);
	orders->retry_at_ms = now_ms + orders->retry_ms;
}

void orders_note_result(struct orders *orders, enum orders_result result,
			uint64_t now_ms)
{
	orders->sending = false;
	/* The state must be read again after any answer. */
	orders->known = false;
	orders->read_at_ms = 0;
	orders->idle_since_ms = 0;
	if (result == ORDERS_UNKNOWN)
		orders->no_order_in_flight = orders->checks_fencing;
	if (result != ORDERS_DONE)
		retry_later(orders, now_ms);
}

static bool text_differs(const char *desired, const char *current)
{
	return desired && strcmp(desired, current ? current : "") != 0;
}

static bool model_differs(const struct orders *orders)
{
	const struct server_state *desired = &orders->desired;
	const struct server_state *current = &orders->current;

	if (!desired->model)
		return false;
	if (text_differs(desired->model, current->model))
		return true;
	return *desired->model &&
	       (text_differs(desired->version, current->version) ||
		text_differs(desired->adapter, current->adapter));
}

static bool role_differs(const struct orders *orders)
{
	return text_differs(orders->desired.role, orders->current.role);
}

/*
 * Tells whether the configuration sets the model, version, adapter or role of
 * this server.
 */
static bool is_managed(const struct orders *orders)
{
	const struct server_state *desired = &orders->desired;

	return desired->model || desired->version || desired->adapter ||
	       desired->role;
}

static bool can_serve(const struct orders *orders)
{
	if (!is_managed(orders))
		return true;
	if (!orders->known || orders->busy)
		return false;
	return !orders->desired.model ||
	       (orders->current.model && *orders->current.model);
}

/* Tells whether the server's state must be read before anything else. */
static bool must_read(const struct orders *orders)
{
	return !orders->known || orders->busy || !orders->no_order_in_flight;
}

static void plan_read(struct orders *orders, uint64_t now_ms,
		      struct orders_action *action)
{
	if (orders->unreachable)
		orders->blocked_reason = "the server's state can't be read";
	else if (!orders->known)
		orders->blocked_reason = "the server's state is being read";
	else if (orders->busy)
		orders->blocked_reason =
			"the server is executing an earlier order";
	else
		orders->blocked_reason =
			"an earlier order may still be in flight";
	if (orders->reading || (orders->read_at_ms &&
				now_ms < orders->read_at_ms + READ_INTERVAL_MS))
		return;
	orders->reading = true;
	action->kind = ORDERS_READ_BACK;
}

/*
 * Ends a successful or failed change: opens the agent's gate, so that it takes
 * work again, and then releases the change slot.
 */
static void plan_finish(struct orders *orders, const struct orders_view *view,
			struct orders_action *action)
{
	action->ready = can_serve(orders);
	if (!view->open && action->ready)
		action->kind = ORDERS_OPEN;
	else if (view->slot != ORDERS_SLOT_NONE)
		action->kind = ORDERS_RELEASE;
}

static void fill_order(struct orders *orders, struct orders_action *action)
{
	action->kind = ORDERS_SEND;
	action->fencing_number = orders->revision;
	if (!model_differs(orders)) {
		action->order = "role";
		action->role = orders->desired.role;
		return;
	}
	if (!*orders->desired.model) {
		action->order = "unload";
		return;
	}
	action->order = "load";
	action->model = orders->desired.model;
	action->version = orders->desired.version;
	action->adapter = orders->desired.adapter;
}

/*
 * Claims a change slot and tells whether it is granted. Until then the server
 * keeps serving if it can.
 */
static bool plan_slot(struct orders *orders, const struct orders_view *view,
		      struct orders_action *action)
{
	bool serves = can_serve(orders);

	if (view->slot == ORDERS_SLOT_GRANTED)
		return true;
	if (view->open != serves) {
		action->kind = serves ? ORDERS_OPEN : ORDERS_CLOSE;
	} else if (view->slot == ORDERS_SLOT_NONE) {
		orders->blocked_reason = "a change slot is being claimed";
		fill_order(orders, action);
		action->kind = ORDERS_CLAIM;
	} else {
		orders->blocked_reason =
			"waiting for a change slot, other servers are first";
	}
	return false;
}

static void plan_order(struct orders *orders, const struct orders_view *view,
		       struct orders_action *action)
{
	if (!plan_slot(orders, view, action))
		return;
	if (view->open && can_serve(orders) && !view->others_ready) {
		orders->blocked_reason =
			"no other server of the service is ready";
	} else if (view->open) {
		action->kind = ORDERS_CLOSE;
	} else if (!view->idle) {
		orders->blocked_reason =
			"waiting for work at the server to end";
	} else {
		orders->blocked_reason = "the order is being executed";
		orders->sending = true;
		fill_order(orders, action);
	}
}

void orders_next(struct orders *orders, const struct orders_view *view,
		 struct orders_action *action)
{
	memset(action, 0, sizeof(*action));
	if (orders->sending)
		return;
	if (!is_managed(orders)) {
		orders->blocked_reason = NULL;
		plan_finish(orders, view, action);
		return;
	}
	if (orders->known && orders->busy && view->open) {
		action->kind = ORDERS_CLOSE;
		return;
	}
	if (must_read(orders)) {
		plan_read(orders, view->now_ms, action);
		return;
	}
	if (!model_differs(orders) && !role_differs(orders)) {
		orders->blocked_reason = NULL;
		orders->retry_ms = 0;
		plan_finish(orders, view, action);
	} else if (orders->current_number > orders->revision) {
		orders->blocked_reason =
			"the server has a newer fencing number";
		plan_finish(orders, view, action);
	} else if (view->now_ms < orders->retry_at_ms) {
		orders->blocked_reason =
			"the last order failed, waiting to retry";
		plan_finish(orders, view, action);
	} else {
		plan_order(orders, view, action);
	}
}

const char *orders_blocked_reason(const struct orders *orders)
{
	return orders->blocked_reason;
}
