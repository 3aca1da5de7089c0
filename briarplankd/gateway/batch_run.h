/**
 * Execution of one batch item at a server. batch.c schedules the runs and
 * batch_save.c saves their progress.
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

/** State of an item of this node. */
enum run_state {
	/** Waits for a slot, or for its backoff to pass. */
	RUN_WAITING,
	/** Its prompt has a quarantined part; not_before_ms is the next check. */
	RUN_HELD,
	/** Its body or its saved output is being read from the store. */
	RUN_FETCHING,
	/** A server runs the item. */
	RUN_RUNNING,
	/** Its output or result is being written to the store. */
	RUN_ENDING,
};

struct run {
	struct list link;
	struct batch *batch;
	struct job *job;
	struct job_item *item;
	/* Number of failed attempts, as far as this node knows. */
	unsigned failures;
	enum run_state state;
	/* The item can't meet its due time; items that can are started
	 * first. */
	bool late;
	/* Route of the job in configuration routed_version. */
	const struct route *route;
	uint64_t routed_version;
	/* Encoded request; NULL before it is read and after it is decoded. */
	GByteArray *payload;
	struct job_request_item request;
	/* Header fields to send, as lines; NULL until the body is decoded. */
	char *fields;
	struct prompt prompt;
	/* The prompt had a quarantined part when it was checked last. */
	bool quarantined;
	struct server_call *call;
	struct server *server;
	struct job_bulk_read *read;
	struct job_bulk_write *write;
	GString *output;
	/* Number of events in output, and the maximum by the item's tokens; 0 if
	 * its job doesn't say. */
	uint64_t events_nr;
	uint64_t events_max;
	/* Increases each time output is discarded. */
	unsigned output_number;
	/* Id of the last event in output, or -1. */
	int64_t last_event;
	/* Hash of the service and software version that wrote output; 0 while it is
	 * empty. */
	uint64_t software;
	/* That of the server of the current call. */
	uint64_t call_software;
	/* Loop time since which it has waited for a server of that version while others
	 * had room, in ms; 0 while it doesn't. */
	uint64_t bound_since_ms;
	/* Value of last_event when the server call started. */
	int64_t first_event;
	/* Id of the last event whose output is saved or being saved, or -1. */
	int64_t saved_event;
	/* The version that wrote the saved output which is being read. */
	uint64_t saved_software;
	struct event_stream *events;
	/* The response has a gap in its event ids. */
	bool broken;
	/* The last response ended with its connection before its first event:
	 * the item may be whole, or the response broke off. */
	bool ended_unsure;
	/* HTTP status of the response, or 0, and its framing. */
	int status;
	enum http_link_framing framing;
	/* Loop times in ms: end of the backoff, last event received, start of
	 * the server call. */
	uint64_t not_before_ms;
	uint64_t last_receive_ms;
	uint64_t started_ms;
};

struct batch {
	struct gateway *gateway;
	/* Runs of this node's items, ordered by due time. */
	struct list runs;
	struct batch_backlog waiting;
	/* Maps a route name to its struct item_length *. */
	GHashTable *lengths;
	/* Bytes of the outputs of all runs. */
	size_t output_bytes;
	uv_timer_t timer;
	uint64_t scanned_ms;
	uint64_t saved_ms;
	/* The newest save in flight, or NULL. */
	struct batch_save *save;
	/* True while batch_load_changed() runs, to detect that it is called
	 * recursively. */
	bool preempting;
	struct counter *started;
	struct counter *preempted;
	struct counter *done;
	struct counter *failed;
};

/** Creates the run of an item and queues it by its job's due time. */
struct run *run_create(struct batch *batch, struct job *job,
		       struct job_item *item);

/** Cancels the run's calls and frees it. */
void run_free(struct run *run);

/**
 * Returns the route that the current configuration has for the job, or NULL.
 */
const struct route *run_route(struct run *run);

/** Returns the service that runs the item, or NULL without a route. */
const char *run_service(struct run *run);

/** Marks an item as late or in time. */
void run_set_late(struct run *run, bool late);

/** Returns the length statistics of the job's route; never NULL. */
struct item_length *batch_length(struct batch *batch, const struct job *job);

/**
 * Returns true when a waiting item can start at the loop time now. Else it may
 * start to fetch what the item lacks, or dead-letter an expired item.
 */
bool run_prepare(struct run *run, uint64_t now);

/** Makes an item that is held wait for a slot when its check is due. */
void run_check_held(struct run *run, uint64_t now);

/**
 * Makes a prepared item start over if no server has the software version that wrote its
 * output so far; tells whether it does.
 */
bool run_lost_software(struct run *run, const char *service);

/** Notes that a prepared item that has output found no server of its version; after a
 * while it starts over. */
void run_found_no_server(struct run *run, uint64_t now);

/** Starts a prepared item on a server. */
void run_start_at(struct run *run, struct server *server);

/**
 * Cancels the server call of a running item and requeues the item after a
 * backoff. It resumes after its last event. Logs reason.
 */
void run_interrupt(struct run *run, const char *reason, uint64_t backoff_ms);

/** Frees the run of an item whose job another node owns. Logs reason. */
void run_release(struct run *run, const char *reason);

#endif
