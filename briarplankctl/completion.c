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

static void add(GPtrArray *candidates, const char *word, const char *prefix)
{
	if (g_str_has_prefix(word, prefix))
		g_ptr_array_add(candidates, g_strdup(word));
}

static void add_all(GPtrArray *candidates, const char *const *words,
		    const char *prefix)
{
	for (; *words; words++)
		add(candidates, *words, prefix);
}

static void add_keys(GPtrArray *candidates, const char *prefix)
{
	const struct config_key *key;

	for (key = config_keys; key->pattern; key++)
		add(candidates, key->pattern, prefix);
}

/* Adds the fields of a service that "create service" accepts. */
static void add_service_fields(GPtrArray *candidates, const char *prefix)
{
	const struct config_key *key;

	for (key = config_keys; key->pattern; key++) {
		if (g_str_has_prefix(key->pattern, "service.*."))
			add(candidates, key->pattern + strlen("service.*."),
			    prefix);
	}
}

static void add_second(GPtrArray *candidates, const char *verb,
		       const char *prefix)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(second_words); i++) {
		if (!strcmp(second_words[i].before, verb))
			add(candidates, second_words[i].word, prefix);
	}
	if (!strcmp(verb, "show"))
		add_all(candidates, command_show_kinds, prefix);
	if (!strcmp(verb, "set") || !strcmp(verb, "unset"))
		add_keys(candidates, prefix);
}

static void add_argument(GPtrArray *candidates, const char *verb, size_t at,
			 const char *prefix)
{
	if (!strcmp(verb, "show") && at == 2)
		add(candidates, "where", prefix);
	if (!strcmp(verb, "create") && at >= 3 && at % 2)
		add_service_fields(candidates, prefix);
	if (!strcmp(verb, "submit") && at >= 3 && at % 2)
		add_all(candidates, submit_words, prefix);
	if (!strcmp(verb, "set") && at == 3)
		add(candidates, "if revision", prefix);
}

char **completion_find(const char *line)
{
	char **words = g_strsplit(line, " ", -1);
	GPtrArray *candidates = g_ptr_array_new();
	size_t at = g_strv_length(words);
	const char *prefix = at ? words[at - 1] : "";

	if (at <= 1)
		add_all(candidates, verbs, prefix);
	else if (at == 2)
		add_second(candidates, words[0], prefix);
	else
		add_argument(candidates, words[0], at - 1, prefix);
	g_ptr_array_add(candidates, NULL);
	g_strfreev(words);
	return (char **)g_ptr_array_free(candidates, FALSE);
}
