/**
 * Scripted runs with expected output.
 *
 * A transcript file holds commands, each on a line after "> ", and below each
 * the output that it must print. Lines that start with "#" are comments. A
 * blank line in a transcript separates cases: the state is made anew.
 */
#ifndef BRIARPLANK_TESTS_SCRIPT_H
#define BRIARPLANK_TESTS_SCRIPT_H

#include <stdint.h>
#include <glib.h>

/** What a module's tests give to the runner. */
struct script_driver {
	/** Name of the suite, and of its folder below tests/. */
	const char *name;
	/** Makes the state of one case. */
	void *(*create)(void);
	void (*destroy)(void *state);
	/** Carries out one command; appends whole lines to out. */
	void (*command)(void *state, int argc, char **argv, GString *out);
};

/** One command of a driver that has a table of them. */
struct script_command {
	const char *name;
	void (*run)(void *state, int argc, char **argv);
};

/** Runs the command that argv names; says so when the table has none. */
void script_dispatch(const struct script_command *commands, size_t nr,
		     void *state, int argc, char **argv, GString *out);

/** Runs each transcript (*.txt) of the driver's folder; the exit status. */
int script_main(const struct script_driver *driver, int argc, char **argv);

/** Returns the value of an argument "key=value", or the fallback. */
const char *script_arg(int argc, char **argv, const char *key,
		       const char *fallback);

/** Like script_arg, for whole numbers. */
int64_t script_arg_int(int argc, char **argv, const char *key,
		       int64_t fallback);

#endif
