/*
 * briarplankctl, the command-line client for operators.
 */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "client.h"
#include "common/error.h"
#include "core/command.h"
#include "core/version.h"
#include "prompt.h"
#include "submit.h"
#include "table.h"
#include "trace.h"

#define DEFAULT_URL "http://127.0.0.1:8080"

static char *urls;
static char *key_file;
static char *output;
static char *items_file;
static char *command_id;
static char *trace_id;
static gboolean show_version;
static char **words;

static const GOptionEntry options[] = {
	{ "entry", 'e', 0, G_OPTION_ARG_STRING, &urls,
	  "Comma-separated URLs of entries", "URL" },
	{ "key", 'k', 0, G_OPTION_ARG_FILENAME, &key_file,
	  "File with the operator's key", "FILE" },
	{ "output", 'o', 0, G_OPTION_ARG_STRING, &output, "Output format",
	  "table|json" },
	{ "items", 'i', 0, G_OPTION_ARG_FILENAME, &items_file,
	  "Items of a submitted job as JSON lines; - for standard input",
	  "FILE" },
	{ "id", 0, 0, G_OPTION_ARG_STRING, &command_id,
	  "Id of a command that is retried", "ID" },
	{ "trace", 0, 0, G_OPTION_ARG_STRING, &trace_id,
	  "Print the log lines about a request, job or item from the named "
	  "gateway logs",
	  "ID" },
	{ "version", 0, 0, G_OPTION_ARG_NONE, &show_version,
	  "Print the version and exit", NULL },
	{ G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_STRING_ARRAY, &words, NULL,
	  "COMMAND" },
	{ 0 },
};

struct session {
	struct client *client;
	bool json;
	char *items;
};

static const char help_text[] =
	"show config|jobs|nodes|quarantine|refusals|requests|servers|services\n"
	"     [where FIELD = VALUE [and ...]]\n"
	"set KEY VALUE [if revision N]      unset KEY [if revision N]\n"
	"create service NAME [KEY VALUE ...]\n"
	"drain server ID                    undrain server ID\n"
	"submit job NAME service S path P [due TIME] [keep TIME]\n"
	"cancel job ID\n"
	"exit\n";

static bool parse_options(int *argc, char ***argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	GError *error = NULL;
	bool ok;

	g_option_context_add_main_entries(context, options, NULL);
	ok = g_option_context_parse(context, argc, argv, &error);
	g_option_context_free(context);
	if (!ok) {
		fprintf(stderr, "briarplankctl: %s\n", error->message);
		g_error_free(error);
		return false;
	}
	if (output && strcmp(output, "table") && strcmp(output, "json")) {
		fprintf(stderr, "briarplankctl: -o takes table or json\n");
		return false;
	}
	return true;
}

/* Reads a file, or standard input for "-". */
static char *read_text(const char *file)
{
	char *text = NULL;
	GError *error = NULL;

	if (!strcmp(file, "-"))
		file = "/dev/stdin";
	if (!g_file_get_contents(file, &text, NULL, &error)) {
		fprintf(stderr, "briarplankctl: %s\n", error->message);
		g_error_free(error);
	}
	return text;
}

/* Reads the key if a file is given; gateways require none. */
static bool read_key(char **key)
{
	const char *file = key_file ? key_file : getenv("BRIARPLANK_KEYFILE");

	*key = NULL;
	if (!file)
		return true;
	*key = read_text(file);
	if (*key)
		g_strstrip(*key);
	return *key != NULL;
}

/* Returns the kind of rows that a command shows, to be freed, or NULL. */
static char *command_row_kind(const char *line)
{
	unsigned column;
	struct command *command = command_parse(line, &column);
	char *kind = NULL;

	if (!command)
		return NULL;
	if (command->kind == COMMAND_SHOW)
		kind = g_strdup(command->subject);
	command_free(command);
	return kind;
}

/* Prints the command with a marker below the column of an error. */
static void print_column(const char *line, const char *message)
{
	int column;

	if (sscanf(message, "column %d:", &column) == 1 && column > 0)
		fprintf(stderr, "  %s\n  %*s\n", line, column, "^");
}

static void print_answer(const struct session *session, const char *line,
			 const struct client_answer *answer)
{
	bool good = answer->status == CLIENT_DONE ||
		    answer->status == CLIENT_PARTIAL;
	char *kind;

	if (session->json && answer->body) {
		printf("%s\n", answer->body);
		return;
	}
	if (good && json_object_is_type(answer->rows, json_type_array)) {
		kind = command_row_kind(line);
		table_print(stdout, kind, answer->rows);
		g_free(kind);
	}
	if (answer->status == CLIENT_USAGE)
		print_column(line, answer->message);
	fprintf(good ? stdout : stderr, "%s\n", answer->message);
}

static int run_line(void *ctx, const char *line)
{
	struct session *session = ctx;
	struct client_answer answer;
	int status;

	if (!strcmp(line, "help")) {
		fputs(help_text, stdout);
		return CLIENT_DONE;
	}
	if (submit_needs_parts(line, session->items))
		submit_parts(session->client, line, session->items, &answer);
	else
		client_run(session->client, line, session->items, command_id,
			   &answer);
	print_answer(session, line, &answer);
	fflush(stdout);
	status = answer.status;
	client_answer_clear(&answer);
	return status;
}

static int run_commands(struct session *session)
{
	char *line;
	int status;

	if (!words)
		return isatty(STDIN_FILENO) ?
			       prompt_run(run_line, session) :
			       prompt_run_script(run_line, session);
	line = g_strjoinv(" ", words);
	status = run_line(session, line);
	g_free(line);
	return status;
}

static int run_session(char *key)
{
	const char *env_urls = getenv("BRIARPLANK_URL");
	struct client_options client_options = {
		.urls = urls	 ? urls :
			env_urls ? env_urls :
				   DEFAULT_URL,
		.key = key,
	};
	struct session session = {
		.json = output && !strcmp(output, "json"),
	};
	int status = CLIENT_USAGE;

	if (items_file) {
		session.items = read_text(items_file);
		if (!session.items)
			return CLIENT_USAGE;
	}
	session.client = client_create(&client_options);
	if (session.client) {
		status = run_commands(&session);
		client_destroy(session.client);
	} else {
		fprintf(stderr, "briarplankctl: %s\n", error_last());
	}
	g_free(session.items);
	return status;
}

int main(int argc, char **argv)
{
	int status = CLIENT_USAGE;
	char *key;

	if (!parse_options(&argc, &argv))
		return CLIENT_USAGE;
	if (trace_id)
		return trace_print(trace_id, words);
	if (show_version) {
		printf("briarplankctl %s\n", briarplank_version());
		return 0;
	}
	if (read_key(&key))
		status = run_session(key);
	g_free(key);
	return status;
}
