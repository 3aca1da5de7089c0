/**
 * What the files of the configuration task share.
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
	/** The state is known from the log or from a peer. */
	bool synced;
	bool relay;

	/** A read of the log is under way; another is wanted after it. */
	bool reading;
	bool read_wanted;
	uint64_t read_from;
	uint64_t read_at_ms;
	/** Time before which the log isn't read again. */
	uint64_t read_after_ms;
	uint32_t read_backoff_ms;
	bool log_out;

	/** Highest revision heard of, from whom, and when to fetch it. */
	uint64_t heard_revision;
	char *heard_peer;
	uint64_t fetch_at_ms;
	unsigned fetches;
	/** Time until which a relay pushes the revision to who missed it. */
	uint64_t push_until_ms;

	/** Of struct publish. */
	struct list publishes;
	uint64_t snapshot_from_ms;
	bool snapshot_running;

	struct counter *revision_gauge;
	struct counter *relay_gauge;
	struct counter *fetches_total;
	struct counter *reads_total;
	struct histogram *spread;
};

/** The configuration task of a node. */
struct config_task *config_task_of(struct node *node);

/** Reads the log soon, also when this node is no relay. */
void config_read_soon(struct config_task *task);

/** Tells the publishes under way that the store has gone on. */
void config_publishes_check(struct config_task *task);

/** Frees the publishes that are under way. */
void config_publishes_free(struct config_task *task);

/** Fetches from peers what this node lacks. */
void config_spread_tick(struct config_task *task, uint64_t now_ms);

/** Pushes a new revision on to the nodes of the own data centre. */
void config_spread_push(struct config_task *task);

/** Registers the handlers for messages between nodes. */
void config_spread_start(struct config_task *task);

/** Carries on after the store took something in. */
void config_advanced(struct config_task *task, uint64_t old_revision);

#endif
