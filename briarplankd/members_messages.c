/*
 * Sends and handles the messages that nodes track each other with: pings, pongs
 * and load reports.
 */
#include <string.h>

#include "briarplankd/config_task.h"
#include "members_private.h"

/*
 * Maximum round trip, in us. Longer ones are ignored, as they come from a bad
 * nonce.
 */
#define ROUND_TRIP_MAX_US 60000000
/* Time for which pongs announce a changed shard owner, in ms. */
#define OWNER_RECENT_MS 3000
/* Minimum time between two full maps of shard owners, in ms. */
#define FULL_MAP_INTERVAL_MS 2000

/* Nodes of other regions may have to connect through a network gateway. */
static char *address_for(const struct node *node, const struct member *member)
{
	const struct daemon_settings *settings = node->settings;

	if (settings->bus_advertised &&
	    strcmp(member->region, settings->region) != 0)
		return settings->bus_advertised;
	return (char *)bus_address(node->bus);
}

/* Adds lost members to a ping; both arrays hold MEMBERS_LOSSES_MAX elements. */
static void fill_losses(struct members_task *task, Briarplank__Ping *ping,
			Briarplank__Loss *rows, Briarplank__Loss **losses)
{
	const struct member *lost[MEMBERS_LOSSES_MAX];
	unsigned i, nr = members_pick_losses(task->members, lost);

	for (i = 0; i < nr; i++) {
		briarplank__loss__init(&rows[i]);
		rows[i].name = lost[i]->name;
		rows[i].incarnation = lost[i]->incarnation;
		losses[i] = &rows[i];
	}
	ping->losses = losses;
	ping->n_losses = nr;
}

void members_send_ping(struct members_task *task, struct member *member)
{
	struct node *node = task->super.node;
	const struct daemon_settings *settings = node->settings;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Ping ping = BRIARPLANK__PING__INIT;
	Briarplank__NodeFacts facts = BRIARPLANK__NODE_FACTS__INIT;
	Briarplank__Loss rows[MEMBERS_LOSSES_MAX];
	Briarplank__Loss *losses[MEMBERS_LOSSES_MAX];

	facts.role = settings->role;
	facts.address = address_for(node, member);
	facts.data_centre = settings->data_centre;
	facts.region = settings->region;
	facts.service = settings->service ? settings->service : "";
	ping.nonce = node_now_us();
	ping.shard_digest = shard_map_digest(task->shard_map);
	if (member->state != MEMBER_UP)
		ping.facts = &facts;
	env.body_case = BRIARPLANK__ENVELOPE__BODY_PING;
	env.ping = &ping;
	fill_losses(task, &ping, rows, losses);
	if (bus_send(node->bus, member->name, &env) != BUS_OK)
		members_note_unsent_ping(task->members, member);
}

/*
 * While owners change, most nodes' maps differ for a few seconds. The full map
 * is therefore sent to nodes without any owners, and otherwise at most once per
 * interval, for updates that were missed.
 */
static bool needs_full_map(struct members_task *task,
			   const Briarplank__Ping *ping)
{
	uint64_t now_ms = node_now_ms(task->super.node);

	if (!ping->shard_digest)
		return true;
	if (now_ms < task->next_full_map_ms)
		return false;
	task->next_full_map_ms = now_ms + FULL_MAP_INTERVAL_MS;
	return true;
}

/*
 * Adds the known owners to a pong, all or just the recent ones. The caller
 * frees the array and its first element, which holds all rows.
 */
static void fill_shard_map(const struct members_task *task, bool full,
			   Briarplank__Pong *pong)
{
	uint32_t i, nr = shard_map_size(task->shard_map);
	Briarplank__ShardOwner *rows = g_new0(Briarplank__ShardOwner, nr);

	pong->shard_map = g_new0(Briarplank__ShardOwner *, nr + 1);
	pong->shard_map[0] = rows;
	for (i = 0; i < nr; i++) {
		Briarplank__ShardOwner *row = &rows[pong->n_shard_map];
		struct shard_owner owner;

		shard_map_find(task->shard_map, i, &owner);
		if (!owner.owner ||
		    (!full && !shard_map_changed_within(task->shard_map, i,
							OWNER_RECENT_MS)))
			continue;
		briarplank__shard_owner__init(row);
		row->shard = i;
		row->epoch = owner.epoch;
		row->owner = (char *)owner.owner;
		row->released = owner.released;
		row->incarnation = owner.incarnation;
		row->version = owner.version;
		pong->shard_map[pong->n_shard_map++] = row;
	}
}

