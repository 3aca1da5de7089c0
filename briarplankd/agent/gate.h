/**
 * The gate to the backend server: the parts that the agent's files share.
 *
 * Everything that goes to the server passes the gate: online attempts
 * (attempt.c) and batch work (work.c).
 */
#ifndef BRIARPLANKD_AGENT_GATE_H
#define BRIARPLANKD_AGENT_GATE_H

#include <uv.h>

#include "briarplankd/node.h"
#include "common/list.h"
#include "core/admission.h"
#include "core/answer_buffer.h"
#include "core/batch_share.h"
#include "core/concurrency.h"
#include "core/tombstones.h"
#include "standalone/backend.h"

/** Longest silence of a server within an answer, in ms. */
#define SERVER_STALL_MS 10000
/** Longest wait for the head of a batch item's answer, in ms. */
#define WORK_FIRST_BYTE_MS 120000

struct attempt;
struct gate_work;
struct report_sender;

struct gate {
	struct task task;
	struct backend *backend;
	/* Attempts that are queued, run, or wait for their last piece. */
	GHashTable *attempts;
	struct tombstones *tombstones;
	struct concurrency *concurrency;
	struct admission *admission;
	struct batch_share *share;
	/* What the last plan allows for batch work. */
	struct batch_share_plan plan;
	/* Streams that had no token yet at the last plan. */
	unsigned starting;
	unsigned batch_starting;
	/* When a stream last began, had its first token, or ended. */
	uint64_t changed_us;
	/* Mean time from a call's start to its first token. */
	double first_token_us;
	/* Batch work at the gate, in the order of arrival. */
	struct list works;
	unsigned running_online;
	unsigned running_batch;
	uv_timer_t timer;
	bool timer_open;
	/* When the loop was last seen to run, and how long it was frozen. */
	uint64_t seen_us;
	uint64_t frozen_ms;
	uint64_t thawed_us;
	/* Called at the first event after a freeze, before all else. */
	void (*on_thaw)(void *ctx);
	void *thaw_ctx;
	bool leaving;
	/* The server is about to change what it holds: no new work. */
	bool closed;
	/** An operator drains the server. */
	bool drained;
	struct report_sender *reports;
	struct {
		struct counter *admitted;
		struct counter *duplicates;
		struct counter *preemptions;
		struct histogram *queue_wait;
		struct histogram *first_token;
		struct histogram *token_gap;
		struct histogram *item_time;
	} metrics;
};

/** Tells whether the server may get new work. */
bool gate_takes_work(const struct gate *gate);

/** Returns the node's gate, or NULL. */
struct gate *gate_of(struct node *node);

/** Stops taking new work, or takes it again; what is here goes on. */
void gate_set_closed(struct gate *gate, bool closed);

/** Tells whether nothing runs or waits at the gate. */
bool gate_is_idle(const struct gate *gate);

/** Looks at the clock; called first by each handler of an event. */
void gate_wake(struct gate *gate);

/** Starts what may start now, and makes batch work give way. */
void gate_schedule(struct gate *gate);

/** Notes that the set of streams changed, so that gaps across it don't count. */
void gate_streams_changed(struct gate *gate);

/** Notes a first token, started_us after the clock's zero. */
void gate_first_token(struct gate *gate, uint64_t started_us);

/**
 * Notes further tokens of a stream whose last ones came at last_us; returns
 * the gap.
 */
uint64_t gate_tokens(struct gate *gate, uint64_t last_us, unsigned tokens);

/** Tells from an answer's fields whether its body is a stream of events. */
bool gate_is_stream(const struct http_field *fields, size_t nr);

/**
 * Notes a whole answer of a call that started then, beside so many others in
 * all. A plain service is learned from these, as it has no tokens.
 */
void gate_whole_answer(struct gate *gate, uint64_t started_us,
		       unsigned streams);

/** Number of tokens, one an event, that begin in a part of a stream. */
unsigned gate_count_tokens(const char *data, size_t len);

/** Counts a refusal by its reason. */
void gate_count_refusal(struct gate *gate, const char *reason);

/** Handles each message about an attempt. */
void attempts_register(struct gate *gate);

/** Starts queued attempts while fewer than the limit run. */
void attempts_schedule(struct gate *gate, unsigned limit);

/** Number of attempts started after since_us that have no token yet. */
unsigned attempts_starting(const struct gate *gate, uint64_t since_us);

/** Looks at deadlines, lost entries and unsent pieces of all attempts. */
void attempts_tick(struct gate *gate);

/** Notes that an entry is gone, or back. */
void attempts_entry_down(struct gate *gate, const char *entry, bool down);

void attempts_destroy(struct gate *gate);

/** How a batch work ended. */
enum gate_result {
	/** The whole answer is there; its status may be an error. */
	GATE_DONE,
	/** Proven not run. */
	GATE_NOT_RUN,
	/** The server was lost, or fell silent, with the work in flight. */
	GATE_LOST,
};

/** A piece of batch work for the server. Strings and body are copied. */
struct gate_work_options {
	/** Names the work towards the server. */
	const char *id;
	const char *method;
	const char *path;
	const void *body;
	size_t body_len;
	bool idempotent;
	/** Called once, unless the work was cancelled; then it is freed. */
	void (*on_end)(void *ctx, enum gate_result result, int status,
		       const GString *body);
	void *ctx;
};

/** Hands over a piece of batch work; no callback comes before this returns. */
struct gate_work *gate_work_submit(struct gate *gate,
				   const struct gate_work_options *options);

/** Ends a piece of work without on_end; the server is told to stop. */
void gate_work_cancel(struct gate_work *work);

/**
 * Takes back a piece of work that was never sent to the server; false when it
 * was.
 */
bool gate_work_withdraw(struct gate_work *work);

/** Number of pieces of batch work that the gate would take beside its own. */
unsigned gate_batch_room(const struct gate *gate);

/** Preempts, resumes and starts batch work as planned. */
void works_schedule(struct gate *gate, const struct batch_share_plan *plan);

/** Number of works started after since_us that have no token yet. */
unsigned works_starting(const struct gate *gate, uint64_t since_us);

/** Number of works that don't run. */
unsigned works_waiting(const struct gate *gate);

void works_destroy(struct gate *gate);

#endif
