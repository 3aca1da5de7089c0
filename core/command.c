/*
 * Recursive-descent parser of the operators' command language.
 */
#include <string.h>

#include <glib.h>
#include <json-c/json.h>

#include "command_lexer.h"
#include "common/error.h"
#include "core/command.h"

#define COMMAND_MAX_PAIRS 32
#define NUMBER_MAX_DIGITS 18

struct parser {
	struct command_lexer *lexer;
	struct command *command;
	unsigned error_column;
};

const char *const command_show_kinds[] = {
	"accounts", "config",	"jobs",	   "nodes",    "quarantine",
	"refusals", "requests", "servers", "services", NULL,
};

__attribute__((format(printf, 2, 3))) static bool fail(struct parser *parser,
						       const char *fmt, ...)
{
	char *text;
	va_list args;

	va_start(args, fmt);
	text = g_strdup_vprintf(fmt, args);
	va_end(args);
	parser->error_column = command_lexer_column(parser->lexer);
	if (command_lexer_token(parser->lexer) == COMMAND_TOKEN_BAD)
		error_set("column %u: invalid character or unclosed quote",
			  parser->error_column);
	else
		error_set("column %u: %s", parser->error_column, text);
	g_free(text);
	return false;
}

static void advance(struct parser *parser)
{
	command_lexer_next(parser->lexer);
}

static bool at_value(const struct parser *parser)
{
	enum command_token token = command_lexer_token(parser->lexer);

	return token == COMMAND_TOKEN_WORD || token == COMMAND_TOKEN_TEXT;
}

static bool at_word(const struct parser *parser, const char *word)
{
	return command_lexer_token(parser->lexer) == COMMAND_TOKEN_WORD &&
	       !strcmp(command_lexer_text(parser->lexer), word);
}

static bool take_word(struct parser *parser, const char *word)
{
	if (!at_word(parser, word))
		return fail(parser, "expected \"%s\"", word);
	advance(parser);
	return true;
}

/* Reads any value; the error message names it as "what". */
static bool take_value(struct parser *parser, const char *what, char **result)
{
	if (!at_value(parser))
		return fail(parser, "expected %s", what);
	*result = g_strdup(command_lexer_text(parser->lexer));
	advance(parser);
	return true;
}

static bool is_whole_number(const char *text)
{
	size_t digits;

	text += *text == '-';
	digits = strspn(text, "0123456789");
	return digits && digits <= NUMBER_MAX_DIGITS && !text[digits] &&
	       (digits == 1 || *text != '0');
}

static char *json_from_text(const char *text)
{
	struct json_object *value = json_object_new_string(text);
	char *json = g_strdup(json_object_to_json_string_ext(
		value,
		JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));

	json_object_put(value);
	return json;
}

/*
 * Converts a word to JSON: integers, true and false are kept, and other words
 * become strings.
 */
static char *json_from_word(const char *text)
{
	if (is_whole_number(text) || !strcmp(text, "true") ||
	    !strcmp(text, "false"))
		return g_strdup(text);
	return json_from_text(text);
}

/* Reads a value as JSON text and, unless plain is NULL, as written. */
static bool take_json(struct parser *parser, const char *what, char **json,
		      char **plain)
{
	const char *text = command_lexer_text(parser->lexer);

	if (!at_value(parser))
		return fail(parser, "expected %s", what);
	*json = command_lexer_token(parser->lexer) == COMMAND_TOKEN_TEXT ?
			json_from_text(text) :
			json_from_word(text);
	if (plain)
		*plain = g_strdup(text);
	advance(parser);
	return true;
}

static bool take_subject(struct parser *parser, const char *what)
{
	parser->command->subject_column = command_lexer_column(parser->lexer);
	return take_value(parser, what, &parser->command->subject);
}

static struct command_pair *add_pair(struct parser *parser)
{
	struct command *command = parser->command;
	struct command_pair *pair;

	command->pairs = g_renew(struct command_pair, command->pairs,
				 command->pairs_nr + 1);
	pair = &command->pairs[command->pairs_nr++];
	memset(pair, 0, sizeof(*pair));
	pair->column = command_lexer_column(parser->lexer);
	return pair;
}

static bool take_pair(struct parser *parser, bool need_equals)
{
	struct command_pair *pair;

	if (parser->command->pairs_nr == COMMAND_MAX_PAIRS)
		return fail(parser, "more than %d fields", COMMAND_MAX_PAIRS);
	pair = add_pair(parser);
	if (!take_value(parser, "a field", &pair->name))
		return false;
	if (command_lexer_token(parser->lexer) == COMMAND_TOKEN_EQUALS)
		advance(parser);
	else if (need_equals)
		return fail(parser, "expected \"=\"");
	return take_json(parser, "a value", &pair->json, &pair->value);
}

