/**
 * Completion of commands at the prompt.
 */
#ifndef BRIARPLANKCTL_COMPLETION_H
#define BRIARPLANKCTL_COMPLETION_H

#include <glib.h>

/**
 * Returns the candidates for the last, unfinished word of a line, which all
 * begin with it, as a NULL-terminated array to be freed with g_strfreev().
 */
char **completion_find(const char *line);

#endif
