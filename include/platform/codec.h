/**
 * The platform's names, and the documents that it speaks, as the project's own
 * types. Nothing outside of platform/ knows how they are spelled.
 */
#ifndef BRIARPLANK_PLATFORM_CODEC_H
#define BRIARPLANK_PLATFORM_CODEC_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/fleet.h"
#include "core/job_log.h"
#include "core/job_request.h"
#include "core/route_table.h"

/** Header fields, in lower case. */
struct platform_fields {
	/** Identity of one attempt of a caller, echoed by servers. */
	const char *request_id;
	/** Time that is left for the request, in ms. */
	const char *deadline_ms;
	/** A server's signature under its answer. */
	const char *signature;
	/** Only this incarnation of a server may run the request. */
	const char *expected_server;
	/** Running, waiting and slots of the server that answers. */
	const char *load;
	/** The server did not run the request. */
	const char *not_run;
	/** Parts of the prompt, as ID:TOKENS. */
	const char *prompt_prefix;
	/** Event after which a stream goes on. */
	const char *last_event;
	/** Longest time for which a read may wait for results, in ms. */
	const char *wait_ms;
};

extern const struct platform_fields platform_fields;

/** Reads a server's load field; false when it is malformed. */
bool platform_load_parse(const char *text, unsigned *running,
			 unsigned *waiting);

/** The calls that callers and the platform make beside plain requests. */
enum platform_call_kind {
	/** A request of a route. */
	PLATFORM_REQUEST,
	PLATFORM_READY,
	PLATFORM_JOB_RESULTS,
	PLATFORM_JOB_ITEM,
	PLATFORM_JOB_END,
};

struct platform_call {
	enum platform_call_kind kind;
	/** Job of the job calls; owned by the caller. */
	char *job;
	/** Item of PLATFORM_JOB_ITEM, or NULL; owned by the caller. */
	char *item;
	/** Position from which results are wanted. */
	uint64_t position;
};

/** Tells which call a request is. */
void platform_call_parse(const char *method, const char *path,
			 const char *query, struct platform_call *call);
void platform_call_clear(struct platform_call *call);

/** Decodes a configuration; NULL with an error message. */
struct route_table *platform_config_decode(const char *data, size_t len);

/**
 * Decodes a server's entry. The facts point into *hold, which the caller frees
 * with platform_server_free(); false with an error message.
 */
bool platform_server_decode(const char *id, const char *data, size_t len,
			    struct server_facts *facts, void **hold);
void platform_server_free(void *hold);

/** Decodes a batch job; NULL with an error message. */
struct job_request *platform_job_decode(const char *data, size_t len);

/** One result of a page; output is NULL for an item that was given up. */
struct platform_result {
	const char *item;
	const char *output;
	size_t output_len;
};

/** Encodes a page of results; the caller frees the text. */
char *platform_results_encode(size_t total, uint64_t next,
			      const struct platform_result *results,
			      size_t results_nr);

#endif
