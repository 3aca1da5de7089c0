#include <string.h>

#include "batch.h"
#include "batch_run.h"
#include "batch_save.h"
#include "common/log.h"
#include "peers.h"

/* Interval at which waiting items are offered to free slots, in ms. */
#define TICK_INTERVAL_MS 20
/* Interval of the scan for stalled runs and for jobs whose owner changed, in
 * ms. */
#define SCAN_INTERVAL_MS 250
/* Backoff of an item after a preemption, and after its server stalled, in
 * ms. */
#define PREEMPT_BACKOFF_MS 60
#define STALL_BACKOFF_MS 250
/* Time without data from a server after which a run counts as stalled, in ms.
 * Queueing and prefill take less. */
#define STALL_TIMEOUT_MS 3500
/* Interval at which progress is saved, in ms, and the number of new events that
 * a run needs to be saved. A node that dies loses about half an interval of
 * each run, and each save costs two store calls for all runs together. */
#define SAVE_INTERVAL_MS 1200
#define SAVE_EVENTS_MIN 12
/* Timeout of a stopping node's last save, in ms. */
#define HANDOVER_TIMEOUT_MS 2000

static uint64_t now_ms(const struct batch *batch)
{
	return uv_now(batch->gateway->loop);
}

/* Returns how many items this node may start now. The free slots are shared
 * among the entries in proportion to their waiting items, and late items get
 * the slots that the in-time items of all entries leave free. The result is
 * rounded up with a probability equal to its fraction, otherwise down. */
static int starts_allowed(struct batch *batch, const struct batch_query *query,
			  bool late)
{
	struct gateway *gateway = batch->gateway;
	struct batch_backlog all =
		peers_backlog(gateway->peers, query->other_region);
	double slots = fleet_batch_capacity(gateway->fleet, query);

	if (late)
		slots *= (double)batch->waiting.late / (all.in_time + all.late);
	else
		slots *= (double)batch->waiting.in_time / all.in_time;
	return slots <= 0 ? 0 : (int)(slots + g_random_double());
}

/* Tells whether an item can go on at some of the servers only, as several software
 * versions serve. */
static bool is_bound(const struct run *run, const struct batch_query *query)
{
	return run->software &&
	       !fleet_sole_software(run->batch->gateway->fleet, query->service,
				    query->now_ms);
}

/* Starts items by due time, on servers of this region or, with other_region, of
 * the other regions. */
static void start_waiting(struct batch *batch, bool other_region, bool late)
{
	struct gateway *gateway = batch->gateway;
	struct batch_query query = { .now_ms = now_ms(batch),
				     .other_region = other_region };
	int starts = 0;
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);
		struct server *server;
		const char *wanted;

		if (run->late != late || !run_prepare(run, query.now_ms))
			continue;
		wanted = run_service(run);
		if (!wanted)
			continue;
		if (!query.service || strcmp(query.service, wanted) != 0) {
			query.service = wanted;
			starts = starts_allowed(batch, &query, late);
		}
		query.random = gateway_random();
		if (starts <= 0 || run_lost_software(run, wanted))
			continue;
		query.software = run->software;
		server = fleet_choose_batch(gateway->fleet, &query);
		query.software = 0;
		if (!server) {
			/* Servers of other versions may be free for others. */
			if (is_bound(run, &query))
				run_found_no_server(run, query.now_ms);
			else
				starts = 0;
			continue;
		}
		starts--;
		run_start_at(run, server);
	}
}

/* Preempts up to nr items on a server, those with the latest due time first;
 * returns how many were preempted. */
static unsigned preempt_runs(struct batch *batch, const struct server *server,
			     unsigned nr, bool late)
{
	unsigned preempted = 0;
	struct list *pos, *prev;

	for (pos = batch->runs.prev; preempted < nr && pos != &batch->runs;
	     pos = prev) {
		struct run *run = list_entry(pos, struct run, link);

		prev = pos->prev;
		if (run->state != RUN_RUNNING || run->server != server ||
		    run->late != late)
			continue;
		counter_add(batch->preempted, 1);
		run_interrupt(run, "an online request needs the slot",
			      PREEMPT_BACKOFF_MS);
		preempted++;
	}
	return preempted;
}

static void preempt_on(struct batch *batch, const struct server *server)
{
	unsigned nr = fleet_excess_batch(batch->gateway->fleet, server,
					 batch->gateway->identity_hash);

	nr -= preempt_runs(batch, server, nr, true);
	preempt_runs(batch, server, nr, false);
}

/* This node's items for one service, ordered by due time. */
struct plan_group {
	GArray *items;
	/* Elements are struct run *, in the order of items. */
	GPtrArray *runs;
};

static void plan_group_free(gpointer data)
{
	struct plan_group *group = data;

	g_array_free(group->items, TRUE);
	g_ptr_array_free(group->runs, TRUE);
	g_free(group);
}

