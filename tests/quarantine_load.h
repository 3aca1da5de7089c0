/**
 * A fleet under load, without network: sound requests, requests with a part that
 * crashes servers, one request that crashes servers each time it comes again, and
 * servers that crash by themselves.
 */
#ifndef BRIARPLANK_TESTS_QUARANTINE_LOAD_H
#define BRIARPLANK_TESTS_QUARANTINE_LOAD_H

#include <glib.h>

/**
 * load entries=N servers=N sound=N bad=N plain=N repeated=N crashes=N caller=N caller_parts=N
 * caller_for=N seconds=N restart=N seed=N:
 * plays a day and prints whether it kept its bounds. "sound" and "bad" are
 * requests a second, "plain" those of a plain service, which are equal to others, and
 * "repeated" those of one request that crashes servers; "crashes" the number of servers that crash together every
 * second second, and "restart" the second in which all entries restart with only
 * what the store holds. "caller" are requests a second that hold the crashing part beside
 * "caller_parts" parts of a caller who has been quiet, for "caller_for" seconds; a sound item
 * of that caller waits at each entry.
 */
void quarantine_load(int argc, char **argv, GString *out);

#endif
