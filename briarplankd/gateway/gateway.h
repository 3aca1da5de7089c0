/**
 * State and functions shared by the parts of the gateway. gateway.c owns all
 * parts and calls into them; the parts call each other only through the
 * functions declared here and in their own headers.
 */
#ifndef BRIARPLANKD_GATEWAY_GATEWAY_H
#define BRIARPLANKD_GATEWAY_GATEWAY_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "briarplankd/gateway_settings.h"
#include "briarplankd/web.h"
#include "common/list.h"
#include "common/metrics.h"
#include "core/fleet.h"
#include "core/job_log.h"
#include "core/route_table.h"
#include "platform/store.h"

struct accounts;
struct directory;
struct evidence_share;
struct job_store;
struct job_bulk;
struct batch;
struct job_calls;
struct limits;
struct peers;
struct refusals;
struct software_history;
struct store_relay;
struct stream_share;
struct start_queue;
struct store_route_state;
struct waiting_room;

struct gateway {
	uv_loop_t *loop;
	const struct gateway_settings *settings;
	/** Name and incarnation of this process. */
	char *identity;
	uint64_t identity_hash;
	/** Maps a data centre to its region; both strings belong to the
	 * settings. */
	GHashTable *regions;
	struct metrics *metrics;
	struct store *store;
	struct store_route_state *store_route;
	struct store_relay *store_relay;
	struct fleet *fleet;
	/** The configuration in use; NULL until one was read. */
	struct route_table *config;
	struct directory *directory;
	struct job_store *job_store;
	struct job_bulk *job_bulk;
	struct batch *batch;
	struct job_calls *job_calls;
	struct peers *peers;
	struct evidence_share *evidence;
	struct limits *limits;
	struct accounts *accounts;
	struct waiting_room *waiting_room;
	struct start_queue *start_queue;
	struct software_history *software_history;
	struct stream_share *streams;
	struct refusals *refusals;
	/** Online requests in progress (struct online_request). */
	struct list requests;
	/** Bytes of unfinished responses of servers, without streams. */
	size_t response_bytes;
	/** Bound over the memory that callers of all HTTP servers take up. */
	struct web_budget *budget;
	/** HTTP server for callers. */
	struct web *front;
	/** HTTP server of the readiness check. */
	struct web *ready;
	/** HTTP server for the other entries. */
	struct web *node_web;
	unsigned node_web_port;
	/** HTTP server of metrics and operators' commands. */
	struct web *metrics_web;
	bool stopping;
	/** Loop times at which a stop began, and at which it ends the requests that are
	 * still in progress, in ms; 0 while the process isn't stopping. */
	uint64_t stop_ms;
	uint64_t stop_end_ms;
	/**
	 * True once the other entries run the batch items of this node, which
	 * is stopping.
	 */
	bool handed_over;
};

/** Retry-After while this node has just started and reads the configuration and
 * the servers, in s. */
#define STARTING_RETRY_AFTER_S 0.2

/** Returns the Unix time in ms by this VM's clock. */
uint64_t gateway_wall_ms(void);

/** Returns a time in ms that, unlike the loop's, advances during a suspend. */
uint64_t gateway_boot_ms(void);

/** Returns a random number of 64 bits. */
uint64_t gateway_random(void);

/** Tells whether this node has read what it needs to send requests to servers. */
bool gateway_may_send(const struct gateway *gateway);

/**
 * Tells whether a request that may last until a loop time in ms comes too late to be
 * taken: the callers know by now that this process stops, which it would do before.
 */
bool gateway_stops_before(const struct gateway *gateway, uint64_t deadline_ms);

/** Reason of refusals in that case; another entry can serve the request at once. */
#define STOPPING_REASON "the node stops"
#define STOPPING_RETRY_AFTER_S 0

/** Applies the limits of a new configuration. */
void gateway_apply_config(struct gateway *gateway);

/**
 * Finds the route of a caller's request and starts it, as an online request or
 * as the submission of a job (online.c). It arrived at a loop time in ms.
 */
void online_request_start(struct gateway *gateway, struct web_request *web,
			  const char *path, uint64_t arrived_ms);

/** Ends all online requests: refuses those that no server has got (online.c). */
void online_requests_stop(struct gateway *gateway);

/** An online request in progress, as shown to operators. */
struct online_request_info {
	const char *id;
	const char *route;
	const char *service;
	/** Server that was chosen last, or NULL. */
	const char *server;
	bool streaming;
	uint64_t age_ms;
};

/** Calls fn for each online request in progress (online.c). */
void online_requests_each(struct gateway *gateway,
			  void (*fn)(void *ctx,
				     const struct online_request_info *info),
			  void *ctx);

/** Starts the submission of a job by an account, NULL for none (job_calls.c). */
void job_calls_submit(struct gateway *gateway, struct web_request *web,
		      const struct route *route, const struct account *account);

struct platform_call;

/** Starts any other call on jobs, such as reading results (job_calls.c). */
void job_calls_start(struct gateway *gateway, struct web_request *web,
		     const struct platform_call *call);

/**
 * Answers with a problem and a Retry-After, in s. The answer tells the caller
 * that the request did not run.
 */
__attribute__((format(printf, 4, 5))) void gateway_refuse(
	struct web_request *web, int status, double retry_after_s,
	const char *fmt, ...);

#endif
