/**
 * One batch item at work. batch.c decides when and where it runs, batch_save.c
 * keeps what it has done.
 */
#ifndef BRIARPLANKD_GATEWAY_BATCH_RUN_H
#define BRIARPLANKD_GATEWAY_BATCH_RUN_H

#include "batch.h"
#include "core/batch_plan.h"
#include "core/event_stream.h"
#include "core/job_request.h"
#include "job_bulk.h"
#include "job_store.h"
#include "server_call.h"

struct batch_save;

/** What an item waits for. */
enum run_state {
	/** Waits for a slot. */
	RUN_WAITING,
	/** Its body is being read from the store. */
	RUN_FETCHING,
	RUN_RUNNING,
	/** Its output or end is on the way to the log. */
	RUN_ENDING,
};

struct run {
	struct list link;
	struct batch *batch;
	struct job *job;
	struct job_item *item;
	enum run_state state;
	/* It won't be done by its due time and goes behind those that will. */
	bool late;
	/* The route of the job's submission in a configuration. */
	const struct route *route;
	uint64_t routed_version;
	/* Encoded body; NULL until it was read. */
	GByteArray *payload;
	struct job_request_item request;
	char *fields;
	struct server_call *call;
	struct server *server;
	struct job_bulk_read *read;
	struct job_bulk_write *write;
	GString *output;
	int64_t last_event;
	/* Last event before the run at the server. */
	int64_t first_event;
	/* Last event whose output is saved or being saved. */
	int64_t saved_event;
	struct event_stream *events;
	bool broken;
	int status;
	uint64_t not_before_ms;
	uint64_t heard_ms;
	uint64_t started_ms;
};

struct batch {
	struct gateway *gateway;
	/* Runs by due time. */
	struct list runs;
	struct batch_backlog waiting;
	/* Route name to struct item_length *. */
	GHashTable *lengths;
	uv_timer_t timer;
	uint64_t scanned_ms;
	uint64_t saved_ms;
	struct batch_save *save;
	bool yielding;
	struct counter *started;
	struct counter *yielded;
	struct counter *done;
	struct counter *failed;
};

/** Adds an item in the order of the jobs' due times. */
struct run *run_create(struct batch *batch, struct job *job,
		       struct job_item *item);

/** Ends its calls and forgets it. */
void run_free(struct run *run);

/** The route that the job's submission has now, or NULL. */
const struct route *run_route(struct run *run);

/** The service that runs the item, or NULL without a route. */
const char *run_service(struct run *run);

/** Plans an item to be late or in time. */
void run_set_late(struct run *run, bool late);

/** What is known of the length of the items of a job's route. */
struct item_length *batch_length(struct batch *batch, const struct job *job);

/** Tells whether a waiting item can start; fetches what it lacks. */
bool run_prepare(struct run *run, uint64_t now);

/** Sends a prepared item to a server. */
void run_start_at(struct run *run, struct server *server);

/** Takes an item off its server; it goes on elsewhere behind its last event. */
void run_yield(struct run *run, const char *why, uint64_t pause_ms);

/** Leaves an item to the node that owns it. */
void run_drop(struct run *run, const char *why);

#endif
