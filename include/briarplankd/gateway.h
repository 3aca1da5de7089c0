/**
 * The gateway is the entry of a fleet that runs on the platform.
 */
#ifndef BRIARPLANKD_GATEWAY_H
#define BRIARPLANKD_GATEWAY_H

#include "briarplankd/gateway_settings.h"

/** Runs the gateway until SIGTERM. Returns the exit status of the process. */
int gateway_run(const struct gateway_settings *settings);

#endif
