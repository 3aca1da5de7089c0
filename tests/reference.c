/*
 * Prints the reference of all settings or configuration keys for the manual:
 * "reference settings|gateway|keys scdoc|markdown".
 */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "briarplankd/daemon_settings.h"
#include "briarplankd/gateway_settings.h"
#include "core/config_keys.h"

/* The printed properties of a key. */
struct reference {
	char *name;
	char *values;
	const char *default_value;
	const char *help;
};

static char *join(const char *const *choices)
{
	return g_strjoinv(", ", (char **)choices);
}

static char *setting_values(const struct setting_spec *spec)
{
	switch (spec->type) {
	case SETTING_STRING:
		return g_strdup("text");
	case SETTING_INT:
		return g_strdup_printf("%" PRId64 " to %" PRId64 " %s",
				       spec->min, spec->max,
				       spec->unit ? spec->unit : "");
	case SETTING_SECONDS:
		return g_strdup_printf("%g to %g s", (double)spec->min / 1000,
				       (double)spec->max / 1000);
	case SETTING_NUMBER:
		return g_strdup_printf("%g to %g %s", (double)spec->min / 1000,
				       (double)spec->max / 1000,
				       spec->unit ? spec->unit : "");
	case SETTING_BOOL:
		return g_strdup("true or false");
	case SETTING_ADDRESS:
		return g_strdup("IP:PORT");
	case SETTING_CHOICE:
		return join(spec->choices);
	case SETTING_LIST:
		return g_strdup("list");
	}
	return NULL;
}

static char *key_values(const struct config_key *key)
{
	switch (key->type) {
	case CONFIG_KEY_BOOL:
		return g_strdup("true or false");
	case CONFIG_KEY_INT:
		return g_strdup_printf("%" PRId64 " to %" PRId64 " %s",
				       key->min, key->max, key->unit);
	case CONFIG_KEY_TEXT:
		return g_strdup("text");
	case CONFIG_KEY_CHOICE:
		return join(key->choices);
	}
	return NULL;
}

static void print_scdoc(const struct reference *ref)
{
	printf("*%s* (%s", ref->name, ref->values);
	if (ref->default_value)
		printf("; default %s", ref->default_value);
	printf(")\n\t%s\n\n", ref->help);
}

static void print_markdown(const struct reference *ref)
{
	printf("| `%s` | %s | %s | %s |\n", ref->name, ref->values,
	       ref->default_value ? ref->default_value : "", ref->help);
}

typedef void (*print_fn)(const struct reference *ref);

static void print_settings(const struct setting_spec *spec, const char *prefix,
			   print_fn print)
{
	for (; spec->path; spec++) {
		struct reference ref = {
			.name = g_strconcat(prefix, spec->path, NULL),
			.values = setting_values(spec),
			.default_value = spec->required ? "none, required" :
							  spec->default_value,
			.help = spec->help,
		};

		print(&ref);
		if (spec->type == SETTING_LIST) {
			char *item_prefix = g_strconcat(ref.name, "[].", NULL);

			print_settings(spec->item_specs, item_prefix, print);
			g_free(item_prefix);
		}
		g_free(ref.name);
		g_free(ref.values);
	}
}

static void print_keys(print_fn print)
{
	const struct config_key *key;

	for (key = config_keys; key->pattern; key++) {
		struct reference ref = {
			.name = g_strdup(key->pattern),
			.values = key_values(key),
			.default_value = key->default_value,
			.help = key->help,
		};
		char **parts = g_strsplit(ref.name, "*", -1);

		g_free(ref.name);
		ref.name = g_strjoinv("NAME", parts);
		print(&ref);
		g_strfreev(parts);
		g_free(ref.name);
		g_free(ref.values);
	}
}

int main(int argc, char **argv)
{
	print_fn print;

	if (argc != 3)
		return 2;
	print = strcmp(argv[2], "scdoc") ? print_markdown : print_scdoc;
	if (print == print_markdown)
		printf("| key | values | default | meaning |\n|---|---|---|---|\n");
	if (!strcmp(argv[1], "settings"))
		print_settings(daemon_setting_specs, "", print);
	else if (!strcmp(argv[1], "gateway"))
		print_settings(gateway_setting_specs, "", print);
	else
		print_keys(print);
	return 0;
}
