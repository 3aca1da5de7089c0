/**
 * Process log, written to standard error by log4c, and structured events on
 * standard output.
 *
 * Each part of the program has a category whose name prefixes its lines.
 * Messages are short sentences.
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

/** Opens the log with one level for all parts; returns false on failure. */
bool log_open(enum log_level level);

/** Changes the level of all parts at run time. */
void log_set_level(enum log_level level);

/** Parses "error", "warn", "info" or "debug"; returns false for other text. */
bool log_level_parse(const char *text, enum log_level *level);

/** Flushes and closes the log. */
void log_close(void);

/** Writes one line with the part's name as its prefix. */
__attribute__((format(printf, 3, 4))) void log_write(const char *part,
						     enum log_level level,
						     const char *fmt, ...);

/**
 * Writes one event as a line of key=value pairs to standard output. Each kind
 * is rate-limited per second, with a higher limit for warnings and errors;
 * dropped lines are counted and reported later. If the reader of the output
 * stalls, lines are lost but the caller never blocks.
 */
__attribute__((format(printf, 3, 4))) void log_event(const char *kind,
						     enum log_level level,
						     const char *fmt, ...);

/**
 * Sets the node name in events, truncated to 63 bytes, and the least severe
 * level that is written.
 */
void log_event_configure(const char *node, enum log_level level);

/** Returns the name of a level, such as "warn". */
const char *log_level_name(enum log_level level);

#define log_error(part, ...) log_write(part, LOG_LEVEL_ERROR, __VA_ARGS__)
#define log_warn(part, ...) log_write(part, LOG_LEVEL_WARN, __VA_ARGS__)
#define log_info(part, ...) log_write(part, LOG_LEVEL_INFO, __VA_ARGS__)
#define log_debug(part, ...) log_write(part, LOG_LEVEL_DEBUG, __VA_ARGS__)

#endif
