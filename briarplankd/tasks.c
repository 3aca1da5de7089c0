#include "briarplankd/rows.h"
#include "briarplankd/tasks.h"

typedef struct task *(*task_create_fn)(void);

static const task_create_fn entry_tasks[] = {
	members_task_create,
	config_task_create,
	rows_task_create,
	ledger_task_create,
	jobs_task_create,
	online_task_create,
	operator_task_create,
	/*
	 * NULL ends the list of tasks. This comment makes the formatter keep
	 * one element per line.
	 */
	NULL,
};

static const task_create_fn agent_tasks[] = {
	members_task_create,
	config_task_create,
	rows_task_create,
	batch_task_create,
	orders_task_create,
	gate_task_create,
	NULL,
};

void tasks_add(struct node *node)
{
	const task_create_fn *create =
		node->settings->role == ROLE_ENTRY ? entry_tasks : agent_tasks;

	for (; *create; create++)
		node_add_task(node, (*create)());
}
