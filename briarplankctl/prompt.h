/**
 * Interactive prompt with history and completion, built on libedit.
 */
#ifndef BRIARPLANKCTL_PROMPT_H
#define BRIARPLANKCTL_PROMPT_H

/** Runs one command line and returns its exit status. */
typedef int (*prompt_run_fn)(void *ctx, const char *line);

/**
 * Runs lines from the terminal until exit or end of input; returns the status
 * of the last command.
 */
int prompt_run(prompt_run_fn run, void *ctx);

/** Runs each line of standard input; returns the first nonzero status, or 0. */
int prompt_run_script(prompt_run_fn run, void *ctx);

#endif
