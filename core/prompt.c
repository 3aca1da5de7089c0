#include <string.h>
#include <glib.h>

#include "common/hash.h"
#include "core/prompt.h"
#include "core/request_key.h"

void prompt_add(struct prompt *prompt, const char *id)
{
	char *lower = g_ascii_strdown(id, -1);

	prompt->parts = g_renew(uint64_t, prompt->parts, prompt->parts_nr + 1);
	prompt->parts[prompt->parts_nr++] =
		prompt_part_key(hash_string(lower, 0));
	g_free(lower);
}

uint64_t prompt_hash(const struct prompt *prompt)
{
	return prompt->text ? hash_string(prompt->text, 0) : 0;
}

void prompt_clear(struct prompt *prompt)
{
	g_free(prompt->parts);
	g_free(prompt->text);
	memset(prompt, 0, sizeof(*prompt));
}
