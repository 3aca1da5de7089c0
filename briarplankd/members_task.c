/*
 * Keeps track of the other nodes: pings them, hears their answers and reports,
 * and tells the other tasks of changes.
 */
#include <string.h>

#include "briarplankd/config_task.h"
#include "briarplankd/members_task.h"
#include "briarplankd/tasks.h"
#include "common/log.h"

#define PART "members"

/* Time between two pings of a member, in ms. */
#define PING_INTERVAL_MS 500
/* Silence after which a member gets no new work, in ms. */
#define SUSPECT_AFTER_MS 1500
/* Silence after which a member counts as lost, in ms. */
#define DOWN_AFTER_MS 3000
/* Share of silent members above which this node is the one cut off. */
#define PANIC_PERCENT 50

struct members_task {
	struct task super;
	struct members *members;
	uv_timer_t timer;
	uint64_t next_nonce;
	uint32_t *shards;
	uint64_t *epochs;
	uint32_t shards_nr;
};

static struct members_task *task_of(struct node *node)
{
	return (struct members_task *)node->members;
}

static const enum node_event_kind event_kinds[] = {
	[MEMBERS_CAME_UP] = NODE_PEER_UP,
	[MEMBERS_WENT_DOWN] = NODE_PEER_DOWN,
	[MEMBERS_LEAVES] = NODE_PEER_LEAVING,
};

static const char *const change_texts[] = {
	[MEMBERS_CAME_UP] = "is up",
	[MEMBERS_WENT_DOWN] = "is down",
	[MEMBERS_LEAVES] = "is leaving",
};

static void publish_changes(struct members_task *task)
{
	struct members_change change;

	while (members_next_change(task->members, &change)) {
		char *name = g_strdup(change.name);
		struct node_event event = {
			.kind = event_kinds[change.kind],
			.peer = name,
		};

		log_info(PART, "%s %s", name, change_texts[change.kind]);
		node_publish(task->super.node, &event);
		g_free(name);
	}
}

static void send_ping(struct members_task *task, const struct member *member)
{
	struct node *node = task->super.node;
	const struct daemon_settings *settings = node->settings;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Ping ping = BRIARPLANK__PING__INIT;
	Briarplank__NodeFacts facts = BRIARPLANK__NODE_FACTS__INIT;

	facts.role = settings->role;
	facts.address = (char *)bus_address(node->bus);
	facts.data_centre = settings->data_centre;
	facts.region = settings->region;
	facts.service = settings->service ? settings->service : "";
	ping.nonce = ++task->next_nonce;
	if (member->state != MEMBER_UP)
		ping.facts = &facts;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_PING;
	env.ping = &ping;
	bus_send(node->bus, member->name, &env);
}

static void on_timer(uv_timer_t *timer)
{
	struct members_task *task = timer->data;
	GPtrArray *pings = g_ptr_array_new();
	guint i;

	members_tick(task->members, node_now_ms(task->super.node), pings);
	for (i = 0; i < pings->len; i++)
		send_ping(task, pings->pdata[i]);
	g_ptr_array_free(pings, TRUE);
	publish_changes(task);
}

static void learn(struct members_task *task, const struct member_facts *facts)
{
	struct member *member = members_learn(task->members, facts);

	if (member && *member->address)
		bus_peer_set(task->super.node->bus, member->name,
			     member->address);
}

static void send_pong(struct members_task *task, const char *peer,
		      uint64_t nonce)
{
	struct node *node = task->super.node;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Pong pong = BRIARPLANK__PONG__INIT;

	pong.nonce = nonce;
	pong.leaving = node->stopping;
	pong.n_owned_shards = task->shards_nr;
	pong.owned_shards = task->shards;
	pong.n_owned_epochs = task->shards_nr;
	pong.owned_epochs = task->epochs;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_PONG;
	env.pong = &pong;
	bus_send(node->bus, peer, &env);
}

static void on_ping(void *ctx, const Briarplank__Envelope *env)
{
	struct members_task *task = ctx;
	const Briarplank__NodeFacts *facts = env->ping->facts;

	if (facts && !members_find(task->members, env->sender)) {
		struct member_facts known = {
			.name = env->sender,
			.role = facts->role ? MEMBER_AGENT : MEMBER_ENTRY,
			.address = facts->address,
			.data_centre = facts->data_centre,
			.region = facts->region,
			.service = facts->service,
		};

		learn(task, &known);
	}
	send_pong(task, env->sender, env->ping->nonce);
}

static void on_pong(void *ctx, const Briarplank__Envelope *env)
{
	struct members_task *task = ctx;
	const Briarplank__Pong *pong = env->pong;
	struct members_pong known = {
		.incarnation = env->incarnation,
		.leaving = pong->leaving,
		.shards = pong->owned_shards,
		.epochs = pong->owned_epochs,
		.shards_nr = MIN(pong->n_owned_shards, pong->n_owned_epochs),
	};

	members_ponged(task->members, env->sender, &known,
		       node_now_ms(task->super.node));
	publish_changes(task);
}

