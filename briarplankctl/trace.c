#include <stdbool.h>
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "trace.h"

#define EXIT_NOT_FOUND 1
#define EXIT_UNREADABLE 2

/* Returns a copy of the value of a key=value field, or NULL. */
static char *field_of(const char *line, const char *name)
{
	char *start = g_strconcat(" ", name, "=", NULL);
	const char *at = strstr(line, start);
	size_t len = strlen(start);

	g_free(start);
	return at ? g_strndup(at + len, strcspn(at + len, " \n")) : NULL;
}

static bool has_id(const char *line, const char *id)
{
	static const char *const fields[] = { "request", "job", "item" };
	bool found = false;
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(fields) && !found; i++) {
		char *value = field_of(line, fields[i]);

		found = value && !strcmp(value, id);
		g_free(value);
	}
	return found;
}

static bool is_start_or_stop(const char *line)
{
	char *event = field_of(line, "event");
	bool matches =
		event && (!strcmp(event, "start") || !strcmp(event, "stop"));

	g_free(event);
	return matches;
}

/* Reads the lines of a file that have a ts= field. Removes any text before the
 * field, such as the prefix of a log collector. */
static bool read_lines(const char *file, GPtrArray *lines)
{
	GError *error = NULL;
	char *text, **parts, **part;

	if (!g_file_get_contents(file, &text, NULL, &error)) {
		fprintf(stderr, "briarplankctl: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	parts = g_strsplit(text, "\n", -1);
	for (part = parts; *part; part++) {
		const char *at = strstr(*part, "ts=");

		if (at)
			g_ptr_array_add(lines, g_strdup(at));
	}
	g_strfreev(parts);
	g_free(text);
	return true;
}

static gint compare_times(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

int trace_print(const char *id, char *const *files)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	GHashTable *nodes =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	bool readable = true, found = false;
	guint i;

	for (; files && *files; files++)
		readable &= read_lines(*files, lines);
	g_ptr_array_sort(lines, compare_times);
	for (i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);
		char *node = has_id(line, id) ? field_of(line, "node") : NULL;

		if (node)
			g_hash_table_add(nodes, node);
	}
	for (i = 0; i < lines->len; i++) {
		const char *line = g_ptr_array_index(lines, i);
		char *node = field_of(line, "node");
		bool matches_id = has_id(line, id);

		if (matches_id || (node && is_start_or_stop(line) &&
				   g_hash_table_contains(nodes, node)))
			puts(line);
		found |= matches_id;
		g_free(node);
	}
	g_hash_table_destroy(nodes);
	g_ptr_array_free(lines, TRUE);
	if (!readable)
		return EXIT_UNREADABLE;
	return found ? 0 : EXIT_NOT_FOUND;
}
