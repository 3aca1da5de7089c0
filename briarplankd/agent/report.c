/*
 * Sends load reports to the entries that have this server in their subset,
 * and to those that have dispatched to it recently.
 */
#include <string.h>

#include "report.h"
#include "briarplankd/members_task.h"
#include "briarplankd/service_nodes.h"
#include "core/report_turns.h"

/*
 * Period of load reports, and the time after its last dispatch for which an
 * entry receives them, in ms.
 */
#define REPORT_INTERVAL_MS 500
#define DISPATCH_RECENT_MS 10000
/* Age at which the subset is rebuilt even if no node has changed, in ms. */
#define SUBSET_MAX_AGE_MS 5000

struct report_entry {
	uint64_t sent_ms;
	/* Time of the last dispatch; 0 before the first. */
	uint64_t last_dispatch_ms;
	/* The entry has this server in its subset. */
	bool in_subset;
};

struct report_sender {
	struct gate *gate;
	/* Entries that may receive reports (struct report_entry), by name. */
	GHashTable *entries;
	uint64_t sequence;
	uint64_t last_round_ms;
	/* Time at which the subset was built; 0 if it must be rebuilt. */
	uint64_t subset_built_ms;
};

static struct node *node_of(const struct report_sender *sender)
{
	return sender->gate->task.node;
}

static uint64_t now_ms(const struct report_sender *sender)
{
	return node_now_ms(node_of(sender));
}

struct report_sender *report_sender_create(struct gate *gate)
{
	struct report_sender *sender = g_new0(struct report_sender, 1);

	sender->gate = gate;
	sender->entries =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	return sender;
}

void report_sender_destroy(struct report_sender *sender)
{
	g_hash_table_destroy(sender->entries);
	g_free(sender);
}

static struct report_entry *get_entry(struct report_sender *sender,
				      const char *name)
{
	struct report_entry *entry = g_hash_table_lookup(sender->entries, name);

	if (entry)
		return entry;
	entry = g_new0(struct report_entry, 1);
	g_hash_table_insert(sender->entries, g_strdup(name), entry);
	return entry;
}

void report_sender_note_dispatch(struct report_sender *sender,
				 const char *entry)
{
	get_entry(sender, entry)->last_dispatch_ms = now_ms(sender);
}

void report_sender_members_changed(struct report_sender *sender)
{
	sender->subset_built_ms = 0;
}

static bool is_recent(const struct report_sender *sender,
		      const struct report_entry *entry)
{
	return entry->last_dispatch_ms &&
	       now_ms(sender) < entry->last_dispatch_ms + DISPATCH_RECENT_MS;
}

static gboolean is_unneeded(gpointer name, gpointer value, gpointer ctx)
{
	const struct report_entry *entry = value;

	(void)name;
	return !entry->in_subset && !is_recent(ctx, entry);
}

/* Returns whether an entry is up, so that reports can reach it. */
static bool is_reachable(const struct report_sender *sender, const char *name)
{
	const struct member *member =
		members_find(node_members(node_of(sender)), name);

	return member && member->state == MEMBER_UP;
}

/* Updates in_subset of each entry: whether it has this server in its subset. */
static void update_subset(struct report_sender *sender)
{
	struct node *node = node_of(sender);
	GArray *entries = service_nodes_list(node, MEMBER_ENTRY, NULL);
	GArray *agents =
		service_nodes_list(node, MEMBER_AGENT, node->settings->service);
	struct subset_node *nodes = (struct subset_node *)entries->data;
	GHashTableIter iter;
	gpointer value;
	guint i;

	subset_pick_entries(nodes, entries->len,
			    (struct subset_node *)agents->data, agents->len,
			    node->settings->name, SUBSET_AGENTS);
	g_hash_table_iter_init(&iter, sender->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		((struct report_entry *)value)->in_subset = false;
	for (i = 0; i < entries->len; i++) {
		if (nodes[i].picked)
			get_entry(sender, nodes[i].name)->in_subset = true;
	}
	sender->subset_built_ms = now_ms(sender);
	g_array_free(entries, TRUE);
	g_array_free(agents, TRUE);
}

static GArray *list_targets(struct report_sender *sender)
{
	GArray *targets =
		g_array_new(FALSE, FALSE, sizeof(struct report_target));
	struct report_target target;
	GHashTableIter iter;
	gpointer name, value;

	if (!sender->subset_built_ms ||
	    now_ms(sender) >= sender->subset_built_ms + SUBSET_MAX_AGE_MS)
		update_subset(sender);
	g_hash_table_foreach_remove(sender->entries, is_unneeded, sender);
	g_hash_table_iter_init(&iter, sender->entries);
	while (g_hash_table_iter_next(&iter, &name, &value)) {
		const struct report_entry *entry = value;

		target.name = name;
		target.sent_ms = entry->sent_ms;
		target.recent = is_recent(sender, entry);
		if (target.recent || is_reachable(sender, name))
			g_array_append_val(targets, target);
	}
	return targets;
}

static void fill_report(struct report_sender *sender,
			Briarplank__LoadReport *report)
{
	const struct gate *gate = sender->gate;
	const struct daemon_settings *settings = node_of(sender)->settings;
	unsigned limit = concurrency_online_limit(gate->concurrency);

	briarplank__load_report__init(report);
	report->service = settings->service;
	report->data_centre = settings->data_centre;
	report->running_online = gate->running_online;
	report->running_batch = gate->running_batch;
	report->queued_online = admission_waiting(gate->admission);
	report->concurrency_limit = limit;
	report->expected_wait_us =
		admission_wait_us(gate->admission, gate->running_online, limit);
	report->leaving = gate->stopping;
	report->ready = gate_accepts_work(gate);
	report->sequence = ++sender->sequence;
}

static void send_reports(struct report_sender *sender, bool all)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__LoadReport body;
	GArray *targets = list_targets(sender);
	struct report_target *items = (struct report_target *)targets->data;
	size_t nr = all ? targets->len : report_turns_pick(items, targets->len);
	size_t i;

	fill_report(sender, &body);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_LOAD_REPORT;
	env.load_report = &body;
	for (i = 0; i < nr; i++) {
		bus_send(node_of(sender)->bus, items[i].name, &env);
		get_entry(sender, items[i].name)->sent_ms = now_ms(sender);
	}
	g_array_free(targets, TRUE);
	sender->last_round_ms = now_ms(sender);
}

void report_sender_tick(struct report_sender *sender)
{
	if (now_ms(sender) >= sender->last_round_ms + REPORT_INTERVAL_MS)
		send_reports(sender, false);
}

void report_sender_send_all(struct report_sender *sender)
{
	send_reports(sender, true);
}
