#include <string.h>

#include "briarplankd/service_nodes.h"

static bool is_listed(const struct member *member, enum member_role role,
		      const char *service)
{
	if (member->role != role || member->leaving ||
	    member->state == MEMBER_DOWN)
		return false;
	return !service || !strcmp(member->service, service);
}

GArray *service_nodes_list(struct node *node, enum member_role role,
			   const char *service)
{
	const struct daemon_settings *settings = node->settings;
	GArray *nodes = g_array_new(FALSE, TRUE, sizeof(struct subset_node));
	struct subset_node self = {
		.name = settings->name,
		.data_centre = settings->data_centre,
		.region = settings->region,
	};
	struct list *pos;

	list_for_each (pos, members_all(node_members(node))) {
		const struct member *member =
			list_entry(pos, struct member, link);
		struct subset_node item = {
			.name = member->name,
			.data_centre = member->data_centre,
			.region = member->region,
		};

		if (is_listed(member, role, service))
			g_array_append_val(nodes, item);
	}
	if ((settings->role == ROLE_ENTRY) == (role == MEMBER_ENTRY))
		g_array_append_val(nodes, self);
	return nodes;
}