void members_send_pong(struct members_task *task, const char *peer,
		       const Briarplank__Ping *ping)
{
	struct node *node = task->super.node;
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__Pong pong = BRIARPLANK__PONG__INIT;

	pong.nonce = ping ? ping->nonce : 0;
	pong.leaving = node->stopping;
	pong.n_owned_shards = task->shards_nr;
	pong.owned_shards = task->shards;
	pong.n_owned_epochs = task->shards_nr;
	pong.owned_epochs = task->epochs;
	pong.owned_version = task->shards_version;
	if (ping && ping->shard_digest != shard_map_digest(task->shard_map))
		fill_shard_map(task, needs_full_map(task, ping), &pong);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_PONG;
	env.pong = &pong;
	bus_send(node->bus, peer, &env);
	if (pong.shard_map)
		g_free(pong.shard_map[0]);
	g_free(pong.shard_map);
}

static void on_ping(void *ctx, const Briarplank__Envelope *env)
{
	struct members_task *task = ctx;
	const Briarplank__NodeFacts *facts = env->ping->facts;
	size_t i;

	for (i = 0; i < env->ping->n_losses; i++)
		members_note_reported_loss(task->members,
					   env->ping->losses[i]->name,
					   env->ping->losses[i]->incarnation,
					   node_now_ms(task->super.node));
	if (facts) {
		struct member_info known = {
			.name = env->sender,
			.role = facts->role ? MEMBER_AGENT : MEMBER_ENTRY,
			.address = facts->address,
			.data_centre = facts->data_centre,
			.region = facts->region,
			.service = facts->service,
		};

		members_connect(task,
				members_update_introduced(task->members, &known,
							  env->incarnation));
		members_note_message(task->members, env->sender,
				     env->incarnation,
				     node_now_ms(task->super.node));
		members_publish_changes(task);
	}
	members_send_pong(task, env->sender, env->ping);
}

static void merge_shard_map(struct members_task *task,
			    const Briarplank__Envelope *env)
{
	const Briarplank__Pong *pong = env->pong;
	struct shard_statement statement = {
		.owner = env->sender,
		.incarnation = env->incarnation,
		.version = pong->owned_version,
		.shards = pong->owned_shards,
		.epochs = pong->owned_epochs,
		.nr = MIN(pong->n_owned_shards, pong->n_owned_epochs),
	};
	size_t i;

	shard_map_apply_statement(task->shard_map, &statement);
	for (i = 0; i < pong->n_shard_map; i++) {
		const Briarplank__ShardOwner *row = pong->shard_map[i];
		struct shard_owner owner = {
			.shard = row->shard,
			.epoch = row->epoch,
			.owner = row->owner,
			.released = row->released,
			.incarnation = row->incarnation,
			.version = row->version,
		};

		shard_map_update(task->shard_map, &owner);
	}
}

static uint32_t round_trip_us(const Briarplank__Pong *pong)
{
	uint64_t now_us = node_now_us();

	if (!pong->nonce || pong->nonce > now_us ||
	    now_us - pong->nonce > ROUND_TRIP_MAX_US)
		return 0;
	return (uint32_t)(now_us - pong->nonce);
}

static void on_pong(void *ctx, const Briarplank__Envelope *env)
{
	struct members_task *task = ctx;
	const Briarplank__Pong *pong = env->pong;
	struct members_pong known = {
		.incarnation = env->incarnation,
		.round_trip_us = round_trip_us(pong),
		.leaving = pong->leaving,
		.shards = pong->owned_shards,
		.epochs = pong->owned_epochs,
		.shards_nr = MIN(pong->n_owned_shards, pong->n_owned_epochs),
	};

	merge_shard_map(task, env);
	members_note_pong(task->members, env->sender, &known,
			  node_now_ms(task->super.node));
	members_publish_changes(task);
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

	members_update_load(task->members, env->sender, &load);
	if (report->leaving)
		members_set_leaving(task->members, env->sender);
	members_publish_changes(task);
}

static void on_any_message(void *ctx, const Briarplank__Envelope *env)
{
	struct members_task *task = ctx;

	members_note_message(task->members, env->sender, env->incarnation,
			     node_now_ms(task->super.node));
	config_note_peer_revision(task->super.node, env->sender,
				  env->config_revision);
	members_publish_changes(task);
}

void members_messages_start(struct members_task *task)
{
	struct bus *bus = task->super.node->bus;

	bus_set_observer(bus, on_any_message, task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_PING, on_ping, task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_PONG, on_pong, task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_LOAD_REPORT,
			on_load_report, task);
}
