/*
 * Holds the configuration in force.
 */
#include <string.h>

#include "briarplankd/config_task.h"
#include "briarplankd/members_task.h"
#include "briarplankd/tasks.h"

struct config_task {
	struct task super;
};

static const struct service_policy default_policy = {
	.idempotent = false,
	.timeout_ms = 60000,
	.batch_weight = 50,
	.first_byte_target_ms = 1000,
	.token_gap_target_ms = 100,
	.item_attempts = 3,
};

static bool config_start(struct task *base)
{
	base->node->config = base;
	return true;
}

static void config_destroy(struct task *base)
{
	g_free(base);
}

static const struct task_ops config_ops = {
	.name = "config",
	.start = config_start,
	.destroy = config_destroy,
};

struct task *config_task_create(void)
{
	struct config_task *task = g_new0(struct config_task, 1);

	task->super.ops = &config_ops;
	return &task->super;
}

uint64_t config_revision(struct node *node)
{
	(void)node;
	return 0;
}

const char *config_value(struct node *node, const char *key)
{
	(void)node;
	(void)key;
	return NULL;
}

/* A server that serves it makes a service exist before it is configured. */
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

void config_service(struct node *node, const char *service,
		    struct service_policy *policy)
{
	*policy = default_policy;
	policy->exists = service_has_agent(node, service);
}
