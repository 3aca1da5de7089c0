/**
 * Lists the nodes that take part in a service, as input for choosing subsets.
 */
#ifndef BRIARPLANKD_SERVICE_NODES_H
#define BRIARPLANKD_SERVICE_NODES_H

#include <glib.h>

#include "briarplankd/members_task.h"
#include "core/subset.h"

/**
 * Returns an array of struct subset_node with the nodes of a role that are
 * neither leaving nor down; includes this node if it has the role. A NULL
 * service matches any. The names are valid until the members change.
 */
GArray *service_nodes_list(struct node *node, enum member_role role,
			   const char *service);

#endif
