#include <string.h>

#include <glib.h>

#include "core/orders.h"

/* Time between two looks at a server that is busy or can't be reached. */
#define READ_INTERVAL_MS 1000
/*
 * A server that ignores fencing numbers must be seen idle for so long, since
 * an order of an earlier incarnation may still be on its way.
 */
#define SETTLE_MS 2000
/* Bounds of the wait after an order without success. */
#define RETRY_MIN_MS 5000
#define RETRY_MAX_MS 60000

/* Texts that the configuration wants, or that the server holds. */
struct texts {
	char *model;
	char *version;
	char *adapter;
	char *role;
};

struct orders {
	bool checks_fencing;
	struct texts wanted;
	uint64_t revision;
	struct texts held;
	uint64_t held_number;
	bool known;
	bool unreachable;
	bool busy;
	/* No order of an earlier incarnation, or in doubt, can still come. */
	bool settled;
	/* A query or an order is out. */
	bool reading;
	bool sending;
	/* Since when the server was seen idle without a break; 0 for not. */
	uint64_t idle_since_ms;
	uint64_t read_at_ms;
	uint64_t retry_at_ms;
	uint64_t retry_ms;
	const char *trouble;
};

struct orders *orders_create(bool checks_fencing)
{
	struct orders *orders = g_new0(struct orders, 1);

	orders->checks_fencing = checks_fencing;
	orders->settled = checks_fencing;
	orders->trouble = "the server was not read back yet";
	return orders;
}

static void texts_clear(struct texts *texts)
{
	g_free(texts->model);
	g_free(texts->version);
	g_free(texts->adapter);
	g_free(texts->role);
}

void orders_destroy(struct orders *orders)
{
	texts_clear(&orders->wanted);
	texts_clear(&orders->held);
	g_free(orders);
}

void orders_want(struct orders *orders, const struct orders_wanted *wanted)
{
	if (wanted->revision <= orders->revision)
		return;
	texts_clear(&orders->wanted);
	orders->wanted.model = g_strdup(wanted->model);
	orders->wanted.version = g_strdup(wanted->version);
	orders->wanted.adapter = g_strdup(wanted->adapter);
	orders->wanted.role = g_strdup(wanted->role);
	orders->revision = wanted->revision;
	orders->retry_at_ms = 0;
	orders->retry_ms = 0;
}

void orders_read(struct orders *orders, const struct orders_held *held,
		 uint64_t now_ms)
{
	orders->reading = false;
	orders->read_at_ms = now_ms;
	orders->unreachable = !held;
	if (!held) {
		orders->known = false;
		orders->idle_since_ms = 0;
		return;
	}
	texts_clear(&orders->held);
	orders->held.model = g_strdup(held->model);
	orders->held.version = g_strdup(held->version);
	orders->held.adapter = g_strdup(held->adapter);
	orders->held.role = g_strdup(held->role);
	orders->held_number = held->fencing_number;
	orders->known = true;
	orders->busy = held->busy;
	if (held->busy)
		orders->idle_since_ms = 0;
	else if (!orders->idle_since_ms)
		orders->idle_since_ms = now_ms;
	if (!held->busy && now_ms - orders->idle_since_ms >= SETTLE_MS)
		orders->settled = true;
}

static void retry_later(struct orders *orders, uint64_t now_ms)
{
	orders->retry_ms =
		orders->retry_ms ? orders->retry_ms * 2 : RETRY_MIN_MS;
	orders->retry_ms = MIN(orders->retry_ms, RETRY_MAX_MS);
	orders->retry_at_ms = now_ms + orders->retry_ms;
}

void orders_ended(struct orders *orders, enum orders_result result,
		  uint64_t now_ms)
{
	orders->sending = false;
	/* Only what is read back counts, whatever the answer was. */
	orders->known = false;
	orders->read_at_ms = 0;
	orders->idle_since_ms = 0;
	if (result == ORDERS_UNKNOWN)
		orders->settled = orders->checks_fencing;
	if (result != ORDERS_DONE)
		retry_later(orders, now_ms);
}

