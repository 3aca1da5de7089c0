#include <stdbool.h>
#include <string.h>

#include "common/json_lines.h"

struct scanner {
	const char *at;
	int line;
	GHashTable *lines;
};

static void scan_value(struct scanner *scan, const char *path);

static void skip_line_comment(struct scanner *scan)
{
	while (*scan->at && *scan->at != '\n')
		scan->at++;
}

static void skip_block_comment(struct scanner *scan)
{
	scan->at += strlen("/*");
	while (*scan->at && strncmp(scan->at, "*/", 2)) {
		if (*scan->at == '\n')
			scan->line++;
		scan->at++;
	}
	if (*scan->at)
		scan->at += 2;
}

static void skip_space(struct scanner *scan)
{
	for (;;) {
		if (*scan->at == '\n')
			scan->line++;
		if (*scan->at && strchr(" \t\r\n", *scan->at))
			scan->at++;
		else if (!strncmp(scan->at, "//", 2))
			skip_line_comment(scan);
		else if (!strncmp(scan->at, "/*", 2))
			skip_block_comment(scan);
		else
			return;
	}
}

/* json-c accepts single-quoted strings as well. */
static bool is_quote(char c)
{
	return c == '"' || c == '\'';
}

static char *scan_string(struct scanner *scan)
{
	char quote = *scan->at;
	const char *start = ++scan->at;
	char *text;

	while (*scan->at && *scan->at != quote)
		scan->at += *scan->at == '\\' && scan->at[1] ? 2 : 1;
	text = g_strndup(start, scan->at - start);
	if (*scan->at)
		scan->at++;
	return text;
}

static void record_line(struct scanner *scan, const char *path)
{
	g_hash_table_insert(scan->lines, g_strdup(path),
			    GINT_TO_POINTER(scan->line));
}

static void scan_member(struct scanner *scan, const char *path)
{
	char *key = scan_string(scan);
	char *child =
		*path ? g_strdup_printf("%s.%s", path, key) : g_strdup(key);

	record_line(scan, child);
	skip_space(scan);
	if (*scan->at == ':')
		scan->at++;
	scan_value(scan, child);
	g_free(child);
	g_free(key);
}

static void scan_object(struct scanner *scan, const char *path)
{
	scan->at++;
	for (skip_space(scan); *scan->at && *scan->at != '}';
	     skip_space(scan)) {
		if (is_quote(*scan->at))
			scan_member(scan, path);
		else
			scan->at++;
	}
	if (*scan->at)
		scan->at++;
}

static void scan_array(struct scanner *scan, const char *path)
{
	unsigned index = 0;

	scan->at++;
	for (skip_space(scan); *scan->at && *scan->at != ']';
	     skip_space(scan)) {
		char *child;

		if (*scan->at == ',') {
			scan->at++;
			continue;
		}
		child = g_strdup_printf("%s[%u]", path, index++);
		record_line(scan, child);
		scan_value(scan, child);
		g_free(child);
	}
	if (*scan->at)
		scan->at++;
}

static void scan_value(struct scanner *scan, const char *path)
{
	skip_space(scan);
	if (*scan->at == '{') {
		scan_object(scan, path);
	} else if (*scan->at == '[') {
		scan_array(scan, path);
	} else if (is_quote(*scan->at)) {
		g_free(scan_string(scan));
	} else if (*scan->at) {
		/* Consumes at least one character, so that the scan always
		 * terminates. */
		do {
			scan->at++;
		} while (*scan->at && !strchr(",]} \t\r\n/", *scan->at));
	}
}

GHashTable *json_lines_index(const char *text)
{
	struct scanner scan = { .at = text, .line = 1 };

	scan.lines =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	scan_value(&scan, "");
	return scan.lines;
}

int json_lines_find(GHashTable *lines, const char *path)
{
	char *prefix = g_strdup(path);
	int line = 1;

	while (*prefix) {
		gpointer found = g_hash_table_lookup(lines, prefix);
		char *cut;

		if (found) {
			line = GPOINTER_TO_INT(found);
			break;
		}
		cut = prefix + strlen(prefix) - 1;
		while (cut > prefix && *cut != '.' && *cut != '[')
			cut--;
		*cut = '\0';
	}
	g_free(prefix);
	return line;
}