static struct plan_group *plan_group_get(GHashTable *groups,
					 const char *service)
{
	struct plan_group *group = g_hash_table_lookup(groups, service);

	if (group)
		return group;
	group = g_new0(struct plan_group, 1);
	group->items =
		g_array_new(FALSE, FALSE, sizeof(struct batch_plan_item));
	group->runs = g_ptr_array_new();
	g_hash_table_insert(groups, (char *)service, group);
	return group;
}

static void plan_add(struct batch *batch, GHashTable *groups, struct run *run)
{
	const struct item_length *length = batch_length(batch, run->job);
	const char *service = run_service(run);
	uint64_t done = (uint64_t)(MAX(run->last_event, run->saved_event) + 1);
	struct batch_plan_item item = {
		.due_ms = run->job->due_ms,
		.done_ms = (double)done * length->event_ms,
		.left_ms = item_length_left_ms(length, done),
	};
	struct plan_group *group;

	/* Items that need no slot are left out: one without a route is
	 * dead-lettered later, one in RUN_ENDING needs no further run, and one in
	 * RUN_HELD may not run. */
	if (!service || run->state == RUN_ENDING || run->state == RUN_HELD)
		return;
	group = plan_group_get(groups, service);
	g_array_append_val(group->items, item);
	g_ptr_array_add(group->runs, run);
}

static void plan_group_apply(const struct plan_group *group, double slots)
{
	const struct batch_plan_item *items =
		(const struct batch_plan_item *)group->items->data;
	guint i;

	for (i = 0; i < group->runs->len; i++) {
		struct run *run = g_ptr_array_index(group->runs, i);

		if (run->late == items[i].late)
			continue;
		log_event("item", LOG_LEVEL_INFO,
			  "job=%s item=%s planned %s due_in_ms=%" PRId64
			  " left_ms=%.0f items=%u slots=%.1f",
			  run->job->id, run->item->id,
			  items[i].late ? "late" : "in time",
			  (int64_t)(items[i].due_ms - gateway_wall_ms()),
			  items[i].left_ms, group->items->len, slots);
		run_set_late(run, items[i].late);
	}
}

/* Decides which of this node's items can't meet their due time. They are marked
 * as late and start after those that are in time. */
static void plan_items(struct batch *batch)
{
	struct gateway *gateway = batch->gateway;
	GHashTable *groups = g_hash_table_new_full(g_str_hash, g_str_equal,
						   NULL, plan_group_free);
	size_t open = job_log_open_items(job_store_log(gateway->job_store));
	GHashTableIter iter;
	gpointer service, value;
	struct list *pos;

	list_for_each (pos, &batch->runs)
		plan_add(batch, groups, list_entry(pos, struct run, link));
	g_hash_table_iter_init(&iter, groups);
	while (g_hash_table_iter_next(&iter, &service, &value)) {
		struct plan_group *group = value;
		/* This node's share of the open items of all entries. */
		double share = (double)group->items->len /
			       (double)MAX(open, group->items->len);
		double slots =
			share * fleet_batch_slots(gateway->fleet, service,
						  now_ms(batch));

		batch_plan((struct batch_plan_item *)group->items->data,
			   group->items->len, slots, gateway_wall_ms());
		plan_group_apply(group, slots);
	}
	g_hash_table_destroy(groups);
}

void batch_load_changed(struct batch *batch)
{
	struct list *pos;

	/* A preemption changes the load and calls this again. */
	if (batch->preempting || list_empty(&batch->runs))
		return;
	batch->preempting = true;
	list_for_each (pos, fleet_servers(batch->gateway->fleet)) {
		struct server *server = list_entry(pos, struct server, link);

		if (server->own[WORK_BATCH])
			preempt_on(batch, server);
	}
	batch->preempting = false;
}

static void end_stalled(struct batch *batch)
{
	uint64_t now = now_ms(batch);
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state == RUN_RUNNING &&
		    now - run->last_receive_ms > STALL_TIMEOUT_MS)
			run_interrupt(run, "the server stalled",
				      STALL_BACKOFF_MS);
	}
}

void batch_handed_over(struct batch *batch, const char *reason)
{
	struct list *pos, *tmp;

	if (batch->gateway->handed_over)
		return;
	log_event("stop", LOG_LEVEL_INFO, "batch items handed over: %s",
		  reason);
	batch->gateway->handed_over = true;
	uv_timer_stop(&batch->timer);
	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state != RUN_ENDING)
			run_free(run);
	}
	peers_hand_over(batch->gateway->peers);
}

/* Releases the items of jobs that this node no longer owns and queues those of
 * jobs that it owns, including after a takeover. */
