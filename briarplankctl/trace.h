/**
 * Gathers what the logs of several gateways say of one request, job or item.
 */
#ifndef BRIARPLANKCTL_TRACE_H
#define BRIARPLANKCTL_TRACE_H

/**
 * Prints the lines of the files that name the id, and the starts and stops of
 * the nodes that they come from, in the order of their times. Returns 0, 1 when
 * no line names the id, or 2 when a file can't be read.
 */
int trace_print(const char *id, char *const *files);

#endif
