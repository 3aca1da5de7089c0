/**
 * The configuration in force: which request belongs to which route, and which
 * service runs it.
 */
#ifndef BRIARPLANK_CORE_ROUTE_TABLE_H
#define BRIARPLANK_CORE_ROUTE_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

enum route_kind {
	/** May run more than once. */
	ROUTE_SAFE,
	/** Runs at most once. */
	ROUTE_UNSAFE,
	/** A stream of events; repeatable only where it can be resumed. */
	ROUTE_STREAM,
	/** Takes batch jobs. */
	ROUTE_BATCH,
};

/** A share of a route's requests that goes to one service. */
struct route_target {
	char *service;
	unsigned weight;
};

struct route {
	char *name;
	char *host;
	/** Begins and ends with a slash. */
	char *prefix;
	enum route_kind kind;
	/** Longest time that a request may be kept waiting, in ms. */
	uint32_t timeout_ms;
	/** Latency objective of the first byte, in ms. */
	uint32_t objective_ms;
	/** Longest pause between events that is still on time, in ms. */
	uint32_t gap_ms;
	/** 0 is the most urgent. */
	int priority;
	/** Most backend servers that may run one request. */
	unsigned attempts_max;
	/** Requests carry prompt prefixes that servers cache. */
	bool sticky;
	bool can_resume;
	/** Time after a job's first submission when its results are due, ms. */
	uint32_t completion_ms;
	/** Time after which an item may be given up, in ms. */
	uint64_t retention_ms;
	/** Most tokens that may wait on the route; 0 for no limit. */
	uint64_t waiting_tokens_max;
	struct route_target *targets;
	size_t targets_nr;
};

struct service {
	char *name;
	char *health_path;
	/** Most connections of all callers to one server. */
	unsigned connections_max;
	/** Requests that one engine runs at once; 0 for a plain service. */
	unsigned engine_slots;
};

/** Bounds on what callers may send. */
struct caller_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct route_table {
	uint64_t version;
	/** Of struct route *. */
	GPtrArray *routes;
	/** Of struct service *. */
	GPtrArray *services;
	struct caller_limits limits;
	/* Host to a GPtrArray of its routes. */
	GHashTable *by_host;
};

/** Makes an empty table. */
struct route_table *route_table_create(void);

void route_table_destroy(struct route_table *table);

/** Adds a route, which the table then owns. */
void route_table_add(struct route_table *table, struct route *route);

/** Adds a service, which the table then owns. */
void route_table_add_service(struct route_table *table,
			     struct service *service);

/** The route of the host with the longest prefix of the path, or NULL. */
const struct route *route_table_find(const struct route_table *table,
				     const char *host, const char *path);

const struct service *route_table_service(const struct route_table *table,
					  const char *name);

/** The service that runs a request, by the weights and the request's hash. */
const char *route_pick_service(const struct route *route, uint64_t hash);

/** Tells whether a request of this route may run more than once. */
bool route_repeatable(const struct route *route);

#endif
