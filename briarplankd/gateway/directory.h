/**
 * Keeps the configuration and the list of servers up to date, from the
 * platform's store or from another entry.
 */
#ifndef BRIARPLANKD_GATEWAY_DIRECTORY_H
#define BRIARPLANKD_GATEWAY_DIRECTORY_H

#include "gateway.h"

struct directory *directory_create(struct gateway *gateway);
void directory_destroy(struct directory *directory);

/** Tells whether a configuration and a complete list of servers are known. */
bool directory_loaded(const struct directory *directory);

/** Returns the age of what is known of the configuration, in ms. */
uint64_t directory_config_age_ms(const struct directory *directory);

/**
 * Tells whether the configuration in use is the newest one, as far as a reading of the
 * last seconds can tell.
 */
bool directory_config_is_current(const struct directory *directory);

/**
 * Returns for how long the list of servers has been kept up to date, in ms: no server
 * that was listed in that time is unknown. 0 while it isn't up to date.
 */
uint64_t directory_known_for_ms(const struct directory *directory);

/** Returns the loop time as of which the list of servers is complete, in ms. */
uint64_t directory_servers_as_of_ms(const struct directory *directory);

/** Reads the changes of the list of servers from the store at once, or as soon as the
 * read in flight has ended. */
void directory_refresh_servers(struct directory *directory);

#endif
