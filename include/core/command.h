/**
 * Parser of the operators' command language.
 *
 *     show KIND [where FIELD = VALUE [and FIELD = VALUE ...]]
 *     submit job NAME service S path P [due TIME] [keep TIME]
 *         (the lines below are the items)
 *     cancel job ID
 *     drain server ID
 *     undrain server ID
 *     set KEY VALUE [if revision N]
 *     unset KEY [if revision N]
 *     create service NAME [KEY VALUE ...]
 *
 * A value is a word, a number or a string in double quotes.
 */
#ifndef BRIARPLANK_CORE_COMMAND_H
#define BRIARPLANK_CORE_COMMAND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum command_kind {
	COMMAND_CANCEL,
	COMMAND_CREATE,
	COMMAND_DRAIN,
	COMMAND_SET,
	COMMAND_SHOW,
	COMMAND_SUBMIT,
	COMMAND_UNDRAIN,
	COMMAND_UNSET,
};

/** A field or key with its value. */
struct command_pair {
	char *name;
	/** The value as the operator wrote it, without quotes. */
	char *value;
	/** The value in JSON text: a number, true, false or a string. */
	char *json;
	/** Column of the field's or key's name in the command, from 1. */
	unsigned column;
};

/** A parsed command. */
struct command {
	enum command_kind kind;
	/** Kind to show, or name of the job, server, service or key. */
	char *subject;
	unsigned subject_column;
	/** JSON text of the value in a set command; empty for unset. */
	char *value;
	/** Revision that a set or unset is based on; 0 when none was given. */
	uint64_t revision;
	/** Conditions of a show, or settings of a create or submit. */
	struct command_pair *pairs;
	size_t pairs_nr;
	/** Text below the first line, which has the items of a submit. */
	char *body;
};

/** Kinds that can be shown, sorted; ends with NULL. */
extern const char *const command_show_kinds[];

/**
 * Parses a command. On a syntax error returns NULL, sets an error message with
 * the column and stores the column.
 */
struct command *command_parse(const char *text, unsigned *column);
void command_free(struct command *command);

/** Returns the value of the field or key with a name, or NULL. */
const char *command_pair_value(const struct command *command, const char *name);

#endif
