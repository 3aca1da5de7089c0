#include <stdarg.h>
#include <stdio.h>
#include <string.h>

#include "common/error.h"

static _Thread_local char last_message[ERROR_MESSAGE_BYTES];

void error_set(const char *fmt, ...)
{
	char text[ERROR_MESSAGE_BYTES];
	va_list args;

	va_start(args, fmt);
	vsnprintf(text, sizeof(text), fmt, args);
	va_end(args);
	memcpy(last_message, text, sizeof(text));
}

void error_prepend(const char *fmt, ...)
{
	char prefix[ERROR_MESSAGE_BYTES / 2];
	char text[ERROR_MESSAGE_BYTES];
	va_list args;

	va_start(args, fmt);
	vsnprintf(prefix, sizeof(prefix), fmt, args);
	va_end(args);
	snprintf(text, sizeof(text), "%s: %.*s", prefix,
		 (int)(sizeof(text) - sizeof(prefix) - 3), last_message);
	memcpy(last_message, text, sizeof(text));
}

const char *error_last(void)
{
	return last_message;
}
