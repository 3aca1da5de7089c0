/**
 * Shared state of the tests of the platform's adapters.
 */
#ifndef TESTS_PLATFORM_STATE_H
#define TESTS_PLATFORM_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <uv.h>

#include "standalone/backend.h"

struct state {
	uv_loop_t loop;
	struct http_client *http;
	struct standin *standin;
	struct raw_server *raw;
	char *address;
	struct log_service *log;
	struct backend *backend;
	struct vm_list *vms;
	struct weight_store *weights;
	GString *out;
	bool done;
	bool ended;
	/* State of the running call. */
	struct backend_call *call;
	bool stream;
	bool quiet;
	GString *body;
	const char *prompt;
	size_t cancel_after;
	uint32_t pause_ms;
	size_t body_at_pause;
};

/** Names of the values of enum http_result. */
extern const char *const http_result_names[];

/** Runs the loop until the current command is done; reports a timeout. */
void wait_done(struct state *state);

/** Sends a request to the backend server. */
void cmd_call(void *data, int argc, char **argv);

#endif
