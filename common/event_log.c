#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include "common/log.h"

/* Maximum line length in bytes. Must not exceed PIPE_BUF, so that a write to a
 * pipe that poll() reports as writable never blocks. */
#define EVENT_LINE_BYTES 1024
/* Rate limits per event kind, in lines per second: enough to follow single
 * requests, and cheap compared with the work of a request. */
#define EVENT_BUDGET_INFO 40
#define EVENT_BUDGET_WARN 100
#define EVENT_KINDS_MAX 32
#define EVENT_NAME_BYTES 64

struct event_kind {
	const char *name;
	time_t second;
	unsigned written;
	unsigned dropped;
};

static struct event_kind kinds[EVENT_KINDS_MAX];
static char node_name[EVENT_NAME_BYTES] = "-";
static unsigned unwritten;
static enum log_level lowest_level = LOG_LEVEL_INFO;

void log_event_configure(const char *node, enum log_level level)
{
	snprintf(node_name, sizeof(node_name), "%s", node);
	lowest_level = level;
}

static struct event_kind *kind_find(const char *name)
{
	size_t i;

	for (i = 0; i + 1 < EVENT_KINDS_MAX && kinds[i].name; i++) {
		if (!strcmp(kinds[i].name, name))
			return &kinds[i];
	}
	/* Kinds that do not fit into the table share its last slot. */
	if (!kinds[i].name)
		kinds[i].name = name;
	return &kinds[i];
}

static void write_line(const char *line, size_t len)
{
	struct pollfd fd = { .fd = STDOUT_FILENO, .events = POLLOUT };

	if (poll(&fd, 1, 0) != 1 || !(fd.revents & POLLOUT) ||
	    write(STDOUT_FILENO, line, len) != (ssize_t)len)
		unwritten++;
}

static size_t format_prefix(char *line, const struct timespec *now,
			    enum log_level level, const char *kind)
{
	struct tm parts;
	size_t used;

	gmtime_r(&now->tv_sec, &parts);
	used = strftime(line, EVENT_LINE_BYTES, "ts=%Y-%m-%dT%H:%M:%S", &parts);
	used += (size_t)snprintf(line + used, EVENT_LINE_BYTES - used,
				 ".%03ldZ level=%s node=%s event=%s ",
				 now->tv_nsec / 1000000, log_level_name(level),
				 node_name, kind);
	return used;
}

static void report_dropped(struct event_kind *kind, const struct timespec *now)
{
	char line[EVENT_LINE_BYTES];
	size_t used = format_prefix(line, now, LOG_LEVEL_WARN, "log");

	used += (size_t)snprintf(line + used, sizeof(line) - used,
				 "dropped=%u kind=%s unwritten=%u\n",
				 kind->dropped, kind->name, unwritten);
	kind->dropped = 0;
	write_line(line, used);
}

void log_event(const char *name, enum log_level level, const char *fmt, ...)
{
	struct event_kind *kind;
	char line[EVENT_LINE_BYTES];
	struct timespec now;
	size_t used;
	va_list args;
	int len;

	if (level > lowest_level)
		return;
	kind = kind_find(name);
	clock_gettime(CLOCK_REALTIME, &now);
	if (kind->second != now.tv_sec) {
		kind->second = now.tv_sec;
		kind->written = 0;
		if (kind->dropped)
			report_dropped(kind, &now);
	}
	if (kind->written >=
	    (level <= LOG_LEVEL_WARN ? EVENT_BUDGET_WARN : EVENT_BUDGET_INFO)) {
		kind->dropped++;
		return;
	}
	kind->written++;
	used = format_prefix(line, &now, level, name);
	va_start(args, fmt);
	len = vsnprintf(line + used, sizeof(line) - used, fmt, args);
	va_end(args);
	used += (size_t)len;
	if (used > sizeof(line) - 2)
		used = sizeof(line) - 2;
	line[used++] = '\n';
	write_line(line, used);
}
