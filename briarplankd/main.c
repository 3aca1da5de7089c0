/*
 * Entry point of briarplankd, which runs as an entry, agent or gateway.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>

#include "briarplankd/daemon_settings.h"
#include "briarplankd/gateway.h"
#include "briarplankd/node.h"
#include "briarplankd/tasks.h"
#include "common/error.h"
#include "common/log.h"
#include "make_keys.h"

#define EXIT_USAGE 2
/* Environment variable with the settings file; --config overrides it. */
#define CONFIG_VARIABLE "BRIARPLANK_SETTINGS"

static char *config_file;
static char *role_text;
static gboolean check_only;
static gboolean make_keys;

static const GOptionEntry options[] = {
	{ "config", 'c', 0, G_OPTION_ARG_FILENAME, &config_file,
	  "Settings file", "FILE" },
	{ "check", 0, 0, G_OPTION_ARG_NONE, &check_only,
	  "Print all errors in the settings and exit", NULL },
	{ "make-keys", 0, 0, G_OPTION_ARG_NONE, &make_keys,
	  "Print a new key pair for the fleet's bus and exit", NULL },
	{ "role", 0, 0, G_OPTION_ARG_STRING, &role_text,
	  "Overrides the role in the settings", "entry|agent|gateway" },
	{ 0 },
};

static bool parse_options(int *argc, char ***argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!ok) {
		fprintf(stderr, "briarplankd: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	if (!config_file)
		config_file = g_strdup(g_getenv(CONFIG_VARIABLE));
	if (!config_file && !make_keys) {
		fprintf(stderr, "briarplankd: --config FILE is missing\n");
		return false;
	}
	return true;
}

static bool parse_role(const char *text, enum daemon_role *role)
{
	if (!strcmp(text, "entry"))
		*role = ROLE_ENTRY;
	else if (!strcmp(text, "agent"))
		*role = ROLE_AGENT;
	else
		return false;
	return true;
}

static int run(const struct daemon_settings *settings)
{
	struct node *node;
	int status;

	log_open(settings->log_level);
	node = node_create(settings);
	if (!node) {
		log_error("node", "%s", error_last());
		log_close();
		return 1;
	}
	tasks_add(node);
	status = node_run(node);
	node_destroy(node);
	log_close();
	return status;
}

static int run_gateway(void)
{
	struct gateway_settings settings = { 0 };
	int status = EXIT_USAGE;

	if (gateway_settings_load(config_file, &settings))
		status = check_only ? 0 : gateway_run(&settings);
	gateway_settings_clear(&settings);
	return status;
}

int main(int argc, char **argv)
{
	struct daemon_settings settings = { 0 };
	enum daemon_role role;
	int status = EXIT_USAGE;

	if (!parse_options(&argc, &argv))
		return EXIT_USAGE;
	if (make_keys)
		return make_keys_print();
	if (role_text && !strcmp(role_text, "gateway"))
		return run_gateway();
	if (role_text && !parse_role(role_text, &role))
		fprintf(stderr, "briarplankd: no such role: %s\n", role_text);
	else if (!daemon_settings_load(config_file, role_text ? &role : NULL,
				       &settings))
		status = EXIT_USAGE;
	else if (check_only)
		status = 0;
	else
		status = run(&settings);
	daemon_settings_clear(&settings);
	g_free(config_file);
	g_free(role_text);
	return status;
}
