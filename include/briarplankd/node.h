/**
 * A node: the process's loop, sockets and tasks.
 *
 * Tasks own their state. They talk by bus messages, also within the process,
 * and hear of changes through events.
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
	/** The configuration in force has a higher revision. */
	NODE_CONFIG_CHANGED,
	/** A peer answers, no longer answers, or is leaving. */
	NODE_PEER_UP,
	NODE_PEER_DOWN,
	NODE_PEER_LEAVING,
};

struct node_event {
	enum node_event_kind kind;
	/** Peer of a peer event, else NULL. */
	const char *peer;
	uint64_t revision;
};

/** What the kinds of task do. Any but start and destroy may be NULL. */
struct task_ops {
	const char *name;
	/** Registers handlers and timers; false with an error message. */
	bool (*start)(struct task *task);
	/** Begins a graceful stop: no new work, what runs goes on. */
	void (*stop)(struct task *task);
	/** Tells whether the graceful stop is complete. */
	bool (*stopped)(struct task *task);
	void (*event)(struct task *task, const struct node_event *event);
	/** Tells why the node isn't ready; NULL when the task is. */
	const char *(*unready)(struct task *task);
	void (*destroy)(struct task *task);
};

/** Base of each task. */
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
	/** Callers and operators by their keys. */
	struct access_index *access;
	struct bus *bus;
	/** NULL in an agent without a web address. */
	struct web *web;
	struct http_client *http;
	struct log_service *log;
	struct list tasks;
	/** What the tasks can show to operators. */
	struct list row_sources;
	bool stopping;
	uv_signal_t on_term;
	uv_signal_t on_int;
	uv_timer_t stop_timer;
	/** End of the time for a graceful stop, and whether it passed. */
	uint64_t stop_at_ms;
	/** Until then a stopping node accepts connections and refuses. */
	uint64_t listen_until_ms;
	bool stop_cut;
	/** The task that holds the configuration in force. */
	struct task *config;
	/** The task that knows the other nodes. */
	struct task *members;
};

/** Makes a node from checked settings; NULL with an error message. */
struct node *node_create(const struct daemon_settings *settings);

/** Adds a task, which the node starts, stops and frees. */
void node_add(struct node *node, struct task *task);

/**
 * Runs until a graceful stop is complete, or its time is over; returns the
 * exit status, which is 1 when work was cut off.
 */
int node_run(struct node *node);

/** Tells every task of an event. */
void node_publish(struct node *node, const struct node_event *event);

/** Frees the node with its tasks. */
void node_destroy(struct node *node);

/** Milliseconds of the monotonic clock. */
uint64_t node_now_ms(const struct node *node);

/** Microseconds of the monotonic clock. */
uint64_t node_now_us(void);

/** Milliseconds since the epoch. */
uint64_t node_wall_ms(void);

#endif