static void scan_jobs(struct batch *batch)
{
	struct gateway *gateway = batch->gateway;
	struct list *pos, *tmp;
	size_t i;

	/* A job that was taken over may have another owner by now. */
	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state != RUN_ENDING &&
		    !peers_owns_job(gateway->peers, run->job))
			run_release(run, "another node owns the job");
	}

	list_for_each (pos, job_log_jobs(job_store_log(gateway->job_store))) {
		struct job *job = list_entry(pos, struct job, link);

		if (!job->open_nr || job->ended ||
		    !peers_owns_job(gateway->peers, job))
			continue;
		for (i = 0; i < job->items_nr; i++) {
			if (job->items[i].state == JOB_ITEM_OPEN &&
			    !job->items[i].run)
				run_create(batch, job, &job->items[i]);
		}
	}
}

static void check_held(struct batch *batch, uint64_t now)
{
	struct list *pos;

	list_for_each (pos, &batch->runs)
		run_check_held(list_entry(pos, struct run, link), now);
}

static void on_tick(uv_timer_t *timer)
{
	struct batch *batch = timer->data;
	uint64_t now = now_ms(batch);

	if (batch->gateway->stopping ||
	    !job_store_loaded(batch->gateway->job_store))
		return;
	if (!batch->save && now - batch->saved_ms >= SAVE_INTERVAL_MS)
		batch_save_runs(batch, SAVE_EVENTS_MIN);
	if (batch->waiting.in_time) {
		start_waiting(batch, false, false);
		start_waiting(batch, true, false);
	}
	if (batch->waiting.late) {
		start_waiting(batch, false, true);
		start_waiting(batch, true, true);
	}
	if (now - batch->scanned_ms >= SCAN_INTERVAL_MS) {
		batch->scanned_ms = now;
		end_stalled(batch);
		check_held(batch, now);
		scan_jobs(batch);
		plan_items(batch);
	}
}

void batch_add_job(struct batch *batch, struct job *job, GPtrArray *items)
{
	size_t i;

	if (batch->gateway->stopping)
		return;
	for (i = 0; i < job->items_nr && i < items->len; i++) {
		struct run *run;

		if (job->items[i].state != JOB_ITEM_OPEN || job->items[i].run)
			continue;
		run = run_create(batch, job, &job->items[i]);
		run->payload = g_byte_array_ref(g_ptr_array_index(items, i));
	}
}

void batch_item_ended(struct batch *batch, struct job_item *item)
{
	(void)batch;
	if (item->run)
		run_free(item->run);
}

void batch_job_ended(struct batch *batch, struct job *job)
{
	size_t i;

	for (i = 0; i < job->items_nr; i++)
		batch_item_ended(batch, &job->items[i]);
}

struct batch_backlog batch_backlog(const struct batch *batch)
{
	return batch->waiting;
}

static void on_handover_timeout(uv_timer_t *timer)
{
	batch_handed_over(timer->data, "saving the progress timed out");
}

void batch_stop(struct batch *batch)
{
	struct list *pos, *tmp;

	list_for_each_safe (pos, tmp, &batch->runs) {
		struct run *run = list_entry(pos, struct run, link);

		if (run->state == RUN_RUNNING)
			run_interrupt(run, "the node is stopping", 0);
	}
	uv_timer_start(&batch->timer, on_handover_timeout, HANDOVER_TIMEOUT_MS,
		       0);
	/* If no run has new progress, a save that is already in flight is the
	 * last one. */
	if (!batch_save_runs(batch, 1) && !batch->save)
		batch_handed_over(batch, "nothing to save");
}

struct batch *batch_create(struct gateway *gateway)
{
	struct batch *batch = g_new0(struct batch, 1);
	struct metrics *metrics = gateway->metrics;

	batch->gateway = gateway;
	list_init(&batch->runs);
	batch->lengths =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
	batch->started =
		metrics_counter(metrics, "briarplank_item_runs_total", "");
	batch->preempted =
		metrics_counter(metrics, "briarplank_item_yields_total", "");
	batch->done = metrics_counter(metrics, "briarplank_items_total",
				      "end=\"done\"");
	batch->failed = metrics_counter(metrics, "briarplank_items_total",
					"end=\"dead\"");
	uv_timer_init(gateway->loop, &batch->timer);
	batch->timer.data = batch;
	uv_timer_start(&batch->timer, on_tick, TICK_INTERVAL_MS,
		       TICK_INTERVAL_MS);
	return batch;
}

static void on_closed(uv_handle_t *handle)
{
	g_free(handle->data);
}

/* Also frees a save in flight: the store's client is destroyed right after, so
 * the callback that would free the save doesn't come. */
void batch_destroy(struct batch *batch)
{
	struct list *pos, *tmp;

	batch_save_free(batch->save);
	list_for_each_safe (pos, tmp, &batch->runs)
		run_free(list_entry(pos, struct run, link));
	g_hash_table_destroy(batch->lengths);
	uv_close((uv_handle_t *)&batch->timer, on_closed);
}
