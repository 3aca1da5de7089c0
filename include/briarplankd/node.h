/**
 * A node: the event loop, sockets and tasks of the process.
 *
 * Each task owns its state. Tasks communicate by bus messages, also within the
 * process, and are notified of changes by events.
 */
#ifndef BRIARPLANKD_NODE_H
#define BRIARPLANKD_NODE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "briarplankd/access.h"
#include "briarplankd/bus.h"
#include "briarplankd/daemon_settings.h"
#include "briarplankd/web.h"
#include "common/list.h"
#include "common/metrics.h"
#include "standalone/http_client.h"
#include "standalone/log_service.h"

struct node;
struct task;

enum node_event_kind {
	/** A higher configuration revision was applied. */
	NODE_CONFIG_CHANGED,
	/** A peer responds, no longer responds or is leaving. */
	NODE_PEER_UP,
	NODE_PEER_DOWN,
	NODE_PEER_LEAVING,
};

struct node_event {
	enum node_event_kind kind;
	/** Name of the peer for the peer events, else NULL. */
	const char *peer;
	uint64_t revision;
};

/** Operations of a task. All but name, start and destroy may be NULL. */
struct task_ops {
	const char *name;
	/** Registers handlers and timers; returns false and sets the error. */
	bool (*start)(struct task *task);
	/** Begins a graceful stop: refuses new work, finishes running work. */
	void (*stop)(struct task *task);
	/** Returns true if the graceful stop is complete. */
	bool (*stopped)(struct task *task);
	void (*event)(struct task *task, const struct node_event *event);
	/** Returns why the task isn't ready; NULL if it is. */
	const char *(*not_ready_reason)(struct task *task);
	void (*destroy)(struct task *task);
};

/** Base struct of all tasks. */
struct task {
	struct list link;
	const struct task_ops *ops;
	struct node *node;
};

struct node {
	uv_loop_t loop;
	const struct daemon_settings *settings;
	uint64_t incarnation;
	struct metrics *metrics;
	/** Index of callers and operators by their keys. */
	struct access_index *access;
	struct bus *bus;
	/** HTTP server; NULL for an agent without a web address. */
	struct web *web;
	struct http_client *http;
	struct log_service *log;
	struct list tasks;
	/** Tables of rows that operators can query. */
	struct list row_sources;
	bool stopping;
	uv_signal_t sigterm;
	uv_signal_t sigint;
	uv_timer_t stop_timer;
	/** Time at which the node's graceful stop times out. */
	uint64_t stop_deadline_ms;
	/** Time until which a stopping node accepts connections. */
	uint64_t listen_until_ms;
	/** The graceful stop passed its deadline. */
	bool stop_timed_out;
	/** The task that holds the current configuration. */
	struct task *config;
	/** The task that tracks the other nodes. */
	struct task *members;
};

/** Creates a node from valid settings; returns NULL and sets the error. */
struct node *node_create(const struct daemon_settings *settings);

/** Adds a task; the node starts, stops and frees it. */
void node_add_task(struct node *node, struct task *task);

/**
 * Runs until a graceful stop is complete or times out. Returns the exit status,
 * which is 1 if the node could not start or running requests were aborted.
 */
int node_run(struct node *node);

/** Passes an event to every task. */
void node_notify_tasks(struct node *node, const struct node_event *event);

/** Frees the node and its tasks. */
void node_destroy(struct node *node);

/** Returns the monotonic time in ms. */
uint64_t node_now_ms(const struct node *node);

/** Returns the monotonic time in us. */
uint64_t node_now_us(void);

/** Returns the wall-clock time in ms since the Unix epoch. */
uint64_t node_wall_ms(void);

#endif
