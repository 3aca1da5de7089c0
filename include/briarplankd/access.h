/**
 * Who may do what: bearer keys of callers and operators.
 */
#ifndef BRIARPLANKD_ACCESS_H
#define BRIARPLANKD_ACCESS_H

#include "briarplankd/daemon_settings.h"

/** Limits how often wrong keys are answered, so that guessing is slow. */
struct access_failures {
	/** Failures that may still come at once, and when that was counted. */
	double left;
	uint64_t counted_ms;
};

/**
 * Finds the entry of a field "Bearer KEY", or NULL. The time taken doesn't
 * depend on which key comes near.
 */
const struct access_settings *access_find(
	const struct daemon_settings *settings, const char *authorization);

/** Counts a failure; false when there were too many of late. */
bool access_failure_allowed(struct access_failures *failures, uint64_t now_ms);

#endif
