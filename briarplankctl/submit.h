/**
 * Submits a job whose items are too large for one request, in parts.
 */
#ifndef BRIARPLANKCTL_SUBMIT_H
#define BRIARPLANKCTL_SUBMIT_H

#include <stdbool.h>

#include "client.h"

/** Returns whether a command submits a job that must be sent in parts. */
bool submit_needs_parts(const char *line, const char *items);

/**
 * Sends the parts, then the request that turns them into a job. The same items
 * always produce the same parts, so a rerun completes an interrupted
 * submission.
 */
void submit_parts(struct client *client, const char *line, const char *items,
		  struct client_answer *answer);

#endif
