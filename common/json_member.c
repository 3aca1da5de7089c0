#include <stdbool.h>
#include <string.h>

#include "common/json_member.h"

struct scan {
	const char *at;
	const char *end;
};

static void skip_space(struct scan *scan)
{
	while (scan->at < scan->end && strchr(" \t\r\n", *scan->at))
		scan->at++;
}

static void skip_string(struct scan *scan)
{
	scan->at++;
	while (scan->at < scan->end && *scan->at != '"')
		scan->at += *scan->at == '\\' ? 2 : 1;
	scan->at++;
}

/* Skips to the comma or closing bracket after a value. */
static void skip_value(struct scan *scan)
{
	unsigned depth = 0;

	while (scan->at < scan->end) {
		char c = *scan->at;

		if (c == '"') {
			skip_string(scan);
			continue;
		}
		if (c == '{' || c == '[')
			depth++;
		if (!depth && (c == ',' || c == '}'))
			return;
		if (c == '}' || c == ']')
			depth--;
		scan->at++;
	}
}

static size_t trimmed_length(const char *from, const char *to)
{
	while (to > from && strchr(" \t\r\n", to[-1]))
		to--;
	return to - from;
}

const char *json_member_text(const char *text, size_t len, const char *name,
			     size_t *member_len)
{
	struct scan scan = { text, text + len };
	size_t name_len = strlen(name);
	const char *found = NULL;

	skip_space(&scan);
	while (scan.at < scan.end && (*scan.at == '{' || *scan.at == ',')) {
		const char *key, *value;
		bool match;

		scan.at++;
		skip_space(&scan);
		key = scan.at + 1;
		skip_string(&scan);
		match = (size_t)(scan.at - 1 - key) == name_len &&
			!memcmp(key, name, name_len);
		skip_space(&scan);
		scan.at++;
		skip_space(&scan);
		value = scan.at;
		skip_value(&scan);
		if (!match)
			continue;
		found = value;
		*member_len = trimmed_length(value, scan.at);
	}
	return found;
}
