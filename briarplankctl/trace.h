/**
 * Collects the log lines about one request, job or item from several gateways.
 */
#ifndef BRIARPLANKCTL_TRACE_H
#define BRIARPLANKCTL_TRACE_H

/**
 * Prints the lines of the files that contain the id, and the start and stop
 * events of their nodes, sorted by time. Returns 0, or 1 when no line contains
 * the id, or 2 when a file cannot be read.
 */
int trace_print(const char *id, char *const *files);

#endif
