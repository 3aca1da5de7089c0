/**
 * Logs of the process, written by log4c to standard error.
 *
 * Each part of the program has a category whose name is the fixed prefix of
 * its lines. Messages are short sentences.
 */
#ifndef BRIARPLANK_COMMON_LOG_H
#define BRIARPLANK_COMMON_LOG_H

#include <stdbool.h>

enum log_level {
	LOG_LEVEL_ERROR,
	LOG_LEVEL_WARN,
	LOG_LEVEL_INFO,
	LOG_LEVEL_DEBUG,
};

/** Starts logging with a level for all parts. */
bool log_open(enum log_level level);

/** Changes the level of all parts while the process runs. */
void log_set_level(enum log_level level);

/** Parses "error", "warn", "info" or "debug". */
bool log_level_parse(const char *text, enum log_level *level);

/** Flushes and ends logging. */
void log_close(void);

/** Writes one line with the part's prefix. */
__attribute__((format(printf, 3, 4))) void log_write(const char *part,
						     enum log_level level,
						     const char *fmt, ...);

/**
 * Writes one event of the daemon on the platform as a line of key=value pairs
 * to standard output. Each kind of event has a budget of lines a second, larger
 * for warnings and errors; what goes beyond it is counted and told later. A
 * reader that stops reading costs lines, never time.
 */
__attribute__((format(printf, 3, 4))) void log_event(const char *kind,
						     enum log_level level,
						     const char *fmt, ...);

/**
 * Sets the name of this process in its events, of which at most 63 bytes are
 * kept, and the lowest level that is written.
 */
void log_event_open(const char *node, enum log_level level);

/** Returns a level's name. */
const char *log_level_name(enum log_level level);

#define log_error(part, ...) log_write(part, LOG_LEVEL_ERROR, __VA_ARGS__)
#define log_warn(part, ...) log_write(part, LOG_LEVEL_WARN, __VA_ARGS__)
#define log_info(part, ...) log_write(part, LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(part, ...) log_write(part, LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
