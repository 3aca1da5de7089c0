/**
 * HTTP calls that collect the response in memory and report it once.
 */
#ifndef BRIARPLANK_STANDALONE_HTTP_FETCH_H
#define BRIARPLANK_STANDALONE_HTTP_FETCH_H

#include "standalone/http_client.h"

/** Maximum size of a response body, in bytes, unless the options set another one. */
#define HTTP_FETCH_MAX_BYTES (64 << 20)

/** A response; valid during the callback. */
struct http_answer {
	enum http_result end;
	/** HTTP status, or 0 when no head arrived. */
	int status;
	const char *body;
	size_t len;
};

typedef void (*http_fetch_fn)(void *ctx, const struct http_answer *answer);

/**
 * Starts a call. Of the options' callbacks only on_free is used; it is called
 * last, with ctx. A response above the maximum size ends with HTTP_TRUNCATED.
 * done is not called if the client is destroyed first.
 */
void http_fetch(struct http_client *client,
		const struct http_call_options *options, http_fetch_fn done,
		void *ctx);

/**
 * Returns whether the call certainly had no effect: nothing was sent, or a
 * complete response has status 503 or 4xx.
 */
bool http_answer_refused(const struct http_answer *answer);

#endif