static bool parse_where(struct parser *parser)
{
	if (command_lexer_token(parser->lexer) == COMMAND_TOKEN_END)
		return true;
	if (!take_word(parser, "where"))
		return false;
	for (;;) {
		if (!take_pair(parser, true))
			return false;
		if (!at_word(parser, "and"))
			return true;
		advance(parser);
	}
}

static bool parse_show(struct parser *parser)
{
	const char *kind = command_lexer_text(parser->lexer);
	char *all;

	if (!at_value(parser) || !g_strv_contains(command_show_kinds, kind)) {
		all = g_strjoinv(", ", (char **)command_show_kinds);
		fail(parser, "expected one of %s", all);
		g_free(all);
		return false;
	}
	return take_subject(parser, "a kind") && parse_where(parser);
}

static bool parse_pairs(struct parser *parser)
{
	while (command_lexer_token(parser->lexer) != COMMAND_TOKEN_END) {
		if (!take_pair(parser, false))
			return false;
	}
	return true;
}

static bool parse_submit(struct parser *parser)
{
	return take_word(parser, "job") &&
	       take_subject(parser, "the job's name") && parse_pairs(parser);
}

static bool parse_create(struct parser *parser)
{
	return take_word(parser, "service") &&
	       take_subject(parser, "the service's name") &&
	       parse_pairs(parser);
}

static bool parse_cancel(struct parser *parser)
{
	return take_word(parser, "job") && take_subject(parser, "the job's id");
}

static bool parse_server(struct parser *parser)
{
	return take_word(parser, "server") &&
	       take_subject(parser, "the server's name");
}

static bool parse_revision(struct parser *parser)
{
	const char *text;
	char *end;

	if (command_lexer_token(parser->lexer) == COMMAND_TOKEN_END)
		return true;
	if (!take_word(parser, "if") || !take_word(parser, "revision"))
		return false;
	text = command_lexer_text(parser->lexer);
	parser->command->revision = g_ascii_strtoull(text, &end, 10);
	if (!at_value(parser) || *end || !parser->command->revision)
		return fail(parser, "expected a revision above 0");
	advance(parser);
	return true;
}

static bool parse_set(struct parser *parser)
{
	return take_subject(parser, "a key") &&
	       take_json(parser, "a value", &parser->command->value, NULL) &&
	       parse_revision(parser);
}

static bool parse_unset(struct parser *parser)
{
	parser->command->value = g_strdup("");
	return take_subject(parser, "a key") && parse_revision(parser);
}

static const struct {
	const char *verb;
	enum command_kind kind;
	bool (*parse)(struct parser *parser);
} verbs[] = {
	{ "cancel", COMMAND_CANCEL, parse_cancel },
	{ "create", COMMAND_CREATE, parse_create },
	{ "drain", COMMAND_DRAIN, parse_server },
	{ "set", COMMAND_SET, parse_set },
	{ "show", COMMAND_SHOW, parse_show },
	{ "submit", COMMAND_SUBMIT, parse_submit },
	{ "undrain", COMMAND_UNDRAIN, parse_server },
	{ "unset", COMMAND_UNSET, parse_unset },
};

static bool parse_end(struct parser *parser)
{
	if (command_lexer_token(parser->lexer) == COMMAND_TOKEN_END)
		return true;
	return fail(parser, "expected the end of the command");
}

static bool parse_verb(struct parser *parser)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(verbs); i++) {
		if (!at_word(parser, verbs[i].verb))
			continue;
		parser->command->kind = verbs[i].kind;
		advance(parser);
		return verbs[i].parse(parser) && parse_end(parser);
	}
	return fail(parser, "expected cancel, create, drain, set, show, "
			    "submit, undrain or unset");
}

struct command *command_parse(const char *text, unsigned *column)
{
	size_t len = strcspn(text, "\r\n");
	char *line = g_strndup(text, len);
	struct parser parser = { .lexer = command_lexer_create(line) };
	bool valid;

	parser.command = g_new0(struct command, 1);
	text += len;
	text += strspn(text, "\r\n");
	parser.command->body = g_strdup(text);
	advance(&parser);
	valid = parse_verb(&parser);
	*column = parser.error_column;
	command_lexer_destroy(parser.lexer);
	g_free(line);
	if (valid)
		return parser.command;
	command_free(parser.command);
	return NULL;
}

void command_free(struct command *command)
{
	size_t i;

	for (i = 0; i < command->pairs_nr; i++) {
		g_free(command->pairs[i].name);
		g_free(command->pairs[i].value);
		g_free(command->pairs[i].json);
	}
	g_free(command->pairs);
	g_free(command->subject);
	g_free(command->value);
	g_free(command->body);
	g_free(command);
}

const char *command_pair_value(const struct command *command, const char *name)
{
	size_t i;

	for (i = 0; i < command->pairs_nr; i++) {
		if (!strcmp(command->pairs[i].name, name))
			return command->pairs[i].value;
	}
	return NULL;
}
