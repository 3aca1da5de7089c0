/**
 * Stand-ins for the platform and the backend servers: one program, with a
 * command for each. Tests also start them within their own loop.
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

/** Faults that POST /fault?kind=... sets, until kind=none. */
enum fault_kind {
	FAULT_NONE,
	/** Every other request gets a 503, the rest a closed connection. */
	FAULT_OUTAGE,
	/** Requests wait for ms before they are handled. */
	FAULT_SLOW,
	/** Requests get an error status without effect. */
	FAULT_REJECT,
	/** A POST takes effect; the connection closes without an answer. */
	FAULT_LOSE_ANSWER,
	/** Half of the answer arrives, then the connection breaks. */
	FAULT_HALF_ANSWER,
	/** The answer's body is no message. */
	FAULT_GARBAGE,
	/** An append is stored twice. */
	FAULT_DUPLICATE,
	/** Streams go on without tokens. */
	FAULT_STALL,
	/** Streams that run break at once; later ones don't. */
	FAULT_KILL_STREAMS,
	/** Nothing passes a proxy; bytes are held, connections stay. */
	FAULT_CUT,
	/** A proxy resets its connections, new ones as well. */
	FAULT_RESET,
	/** A proxy passes count bytes a second. */
	FAULT_NARROW,
	FAULT_KINDS,
};

struct fault {
	enum fault_kind kind;
	/** Delay of FAULT_SLOW; else the time until it ends, 0 for no end. */
	uint64_t ms;
	/** Requests that it strikes, 0 for no limit; rate of FAULT_NARROW. */
	uint64_t count;
	/** Status of FAULT_REJECT. */
	int status;
	/** Text in the query of the requests that FAULT_REJECT strikes. */
	char only[64];
	uint64_t set_ms;
	uint64_t struck;
};

/** An option of a command; a number unless it is a choice of on and off. */
struct standin_option {
	const char *name;
	size_t offset;
	int64_t fallback;
	bool on_off;
	const char *help;
};

/** A command. Its settings are int64_t fields that the options fill. */
struct standin_command {
	const char *name;
	const struct standin_option *options;
	size_t settings_size;
	/** Registers routes; the state that destroy frees. */
	void *(*create)(struct standin *standin, const void *settings);
	void (*destroy)(void *state);
	/** A fault was set; may be NULL. */
	void (*faulted)(void *state, const struct fault *fault);
};

extern const struct standin_command engine_command;
extern const struct standin_command log_command;
extern const struct standin_command plain_command;
extern const struct standin_command proxy_command;
extern const struct standin_command store_command;
extern const struct standin_command vms_command;
extern const struct standin_command weights_command;
extern const struct standin_command worker_command;

/** Finds a command by name, or NULL. */
const struct standin_command *standin_find(const char *name);

/** Starts a stand-in on the loop; NULL when arguments or address are bad. */
struct standin *standin_start(uv_loop_t *loop, int argc, char **argv);

/** Cuts its connections and frees it. */
void standin_stop(struct standin *standin);

/** Returns the bound IP:PORT. */
const char *standin_address(const struct standin *standin);

/** For commands: the loop, routes, and routes that faults strike first. */
uv_loop_t *standin_loop(const struct standin *standin);
struct web *standin_web(const struct standin *standin);
void standin_route(struct standin *standin, const char *prefix,
		   web_handler_fn fn, void *ctx);

/** Tells whether a fault is set, and counts a strike when it is. */
bool standin_strikes(struct standin *standin, enum fault_kind kind);

/** Returns the fault that was set last. */
const struct fault *standin_fault(const struct standin *standin);

/** Tells whether a fault is set. */
bool standin_faulty(struct standin *standin, enum fault_kind kind);

/** Sends a whole answer, unless a fault loses or spoils it. */
void standin_answer(struct standin *standin, struct web_request *request,
		    int status, const char *type, const void *body, size_t len);

/** Sends an object as JSON and frees it. */
void standin_answer_json(struct standin *standin, struct web_request *request,
			 int status, struct json_object *root);

/** Returns a copy of a query parameter, or NULL. */
char *standin_query(const struct web_request *request, const char *name);

/** Returns a query parameter that is a number, or the fallback. */
int64_t standin_query_int(const struct web_request *request, const char *name,
			  int64_t fallback);

/** Parses the body as a JSON object; NULL when it is none. */
struct json_object *standin_body_json(const struct web_request *request);

/** Returns a text member, or "". */
const char *standin_text(struct json_object *root, const char *name);

/** Milliseconds of the wall clock, and microseconds of the monotonic one. */
uint64_t standin_wall_ms(void);
uint64_t standin_now_us(void);

#endif
