/**
 * The active routing configuration: maps a request to a route, and a route to
 * the services that run its requests.
 */
#ifndef BRIARPLANK_CORE_ROUTE_TABLE_H
#define BRIARPLANK_CORE_ROUTE_TABLE_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "core/account_table.h"

enum route_kind {
	/** Requests may run more than once. */
	ROUTE_SAFE,
	/** Requests run at most once. */
	ROUTE_UNSAFE,
	/**
	 * Answers are event streams. A request may be repeated only if its
	 * stream can be resumed.
	 */
	ROUTE_STREAM,
	/** Requests submit batch jobs. */
	ROUTE_BATCH,
};

/** A service of a route, and the weight of its share of the requests. */
struct route_target {
	char *service;
	unsigned weight;
};

struct route {
	char *name;
	char *host;
	/** Path prefix; begins and ends with a slash. */
	char *prefix;
	enum route_kind kind;
	/** Longest time that a request may wait, in ms. */
	uint32_t timeout_ms;
	/** Latency objective of the first byte, in ms. */
	uint32_t objective_ms;
	/** Latency objective between two events, in ms. */
	uint32_t gap_ms;
	/** Priority; 0 is the highest. */
	int priority;
	/** Maximum number of backend servers that may run one request. */
	unsigned attempts_max;
	/** Requests need no key of an account. */
	bool is_public;
	/** Requests carry prompt prefixes that servers cache. */
	bool sticky;
	/** Streams of this route can be resumed at another server. */
	bool can_resume;
	/** Time from a job's first submission until its results are due, in
	 * ms. */
	uint32_t completion_ms;
	/** Time after which an unfinished item may be dropped, in ms. */
	uint64_t retention_ms;
	/** Maximum number of unfinished tokens on the route; 0 for no limit. */
	uint64_t waiting_tokens_max;
	struct route_target *targets;
	size_t targets_nr;
};

struct service {
	char *name;
	char *health_path;
	/** Maximum number of connections of all callers to one server. */
	unsigned connections_max;
	/** Requests that one engine runs concurrently; 0 for a service that
	 * isn't a model engine. */
	unsigned engine_slots;
};

/** Limits of the requests that callers send. */
struct caller_limits {
	uint64_t header_bytes;
	uint64_t body_bytes;
	uint32_t header_timeout_ms;
	uint32_t idle_timeout_ms;
};

struct route_table {
	uint64_t version;
	/** Array of struct route *. */
	GPtrArray *routes;
	/** Array of struct service *. */
	GPtrArray *services;
	struct caller_limits limits;
	/** The client accounts; NULL if callers need no key. */
	struct account_table *accounts;
	/* Maps a normalized host to a GPtrArray of its routes. */
	GHashTable *by_host;
};

/** Creates an empty table. */
struct route_table *route_table_create(void);

void route_table_destroy(struct route_table *table);

/** Adds a route, which the table then owns. */
void route_table_add(struct route_table *table, struct route *route);

/** Adds a service, which the table then owns. */
void route_table_add_service(struct route_table *table,
			     struct service *service);

/** Returns the host's route with the longest matching path prefix, or NULL. */
const struct route *route_table_find(const struct route_table *table,
				     const char *host, const char *path);

/** Returns the service with this name, or NULL. */
const struct service *route_table_service(const struct route_table *table,
					  const char *name);

/** Returns the service that runs a request, selected by the weights and the
 * request's hash; NULL if the route has no services. */
const char *route_pick_service(const struct route *route, uint64_t hash);

/** Tells whether the route gives requests to a service. */
bool route_has_service(const struct route *route, const char *service);

/** Returns the service that gets all requests of the route; NULL if there are several. */
const char *route_sole_service(const struct route *route);

/** Returns a hash of the route's services and weights; two routes with the same hash pick
 * the same service for a request. Never 0. */
uint64_t route_picks_hash(const struct route *route);

/** Tells whether a request of this route may run more than once. */
bool route_repeatable(const struct route *route);

#endif
