/*
 * Tracks the other nodes: reads the VM list, pings members, detects failures by
 * timeout and notifies the other tasks of changes.
 */
#include <string.h>

#include "briarplankd/tasks.h"
#include "common/log.h"
#include "members_private.h"

#define PART MEMBERS_PART

/* Interval of the task's timer, in ms. */
#define TICK_INTERVAL_MS 500
/* Interval of pings to a watched member, in small and large fleets, in ms. */
#define PING_INTERVAL_MS 500
#define PING_INTERVAL_LARGE_MS 1000
/* Time without a message after which a member gets no new work, in ms. */
#define SUSPECT_AFTER_MS 1500
/* Time without a message after which a member is down, in ms. */
#define DOWN_AFTER_MS 3000
/*
 * Percentage of silent members above which this node assumes that it is itself
 * partitioned, and the maximum time for which it assumes so, in ms.
 */
#define PANIC_PERCENT 50
#define PANIC_LIMIT_MS 15000
#define FORGET_AFTER_MS 120000
#define WATCH_ALL_MAX 48
#define WATCH_NEAR 16
#define WATCH_FAR 8
#define SAMPLE_SIZE 2
/*
 * Time for which pings announce a lost member, in ms, and the maximum number of
 * lost members in one ping.
 */
#define TELL_LOSSES_MS 10000
#define TELL_LOSSES_MAX 4
/* Time from a ping until an unwatched member may be disconnected, in ms. */
#define DISCONNECT_AFTER_MS 3000
/* Bounds of the interval between two reads of the VM list, in ms. */
#define LIST_RETRY_MS 500
#define LIST_INTERVAL_MIN_MS 2000
#define LIST_INTERVAL_MAX_MS 60000
/* Increase of that interval for each VM in the list, in ms. */
#define LIST_INTERVAL_STEP_MS 60

struct members_task *members_task_of(struct node *node)
{
	return (struct members_task *)node->members;
}

struct members *node_members(struct node *node)
{
	return members_task_of(node)->members;
}

static const enum node_event_kind event_kinds[] = {
	[MEMBERS_CAME_UP] = NODE_PEER_UP,
	[MEMBERS_WENT_DOWN] = NODE_PEER_DOWN,
	[MEMBERS_LEAVING] = NODE_PEER_LEAVING,
	[MEMBERS_REMOVED] = NODE_PEER_DOWN,
};

static const char *const change_texts[] = {
	[MEMBERS_CAME_UP] = "is up",
	[MEMBERS_WENT_DOWN] = "is down",
	[MEMBERS_LEAVING] = "is leaving",
	[MEMBERS_REMOVED] = "was removed",
};

static void publish_change(struct members_task *task,
			   const struct members_change *change)
{
	struct node *node = task->super.node;
	char *name = g_strdup(change->name);
	struct node_event event = {
		.kind = event_kinds[change->kind],
		.peer = name,
	};

	log_info(PART, "%s %s", name, change_texts[change->kind]);
	if (change->kind == MEMBERS_REMOVED)
		bus_peer_remove(node->bus, name);
	else
		node_notify_tasks(node, &event);
	g_free(name);
}

void members_publish_changes(struct members_task *task)
{
	struct members_change change;

	while (members_next_change(task->members, &change)) {
		publish_change(task, &change);
		counter_set(task->up_entries,
			    members_up_nr(task->members, MEMBER_ENTRY));
		counter_set(task->up_agents,
			    members_up_nr(task->members, MEMBER_AGENT));
	}
}

void members_connect(struct members_task *task, const struct member *member)
{
	if (member && *member->address)
		bus_peer_set(task->super.node->bus, member->name,
			     member->address);
}

