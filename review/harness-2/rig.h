/**
 * Starts gateways as the platform does, beside a store, servers and callers that are
 * stand-ins, and records what was sent, answered and run.
 *
 * A case is a program of its own. It ends with rig_end(), which stops all processes.
 */
#ifndef BRIARPLANK_REVIEW_RIG_H
#define BRIARPLANK_REVIEW_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

/** Exit statuses of a case. */
enum rig_verdict { RIG_HELD, RIG_BROKEN, RIG_NOT_RUN };

/** Limits of a small deployment, as its settings state them. */
#define RIG_MEMORY_MB 290
#define RIG_RECORD_BYTES 262144
#define RIG_CALL_BYTES 2097152
#define RIG_STORE_BYTES 400000000ULL
#define RIG_PART_BYTES 200000000ULL
#define RIG_READS_PER_S 2000
#define RIG_WRITES_PER_S 800
#define RIG_HOST "ficu95.example"

/** Whether the disruption is to be brought about (TROUBLE is not 0). */
extern bool rig_trouble;

/** Opens record.txt in the case's folder; ends the process when the time is over. */
void rig_begin(const char *folder);
/** Records what workers have told, ends all processes and exits. */
void rig_end(enum rig_verdict verdict) __attribute__((noreturn));
/** Ends as not run, with a reason. */
void rig_fail(const char *fmt, ...)
	__attribute__((noreturn, format(printf, 1, 2)));
/** Writes a line to the record, with the time since the start. */
void rig_record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Returns the time since the start, in ms. */
uint64_t rig_now_ms(void);
uint64_t rig_wall_ms(void);
void rig_sleep_ms(uint64_t ms);

/* Gateways. */

struct rig_gateway {
	char name[16];
	int front;
	int ready;
	pid_t pid;
};

/** Sets the gateway's ports and settings; rig_gateway_start() starts it. */
void rig_gateway_init(struct rig_gateway *gateway, const char *name);
void rig_gateway_start(struct rig_gateway *gateway);
bool rig_gateway_is_ready(const struct rig_gateway *gateway);
/** Waits until all are ready. */
void rig_gateways_wait(const struct rig_gateway *gateways, size_t nr);
/** Sends SIGKILL and waits for the end of the process. */
void rig_gateway_kill(struct rig_gateway *gateway);
/** Returns the resident memory of a process, in KB; 0 if it has ended. */
unsigned long rig_memory_kb(pid_t pid);

/* The store. */

struct rig_store_limits {
	/** Bytes of all records after which appends get 507; 0 for no limit. */
	uint64_t bytes_max;
};

/** Starts the store in this process. */
void rig_store_start(const struct rig_store_limits *limits);
/**
 * Opens an address of the store, and returns its port. Each gateway has one of its own: on
 * loopback, all machines share the ports of their own side, and would run out of them.
 */
int rig_store_listen(void);
/** Writes a record with a key on behalf of the platform. */
void rig_store_put(const char *topic, const char *key, const char *value);
uint64_t rig_store_bytes(void);
/** Returns the bytes of the partition that holds most. */
uint64_t rig_store_fullest(void);
/** Returns how many appends were refused because the store was full, and because a
 * record was too long. */
unsigned rig_store_full_nr(void);
/** Returns how many reads asked for records that are no longer kept. */
unsigned rig_store_expired_nr(void);
unsigned rig_store_too_long_nr(void);

/** Writes a configuration with a safe, a resumable stream and a batch route. */
void rig_config(unsigned version);

/* Servers; each is a process of its own. */

struct rig_worker {
	char id[32];
	char service[16];
	char version[16];
	int port;
	int slots;
	int events;
	int event_ms;
	/** Bytes that make the data of each event longer. */
	int event_bytes;
	pid_t pid;
};

/** Starts a worker and lists it in the store as it begins to serve. */
void rig_worker_start(struct rig_worker *worker);
void rig_worker_kill(struct rig_worker *worker);
/** Tells whether the process has ended, and if so collects it. */
bool rig_worker_ended(struct rig_worker *worker);

/** What a worker has told of a request. */
struct rig_run {
	uint64_t at_ms;
	char worker[32];
	char id[96];
	/** "begun", "done", "cut" or "crash". */
	char what[8];
};

/** Calls fn for all that workers have told so far, in their order. */
void rig_runs_each(void (*fn)(void *ctx, const struct rig_run *run), void *ctx);

/* Callers. */

struct rig_answer {
	/** 0 if none came. */
	int status;
	/** The whole answer came. */
	bool complete;
	/** Signed by a server. */
	bool is_signed;
	double retry_after_s;
	char *body;
	size_t len;
};

struct rig_call {
	const struct rig_gateway *gateway;
	const char *method;
	const char *target;
	const char *id;
	/** Further header fields, each with its line end; may be NULL. */
	const char *fields;
	const char *body;
	size_t len;
	unsigned timeout_ms;
	/** Called for each piece of the body; may be NULL. */
	void (*on_body)(void *ctx, const char *data, size_t len);
	void *ctx;
};

/** Makes a call on a connection of its own. The caller frees the body. */
void rig_call(const struct rig_call *call, struct rig_answer *answer);

/**
 * Builds a job; the caller frees it. Item ids are PREFIX-N, and a sixth of an item's tokens
 * are those of its prompt.
 */
char *rig_job(const char *prefix, unsigned items, size_t body_bytes,
	      unsigned tokens, size_t *len);
/** Submits a job once and returns the status; 0 without an answer. */
int rig_submit(const struct rig_gateway *gateway, const char *id,
	       const char *job, size_t len);
/** Returns how many results of a job a gateway lists as completed; -1 if it can't say. */
int rig_completed(const struct rig_gateway *gateway, const char *id);

#endif