static bool text_differs(const char *wanted, const char *held)
{
	return wanted && strcmp(wanted, held ? held : "") != 0;
}

static bool model_differs(const struct orders *orders)
{
	const struct texts *wanted = &orders->wanted;
	const struct texts *held = &orders->held;

	if (!wanted->model)
		return false;
	if (text_differs(wanted->model, held->model))
		return true;
	return *wanted->model &&
	       (text_differs(wanted->version, held->version) ||
		text_differs(wanted->adapter, held->adapter));
}

static bool role_differs(const struct orders *orders)
{
	return text_differs(orders->wanted.role, orders->held.role);
}

/* A server of which nothing is wanted is left alone. */
static bool is_managed(const struct orders *orders)
{
	const struct texts *wanted = &orders->wanted;

	return wanted->model || wanted->version || wanted->adapter ||
	       wanted->role;
}

static bool can_serve(const struct orders *orders)
{
	if (!is_managed(orders))
		return true;
	if (!orders->known || orders->busy)
		return false;
	return !orders->wanted.model ||
	       (orders->held.model && *orders->held.model);
}

/* Tells whether the server's state must be read before all else. */
static bool must_read(const struct orders *orders)
{
	return !orders->known || orders->busy || !orders->settled;
}

static void plan_read(struct orders *orders, uint64_t now_ms,
		      struct orders_action *action)
{
	if (orders->unreachable)
		orders->trouble = "the server can't be read back";
	else if (!orders->known)
		orders->trouble = "the server is read back";
	else if (orders->busy)
		orders->trouble = "the server carries out an earlier order";
	else
		orders->trouble = "an earlier order may be on its way";
	if (orders->reading || (orders->read_at_ms &&
				now_ms < orders->read_at_ms + READ_INTERVAL_MS))
		return;
	orders->reading = true;
	action->kind = ORDERS_READ_BACK;
}

/* Ends a change, or a try: first the gate opens, then the slot goes. */
static void plan_rest(struct orders *orders, const struct orders_view *view,
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
		action->role = orders->wanted.role;
		return;
	}
	if (!*orders->wanted.model) {
		action->order = "unload";
		return;
	}
	action->order = "load";
	action->model = orders->wanted.model;
	action->version = orders->wanted.version;
	action->adapter = orders->wanted.adapter;
}

/* Without a granted slot the server goes on to serve, if it can. */
static bool plan_slot(struct orders *orders, const struct orders_view *view,
		      struct orders_action *action)
{
	bool serves = can_serve(orders);

	if (view->slot == ORDERS_SLOT_GRANTED)
		return true;
	if (view->open != serves) {
		action->kind = serves ? ORDERS_OPEN : ORDERS_CLOSE;
	} else if (view->slot == ORDERS_SLOT_NONE) {
		orders->trouble = "a slot of the fleet is being claimed";
		fill_order(orders, action);
		action->kind = ORDERS_CLAIM;
	} else {
		orders->trouble = "other servers are changed first";
	}
	return false;
}

static void plan_order(struct orders *orders, const struct orders_view *view,
		       struct orders_action *action)
{
	if (!plan_slot(orders, view, action))
		return;
	if (view->open && can_serve(orders) && !view->others_ready) {
		orders->trouble = "no other server of the service is ready";
	} else if (view->open) {
		action->kind = ORDERS_CLOSE;
	} else if (!view->idle) {
		orders->trouble = "the work at the server ends first";
	} else {
		orders->trouble = "the order is being carried out";
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
		orders->trouble = NULL;
		plan_rest(orders, view, action);
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
		orders->trouble = NULL;
		orders->retry_ms = 0;
		plan_rest(orders, view, action);
	} else if (orders->held_number > orders->revision) {
		orders->trouble = "the server holds a newer order";
		plan_rest(orders, view, action);
	} else if (view->now_ms < orders->retry_at_ms) {
		orders->trouble = "the last order was without success";
		plan_rest(orders, view, action);
	} else {
		plan_order(orders, view, action);
	}
}

const char *orders_trouble(const struct orders *orders)
{
	return orders->trouble;
}
