#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

#include <log4c.h>

#include "common/log.h"

/* Maximum line length in bytes; longer messages are truncated. */
#define LOG_LINE_BYTES 1024

static enum log_level current_level = LOG_LEVEL_INFO;
static bool opened;

static const int priorities[] = {
	[LOG_LEVEL_ERROR] = LOG4C_PRIORITY_ERROR,
	[LOG_LEVEL_WARN] = LOG4C_PRIORITY_WARN,
	[LOG_LEVEL_INFO] = LOG4C_PRIORITY_INFO,
	[LOG_LEVEL_DEBUG] = LOG4C_PRIORITY_DEBUG,
};

static const char *const level_names[] = {
	[LOG_LEVEL_ERROR] = "error",
	[LOG_LEVEL_WARN] = "warn",
	[LOG_LEVEL_INFO] = "info",
	[LOG_LEVEL_DEBUG] = "debug",
};

static const char *format_line(const log4c_layout_t *layout,
			       const log4c_logging_event_t *event)
{
	static _Thread_local char line[LOG_LINE_BYTES];
	struct timespec now;
	struct tm parts;
	size_t used;

	(void)layout;
	clock_gettime(CLOCK_REALTIME, &now);
	gmtime_r(&now.tv_sec, &parts);
	used = strftime(line, sizeof(line), "%Y-%m-%dT%H:%M:%S", &parts);
	snprintf(line + used, sizeof(line) - used, ".%03ldZ %s %s: %s\n",
		 now.tv_nsec / 1000000,
		 log4c_priority_to_string(event->evt_priority),
		 event->evt_category, event->evt_msg);
	return line;
}

static const log4c_layout_type_t line_layout = {
	.name = "briarplank_line",
	.format = format_line,
};

bool log_open(enum log_level level)
{
	log4c_category_t *root;
	log4c_appender_t *out;
	log4c_layout_t *layout;

	if (opened) {
		log_set_level(level);
		return true;
	}
	if (log4c_init() != 0)
		return false;
	log4c_layout_type_set(&line_layout);
	layout = log4c_layout_get("briarplank_line");
	log4c_layout_set_type(layout, &line_layout);
	out = log4c_appender_get("stderr");
	log4c_appender_set_layout(out, layout);
	root = log4c_category_get("root");
	log4c_category_set_appender(root, out);
	opened = true;
	log_set_level(level);
	return true;
}

void log_set_level(enum log_level level)
{
	current_level = level;
	log4c_category_set_priority(log4c_category_get("root"),
				    priorities[level]);
}

const char *log_level_name(enum log_level level)
{
	return level_names[level];
}

bool log_level_parse(const char *text, enum log_level *level)
{
	int i;

	for (i = LOG_LEVEL_ERROR; i <= LOG_LEVEL_DEBUG; i++) {
		if (strcmp(text, level_names[i]))
			continue;
		*level = i;
		return true;
	}
	return false;
}

void log_close(void)
{
	if (!opened)
		return;
	log4c_fini();
	opened = false;
}

void log_write(const char *part, enum log_level level, const char *fmt, ...)
{
	va_list args;

	if (!opened || level > current_level)
		return;
	va_start(args, fmt);
	log4c_category_vlog(log4c_category_get(part), priorities[level], fmt,
			    args);
	va_end(args);
}
