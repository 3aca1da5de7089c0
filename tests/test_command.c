/*
 * Tests the parser of the command language: parsed commands and columns of
 * errors.
 */
#include <inttypes.h>
#include <string.h>

#include "common/error.h"
#include "core/command.h"
#include "script.h"

static void *state_create(void)
{
	return g_new0(char, 1);
}

static void print_command(const struct command *command, GString *out)
{
	static const char *const kinds[] = { "cancel",	"create", "drain",
					     "set",	"show",	  "submit",
					     "undrain", "unset" };
	size_t i;

	g_string_append_printf(out, "%s <%s>", kinds[command->kind],
			       command->subject);
	if (command->value)
		g_string_append_printf(out, " value <%s>", command->value);
	if (command->revision)
		g_string_append_printf(out, " base %" PRIu64,
				       command->revision);
	for (i = 0; i < command->pairs_nr; i++)
		g_string_append_printf(out, " <%s>=<%s>",
				       command->pairs[i].name,
				       command->pairs[i].json);
	if (*command->body)
		g_string_append_printf(out, " body of %zu",
				       strlen(command->body));
	g_string_append_c(out, '\n');
}

/* "parse TEXT" parses a command; "\n" in the text is a line break. */
static void command(void *state, int argc, char **argv, GString *out)
{
	char *text = g_strcompress(argv[1]);
	struct command *parsed;
	unsigned column;

	parsed = command_parse(text, &column);
	if (parsed) {
		print_command(parsed, out);
		command_free(parsed);
	} else {
		g_string_append_printf(out, "%s\n", error_last());
	}
	g_free(text);
}

static const struct script_driver driver = {
	.name = "command",
	.create = state_create,
	.destroy = g_free,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
