/**
 * Holds the last error message of the calling thread.
 *
 * Functions that can fail return a status enum of their layer and store a
 * human-readable message here. A caller that propagates an error returns a
 * status of its own layer and may prepend context to the message.
 */
#ifndef BRIARPLANK_COMMON_ERROR_H
#define BRIARPLANK_COMMON_ERROR_H

/** Maximum message size in bytes, including the terminating NUL. */
#define ERROR_MESSAGE_BYTES 512

/** Replaces the last message. */
__attribute__((format(printf, 1, 2))) void error_set(const char *fmt, ...);

/** Prepends text and a colon to the last message. */
__attribute__((format(printf, 1, 2))) void error_prepend(const char *fmt, ...);

/** Returns the last message, or an empty string if there is none. */
const char *error_last(void);

#endif
