/**
 * Follows the configuration and the list of servers in the platform's store.
 */
#ifndef BRIARPLANKD_GATEWAY_DIRECTORY_H
#define BRIARPLANKD_GATEWAY_DIRECTORY_H

#include "gateway.h"

/** NULL with an error message when it can't listen for other entries. */
struct directory *directory_create(struct gateway *gateway);
void directory_destroy(struct directory *directory);

/** Tells whether both lists were read since the start. */
bool directory_loaded(const struct directory *directory);

/** The port at which other entries ask for the directory. */
unsigned directory_port(const struct directory *directory);

#endif
