/*
 * Chooses the agent of a request from the list of members and from this entry's
 * own records, and explains the choice.
 */
#include <string.h>

#include "briarplankd/members_task.h"
#include "briarplankd/online.h"
#include "briarplankd/service_nodes.h"

/* Maximum age of a load report that is used, in ms. */
#define REPORT_MAX_AGE_MS 3000
/* Time after its last request at which an agent is unwatched, in ms. */
#define WATCH_TIMEOUT_MS 5000
/* Concurrency limit assumed for an agent without a recent load report. */
#define ASSUMED_LIMIT 4

static void agent_free(void *data)
{
	struct online_agent *agent = data;

	g_free(agent->name);
	g_free(agent);
}

static struct online_agent *get_agent(struct online *online, const char *name)
{
	struct online_agent *agent;

	if (!online->agents)
		online->agents = g_hash_table_new_full(g_str_hash, g_str_equal,
						       NULL, agent_free);
	agent = g_hash_table_lookup(online->agents, name);
	if (agent)
		return agent;
	agent = g_new0(struct online_agent, 1);
	agent->name = g_strdup(name);
	g_hash_table_insert(online->agents, agent->name, agent);
	return agent;
}

/* Returns the names of the service's agents that this entry may use. */
static GPtrArray *make_subset(struct node *node, const char *service)
{
	GPtrArray *names = g_ptr_array_new_with_free_func(g_free);
	GArray *entries = service_nodes_list(node, MEMBER_ENTRY, NULL);
	GArray *agents = service_nodes_list(node, MEMBER_AGENT, service);
	struct subset_node *nodes = (struct subset_node *)agents->data;
	guint i;

	subset_pick((struct subset_node *)entries->data, entries->len,
		    node->settings->name, nodes, agents->len, SUBSET_AGENTS);
	for (i = 0; i < agents->len; i++) {
		if (nodes[i].picked)
			g_ptr_array_add(names, g_strdup(nodes[i].name));
	}
	g_array_free(entries, TRUE);
	g_array_free(agents, TRUE);
	return names;
}

static GPtrArray *get_subset(struct online *online, const char *service)
{
	GPtrArray *subset;

	if (!online->subsets)
		online->subsets = g_hash_table_new_full(
			g_str_hash, g_str_equal, g_free,
			(GDestroyNotify)g_ptr_array_unref);
	subset = g_hash_table_lookup(online->subsets, service);
	if (subset)
		return subset;
	subset = make_subset(online->super.node, service);
	g_hash_table_insert(online->subsets, g_strdup(service), subset);
	return subset;
}

/*
 * Counts the region's entries, which share its link to other regions. Listed
 * entries from which this one has received no message yet count too, as an
 * entry that has just started has received messages from few others.
 */
static unsigned count_entries(struct node *node)
{
	GArray *entries = service_nodes_list(node, MEMBER_ENTRY, NULL);
	unsigned nr = 0;
	guint i;

	for (i = 0; i < entries->len; i++)
		nr += !strcmp(
			g_array_index(entries, struct subset_node, i).region,
			node->settings->region);
	g_array_free(entries, TRUE);
	return nr;
}

void online_routing_members_changed(struct online *online)
{
	uint64_t share = link_budget_share(count_entries(online->super.node));

	if (online->subsets)
		g_hash_table_remove_all(online->subsets);
	link_budget_set(&online->link, share, share * LINK_BUDGET_BURST_S,
			node_now_us());
}

static enum router_distance get_distance(const struct node *node,
					 const struct member *member)
{
	if (!strcmp(member->data_centre, node->settings->data_centre))
		return ROUTER_SAME_DATA_CENTRE;
	if (!strcmp(member->region, node->settings->region))
		return ROUTER_SAME_REGION;
	return ROUTER_OTHER_REGION;
}

static bool report_is_fresh(const struct member *member, uint64_t now_ms)
{
	return member->load.received_ms &&
	       now_ms < member->load.received_ms + REPORT_MAX_AGE_MS;
}

static bool is_eligible(struct online_request *request,
			const struct member *member, uint64_t now_ms)
{
	struct online_agent *agent = get_agent(request->online, member->name);

	if (member->role != MEMBER_AGENT || !member_usable(member) ||
	    strcmp(member->service, request->service) != 0)
		return false;
	if (config_server_drained(request->online->super.node, member->name))
		return false;
	if (report_is_fresh(member, now_ms) && !member->load.ready)
		return false;
	if (!circuit_allows(&agent->circuit, now_ms))
		return false;
	return !g_ptr_array_find_with_equal_func(
		request->excluded_agents, member->name, g_str_equal, NULL);
}

static void fill_candidate(struct online_request *request,
			   struct member *member, uint64_t now_ms,
			   struct router_candidate *candidate)
{
	struct online_agent *agent = get_agent(request->online, member->name);
	const struct member_load *load = &member->load;

