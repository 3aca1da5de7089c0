/**
 * Collects the rows of an operator's show command from all nodes of a role.
 */
#ifndef BRIARPLANKD_ENTRY_GATHER_H
#define BRIARPLANKD_ENTRY_GATHER_H

#include "core/members.h"
#include "operator.h"

/**
 * Asks all nodes of a role for the rows of the call's command. Adds the rows,
 * and the names of nodes without a complete answer, to the call's result; then
 * calls done, after 1.5 s at the latest.
 */
void gather_start(struct operator_call *call, enum member_role role,
		  void (*done)(struct operator_call *call));

/** Registers the handler of the nodes' replies. */
void gather_register(struct operator_task *task);

/** Cancels all collections in progress. */
void gather_stop(struct operator_task *task);

#endif
