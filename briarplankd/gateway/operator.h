/**
 * Executes operators' show commands on a gateway.
 *
 * The rows show what this node knows. Other commands are refused: on the
 * platform, the configuration is written to its store, and callers end their
 * jobs.
 */
#ifndef BRIARPLANKD_GATEWAY_OPERATOR_H
#define BRIARPLANKD_GATEWAY_OPERATOR_H

#include "gateway.h"

/**
 * Handles an HTTP POST that contains an operator's command; ctx is the gateway.
 */
void operator_request(void *ctx, struct web_request *web);

#endif
