/**
 * Tokenizer of the operators' command language.
 */
#ifndef BRIARPLANK_CORE_COMMAND_LEXER_H
#define BRIARPLANK_CORE_COMMAND_LEXER_H

#include <stdbool.h>

struct command_lexer;

enum command_token {
	COMMAND_TOKEN_END,
	COMMAND_TOKEN_WORD,
	/** String in double quotes. */
	COMMAND_TOKEN_TEXT,
	COMMAND_TOKEN_EQUALS,
	/** Invalid character or unclosed quote. */
	COMMAND_TOKEN_BAD,
};

/** Creates a lexer for one line of text, of which it keeps a copy. */
struct command_lexer *command_lexer_create(const char *line);
void command_lexer_destroy(struct command_lexer *lexer);

/** Reads and returns the next token. */
enum command_token command_lexer_next(struct command_lexer *lexer);

/** Return the last token, its text and its column, from 1. */
enum command_token command_lexer_token(const struct command_lexer *lexer);
const char *command_lexer_text(const struct command_lexer *lexer);
unsigned command_lexer_column(const struct command_lexer *lexer);

#endif
