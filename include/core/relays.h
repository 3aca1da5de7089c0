/**
 * Chooses the nodes of a data centre that read the log for the others.
 */
#ifndef BRIARPLANK_CORE_RELAYS_H
#define BRIARPLANK_CORE_RELAYS_H

#include <stdbool.h>

#include "core/members.h"

/** Number of nodes of each data centre that read the configuration log. */
#define RELAYS_PER_DATA_CENTRE 2

/** Attributes of this node, which its own table of members doesn't contain. */
struct relay_self {
	const char *name;
	enum member_role role;
	const char *data_centre;
	bool leaving;
};

/**
 * Tells whether this node is a relay: it is among the highest by rendezvous
 * hash of the usable entries in its data centre, or of the agents when there
 * is no entry.
 */
bool relays_self_is_relay(const struct members *members,
			  const struct relay_self *self);

/** Tells whether a member is a relay, by this node's view of the members. */
bool relays_is_relay(const struct members *members,
		     const struct relay_self *self,
		     const struct member *member);

#endif
