/**
 * HTTP calls whose whole answer is wanted at once.
 */
#ifndef BRIARPLANK_STANDALONE_HTTP_FETCH_H
#define BRIARPLANK_STANDALONE_HTTP_FETCH_H

#include "standalone/http_client.h"

/** Longest answer that is kept, in bytes. */
#define HTTP_FETCH_MAX_BYTES (64 << 20)

/** An answer; valid during the callback. */
struct http_answer {
	enum http_end end;
	/** HTTP status; 0 when no head arrived. */
	int status;
	const char *body;
	size_t len;
};

typedef void (*http_fetch_fn)(void *ctx, const struct http_answer *answer);

/**
 * Starts a call. Of the options' callbacks only on_free counts: it is given ctx
 * after all else. A longer answer than HTTP_FETCH_MAX_BYTES ends as
 * HTTP_BROKEN. done is not called when the client is destroyed first.
 */
void http_fetch(struct http_client *client,
		const struct http_call_options *options, http_fetch_fn done,
		void *ctx);

/**
 * Tells whether the answer shows that the call had no effect: nothing was
 * sent, or a whole answer has the status 503 or 4xx.
 */
bool http_answer_refused(const struct http_answer *answer);

#endif
