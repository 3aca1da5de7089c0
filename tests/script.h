/**
 * Test runner for transcripts of commands and their expected output.
 *
 * A transcript contains commands, each on a line after "> ", followed by the
 * output that it must print. Lines that start with "#" are comments. A blank
 * line ends a case; the next case starts with a new state.
 */
#ifndef BRIARPLANK_TESTS_SCRIPT_H
#define BRIARPLANK_TESTS_SCRIPT_H

#include <stdint.h>
#include <glib.h>

/** Callbacks of one test suite. */
struct script_driver {
	/** Name of the suite and of its directory below tests/. */
	const char *name;
	/** Creates the state of one case. */
	void *(*create)(void);
	void (*destroy)(void *state);
	/** Runs one command; appends its output to out as complete lines. */
	void (*command)(void *state, int argc, char **argv, GString *out);
};

/** An entry of a driver's command table. */
struct script_command {
	const char *name;
	void (*run)(void *state, int argc, char **argv);
};

/** Runs the command named by argv[0]; reports an unknown one in out. */
void script_dispatch(const struct script_command *commands, size_t nr,
		     void *state, int argc, char **argv, GString *out);

/** Runs all transcripts (*.txt) of the driver's directory; returns the exit
 * status. */
int script_main(const struct script_driver *driver, int argc, char **argv);

/** Returns the value of the argument "key=value", or fallback if absent. */
const char *script_arg(int argc, char **argv, const char *key,
		       const char *fallback);

/**
 * Returns the integer value of the argument "key=value", or fallback if absent.
 */
int64_t script_arg_int(int argc, char **argv, const char *key,
		       int64_t fallback);

#endif
