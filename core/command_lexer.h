/**
 * Words of the operators' language, by GLib's scanner.
 */
#ifndef BRIARPLANK_CORE_COMMAND_LEXER_H
#define BRIARPLANK_CORE_COMMAND_LEXER_H

#include <stdbool.h>

struct command_lexer;

enum command_token {
	COMMAND_TOKEN_END,
	COMMAND_TOKEN_WORD,
	/** Text in double quotes. */
	COMMAND_TOKEN_TEXT,
	COMMAND_TOKEN_EQUALS,
	/** A character or an open quote that the language doesn't have. */
	COMMAND_TOKEN_BAD,
};

/** Makes a lexer for one line of text, which must outlive it. */
struct command_lexer *command_lexer_create(const char *line);
void command_lexer_destroy(struct command_lexer *lexer);

/** Goes on to the next token. */
enum command_token command_lexer_next(struct command_lexer *lexer);

/** The token last read, its text and its place, from 1 on. */
enum command_token command_lexer_token(const struct command_lexer *lexer);
const char *command_lexer_text(const struct command_lexer *lexer);
unsigned command_lexer_column(const struct command_lexer *lexer);

#endif