static void on_vm_list(void *ctx, bool ok, const struct vm_entry *vms,
		       size_t nr)
{
	struct members_task *task = ctx;
	uint64_t now_ms = node_now_ms(task->super.node);
	uint64_t wait_ms = LIST_INTERVAL_MIN_MS + nr * LIST_INTERVAL_STEP_MS;
	size_t i;

	task->fetching = false;
	if (task->list_reachable && !ok)
		log_warn(PART, "the VM list can't be read");
	task->list_reachable = ok;
	if (!ok || nr <= 1)
		wait_ms = LIST_RETRY_MS;
	task->fetch_at_ms = now_ms + MIN(wait_ms, LIST_INTERVAL_MAX_MS);
	for (i = 0; ok && i < nr; i++) {
		struct member_info facts = {
			.name = vms[i].name,
			.role = vms[i].role == VM_AGENT ? MEMBER_AGENT :
							  MEMBER_ENTRY,
			.address = vms[i].address,
			.data_centre = vms[i].data_centre,
			.region = vms[i].region,
			.service = vms[i].service,
			.leaving = vms[i].state == VM_LEAVING,
		};

		members_connect(task, members_update_listed(task->members,
							    &facts, now_ms));
	}
	members_publish_changes(task);
}

static void fetch_list(struct members_task *task, uint64_t now_ms)
{
	if (!task->vm_list || task->fetching || now_ms < task->fetch_at_ms)
		return;
	task->fetching = true;
	task->vm_list->ops->fetch(task->vm_list, on_vm_list, task);
}

/* Closes connections that were opened for single pings of unwatched members. */
static void disconnect_unwatched(struct members_task *task, uint64_t now_ms)
{
	struct list *pos;

	list_for_each (pos, members_all(task->members)) {
		struct member *member = list_entry(pos, struct member, link);

		if (!member->watched && member->state != MEMBER_SUSPECT &&
		    now_ms - member->pinged_ms >= DISCONNECT_AFTER_MS)
			bus_peer_close_idle(task->super.node->bus,
					    member->name);
	}
}

static void on_timer(uv_timer_t *timer)
{
	struct members_task *task = timer->data;
	uint64_t now_ms = node_now_ms(task->super.node);
	GPtrArray *pings = g_ptr_array_new();
	guint i;

	shard_map_set_time(task->shard_map, now_ms);
	fetch_list(task, now_ms);
	members_watch_owners(task, now_ms);
	members_tick(task->members, now_ms, pings);
	for (i = 0; i < pings->len; i++)
		members_send_ping(task, pings->pdata[i]);
	g_ptr_array_free(pings, TRUE);
	disconnect_unwatched(task, now_ms);
	members_publish_changes(task);
	counter_set(task->bytes_sent, bus_bytes_sent(task->super.node->bus));
	counter_set(task->bytes_received,
		    bus_bytes_received(task->super.node->bus));
}

static void add_configured_peers(struct members_task *task)
{
	const struct daemon_settings *settings = task->super.node->settings;
	const struct peer_settings *peers = settings->peers.items;
	size_t i;

	for (i = 0; i < settings->peers.nr; i++) {
		struct member_info facts = {
			.name = peers[i].name,
			.role = peers[i].role == ROLE_AGENT ? MEMBER_AGENT :
							      MEMBER_ENTRY,
			.address = peers[i].address,
			.data_centre = peers[i].data_centre,
			.region = peers[i].region,
			.service = peers[i].service,
			.configured = true,
		};

		members_connect(task,
				members_add_configured(task->members, &facts));
	}
}

static void make_members(struct members_task *task)
{
	const struct daemon_settings *settings = task->super.node->settings;
	struct members_options options = {
		.self = settings->name,
		.self_role = settings->role == ROLE_AGENT ? MEMBER_AGENT :
							    MEMBER_ENTRY,
		.data_centre = settings->data_centre,
		.region = settings->region,
		.ping_interval_ms = PING_INTERVAL_MS,
		.ping_interval_large_ms = PING_INTERVAL_LARGE_MS,
		.suspect_after_ms = SUSPECT_AFTER_MS,
		.down_after_ms = DOWN_AFTER_MS,
		.isolation_percent = PANIC_PERCENT,
		.isolation_limit_ms = PANIC_LIMIT_MS,
		.remove_after_ms = FORGET_AFTER_MS,
		.watch_all_max = WATCH_ALL_MAX,
		.watch_near = WATCH_NEAR,
		.watch_far = WATCH_FAR,
		.round_robin_pings = SAMPLE_SIZE,
		.report_losses_ms = TELL_LOSSES_MS,
		.report_losses_max = TELL_LOSSES_MAX,
	};

	task->members = members_create(&options);
	task->shard_map = shard_map_create((uint32_t)settings->ledger_shards);
}

