#include <string.h>

#include "common/hash.h"
#include "core/route_table.h"

static void route_free(gpointer data)
{
	struct route *route = data;
	size_t i;

	for (i = 0; i < route->targets_nr; i++)
		g_free(route->targets[i].service);
	g_free(route->targets);
	g_free(route->name);
	g_free(route->host);
	g_free(route->prefix);
	g_free(route);
}

static void service_free(gpointer data)
{
	struct service *service = data;

	g_free(service->name);
	g_free(service->health_path);
	g_free(service);
}

static void routes_of_host_free(gpointer data)
{
	g_ptr_array_free(data, TRUE);
}

struct route_table *route_table_create(void)
{
	struct route_table *table = g_new0(struct route_table, 1);

	table->routes = g_ptr_array_new_with_free_func(route_free);
	table->services = g_ptr_array_new_with_free_func(service_free);
	table->by_host = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
					       routes_of_host_free);
	return table;
}

void route_table_destroy(struct route_table *table)
{
	if (!table)
		return;
	account_table_destroy(table->accounts);
	g_hash_table_destroy(table->by_host);
	g_ptr_array_free(table->routes, TRUE);
	g_ptr_array_free(table->services, TRUE);
	g_free(table);
}

/* Normalizes a host: lower case, without the port. */
static char *host_key(const char *host)
{
	const char *colon = strchr(host, ':');

	return g_ascii_strdown(host, colon ? colon - host : -1);
}

void route_table_add(struct route_table *table, struct route *route)
{
	char *key = host_key(route->host);
	GPtrArray *routes = g_hash_table_lookup(table->by_host, key);

	if (!routes) {
		routes = g_ptr_array_new();
		g_hash_table_insert(table->by_host, g_strdup(key), routes);
	}
	g_free(key);
	g_ptr_array_add(routes, route);
	g_ptr_array_add(table->routes, route);
}

void route_table_add_service(struct route_table *table, struct service *service)
{
	g_ptr_array_add(table->services, service);
}

const struct route *route_table_find(const struct route_table *table,
				     const char *host, const char *path)
{
	char *key = host_key(host);
	GPtrArray *routes = g_hash_table_lookup(table->by_host, key);
	const struct route *best = NULL;
	guint i;

	g_free(key);
	for (i = 0; routes && i < routes->len; i++) {
		const struct route *route = g_ptr_array_index(routes, i);

		if (!g_str_has_prefix(path, route->prefix))
			continue;
		if (!best || strlen(route->prefix) > strlen(best->prefix))
			best = route;
	}
	return best;
}

const struct service *route_table_service(const struct route_table *table,
					  const char *name)
{
	guint i;

	for (i = 0; i < table->services->len; i++) {
		const struct service *service =
			g_ptr_array_index(table->services, i);

		if (!strcmp(service->name, name))
			return service;
	}
	return NULL;
}

static uint64_t sum_of_weights(const struct route *route)
{
	uint64_t sum = 0;
	size_t i;

	for (i = 0; i < route->targets_nr; i++)
		sum += route->targets[i].weight;
	return sum;
}

const char *route_pick_service(const struct route *route, uint64_t hash)
{
	uint64_t sum = sum_of_weights(route), at;
	size_t i;

	if (!sum)
		return route->targets_nr ? route->targets[0].service : NULL;
	at = hash % sum;
	for (i = 0; i < route->targets_nr; i++) {
		if (at < route->targets[i].weight)
			return route->targets[i].service;
		at -= route->targets[i].weight;
	}
	return NULL;
}

bool route_has_service(const struct route *route, const char *service)
{
	bool weighted = sum_of_weights(route) > 0;
	size_t i;

	for (i = 0; i < route->targets_nr; i++) {
		const struct route_target *target = &route->targets[i];

		if (!g_strcmp0(target->service, service) &&
		    (weighted ? target->weight > 0 : i == 0))
			return true;
	}
	return false;
}

const char *route_sole_service(const struct route *route)
{
	const char *service = route_pick_service(route, 0);
	size_t i;

	for (i = 0; service && i < route->targets_nr; i++) {
		if (g_strcmp0(route->targets[i].service, service) != 0 &&
		    route_has_service(route, route->targets[i].service))
			return NULL;
	}
	return service;
}

uint64_t route_picks_hash(const struct route *route)
{
	uint64_t hash = 0;
	size_t i;

	for (i = 0; i < route->targets_nr; i++) {
		const struct route_target *target = &route->targets[i];

		if (target->service)
			hash = hash_combine(hash,
					    hash_string(target->service, 0));
		hash = hash_combine(hash, target->weight);
	}
	return hash | 1;
}

bool route_repeatable(const struct route *route)
{
	return route->kind == ROUTE_SAFE ||
	       (route->kind == ROUTE_STREAM && route->can_resume);
}
