/*
 * Reads values and service policies from the current configuration.
 */
#include <string.h>

#include "config_private.h"
#include "briarplankd/members_task.h"
#include "core/config_keys.h"

const struct config_store *node_config_store(struct node *node)
{
	return config_task_of(node)->store;
}

uint64_t config_revision(struct node *node)
{
	return node->config ? config_store_revision(node_config_store(node)) :
			      0;
}

const char *config_value(struct node *node, const char *key)
{
	const char *value = config_store_value(node_config_store(node), key);
	const struct config_key *entry;

	if (value)
		return value;
	entry = config_key_find(key);
	return entry ? entry->default_value : NULL;
}

/* Returns the value of the key "KIND.NAME.FIELD". */
static const char *named_value(struct node *node, const char *kind,
			       const char *name, const char *field)
{
	char key[256];

	if (g_snprintf(key, sizeof(key), "%s.%s.%s", kind, name, field) >=
	    (int)sizeof(key))
		return NULL;
	return config_value(node, key);
}

static bool named_bool(struct node *node, const char *kind, const char *name,
		       const char *field)
{
	const char *value = named_value(node, kind, name, field);

	return value && !strcmp(value, "true");
}

static uint32_t service_number(struct node *node, const char *service,
			       const char *field)
{
	const char *value = named_value(node, "service", service, field);

	return value ? (uint32_t)g_ascii_strtoull(value, NULL, 10) : 0;
}

bool config_server_drained(struct node *node, const char *agent)
{
	return named_bool(node, "server", agent, "drained");
}

/* A service with an agent exists even if it was never configured. */
static bool service_has_agent(struct node *node, const char *service)
{
	const struct daemon_settings *settings = node->settings;
	struct list *pos;

	if (settings->service && !strcmp(settings->service, service))
		return true;
	list_for_each (pos, members_all(node_members(node))) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->role == MEMBER_AGENT &&
		    !strcmp(member->service, service))
			return true;
	}
	return false;
}

void config_service_policy(struct node *node, const char *service,
			   struct service_policy *policy)
{
	policy->exists = named_bool(node, "service", service, "created") ||
			 service_has_agent(node, service);
	policy->idempotent = named_bool(node, "service", service, "idempotent");
	policy->timeout_ms = service_number(node, service, "timeout_ms");
	policy->batch_weight = service_number(node, service, "batch_weight");
	policy->first_byte_target_ms =
		service_number(node, service, "first_byte_target_ms");
	policy->token_gap_target_ms =
		service_number(node, service, "token_gap_target_ms");
	policy->item_attempts = service_number(node, service, "item_attempts");
}
