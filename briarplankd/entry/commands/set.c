/*
 * The operators' commands set and unset, which publish one configuration key.
 */
#include "../operator.h"

static void run(struct operator_call *call)
{
	operator_publish_change(call, "", call->command->subject,
				call->command->value, call->command->revision,
				operator_on_published);
}

const struct command_handler set_command = { "set", COMMAND_SET, run };
const struct command_handler unset_command = { "unset", COMMAND_UNSET, run };
