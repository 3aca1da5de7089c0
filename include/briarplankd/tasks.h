/**
 * Creates the tasks of each role.
 */
#ifndef BRIARPLANKD_TASKS_H
#define BRIARPLANKD_TASKS_H

#include "briarplankd/node.h"

/** Adds the tasks of the node's role in the order in which they start. */
void tasks_add(struct node *node);

/** Create the tasks; node_add_task() takes ownership. */
struct task *members_task_create(void);
struct task *config_task_create(void);
struct task *online_task_create(void);
struct task *jobs_task_create(void);
struct task *ledger_task_create(void);
struct task *operator_task_create(void);
struct task *gate_task_create(void);
struct task *batch_task_create(void);
struct task *orders_task_create(void);

#endif
