/**
 * Operators' questions to a gateway: the show commands of their language.
 *
 * An answer is what this node knows. Nothing can be changed here: on the
 * platform, configuration is written to its store, and jobs are ended by their
 * callers.
 */
#ifndef BRIARPLANKD_GATEWAY_OPERATOR_H
#define BRIARPLANKD_GATEWAY_OPERATOR_H

#include "gateway.h"

/** Answers a POST of a command; a web handler whose context is the gateway. */
void operator_request(void *ctx, struct web_request *web);

#endif
