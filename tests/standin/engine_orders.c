/*
 * Handles orders to the engine: load, unload and change of role. Orders run
 * concurrently, so without fencing a late order overwrites a newer one.
 */
#include <string.h>

#include "engine.h"

struct engine_orders {
	struct standin *standin;
	const struct engine_settings *settings;
	char *model;
	char *version;
	char *adapter;
	char *role;
	int64_t fencing_number;
	int64_t highest_fencing_number;
	struct list running;
};

struct order {
	struct list link;
	struct engine_orders *orders;
	struct web_request *request;
	struct json_object *root;
	uv_timer_t timer;
};

static void replace_text(char **text, struct json_object *root,
			 const char *name)
{
	const char *value = standin_json_text(root, name);

	if (!*value)
		return;
	g_free(*text);
	*text = g_strdup(value);
}

static void apply_order(struct engine_orders *orders, struct json_object *root)
{
	const char *action = standin_json_text(root, "action");

	if (!strcmp(action, "unload")) {
		g_free(orders->model);
		g_free(orders->version);
		g_free(orders->adapter);
		orders->model = g_strdup("");
		orders->version = g_strdup("");
		orders->adapter = g_strdup("");
	}
	if (!strcmp(action, "load")) {
		replace_text(&orders->model, root, "model");
		replace_text(&orders->version, root, "version");
		g_free(orders->adapter);
		orders->adapter = g_strdup(standin_json_text(root, "adapter"));
	}
	if (!strcmp(action, "role"))
		replace_text(&orders->role, root, "role");
	orders->fencing_number = json_object_get_int64(
		json_object_object_get(root, "fencing_number"));
}

static void on_order_closed(uv_handle_t *handle)
{
	struct order *order = handle->data;

	json_object_put(order->root);
	g_free(order);
}

static void order_free(struct order *order)
{
	list_remove(&order->link);
	uv_timer_stop(&order->timer);
	uv_close((uv_handle_t *)&order->timer, on_order_closed);
}

static void on_order_timer(uv_timer_t *timer)
{
	struct order *order = timer->data;
	struct engine_orders *orders = order->orders;
	struct web_request *request = order->request;
	bool fenced = orders->settings->fencing &&
		      json_object_get_int64(json_object_object_get(
			      order->root, "fencing_number")) <
			      orders->highest_fencing_number;

	if (request)
		web_on_close(request, NULL, NULL);
	if (!fenced)
		apply_order(orders, order->root);
	if (request && fenced)
		web_problem(request, 409, "Fenced", "a newer order arrived");
	else if (request)
		standin_answer(orders->standin, request, 200,
			       "application/json", "{}", 2);
	order_free(order);
}

static void on_order_closed_by_client(void *ctx, bool sent)
{
	struct order *order = ctx;

	(void)sent;
	order->request = NULL;
}

static void start_order(struct engine_orders *orders,
			struct web_request *request, struct json_object *root)
{
	struct order *order = g_new0(struct order, 1);

	order->orders = orders;
	order->request = request;
	order->root = root;
	list_append(&orders->running, &order->link);
	uv_timer_init(standin_loop(orders->standin), &order->timer);
	order->timer.data = order;
	uv_timer_start(&order->timer, on_order_timer,
		       orders->settings->order_ms, 0);
	web_on_close(request, on_order_closed_by_client, order);
}

static void on_orders(void *ctx, struct web_request *request)
{
	struct engine_orders *orders = ctx;
	struct json_object *root = standin_body_json(request);
	int64_t number;

	if (!root || !*standin_json_text(root, "action")) {
		json_object_put(root);
		web_problem(request, 400, "Bad order", "no action");
		return;
	}
	number = json_object_get_int64(
		json_object_object_get(root, "fencing_number"));
	if (orders->settings->fencing &&
	    number < orders->highest_fencing_number) {
		json_object_put(root);
		web_problem(request, 409, "Fenced",
			    "an order with number %" G_GINT64_FORMAT
			    " arrived before",
			    orders->highest_fencing_number);
		return;
	}
	orders->highest_fencing_number =
		MAX(orders->highest_fencing_number, number);
	start_order(orders, request, root);
}

static void add_text(struct json_object *root, const char *name,
		     const char *value)
{
	json_object_object_add(root, name, json_object_new_string(value));
}

static void on_held(void *ctx, struct web_request *request)
{
	struct engine_orders *orders = ctx;
	struct json_object *root = json_object_new_object();

	add_text(root, "model", orders->model);
	add_text(root, "version", orders->version);
	add_text(root, "adapter", orders->adapter);
	add_text(root, "role", orders->role);
	json_object_object_add(root, "fencing_number",
			       json_object_new_int64(orders->fencing_number));
	json_object_object_add(
		root, "busy",
		json_object_new_boolean(!list_empty(&orders->running)));
	standin_answer_json(orders->standin, request, 200, root);
}

struct engine_orders *engine_orders_create(struct standin *standin,
					   const struct engine_settings *set)
{
	struct engine_orders *orders = g_new0(struct engine_orders, 1);

	orders->standin = standin;
	orders->settings = set;
	orders->model = g_strdup("");
	orders->version = g_strdup("");
	orders->adapter = g_strdup("");
	orders->role = g_strdup("");
	list_init(&orders->running);
	standin_route(standin, "/v1/orders", on_orders, orders);
	standin_route(standin, "/v1/held", on_held, orders);
	return orders;
}

void engine_orders_destroy(struct engine_orders *orders)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &orders->running)
		order_free(list_entry(pos, struct order, link));
	g_free(orders->model);
	g_free(orders->version);
	g_free(orders->adapter);
	g_free(orders->role);
	g_free(orders);
}
