/**
 * Decodes and encodes the platform's header fields, URLs and JSON documents.
 * Their names are defined in platform/ only.
 */
#ifndef BRIARPLANK_PLATFORM_CODEC_H
#define BRIARPLANK_PLATFORM_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/fleet.h"
#include "core/job_log.h"
#include "core/job_request.h"
#include "core/prompt.h"
#include "core/route_table.h"

/** Names of header fields, in lower case. */
struct platform_fields {
	/** Id of one attempt of a caller's request; servers echo it. */
	const char *request_id;
	/** Time left until the request's deadline, in ms. */
	const char *deadline_ms;
	/** Server's signature of its answer. */
	const char *signature;
	/**
	 * Field with the incarnation of the only server that may run the
	 * request.
	 */
	const char *expected_server;
	/**
	 * Field with the load of the answering server, as
	 * RUNNING,WAITING,SLOTS or, of servers that share a machine with others,
	 * RUNNING,WAITING,SLOTS,PERCENT, where the last figure tells how long work
	 * takes now, in percent of the usual.
	 */
	const char *load;
	/**
	 * Field that a response carries if the server did not run the request.
	 */
	const char *not_run;
	/** Field of all responses of a server that shuts down soon. */
	const char *leaving;
	/** Field with the requests a second that a server takes from all entries
	 * together, as a decimal number. */
	const char *rate_limit;
	/** Field with the parts of the prompt, as ID:TOKENS. */
	const char *prompt_prefix;
	/** Field with the prompt's tokens and the most output tokens, as IN,OUT. */
	const char *token_count;
	/** Field with the id of the event after which a stream resumes. */
	const char *last_event;
	/** Field with the id of the attempt that brought the first event of the stream
	 * that the request takes up. */
	const char *resumes;
	/** Longest time for which a read of results may wait, in ms. */
	const char *wait_ms;
	/** Field with the credentials of the caller. */
	const char *credentials;
	/** Field with the name of the client account, set by this system. */
	const char *account;
};

extern const struct platform_fields platform_fields;

/** What a server says of its load. */
struct platform_load {
	unsigned running;
	unsigned waiting;
	/** How long work takes, relative to the usual; 0 if the server doesn't say. */
	double slowdown;
};

/** Parses a server's load field; returns false when it is malformed. */
bool platform_load_parse(const char *text, struct platform_load *load);

/**
 * Parses the field with a server's limit, NULL for none. Returns the requests a
 * second, or 0 for no limit; a malformed or negative number is no limit.
 */
double platform_rate_limit_parse(const char *text);

/** Numbers of tokens of a request; 0 if unknown. */
struct platform_tokens {
	unsigned prompt;
	unsigned output_max;
};

/** Parses the field with the numbers of tokens, NULL for none. */
struct platform_tokens platform_tokens_parse(const char *text);

/**
 * Parses the field with the parts of a prompt, NULL for none. The last part
 * belongs to the request itself and is left out.
 */
void platform_prompt_parse(const char *text, struct prompt *prompt);

/** Kinds of calls that callers and the platform make. */
enum platform_call_kind {
	/** A request to a route, which may submit a job. */
	PLATFORM_REQUEST,
	/** Readiness check. */
	PLATFORM_READY,
	/** Read of a job's results. */
	PLATFORM_JOB_RESULTS,
	/** Read of an item's body. */
	PLATFORM_JOB_ITEM,
	/** Request of a caller to end its job. */
	PLATFORM_JOB_END,
};

struct platform_call {
	enum platform_call_kind kind;
	/** Job id of a PLATFORM_JOB_* call; NULL for other calls. */
	char *job;
	/** Item id of a PLATFORM_JOB_ITEM call; NULL for other calls. */
	char *item;
	/** Number of results that the caller already has. */
	uint64_t position;
};

/**
 * Parses the method, path and query of a request. The caller frees the result's
 * strings with platform_call_clear().
 */
void platform_call_parse(const char *method, const char *path,
			 const char *query, struct platform_call *call);
void platform_call_clear(struct platform_call *call);

/** Decodes a configuration; returns NULL with an error message on failure. */
struct route_table *platform_config_decode(const char *data, size_t len);

/**
 * Returns the key in a credentials field, NULL for none. Returns NULL if it has
 * another form; the caller frees the key.
 */
char *platform_key_parse(const char *credentials);

/**
 * Decodes a server's entry. The facts point into *document, which the caller
 * frees with platform_server_free(). Returns false with an error message and
 * sets *document to NULL on failure.
 */
bool platform_server_decode(const char *id, const char *data, size_t len,
			    struct server_info *facts, void **document);
void platform_server_free(void *document);

/** Decodes a batch job; returns NULL with an error message on failure. */
struct job_request *platform_job_decode(const char *data, size_t len);

/** One result of a page. */
struct platform_result {
	const char *item;
	/** The item was given up and has no output. */
	bool dead;
	/** May be NULL if it has no bytes. */
	const char *output;
	size_t output_len;
};

/**
 * Encodes a page of results as JSON, which the caller frees. total is the job's
 * number of items and next the position of the following page.
 */
char *platform_results_encode(size_t total, uint64_t next,
			      const struct platform_result *results,
			      size_t results_nr);

#endif
