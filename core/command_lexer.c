/*
 * Tokenizer of the command language, built on GScanner.
 */
#include <string.h>

#include <glib.h>

#include "command_lexer.h"

#define WORD_CHARACTERS G_CSET_a_2_z G_CSET_A_2_Z G_CSET_DIGITS "_.-+:/@%?&*,~"

struct command_lexer {
	GScanner *scanner;
	char *line;
	enum command_token token;
	unsigned column;
};

static const GScannerConfig config = {
	.cset_skip_characters = (gchar *)" \t",
	.cset_identifier_first = (gchar *)WORD_CHARACTERS,
	.cset_identifier_nth = (gchar *)WORD_CHARACTERS,
	.cpair_comment_single = (gchar *)"\n\n",
	.case_sensitive = TRUE,
	.scan_identifier = TRUE,
	.scan_identifier_1char = TRUE,
	.scan_string_dq = TRUE,
	.char_2_token = FALSE,
};

static void ignore_message(GScanner *scanner, gchar *message, gboolean error)
{
	(void)scanner;
	(void)message;
	(void)error;
}

struct command_lexer *command_lexer_create(const char *line)
{
	struct command_lexer *lexer = g_new0(struct command_lexer, 1);

	lexer->scanner = g_scanner_new(&config);
	lexer->scanner->msg_handler = ignore_message;
	/* Tabs become spaces, as GScanner counts a tab as several columns. */
	lexer->line = g_strdelimit(g_strdup(line), "\t", ' ');
	g_scanner_input_text(lexer->scanner, lexer->line,
			     (guint)strlen(lexer->line));
	return lexer;
}

void command_lexer_destroy(struct command_lexer *lexer)
{
	g_scanner_destroy(lexer->scanner);
	g_free(lexer->line);
	g_free(lexer);
}

enum command_token command_lexer_next(struct command_lexer *lexer)
{
	size_t at = g_scanner_cur_position(lexer->scanner);

	at += strspn(lexer->line + at, " ");
	lexer->column = (unsigned)at + 1;
	switch (g_scanner_get_next_token(lexer->scanner)) {
	case G_TOKEN_EOF:
		lexer->token = COMMAND_TOKEN_END;
		break;
	case G_TOKEN_IDENTIFIER:
		lexer->token = COMMAND_TOKEN_WORD;
		break;
	case G_TOKEN_STRING:
		lexer->token = COMMAND_TOKEN_TEXT;
		break;
	case G_TOKEN_CHAR:
		lexer->token = lexer->scanner->value.v_char == '=' ?
				       COMMAND_TOKEN_EQUALS :
				       COMMAND_TOKEN_BAD;
		break;
	default:
		lexer->token = COMMAND_TOKEN_BAD;
	}
	return lexer->token;
}

enum command_token command_lexer_token(const struct command_lexer *lexer)
{
	return lexer->token;
}

const char *command_lexer_text(const struct command_lexer *lexer)
{
	if (lexer->token == COMMAND_TOKEN_WORD)
		return lexer->scanner->value.v_identifier;
	if (lexer->token == COMMAND_TOKEN_TEXT)
		return lexer->scanner->value.v_string;
	return "";
}

unsigned command_lexer_column(const struct command_lexer *lexer)
{
	return lexer->column;
}
