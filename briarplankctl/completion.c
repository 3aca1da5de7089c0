#include <string.h>

#include "completion.h"
#include "core/command.h"
#include "core/config_keys.h"

static const char *const verbs[] = {
	"cancel", "create", "drain",   "exit",	"help", "set",
	"show",	  "submit", "undrain", "unset", NULL,
};

static const struct {
	const char *before;
	const char *word;
} second_words[] = {
	{ "cancel", "job" }, { "create", "service" }, { "drain", "server" },
	{ "submit", "job" }, { "undrain", "server" },
};

static const char *const submit_words[] = { "due", "keep", "path", "service",
					    NULL };

static void add(GPtrArray *found, const char *word, const char *prefix)
{
	if (g_str_has_prefix(word, prefix))
		g_ptr_array_add(found, g_strdup(word));
}

static void add_all(GPtrArray *found, const char *const *words,
		    const char *prefix)
{
	for (; *words; words++)
		add(found, *words, prefix);
}

static void add_keys(GPtrArray *found, const char *prefix)
{
	const struct config_key *key;

	for (key = config_keys; key->pattern; key++)
		add(found, key->pattern, prefix);
}

/* Fields of a service, as "create service" takes them. */
static void add_service_fields(GPtrArray *found, const char *prefix)
{
	const struct config_key *key;

	for (key = config_keys; key->pattern; key++) {
		if (g_str_has_prefix(key->pattern, "service.*."))
			add(found, key->pattern + strlen("service.*."), prefix);
	}
}

static void add_second(GPtrArray *found, const char *verb, const char *prefix)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(second_words); i++) {
		if (!strcmp(second_words[i].before, verb))
			add(found, second_words[i].word, prefix);
	}
	if (!strcmp(verb, "show"))
		add_all(found, command_show_kinds, prefix);
	if (!strcmp(verb, "set") || !strcmp(verb, "unset"))
		add_keys(found, prefix);
}

static void add_later(GPtrArray *found, const char *verb, size_t at,
		      const char *prefix)
{
	if (!strcmp(verb, "show") && at == 2)
		add(found, "where", prefix);
	if (!strcmp(verb, "create") && at >= 3 && at % 2)
		add_service_fields(found, prefix);
	if (!strcmp(verb, "submit") && at >= 3 && at % 2)
		add_all(found, submit_words, prefix);
	if (!strcmp(verb, "set") && at == 3)
		add(found, "if revision", prefix);
}

char **completion_find(const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	GPtrArray *found = g_ptr_array_new();
	size_t at = g_strv_length(words);
	const char *prefix = at ? words[at - 1] : "";

	if (at <= 1)
		add_all(found, verbs, prefix);
	else if (at == 2)
		add_second(found, words[0], prefix);
	else
		add_later(found, words[0], at - 1, prefix);
	g_ptr_array_add(found, NULL);
	g_strfreev(words);
	return (char **)g_ptr_array_free(found, FALSE);
}
