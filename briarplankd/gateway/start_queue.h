/**
 * Requests that arrive before this entry has read the configuration and the servers: they
 * are kept for a short time instead of being refused, as callers repeat a request seldom.
 */
#ifndef BRIARPLANKD_GATEWAY_START_QUEUE_H
#define BRIARPLANKD_GATEWAY_START_QUEUE_H

#include "gateway.h"

struct start_queue;

struct start_queue *start_queue_create(struct gateway *gateway);
void start_queue_destroy(struct start_queue *queue);

/** Refuses the requests that are kept when the process stops. */
void start_queue_stop(struct start_queue *queue);

/**
 * Keeps a request until the directory is loaded or its time here is over, and starts it
 * then. Returns false if the settings don't allow that, or too many are kept.
 */
bool start_queue_add(struct start_queue *queue, struct web_request *web);

#endif
