/*
 * Parses arbitrary text as an operator's command: it parses, or the error's
 * column lies within the text.
 */
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "core/command.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	char *text = g_strndup((const char *)data, len);
	unsigned column = 0;
	struct command *command = command_parse(text, &column);

	if (!command && (!column || column > strlen(text) + 1))
		abort();
	if (command)
		command_free(command);
	g_free(text);
	return 0;
}
