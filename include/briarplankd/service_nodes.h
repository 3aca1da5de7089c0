/**
 * The nodes that take part in a service, as subsets are made of them.
 */
#ifndef BRIARPLANKD_SERVICE_NODES_H
#define BRIARPLANKD_SERVICE_NODES_H

#include <glib.h>

#include "briarplankd/members_task.h"
#include "core/subset.h"

/**
 * Lists the nodes of a role that are not known to be gone, with this node if
 * it has the role: an array of struct subset_node. A service of NULL stands
 * for any. The names live as long as the members don't change.
 */
GArray *service_nodes_list(struct node *node, enum member_role role,
			   const char *service);

#endif
