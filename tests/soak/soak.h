/**
 * A randomized soak of real processes: gateways, the platform's store, servers
 * and proxies on loopback, with faults from outside, and the promises checked
 * from what callers and servers see.
 */
#ifndef BRIARPLANK_TESTS_SOAK_H
#define BRIARPLANK_TESTS_SOAK_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <uv.h>

#include "net/http_link.h"

#define SOAK_GATEWAYS 4
#define SOAK_SERVERS 4
#define SOAK_EVENTS 25
#define SOAK_HOST "desk.example"

/** A process that the soak started. */
struct soak_process {
	struct soak *soak;
	char *name;
	uv_process_t handle;
	bool running;
	bool stopped;
	/** Its output; a new file for each start. */
	char *log;
	unsigned starts;
	char *address;
};

struct soak {
	uv_loop_t loop;
	const char *build;
	char *dir;
	uint64_t seed;
	GRand *rand;
	struct soak_process store;
	struct soak_process servers[SOAK_SERVERS];
	struct soak_process gateways[SOAK_GATEWAYS];
	/* One before the store for each gateway. */
	struct soak_process proxies[SOAK_GATEWAYS];
	char *proxy_links[SOAK_GATEWAYS];
	/* Request id to what its caller was told (enum soak_told). */
	GHashTable *told;
	GPtrArray *jobs;
	GPtrArray *clients;
	unsigned open_calls;
	/* Clients start nothing new. */
	bool ending;
	unsigned requests;
	unsigned served;
	unsigned refused;
	unsigned broken;
	unsigned faults;
	unsigned violations;
};

enum soak_told {
	SOAK_TOLD_NOTHING,
	/** 429, 503, 408 or 421: it has not run and never will. */
	SOAK_TOLD_NOT_RUN,
};

/** Reports a broken promise. */
__attribute__((format(printf, 2, 3))) void soak_violation(struct soak *soak,
							  const char *fmt, ...);

/** Returns a number from 0 up to below. */
unsigned soak_random(struct soak *soak, unsigned below);

/* Processes (fleet.c). */
bool soak_fleet_start(struct soak *soak);
void soak_fleet_stop(struct soak *soak);
void soak_fleet_free(struct soak *soak);
void soak_gateway_start(struct soak *soak, unsigned i);
void soak_signal(struct soak_process *process, int signum);
bool soak_wait(struct soak *soak, bool (*done)(void *ctx), void *ctx,
	       uint64_t ms);

/* Calls (client.c). */
struct soak_kept {
	struct http_link *link;
	char *address;
};

struct soak_call {
	/** A connection that is used again while it is open; may be NULL. */
	struct soak_kept *kept;
	const char *address;
	const char *method;
	const char *path;
	const char *id;
	const char *body;
	size_t body_len;
	uint32_t timeout_ms;
	/** status 0: no answer; whole: it came to its end. */
	void (*done)(void *ctx, int status, bool whole, const GString *body);
	void *ctx;
};

void soak_call_start(struct soak *soak, const struct soak_call *call);

/** Starts the clients of online requests and of jobs. */
void soak_clients_start(struct soak *soak);

/** Tells whether each accepted job has all its results. */
bool soak_jobs_done(void *ctx);

/** Frees clients and jobs, when no call is open any more. */
void soak_clients_free(struct soak *soak);

/** Compares what callers were told with what the servers ran. */
void soak_check_end(struct soak *soak);

/* Faults (faults.c). */
void soak_faults_start(struct soak *soak);
void soak_faults_stop(struct soak *soak);

#endif