static void on_load_report(void *ctx, const Briarplank__Envelope *env)
{
	struct members_task *task = ctx;
	const Briarplank__LoadReport *report = env->load_report;
	struct member_load load = {
		.running_online = report->running_online,
		.running_batch = report->running_batch,
		.queued_online = report->queued_online,
		.concurrency_limit = report->concurrency_limit,
		.expected_wait_us = report->expected_wait_us,
		.sequence = report->sequence,
		.received_ms = node_now_ms(task->super.node),
		.ready = report->ready,
	};

	members_loaded(task->members, env->sender, &load);
	if (report->leaving)
		members_set_leaving(task->members, env->sender);
	publish_changes(task);
}

static void on_message(void *ctx, const Briarplank__Envelope *env)
{
	struct members_task *task = ctx;

	members_heard(task->members, env->sender, env->incarnation,
		      node_now_ms(task->super.node));
	config_heard(task->super.node, env->sender, env->config_revision);
	publish_changes(task);
}

static void learn_settings(struct members_task *task)
{
	const struct daemon_settings *settings = task->super.node->settings;
	const struct peer_settings *peers = settings->peers.items;
	size_t i;

	for (i = 0; i < settings->peers.nr; i++) {
		struct member_facts facts = {
			.name = peers[i].name,
			.role = peers[i].role == ROLE_AGENT ? MEMBER_AGENT :
							      MEMBER_ENTRY,
			.address = peers[i].address,
			.data_centre = peers[i].data_centre,
			.region = peers[i].region,
			.service = peers[i].service,
			.fixed = true,
		};

		learn(task, &facts);
	}
}

static bool members_start(struct task *base)
{
	struct members_task *task = (struct members_task *)base;
	struct node *node = base->node;
	struct members_options options = {
		.self = node->settings->name,
		.self_role = node->settings->role == ROLE_AGENT ? MEMBER_AGENT :
								  MEMBER_ENTRY,
		.data_centre = node->settings->data_centre,
		.region = node->settings->region,
		.ping_interval_ms = PING_INTERVAL_MS,
		.suspect_after_ms = SUSPECT_AFTER_MS,
		.down_after_ms = DOWN_AFTER_MS,
		.panic_percent = PANIC_PERCENT,
		.seed = node->incarnation,
	};

	node->members = base;
	task->members = members_create(&options);
	learn_settings(task);
	bus_observe(node->bus, on_message, task);
	bus_handle(node->bus, BRIARPLANK__ENVELOPE__BODY_PING, on_ping, task);
	bus_handle(node->bus, BRIARPLANK__ENVELOPE__BODY_PONG, on_pong, task);
	bus_handle(node->bus, BRIARPLANK__ENVELOPE__BODY_LOAD_REPORT,
		   on_load_report, task);
	uv_timer_init(&node->loop, &task->timer);
	task->timer.data = task;
	uv_timer_start(&task->timer, on_timer, 0, PING_INTERVAL_MS);
	return true;
}

/* Tells all members at once, so that no new work comes. */
static void members_stop(struct task *base)
{
	struct members_task *task = (struct members_task *)base;
	struct list *pos;

	list_for_each (pos, members_all(task->members)) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->state == MEMBER_UP)
			send_pong(task, member->name, 0);
	}
}

static void members_task_free(struct members_task *task)
{
	if (task->members)
		members_destroy(task->members);
	g_free(task->shards);
	g_free(task->epochs);
	g_free(task);
}

static void on_timer_closed(uv_handle_t *handle)
{
	members_task_free(handle->data);
}

static void members_task_destroy(struct task *base)
{
	struct members_task *task = (struct members_task *)base;

	if (task->members)
		uv_close((uv_handle_t *)&task->timer, on_timer_closed);
	else
		members_task_free(task);
}

static const struct task_ops members_ops = {
	.name = "members",
	.start = members_start,
	.stop = members_stop,
	.destroy = members_task_destroy,
};

struct task *members_task_create(void)
{
	struct members_task *task = g_new0(struct members_task, 1);

	task->super.ops = &members_ops;
	return &task->super;
}

struct members *node_members(struct node *node)
{
	return task_of(node)->members;
}

/* Looks for a shard among one owner's; keeps the highest epoch. */
static bool owns_newer(const uint32_t *shards, const uint64_t *epochs,
		       uint32_t nr, uint32_t shard, uint64_t *best)
{
	uint32_t i;

	for (i = 0; i < nr; i++) {
		if (shards[i] != shard || epochs[i] <= *best)
			continue;
		*best = epochs[i];
		return true;
	}
	return false;
}

const char *node_shard_owner(struct node *node, uint32_t shard)
{
	struct members_task *task = task_of(node);
	const char *owner = NULL;
	uint64_t best = 0;
	struct list *pos;

	if (owns_newer(task->shards, task->epochs, task->shards_nr, shard,
		       &best))
		owner = node->settings->name;
	list_for_each (pos, members_all(task->members)) {
		struct member *member = list_entry(pos, struct member, link);

		if (owns_newer(member->owned_shards, member->owned_epochs,
			       member->owned_nr, shard, &best))
			owner = member->name;
	}
	return owner;
}

void node_set_owned_shards(struct node *node, const uint32_t *shards,
			   const uint64_t *epochs, uint32_t nr)
{
	struct members_task *task = task_of(node);

	g_free(task->shards);
	g_free(task->epochs);
	task->shards = g_memdup2(shards, nr * sizeof(*shards));
	task->epochs = g_memdup2(epochs, nr * sizeof(*epochs));
	task->shards_nr = nr;
}