	if (agent->report_sequence != load->sequence) {
		agent->report_sequence = load->sequence;
		agent->unreported = 0;
	}
	*candidate = (struct router_candidate){
		.name = member->name,
		.name_hash = hash_string(member->name, 0),
		.distance = get_distance(request->online->super.node, member),
		.unreported = agent->unreported,
		.limit = ASSUMED_LIMIT,
	};
	if (!report_is_fresh(member, now_ms))
		return;
	candidate->expected_wait_us = load->expected_wait_us;
	candidate->reported = load->running_online + load->queued_online;
	candidate->limit = MAX(load->concurrency_limit, 1);
}

static void add_candidate(struct online_request *request, GArray *candidates,
			  struct member *member, uint64_t now_ms)
{
	struct router_candidate candidate;

	if (!is_eligible(request, member, now_ms))
		return;
	fill_candidate(request, member, now_ms, &candidate);
	g_array_append_val(candidates, candidate);
}

/*
 * Lists candidate agents of the entry's subset, or of the whole fleet if the
 * subset has none.
 */
static GArray *list_candidates(struct online_request *request, uint64_t now_ms)
{
	struct members *members = node_members(request->online->super.node);
	GPtrArray *subset = get_subset(request->online, request->service);
	GArray *candidates =
		g_array_new(FALSE, TRUE, sizeof(struct router_candidate));
	struct list *pos;
	guint i;

	for (i = 0; i < subset->len; i++) {
		struct member *member = members_find(members, subset->pdata[i]);

		if (member)
			add_candidate(request, candidates, member, now_ms);
	}
	if (candidates->len)
		return candidates;
	list_for_each (pos, members_all(members))
		add_candidate(request, candidates,
			      list_entry(pos, struct member, link), now_ms);
	return candidates;
}

static size_t body_len(const struct online_request *request)
{
	size_t len;

	web_body(request->web, &len);
	return len;
}

const struct member *online_routing_choose(struct online_request *request)
{
	struct online *online = request->online;
	uint64_t now_ms = node_now_ms(online->super.node);
	GArray *candidates = list_candidates(request, now_ms);
	const struct router_candidate *items;
	const struct member *chosen = NULL;
	char text[ROUTER_TEXT_BYTES];
	struct router_choice choice;
	struct router_request options = {
		.prefix_hash = request->prefix_hash,
		.link_has_budget = link_budget_allows(
			&online->link, body_len(request), node_now_us()),
	};

	items = (const struct router_candidate *)candidates->data;
	router_choose(&options, items, candidates->len, online->random,
		      &choice);
	router_explain(&choice, items, text, sizeof(text));
	g_free(request->reason);
	request->reason = g_strdup(text);
	if (choice.index >= 0) {
		chosen = members_find(node_members(online->super.node),
				      items[choice.index].name);
		request->distance = items[choice.index].distance;
	}
	g_array_free(candidates, TRUE);
	return chosen;
}

/* Watches an agent: in a large fleet only watched members are pinged often. */
static void watch_agent(struct online *online, struct online_agent *agent,
			uint64_t now_ms)
{
	agent->last_used_ms = now_ms;
	if (agent->watched)
		return;
	agent->watched = true;
	members_request_watch(node_members(online->super.node), agent->name,
			      true);
}

void online_routing_unwatch_idle(struct online *online)
{
	uint64_t now_ms = node_now_ms(online->super.node);
	struct online_agent *agent;
	GHashTableIter iter;
	gpointer value;

	if (!online->agents)
		return;
	g_hash_table_iter_init(&iter, online->agents);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		agent = value;
		if (!agent->watched || agent->running ||
		    now_ms < agent->last_used_ms + WATCH_TIMEOUT_MS)
			continue;
		agent->watched = false;
		members_request_watch(node_members(online->super.node),
				      agent->name, false);
	}
}

void online_routing_dispatched(struct online_request *request)
{
	struct online_agent *agent = get_agent(request->online, request->agent);
	uint64_t now_ms = node_now_ms(request->online->super.node);

	agent->unreported++;
	agent->running++;
	watch_agent(request->online, agent, now_ms);
	request->agent_counted = true;
	request->report_sequence = agent->report_sequence;
	circuit_dispatched(&agent->circuit, now_ms);
	online_routing_charge_link(request, body_len(request));
}

void online_routing_attempt_ended(struct online_request *request)
{
	struct online_agent *agent;

	if (!request->agent_counted)
		return;
	request->agent_counted = false;
	agent = get_agent(request->online, request->agent);
	agent->running--;
	agent->last_used_ms = node_now_ms(request->online->super.node);
	if (agent->report_sequence == request->report_sequence &&
	    agent->unreported)
		agent->unreported--;
}

void online_routing_succeeded(struct online_request *request)
{
	circuit_succeeded(&get_agent(request->online, request->agent)->circuit);
}

void online_routing_failed(struct online_request *request)
{
	circuit_failed(&get_agent(request->online, request->agent)->circuit,
		       node_now_ms(request->online->super.node));
}

void online_routing_charge_link(struct online_request *request, size_t bytes)
{
	if (request->distance == ROUTER_OTHER_REGION)
		link_budget_charge(&request->online->link, bytes,
				   node_now_us());
}

void online_routing_clear(struct online *online)
{
	if (online->agents)
		g_hash_table_destroy(online->agents);
	if (online->subsets)
		g_hash_table_destroy(online->subsets);
}
