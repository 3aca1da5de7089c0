/**
 * Randomized soak test of real processes: runs gateways, a simulated store,
 * servers and proxies on loopback, injects faults, and checks the system's
 * guarantees from what callers and servers observe.
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
	/**
	 * The process is starting, stopped or shutting down, so no fault is
	 * injected into it.
	 */
	bool stopped;
	/**
	 * Path of the file with the output of the process; each start uses a
	 * new file.
	 */
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
	/* Proxies, one between each gateway and the store. */
	struct soak_process proxies[SOAK_GATEWAYS];
	char *proxy_links[SOAK_GATEWAYS];
	/* Maps a request id to the result its caller got (enum soak_reported). */
	GHashTable *reported;
	GPtrArray *jobs;
	GPtrArray *clients;
	unsigned open_calls;
	/* The test is ending: clients start no new requests or jobs. */
	bool ending;
	unsigned requests;
	unsigned served;
	unsigned refused;
	unsigned broken;
	unsigned faults;
	unsigned violations;
};

enum soak_reported {
	SOAK_REPORTED_NOTHING,
	/** The status 429, 503, 408 or 421: the request never runs. */
	SOAK_REPORTED_NOT_RUN,
};

/** Prints and counts a violated guarantee. */
__attribute__((format(printf, 2, 3))) void soak_violation(struct soak *soak,
							  const char *fmt, ...);

/** Returns a random number from 0 to below - 1. */
unsigned soak_random(struct soak *soak, unsigned below);

/* Functions of fleet.c, which manages the processes. */
bool soak_fleet_start(struct soak *soak);
void soak_fleet_stop(struct soak *soak);
void soak_fleet_free(struct soak *soak);
void soak_gateway_start(struct soak *soak, unsigned i);
void soak_signal(struct soak_process *process, int signum);

/**
 * Runs the loop until done() returns true; returns false if that takes longer
 * than ms.
 */
bool soak_wait(struct soak *soak, bool (*done)(void *ctx), void *ctx,
	       uint64_t ms);

/* Types and functions of client.c, which makes the HTTP calls. */
struct soak_connection {
	struct http_link *link;
	char *address;
};

struct soak_call {
	/** Connection to reuse while it is open; may be NULL. */
	struct soak_connection *connection;
	const char *address;
	const char *method;
	const char *path;
	const char *id;
	const char *body;
	size_t body_len;
	uint32_t timeout_ms;
	/**
	 * Called at the end of the call. Status is 0 without an answer; whole
	 * is true if the answer was received completely.
	 */
	void (*done)(void *ctx, int status, bool whole, const GString *body);
	void *ctx;
};

void soak_call_start(struct soak *soak, const struct soak_call *call);

/** Starts the clients of online requests and of jobs. */
void soak_clients_start(struct soak *soak);

/** Returns whether each accepted job has all its results. */
bool soak_jobs_done(void *ctx);

/** Waits until no call is open, then frees clients and jobs. */
void soak_clients_free(struct soak *soak);

/** Compares the answers that callers got with the runs of the servers. */
void soak_check_end(struct soak *soak);

/* Functions of faults.c, which injects faults. */
void soak_faults_start(struct soak *soak);
void soak_faults_stop(struct soak *soak);

#endif