static bool members_start(struct task *base)
{
	struct members_task *task = (struct members_task *)base;
	struct node *node = base->node;

	node->members = base;
	make_members(task);
	task->up_entries = metrics_gauge(node->metrics, "briarplank_members_up",
					 "role=\"entry\"");
	task->up_agents = metrics_gauge(node->metrics, "briarplank_members_up",
					"role=\"agent\"");
	task->bytes_sent =
		metrics_gauge(node->metrics, "briarplank_bus_sent_bytes", "");
	task->bytes_received = metrics_gauge(
		node->metrics, "briarplank_bus_received_bytes", "");
	if (node->settings->vm_list)
		task->vm_list = vm_list_http_create(node->http,
						    node->settings->vm_list);
	add_configured_peers(task);
	members_messages_start(task);
	uv_timer_init(&node->loop, &task->timer);
	task->timer.data = task;
	uv_timer_start(&task->timer, on_timer, 0, TICK_INTERVAL_MS);
	return true;
}

/* Tells all members immediately that this node is leaving and takes no work. */
static void members_stop(struct task *base)
{
	struct members_task *task = (struct members_task *)base;
	struct list *pos;

	list_for_each (pos, members_all(task->members)) {
		struct member *member = list_entry(pos, struct member, link);

		if (member->state == MEMBER_UP)
			members_send_pong(task, member->name, NULL);
	}
}

static void members_task_free(struct members_task *task)
{
	if (task->members)
		members_destroy(task->members);
	if (task->shard_map)
		shard_map_destroy(task->shard_map);
	if (task->vm_list)
		task->vm_list->ops->destroy(task->vm_list);
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

const char *node_shard_owner(struct node *node, uint32_t shard)
{
	struct members_task *task = members_task_of(node);
	struct shard_owner owner;

	if (!shard_map_find(task->shard_map, shard, &owner) || owner.released ||
	    !owner.owner || !*owner.owner)
		return NULL;
	return owner.owner;
}

uint64_t node_shard_digest(struct node *node)
{
	return shard_map_digest(members_task_of(node)->shard_map);
}

void node_note_shard_owner(struct node *node, uint32_t shard, uint64_t epoch,
			   const char *name)
{
	struct shard_owner owner = {
		.shard = shard,
		.epoch = epoch,
		.owner = name,
	};

	shard_map_update(members_task_of(node)->shard_map, &owner);
}

void node_set_owned_shards(struct node *node, const uint32_t *shards,
			   const uint64_t *epochs, uint32_t nr)
{
	struct members_task *task = members_task_of(node);
	struct shard_statement statement = {
		.owner = node->settings->name,
		.incarnation = node->incarnation,
		.nr = nr,
	};

	g_free(task->shards);
	g_free(task->epochs);
	task->shards = g_memdup2(shards, nr * sizeof(*shards));
	task->epochs = g_memdup2(epochs, nr * sizeof(*epochs));
	task->shards_nr = nr;
	statement.version = ++task->shards_version;
	statement.shards = task->shards;
	statement.epochs = task->epochs;
	shard_map_apply_statement(task->shard_map, &statement);
}

const uint32_t *node_owned_shards(struct node *node, uint32_t *nr)
{
	struct members_task *task = members_task_of(node);

	*nr = task->shards_nr;
	return task->shards;
}
