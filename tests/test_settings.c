/*
 * Tests of the settings loader: values, defaults, and errors with their lines.
 */
#include <inttypes.h>
#include <stddef.h>
#include <string.h>

#include "common/settings.h"
#include "script.h"

struct entry {
	char *name;
};

struct target {
	char *listen;
	int64_t limit;
	bool quiet;
	int colour;
	struct setting_array entries;
};

static const char *const colours[] = { "red", "green", NULL };

static const struct setting_spec entry_specs[] = {
	{ "name", SETTING_STRING, offsetof(struct entry, name),
	  .required = true },
	{ 0 },
};

static const struct setting_spec specs[] = {
	{ "web.listen", SETTING_ADDRESS, offsetof(struct target, listen) },
	{ "web.limit", SETTING_INT, offsetof(struct target, limit), .min = 1,
	  .max = 10, .unit = "ms", .default_value = "5" },
	{ "quiet", SETTING_BOOL, offsetof(struct target, quiet) },
	{ "colour", SETTING_CHOICE, offsetof(struct target, colour),
	  .choices = colours, .default_value = "\"green\"" },
	{ "entries", SETTING_LIST, offsetof(struct target, entries),
	  .item_specs = entry_specs, .item_size = sizeof(struct entry) },
	{ 0 },
};

static void *state_create(void)
{
	return g_string_new(NULL);
}

static void state_destroy(void *state)
{
	g_string_free(state, TRUE);
}

static void print_target(const struct target *target, GString *out)
{
	g_string_append_printf(
		out,
		"listen=%s limit=%" PRId64 " quiet=%d colour=%d entries=%zu\n",
		target->listen ? target->listen : "-", target->limit,
		target->quiet, target->colour, target->entries.nr);
}

static void parse(const char *text, GString *out)
{
	GPtrArray *errors = settings_errors_new();
	struct target target = { 0 };
	guint i;

	if (settings_parse(text, specs, &target, errors) == SETTINGS_OK)
		print_target(&target, out);
	for (i = 0; i < errors->len; i++) {
		const struct settings_error *error = errors->pdata[i];

		g_string_append_printf(out, "%d: %s\n", error->line,
				       error->message);
	}
	settings_clear(specs, &target);
	g_ptr_array_free(errors, TRUE);
}

/* "line TEXT" appends a line to the file; "parse" loads the file. */
static void command(void *state, int argc, char **argv, GString *out)
{
	GString *text = state;

	if (!strcmp(argv[0], "parse"))
		parse(text->str, out);
	else
		g_string_append_printf(text, "%s\n", argc > 1 ? argv[1] : "");
}

static const struct script_driver driver = {
	.name = "settings",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
