/**
 * Simulated services of the platform and backend servers: one program with a
 * command for each. Tests also run them in their own event loop.
 */
#ifndef BRIARPLANK_TESTS_STANDIN_H
#define BRIARPLANK_TESTS_STANDIN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <json-c/json.h>
#include <uv.h>

#include "briarplankd/web.h"

struct standin;

/** Faults that POST /fault?kind=... sets; kind=none clears them. */
enum fault_kind {
	FAULT_NONE,
	/** Requests alternately get a 503 and a closed connection. */
	FAULT_OUTAGE,
	/** Requests are handled after a delay of ms. */
	FAULT_SLOW,
	/** Requests get an error status and are not handled. */
	FAULT_REJECT,
	/** A POST is handled, then its connection closes without an answer. */
	FAULT_LOSE_ANSWER,
	/** Half of the answer is sent, then the connection closes. */
	FAULT_HALF_ANSWER,
	/** The answer's body can't be parsed. */
	FAULT_GARBAGE,
	/** An append is stored twice. */
	FAULT_DUPLICATE,
	/** Streams stay open but send nothing. */
	FAULT_STALL,
	/** Open streams are closed once; later ones are not affected. */
	FAULT_KILL_STREAMS,
	/** A proxy forwards nothing; connections stay open, bytes are queued. */
	FAULT_CUT,
	/** A proxy resets its open and new connections. */
	FAULT_RESET,
	/** A proxy forwards count bytes per second. */
	FAULT_NARROW,
	FAULT_KINDS,
};

struct fault {
	enum fault_kind kind;
	/** Delay for FAULT_SLOW, else the fault's duration (0 for no end). */
	uint64_t ms;
	/**
	 * Number of requests to affect, 0 for no limit; for FAULT_NARROW the
	 * rate in bytes per second.
	 */
	uint64_t count;
	/** HTTP status of the answers of FAULT_REJECT. */
	int status;
	/** FAULT_REJECT affects only requests whose query contains this text. */
	char only[64];
	uint64_t set_ms;
	/** Number of requests affected so far. */
	uint64_t affected;
};

/**
 * An option of a command. Its value is a number, or "on" or "off" if on_off.
 */
struct standin_option {
	const char *name;
	size_t offset;
	int64_t fallback;
	bool on_off;
	const char *help;
};

/** A command. Its options are stored as int64_t fields of its settings. */
struct standin_command {
	const char *name;
	const struct standin_option *options;
	size_t settings_size;
	/** Registers HTTP routes; returns a state that destroy() frees. */
	void *(*create)(struct standin *standin, const void *settings);
	void (*destroy)(void *state);
	/** Called when a fault is set; may be NULL. */
	void (*on_fault_change)(void *state, const struct fault *fault);
};

extern const struct standin_command crowd_command;
extern const struct standin_command engine_command;
extern const struct standin_command log_command;
extern const struct standin_command plain_command;
extern const struct standin_command proxy_command;
extern const struct standin_command raw_command;
extern const struct standin_command store_command;
extern const struct standin_command vms_command;
extern const struct standin_command weights_command;
extern const struct standin_command worker_command;

/** Returns the command with this name, or NULL. */
const struct standin_command *standin_find(const char *name);

/** Starts a service on the loop; NULL for invalid arguments or address. */
struct standin *standin_start(uv_loop_t *loop, int argc, char **argv);

/** Closes the connections of a service and frees it. */
void standin_stop(struct standin *standin);

/** Returns the bound IP:PORT. */
const char *standin_address(const struct standin *standin);

/** Returns the event loop and the web server, for commands. */
uv_loop_t *standin_loop(const struct standin *standin);
struct web *standin_web(const struct standin *standin);

/** Adds a route; the active fault is applied before its handler runs. */
void standin_route(struct standin *standin, const char *prefix,
		   web_handler_fn fn, void *ctx);

/** Returns whether a fault is active, and counts the request if so. */
bool standin_consume_fault(struct standin *standin, enum fault_kind kind);

/** Returns the fault that was set last. */
const struct fault *standin_fault(const struct standin *standin);

/** Returns whether a fault is active. */
bool standin_fault_active(struct standin *standin, enum fault_kind kind);

/** Sends a whole answer; an active fault may drop, cut or corrupt it. */
void standin_answer(struct standin *standin, struct web_request *request,
		    int status, const char *type, const void *body, size_t len);

/** Sends an object as JSON and frees it. */
void standin_answer_json(struct standin *standin, struct web_request *request,
			 int status, struct json_object *root);

/** Returns a copy of a query parameter, or NULL. */
char *standin_query(const struct web_request *request, const char *name);

/** Returns a query parameter as a number, or the fallback if missing. */
int64_t standin_query_int(const struct web_request *request, const char *name,
			  int64_t fallback);

/** Parses the body as a JSON object; NULL when it is not one. */
struct json_object *standin_body_json(const struct web_request *request);

/** Returns a string member of a JSON object, or "". */
const char *standin_json_text(struct json_object *root, const char *name);

/** Return the wall clock in ms, and the monotonic clock in us. */
uint64_t standin_wall_ms(void);
uint64_t standin_now_us(void);

#endif
