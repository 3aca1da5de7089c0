/**
 * What the parts of the gateway share. gateway.c owns it all and calls
 * downwards; the parts know each other only by the functions here.
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

struct directory;
struct job_store;
struct job_bulk;
struct batch;
struct job_calls;
struct peers;
struct refusals;
struct store_relay;
struct store_route_state;

struct gateway {
	uv_loop_t *loop;
	const struct gateway_settings *settings;
	/** Name and incarnation of this process. */
	char *identity;
	uint64_t identity_hash;
	/** Data centre to region, both strings of the settings. */
	GHashTable *regions;
	struct metrics *metrics;
	struct store *store;
	struct store_route_state *store_route;
	struct store_relay *store_relay;
	struct fleet *fleet;
	/** NULL until a configuration was read. */
	struct route_table *config;
	struct directory *directory;
	struct job_store *job_store;
	struct job_bulk *job_bulk;
	struct batch *batch;
	struct job_calls *job_calls;
	struct peers *peers;
	struct refusals *refusals;
	/** Online requests under way, by a link of theirs. */
	struct list requests;
	struct web *front;
	struct web *ready;
	struct web *metrics_web;
	bool stopping;
	/** The batch items of this node are the others' to run. */
	bool handed_over;
};

/** Unix time in ms by this VM's clock. */
uint64_t gateway_wall_ms(void);

/** Time in ms that goes on while the VM is suspended, unlike the loop's. */
uint64_t gateway_boot_ms(void);

/** A random number of 64 bits. */
uint64_t gateway_random(void);

/** A new configuration is in force. */
void gateway_config_changed(struct gateway *gateway);

/** Starts a request of a route (online.c). */
void online_request_start(struct gateway *gateway, struct web_request *web,
			  const char *path);

/** What operators see of an online request under way. */
struct online_view {
	const char *id;
	const char *route;
	const char *service;
	/** Server of the last choice, or NULL. */
	const char *server;
	bool streaming;
	uint64_t age_ms;
};

/** Calls fn for each online request under way (online.c). */
void online_requests_each(struct gateway *gateway,
			  void (*fn)(void *ctx, const struct online_view *view),
			  void *ctx);

/** Starts the submission of a job or one of the job calls (job_calls.c). */
void job_calls_submit(struct gateway *gateway, struct web_request *web,
		      const struct route *route);
struct platform_call;
void job_calls_start(struct gateway *gateway, struct web_request *web,
		     const struct platform_call *call);

/** Answers with a problem that proves that nothing ran. */
__attribute__((format(printf, 4, 5))) void gateway_refuse(
	struct web_request *web, int status, double retry_after_s,
	const char *fmt, ...);

#endif
