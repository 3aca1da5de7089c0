/**
 * The task that holds the configuration in force.
 *
 * Relays read it from the log; the other nodes get it from them. The revision
 * in force never goes down.
 */
#ifndef BRIARPLANKD_CONFIG_TASK_H
#define BRIARPLANKD_CONFIG_TASK_H

#include "briarplankd/node.h"
#include "core/config_store.h"

/** Policy of a service, from the keys "service.NAME.*". */
struct service_policy {
	/** The service was created, or an agent of it is known. */
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

/**
 * JSON text of a key's value, or of its fallback, or NULL. Valid until the
 * next change.
 */
const char *config_value(struct node *node, const char *key);

/** Policy of a service, with the defaults where keys are absent. */
void config_service(struct node *node, const char *service,
		    struct service_policy *policy);

/**
 * Tells whether the server beside the agent of this name takes no new work.
 * Routers and the agent itself ask before each piece of work.
 */
bool config_server_drained(struct node *node, const char *agent);

/** The whole configuration; owned by the task. */
const struct config_store *node_config_store(struct node *node);

/** Notes the revision on a message from a peer; called by the members task. */
void config_heard(struct node *node, const char *peer, uint64_t revision);

/** A change that an operator asks for. Strings are copied. */
struct config_change {
	const char *operator_name;
	/** Resends have the same id, and get the first result. */
	const char *command_id;
	const char *key;
	/** JSON text; empty removes the key. */
	const char *value;
	/** Revision that the change is based on; 0 takes the one in force here. */
	uint64_t base_revision;
};

enum config_publish_status {
	/** In the log and in force here. */
	CONFIG_PUBLISH_DONE,
	/** The value has changed since the base revision. */
	CONFIG_PUBLISH_CONFLICT,
	/** Refused by the rules for the key. */
	CONFIG_PUBLISH_BAD,
	/** Certainly without effect: the log can't be reached. */
	CONFIG_PUBLISH_NOT_DONE,
	/** In doubt: sending it again with the same id is safe. */
	CONFIG_PUBLISH_UNKNOWN,
};

struct config_published {
	enum config_publish_status status;
	/** Offset of the change, or revision of the value in the way. */
	uint64_t revision;
	const char *message;
};

typedef void (*config_publish_fn)(void *ctx,
				  const struct config_published *published);

/** Publishes a change; done is called once, never before this returns. */
void config_publish(struct node *node, const struct config_change *change,
		    config_publish_fn done, void *ctx);

#endif
