/**
 * The last error message of the running thread.
 *
 * Functions that can fail return a status enum of their layer and leave a
 * message for people here. A layer that passes on an error from below sets a
 * status of its own and may add to the message.
 */
#ifndef BRIARPLANK_COMMON_ERROR_H
#define BRIARPLANK_COMMON_ERROR_H

/** Longest message kept, in bytes, the end mark included. */
#define ERROR_MESSAGE_BYTES 512

/** Replaces the last message. */
__attribute__((format(printf, 1, 2))) void error_set(const char *fmt, ...);

/** Puts text and a colon before the last message. */
__attribute__((format(printf, 1, 2))) void error_prepend(const char *fmt, ...);

/** Returns the last message; empty when there is none. */
const char *error_last(void);

#endif
