/**
 * The gateway: the entry of a fleet on the platform.
 */
#ifndef BRIARPLANKD_GATEWAY_H
#define BRIARPLANKD_GATEWAY_H

#include "briarplankd/gateway_settings.h"

/** Serves until SIGTERM; returns the exit status of the process. */
int gateway_run(const struct gateway_settings *settings);

#endif
