/**
 * Asks other nodes for their rows of a show.
 */
#ifndef BRIARPLANKD_ENTRY_GATHER_H
#define BRIARPLANKD_ENTRY_GATHER_H

#include "core/members.h"
#include "operator.h"

/**
 * Asks all nodes of a role for the rows of the call's command and puts them
 * into its result with the names of those that did not answer in time; then
 * calls done.
 */
void gather_start(struct operator_call *call, enum member_role role,
		  void (*done)(struct operator_call *call));

/** Registers the handler of the answers. */
void gather_register(struct operator_task *task);

/** Frees what is under way. */
void gather_stop(struct operator_task *task);

#endif
