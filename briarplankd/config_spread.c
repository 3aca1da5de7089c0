/*
 * Distributes the configuration between nodes: a relay pushes each new revision
 * to the nodes of its data centre, and a node that sees a higher revision in a
 * message fetches it.
 */
#include <string.h>

#include "config_private.h"
#include "briarplankd/members_task.h"
#include "common/hash.h"
#include "common/log.h"
#include "core/relays.h"

#define PART CONFIG_PART

/*
 * Time in which a relay may push a higher revision before this node fetches it,
 * and the jitter added to it, in ms.
 */
#define FETCH_DELAY_MS 50
#define FETCH_JITTER_MS 150
/* Timeout for the answer to a fetch, in ms. */
#define FETCH_RETRY_MS 400
/* Number of peers asked at once by a node without a configuration. */
#define INITIAL_FETCHES 3

static void send_fetch(struct config_task *task, const char *peer)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;
	Briarplank__ConfigFetch fetch = BRIARPLANK__CONFIG_FETCH__INIT;

	fetch.after_revision = config_store_revision(task->store);
	fetch.next_offset = config_store_next_offset(task->store);
	env.body_case = BRIARPLANK__ENVELOPE__BODY_CONFIG_FETCH;
	env.config_fetch = &fetch;
	bus_send(task->super.node->bus, peer, &env);
	task->fetches++;
	counter_add(task->fetches_total, 1);
}

static struct relay_self relay_self(struct node *node)
{
	struct relay_self self = {
		.name = node->settings->name,
		.role = node->settings->role == ROLE_AGENT ? MEMBER_AGENT :
							     MEMBER_ENTRY,
		.data_centre = node->settings->data_centre,
		.leaving = node->stopping,
	};

	return self;
}

/* Picks a relay of this data centre that has the revision, round robin. */
static const char *pick_relay(struct config_task *task)
{
	struct node *node = task->super.node;
	struct relay_self self = relay_self(node);
	const char *found[RELAYS_PER_DATA_CENTRE];
	unsigned nr = 0;
	struct list *pos;

	list_for_each (pos, members_all(node_members(node))) {
		struct member *member = list_entry(pos, struct member, link);

		if (strcmp(member->data_centre, self.data_centre) ||
		    member->config_revision < task->announced_revision ||
		    nr == RELAYS_PER_DATA_CENTRE)
			continue;
		if (relays_is_relay(node_members(node), &self, member))
			found[nr++] = member->name;
	}
	return nr ? found[task->fetches % nr] : NULL;
}

static void fetch_announced(struct config_task *task, uint64_t now_ms)
{
	const char *peer = task->fetches % 3 < 2 ? pick_relay(task) : NULL;

	if (config_store_revision(task->store) >= task->announced_revision) {
		task->fetch_at_ms = 0;
		return;
	}
	send_fetch(task, peer ? peer : task->announced_by);
	task->fetch_at_ms = now_ms + FETCH_RETRY_MS;
}

/* A node without a configuration asks a few peers, starting at a random one. */
static void fetch_initial(struct config_task *task, uint64_t now_ms)
{
	struct members *members = node_members(task->super.node);
	unsigned up = 0, at = 0, first;
	struct list *pos;

	list_for_each (pos, members_all(members))
		up += list_entry(pos, struct member, link)->state == MEMBER_UP;
	if (!up)
		return;
	first = g_random_int_range(0, (int)up);
	list_for_each (pos, members_all(members)) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->state != MEMBER_UP)
			continue;
		if ((at++ + up - first) % up >= INITIAL_FETCHES)
			continue;
		send_fetch(task, member->name);
	}
	task->fetch_at_ms = now_ms + FETCH_RETRY_MS;
}

void config_spread_tick(struct config_task *task, uint64_t now_ms)
{
	/* Pushes again to peers to which the first push found no connection. */
	if (now_ms < task->push_until_ms)
		config_spread_push(task);
	if (now_ms < task->fetch_at_ms)
		return;
	if (!config_store_next_offset(task->store))
		fetch_initial(task, now_ms);
	else if (task->announced_by)
		fetch_announced(task, now_ms);
}

void config_note_peer_revision(struct node *node, const char *peer,
			       uint64_t revision)
{
	struct config_task *task = config_task_of(node);
	struct member *member = members_find(node_members(node), peer);

	if (member)
		member->config_revision = revision;
	if (!task || revision <= config_store_revision(task->store) ||
	    revision < task->announced_revision)
		return;
	if (revision > task->announced_revision || !task->fetch_at_ms)
		task->fetch_at_ms =
			node_now_ms(node) + FETCH_DELAY_MS +
			hash_string(node->settings->name, revision) %
				FETCH_JITTER_MS;
	task->announced_revision = revision;
	g_free(task->announced_by);
	task->announced_by = g_strdup(peer);
}

static bool send_update(struct config_task *task, const char *peer,
			Briarplank__ConfigUpdate *update)
{
	Briarplank__Envelope env = BRIARPLANK__ENVELOPE__INIT;

	env.body_case = BRIARPLANK__ENVELOPE__BODY_CONFIG_UPDATE;
	env.config_update = update;
	return bus_send(task->super.node->bus, peer, &env) == BUS_OK;
}

static void on_fetch(void *ctx, const Briarplank__Envelope *env)
{
	struct config_task *task = ctx;
	Briarplank__ConfigUpdate *update;

	if (!task->synced)
		return;
	update = config_store_update(task->store,
				     env->config_fetch->next_offset);
	if (!update)
		return;
	send_update(task, env->sender, update);
	briarplank__config_update__free_unpacked(update, NULL);
}

static void on_update(void *ctx, const Briarplank__Envelope *env)
{
	struct config_task *task = ctx;
	uint64_t old = config_store_revision(task->store);

	if (config_store_apply_update(task->store, env->config_update))
		config_advanced(task, old);
}

static bool needs_push(const struct config_task *task,
		       const struct member *member)
{
	const struct daemon_settings *settings = task->super.node->settings;

	return member_usable(member) &&
	       !strcmp(member->data_centre, settings->data_centre) &&
	       MAX(member->config_revision, member->config_pushed) <
		       config_store_revision(task->store);
}

void config_spread_push(struct config_task *task)
{
	struct members *members = node_members(task->super.node);
	Briarplank__ConfigUpdate *update = NULL;
	struct list *pos;

	if (!task->relay)
		return;
	list_for_each (pos, members_all(members)) {
		struct member *member = list_entry(pos, struct member, link);
		uint64_t from = member->config_revision + 1;

		if (!needs_push(task, member))
			continue;
		if (update && update->from_offset != from) {
			briarplank__config_update__free_unpacked(update, NULL);
			update = NULL;
		}
		if (!update)
			update = config_store_update(task->store, from);
		if (send_update(task, member->name, update))
			member->config_pushed =
				config_store_revision(task->store);
	}
	if (update)
		briarplank__config_update__free_unpacked(update, NULL);
}

void config_spread_start(struct config_task *task)
{
	struct bus *bus = task->super.node->bus;

	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_CONFIG_FETCH, on_fetch,
			task);
	bus_set_handler(bus, BRIARPLANK__ENVELOPE__BODY_CONFIG_UPDATE,
			on_update, task);
}
