/**
 * What may come next in a command.
 */
#ifndef BRIARPLANKCTL_COMPLETION_H
#define BRIARPLANKCTL_COMPLETION_H

#include <glib.h>

/**
 * Returns the words that can go on from a line, as a NULL-terminated array to
 * be freed with g_strfreev(). Only words that begin with the line's last,
 * unfinished word are in it.
 */
char **completion_find(const char *line);

#endif
