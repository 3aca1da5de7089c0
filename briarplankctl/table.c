#include <stdbool.h>
#include <string.h>

#include <glib.h>

#include "table.h"

#define COLUMN_GAP 2

/* Kinds of rows that have a format, in alphabetical order. */
static const struct table_format *const formats[] = {
	&config_table,	 &jobs_table,	  &nodes_table,	  &quarantine_table,
	&refusals_table, &requests_table, &servers_table, &services_table,
};

static const struct table_format *find_format(const char *kind)
{
	size_t i;

	for (i = 0; kind && i < G_N_ELEMENTS(formats); i++) {
		if (!strcmp(formats[i]->kind, kind))
			return formats[i];
	}
	return NULL;
}

static GPtrArray *columns_of(const char *kind, struct json_object *rows)
{
	const struct table_format *format = find_format(kind);
	GPtrArray *columns = g_ptr_array_new();
	size_t i;

	for (i = 0; format && format->columns[i]; i++)
		g_ptr_array_add(columns, (char *)format->columns[i]);
	if (format)
		return columns;
	json_object_object_foreach(json_object_array_get_idx(rows, 0), name,
				   value)
	{
		(void)value;
		g_ptr_array_add(columns, name);
	}
	return columns;
}

static const char *cell_text(struct json_object *row, const char *column)
{
	struct json_object *value;

	if (!json_object_object_get_ex(row, column, &value) || !value)
		return "-";
	if (json_object_is_type(value, json_type_string) &&
	    !json_object_get_string_len(value))
		return "-";
	return json_object_get_string(value);
}

static int column_width(struct json_object *rows, const char *column)
{
	size_t i, width = strlen(column);

	for (i = 0; i < json_object_array_length(rows); i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);
		size_t len = (size_t)g_utf8_strlen(cell_text(row, column), -1);

		width = MAX(width, len);
	}
	return (int)width;
}

static void print_padded(FILE *out, const char *text, int width, bool last)
{
	int len = (int)g_utf8_strlen(text, -1);

	fputs(text, out);
	if (last)
		fputc('\n', out);
	else
		fprintf(out, "%*s", width - len + COLUMN_GAP, "");
}

static void print_header(FILE *out, const GPtrArray *columns, const int *widths)
{
	guint i;

	for (i = 0; i < columns->len; i++) {
		char *title = g_ascii_strup(columns->pdata[i], -1);

		print_padded(out, title, widths[i], i + 1 == columns->len);
		g_free(title);
	}
}

void table_print(FILE *out, const char *kind, struct json_object *rows)
{
	size_t i, nr = json_object_array_length(rows);
	GPtrArray *columns;
	int *widths;
	guint c;

	if (!nr)
		return;
	columns = columns_of(kind, rows);
	widths = g_new0(int, columns->len);
	for (c = 0; c < columns->len; c++)
		widths[c] = column_width(rows, columns->pdata[c]);
	print_header(out, columns, widths);
	for (i = 0; i < nr; i++) {
		struct json_object *row = json_object_array_get_idx(rows, i);

		for (c = 0; c < columns->len; c++)
			print_padded(out, cell_text(row, columns->pdata[c]),
				     widths[c], c + 1 == columns->len);
	}
	g_free(widths);
	g_ptr_array_free(columns, TRUE);
}
