/**
 * Declarations shared by the sources of the configuration task.
 */
#ifndef BRIARPLANKD_CONFIG_PRIVATE_H
#define BRIARPLANKD_CONFIG_PRIVATE_H

#include "briarplankd/config_task.h"
#include "core/config_reader.h"

#define CONFIG_PART "config"
#define CONFIG_STREAM "config"

struct config_task {
	struct task super;
	struct config_store *store;
	struct config_reader *reader;
	uv_timer_t tick;
	uint64_t started_ms;
	/** The configuration was loaded from the log or from a peer. */
	bool synced;
	bool relay;

	/** A read of the log is running; another is to follow it. */
	bool reading;
	bool read_requested;
	uint64_t read_from;
	uint64_t read_at_ms;
	/** Earliest time of the next read of the log. */
	uint64_t next_read_ms;
	uint32_t read_backoff_ms;
	bool log_unreachable;

	/** Highest revision announced by a peer, the peer and when to fetch. */
	uint64_t announced_revision;
	char *announced_by;
	uint64_t fetch_at_ms;
	unsigned fetches;
	/** Time until which a relay retries its push of the revision. */
	uint64_t push_until_ms;

	/** Pending publishes, a list of struct publish. */
	struct list publishes;
	uint64_t snapshot_from_ms;
	bool snapshot_running;

	struct counter *revision_gauge;
	struct counter *relay_gauge;
	struct counter *fetches_total;
	struct counter *reads_total;
	struct histogram *spread;
};

/** Returns the configuration task of a node. */
struct config_task *config_task_of(struct node *node);

/** Requests a read of the log, also if this node is not a relay. */
void config_request_read(struct config_task *task);

/** Checks the pending publishes against the current state of the store. */
void config_publishes_check(struct config_task *task);

/** Frees the pending publishes. */
void config_publishes_free(struct config_task *task);

/** Fetches missing revisions from peers. */
void config_spread_tick(struct config_task *task, uint64_t now_ms);

/** Pushes the current revision to the nodes of the same data centre. */
void config_spread_push(struct config_task *task);

/** Registers the handlers for messages between nodes. */
void config_spread_start(struct config_task *task);

/** Applies and announces the new revision after the store was updated. */
void config_advanced(struct config_task *task, uint64_t old_revision);

#endif
