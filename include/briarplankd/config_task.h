/**
 * The task that holds the configuration in force.
 */
#ifndef BRIARPLANKD_CONFIG_TASK_H
#define BRIARPLANKD_CONFIG_TASK_H

#include "briarplankd/node.h"

/** Policy of a service, from the keys "service.NAME.*". */
struct service_policy {
	/** The service was created. */
	bool exists;
	/** Requests count as idempotent unless they say otherwise. */
	bool idempotent;
	/** Time limit of a request that names none, in ms. */
	uint32_t timeout_ms;
	/** Share of throughput against online tail: 0 guards the tail, 100 batch. */
	uint32_t batch_weight;
	/** Target of the time to the first byte, in ms. */
	uint32_t first_byte_target_ms;
	/** Target of the time between tokens, in ms. */
	uint32_t token_gap_target_ms;
	/** Attempts after which a batch item ends as failed. */
	uint32_t item_attempts;
};

/** Revision in force; 0 before any. */
uint64_t config_revision(struct node *node);

/** JSON text of a key's value, or NULL. Valid until the next change. */
const char *config_value(struct node *node, const char *key);

/** Policy of a service, with the defaults where keys are absent. */
void config_service(struct node *node, const char *service,
		    struct service_policy *policy);

#endif
