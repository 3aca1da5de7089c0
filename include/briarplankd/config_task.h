/**
 * The task that holds the current configuration.
 *
 * Relay nodes read it from the log; the other nodes get it from relays. A
 * node's current revision never decreases.
 */
#ifndef BRIARPLANKD_CONFIG_TASK_H
#define BRIARPLANKD_CONFIG_TASK_H

#include "briarplankd/node.h"
#include "core/config_store.h"

/** Policy of a service, read from the keys "service.NAME.*". */
struct service_policy {
	/** The service was created, or an agent of it is known. */
	bool exists;
	/** Requests are idempotent unless they say otherwise. */
	bool idempotent;
	/** Default timeout of a request, in ms. */
	uint32_t timeout_ms;
	/**
	 * Trade-off between online tail latency and batch throughput: 0 favours
	 * latency, 100 throughput.
	 */
	uint32_t batch_weight;
	/** Target of the time to the first byte, in ms. */
	uint32_t first_byte_target_ms;
	/** Target of the time between tokens, in ms. */
	uint32_t token_gap_target_ms;
	/** Number of attempts after which a batch item fails. */
	uint32_t item_attempts;
};

/** Returns the current revision; 0 if there is none yet. */
uint64_t config_revision(struct node *node);

/**
 * Returns the JSON text of a key's value or else of its default; NULL if there
 * is neither. The text is valid until the next change.
 */
const char *config_value(struct node *node, const char *key);

/** Reads the policy of a service; unset keys have their defaults. */
void config_service_policy(struct node *node, const char *service,
			   struct service_policy *policy);

/**
 * Returns true if the server of the named agent is drained, that is, takes no
 * new work. Routers and the agent check this before each request or item.
 */
bool config_server_drained(struct node *node, const char *agent);

/** Returns the whole configuration, which the task owns. */
const struct config_store *node_config_store(struct node *node);

/** Records the revision of a peer's message; called by the members task. */
void config_note_peer_revision(struct node *node, const char *peer,
			       uint64_t revision);

/** A change requested by an operator. Strings are copied. */
struct config_change {
	const char *operator_name;
	/** Id of the change; a retry with the same id gets the first result. */
	const char *command_id;
	const char *key;
	/** New value as JSON text; an empty string removes the key. */
	const char *value;
	/** Revision that the change is based on; 0 for the current one. */
	uint64_t base_revision;
};

enum config_publish_status {
	/** The change is in the log and applied on this node. */
	CONFIG_PUBLISH_APPLIED,
	/** The value has changed since the base revision. */
	CONFIG_PUBLISH_CONFLICT,
	/** The key or value is invalid, or the id was used before. */
	CONFIG_PUBLISH_INVALID,
	/**
	 * It is certain that the change had no effect, e.g. because the log is
	 * down. With CONFIG_PUBLISH_UNKNOWN, it may have had an effect.
	 */
	CONFIG_PUBLISH_NOT_APPLIED,
	/** The outcome is unknown; retrying with the same id is safe. */
	CONFIG_PUBLISH_UNKNOWN,
};

struct config_publish_result {
	enum config_publish_status status;
	/** Offset of the change, or revision of the conflicting value. */
	uint64_t revision;
	const char *message;
};

typedef void (*config_publish_fn)(
	void *ctx, const struct config_publish_result *published);

/** Publishes a change; done is called once, after this function returns. */
void config_publish(struct node *node, const struct config_change *change,
		    config_publish_fn done, void *ctx);

#endif
