/**
 * The interactive prompt, with history and completion by libedit.
 */
#ifndef BRIARPLANKCTL_PROMPT_H
#define BRIARPLANKCTL_PROMPT_H

/** Runs a line; returns the exit status of its command. */
typedef int (*prompt_run_fn)(void *ctx, const char *line);

/** Reads lines until the end and returns the last command's status. */
int prompt_run(prompt_run_fn run, void *ctx);

/** Runs each line of standard input; returns the first status but 0. */
int prompt_run_script(prompt_run_fn run, void *ctx);

#endif
