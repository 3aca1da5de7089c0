/**
 * Submits a job whose items are too many for one request, in parts.
 */
#ifndef BRIARPLANKCTL_SUBMIT_H
#define BRIARPLANKCTL_SUBMIT_H

#include <stdbool.h>

#include "client.h"

/** Tells whether a command submits a job that has to go in parts. */
bool submit_needs_parts(const char *line, const char *items);

/**
 * Sends the parts and then the seal. The same items make the same parts, so
 * that running it again completes what was left half done.
 */
void submit_parts(struct client *client, const char *line, const char *items,
		  struct client_answer *answer);

#endif
