/*
 * Tests the log of records that entries hand on to each other.
 */
#include <string.h>
#include <glib.h>

#include "core/record_log.h"
#include "script.h"

static void *state_create(void)
{
	return record_log_create(40);
}

static void state_destroy(void *data)
{
	record_log_destroy(data);
}

/* log: prints all records that are kept */
static void print_log(const struct record_log *log, GString *out)
{
	uint64_t offset;

	for (offset = record_log_first(log); offset < record_log_end(log);
	     offset++) {
		size_t len;
		const char *data = record_log_get(log, offset, &len);

		g_string_append_printf(out, "%" G_GUINT64_FORMAT "=%.*s ",
				       offset, (int)len, data);
	}
	g_string_append_printf(out, "end=%" G_GUINT64_FORMAT "\n",
			       record_log_end(log));
}

/* add OFFSET TEXT: adds a record */
static void command(void *data, int argc, char **argv, GString *out)
{
	(void)argc;
	if (!strcmp(argv[0], "add"))
		record_log_add(data, g_ascii_strtoull(argv[1], NULL, 10),
			       argv[2], strlen(argv[2]));
	else
		print_log(data, out);
}

static const struct script_driver driver = {
	.name = "record_log",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
