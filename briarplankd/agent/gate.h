/**
 * The gate schedules every request to the backend server: online attempts
 * (attempt.c) and batch requests (work.c). This header has its state and the
 * functions that the agent's files share.
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

/**
 * Time without data from the server after which a response that has begun is
 * given up, in ms.
 */
#define SERVER_STALL_MS 10000
/** Timeout for the first byte of the response to a batch request, in ms. */
#define BATCH_FIRST_BYTE_MS 120000

struct attempt;
struct batch_request;
struct report_sender;

struct gate {
	struct task task;
	struct backend *backend;
	/*
	 * Attempts (struct attempt) by key that are queued, running, or not yet
	 * acknowledged.
	 */
	GHashTable *attempts;
	struct tombstones *tombstones;
	struct concurrency *concurrency;
	struct admission *admission;
	struct batch_share *share;
	/*
	 * Number of batch streams that may continue and start according to the
	 * last plan.
	 */
	struct batch_share_plan plan;
	/*
	 * Number of calls, all and batch only, that may have been in prefill at
	 * the last plan.
	 */
	unsigned starting;
	unsigned batch_starting;
	/*
	 * Time at which a stream last started, had its first token, or ended.
	 */
	uint64_t streams_changed_us;
	/* Moving average of the time from a call's start to its first token. */
	double first_token_mean_us;
	/* Batch requests, running or waiting, in the order of arrival. */
	struct list batch_requests;
	unsigned running_online;
	unsigned running_batch;
	uv_timer_t timer;
	bool timer_open;
	/*
	 * Time of the last event, and the length and end of the last freeze. A
	 * freeze is a time in which the event loop did not run, for example
	 * under SIGSTOP or while the VM is paused.
	 */
	uint64_t last_run_us;
	uint64_t freeze_ms;
	uint64_t thawed_us;
	/* Called at the first event after a freeze, before it is handled. */
	void (*on_thaw)(void *ctx);
	void *thaw_ctx;
	bool stopping;
	/*
	 * The gate refuses new requests, as the server is about to change its
	 * model or role.
	 */
	bool closed;
	/* An operator has drained the server. */
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

/** Returns whether the gate accepts new requests. */
bool gate_accepts_work(const struct gate *gate);

/** Returns the node's gate, or NULL if it has none. */
struct gate *gate_of(struct node *node);

/**
 * Closes the gate to new requests, or opens it again. Requests that it has
 * already accepted continue.
 */
void gate_set_closed(struct gate *gate, bool closed);

/** Returns whether no request runs or waits at the gate. */
bool gate_is_idle(const struct gate *gate);

/**
 * Detects that the process was frozen since the last event. Every event
 * handler calls it first.
 */
void gate_detect_freeze(struct gate *gate);

/**
 * Starts the requests that the limits allow, and preempts batch requests in
 * favour of online ones.
 */
void gate_schedule(struct gate *gate);

/**
 * Records that the set of streams changed. A token gap that spans the change
 * is not a steady sample.
 */
void gate_streams_changed(struct gate *gate);

/** Records the first token of a call that started at started_us. */
void gate_record_first_token(struct gate *gate, uint64_t started_us);

/**
 * Records further tokens of a stream whose previous ones came at last_us.
 * Returns the gap between them in us.
 */
uint64_t gate_record_tokens(struct gate *gate, uint64_t last_us,
			    unsigned tokens);

/** Maximum number of bytes of a stream's end that are kept. */
#define STREAM_TAIL_BYTES 64

/** The last bytes of a stream, which tell whether it broke off. */
struct stream_tail {
	char bytes[STREAM_TAIL_BYTES];
	size_t len;
};

/** Adds the next bytes of a stream. */
void stream_tail_add(struct stream_tail *tail, const char *data, size_t len);

/**
 * Returns how a call of an event stream with status 200 ended: a complete
 * response becomes HTTP_TRUNCATED if the stream broke off inside an event or
 * without the server's last line. id is for the log.
 */
enum http_result gate_stream_end(const struct gate *gate, const char *id,
				 const struct stream_tail *tail,
				 enum http_result end);

/** Returns whether a response's headers announce an event stream. */
bool gate_is_stream(const struct http_field *fields, size_t nr);

/**
 * Records a complete response to a call that started at started_us, while
 * this number of streams ran, its own included. The concurrency limit of a
 * plain service is learned from response times, as it sends no tokens.
 */
void gate_record_response(struct gate *gate, uint64_t started_us,
			  unsigned streams);

/** Returns the number of tokens, one per event, that start in the data. */
unsigned gate_count_tokens(const char *data, size_t len);

/** Counts a refusal in the metrics, by reason. */
void gate_count_refusal(struct gate *gate, const char *reason);

/** Registers the bus handlers for messages about attempts. */
void attempts_register(struct gate *gate);

/** Refuses expired attempts and starts queued ones up to the limit. */
void attempts_schedule(struct gate *gate, unsigned limit);

/** Returns how many attempts started after since_us have no token yet. */
unsigned attempts_starting(const struct gate *gate, uint64_t since_us);

/**
 * Applies the timeouts of all attempts and sends the parts of responses that
 * are still unsent.
 */
void attempts_tick(struct gate *gate);

/** Records that an entry became unreachable, or reachable again. */
void attempts_entry_down(struct gate *gate, const char *entry, bool down);

/** Cancels and frees all attempts without telling the entries. */
void attempts_destroy(struct gate *gate);

/** Result of a batch request. */
enum batch_request_result {
	/** The response is complete; its status may be an error. */
	BATCH_REQUEST_DONE,
	/** The request certainly did not run. */
	BATCH_REQUEST_NOT_RUN,
	/** The server was lost or timed out; the request may have run. */
	BATCH_REQUEST_LOST,
};

/** Options of a batch request. Strings and body are copied. */
struct batch_request_options {
	/** Id by which the server knows the call. */
	const char *id;
	const char *method;
	const char *path;
	const void *body;
	size_t body_len;
	bool idempotent;
	/**
	 * Called once at the end, after which the request is freed; not called
	 * if it was cancelled or withdrawn.
	 */
	void (*on_end)(void *ctx, enum batch_request_result result, int status,
		       const GString *body);
	void *ctx;
};

/** Queues a batch request. on_end is not called before this returns. */
struct batch_request *batch_request_submit(
	struct gate *gate, const struct batch_request_options *options);

/** Cancels and frees a request without on_end; its call is cancelled. */
void batch_request_cancel(struct batch_request *request);

/**
 * Frees a request that was never sent to the server. Returns false and changes
 * nothing if the request was sent or is being sent.
 */
bool batch_request_withdraw(struct batch_request *request);

/** Returns how many more batch requests the gate accepts. */
unsigned gate_batch_capacity(const struct gate *gate);

/** Preempts, resumes and starts batch requests according to the plan. */
void batch_requests_schedule(struct gate *gate,
			     const struct batch_share_plan *plan);

/** Returns how many batch calls started after since_us have no token yet. */
unsigned batch_requests_starting(const struct gate *gate, uint64_t since_us);

/** Returns the number of batch requests that are not running. */
unsigned batch_requests_waiting(const struct gate *gate);

/** Cancels and frees all batch requests without on_end. */
void batch_requests_destroy(struct gate *gate);

#endif
