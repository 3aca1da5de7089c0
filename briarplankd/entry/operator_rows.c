/*
 * The rows that an entry knows itself: its online requests and refusals, and
 * the jobs of the shards that it owns.
 */
#include <string.h>

#include "briarplankd/entry/ledger_task.h"
#include "briarplankd/online.h"
#include "briarplankd/rows.h"
#include "common/hash.h"
#include "operator.h"

#define US_PER_MS 1000

static void add_text(struct json_object *row, const char *name,
		     const char *value)
{
	json_object_object_add(row, name,
			       json_object_new_string(value ? value : ""));
}

static void add_number(struct json_object *row, const char *name,
		       uint64_t value)
{
	json_object_object_add(row, name, json_object_new_uint64(value));
}

static void add_time(struct json_object *row, const char *name, uint64_t ms)
{
	GDateTime *time = g_date_time_new_from_unix_utc((gint64)(ms / 1000));
	char *text = ms && time ? g_date_time_format_iso8601(time) : NULL;

	add_text(row, name, text);
	g_free(text);
	if (time)
		g_date_time_unref(time);
}

static void add_request(void *ctx, const struct online_request *request)
{
	struct json_object *row = json_object_new_object();

	add_text(row, "id", request->id);
	add_text(row, "caller", request->caller);
	add_text(row, "service", request->service);
	add_text(row, "state", outcome_state_text(request->outcome.state));
	add_text(row, "server", request->agent);
	add_number(row, "attempt", request->outcome.attempt);
	add_number(row, "age_ms",
		   (node_now_us() - request->arrived_us) / US_PER_MS);
	json_object_array_add(ctx, row);
}

static void request_rows(void *ctx, struct json_object *rows)
{
	online_view_requests(ctx, add_request, rows);
}

static void add_refusal(void *ctx, const struct online_refusal *refusal)
{
	struct json_object *row = json_object_new_object();

	add_time(row, "time", refusal->wall_ms);
	add_text(row, "id", refusal->id);
	add_text(row, "caller", refusal->caller);
	add_text(row, "service", refusal->service);
	add_number(row, "http_status", refusal->status);
	add_text(row, "outcome", outcome_statement_text(refusal->statement));
	add_text(row, "reason", refusal->reason);
	json_object_array_add(ctx, row);
}

static void refusal_rows(void *ctx, struct json_object *rows)
{
	online_view_refusals(ctx, add_refusal, rows);
}

static const char *job_state(const Briarplank__JobState *state)
{
	if (state->waiting || state->running)
		return state->cancel_accepted ? "cancelling" : "open";
	return state->cancel_accepted ? "cancelled" : "ended";
}

struct json_object *operator_job_row(const Briarplank__JobState *state)
{
	struct json_object *row = json_object_new_object();
	char id[2 * HASH128_BYTES + 1];

	hash_to_hex(state->job_id.data, HASH128_BYTES, id);
	add_text(row, "id", id);
	add_text(row, "name", state->name);
	add_text(row, "caller", state->caller);
	add_text(row, "service", state->service);
	add_text(row, "state", job_state(state));
	add_number(row, "items", state->items);
	add_number(row, "waiting", state->waiting);
	add_number(row, "running", state->running);
	add_number(row, "done", state->done);
	add_number(row, "failed", state->failed);
	add_number(row, "cancelled", state->cancelled);
	add_number(row, "outcome_unknown", state->outcome_unknown);
	add_time(row, "due", state->due_ms);
	add_time(row, "expected_end", state->expected_end_ms);
	add_number(row, "shard", state->shard);
	add_number(row, "as_of_offset", state->as_of_offset);
	return row;
}

static void add_job(void *ctx, struct ledger_job *job)
{
	Briarplank__JobState state;

	ledger_job_state(job, node_wall_ms(), &state);
	json_object_array_add(ctx, operator_job_row(&state));
}

static struct ledger_task *find_ledger(struct node *node)
{
	struct list *pos;

	list_for_each (pos, &node->tasks) {
		struct task *task = list_entry(pos, struct task, link);

		if (!strcmp(task->ops->name, "ledger"))
			return (struct ledger_task *)task;
	}
	return NULL;
}

static void job_rows(void *ctx, struct json_object *rows)
{
	struct ledger_task *task = find_ledger(ctx);
	uint32_t i;

	for (i = 0; task && i < task->shards_nr; i++) {
		struct ledger *ledger = ledger_task_owned(task, i);

		if (ledger)
			ledger_each_job(ledger, add_job, rows);
	}
}

void operator_rows_start(struct node *node)
{
	rows_register(node, "jobs", job_rows, node);
	rows_register(node, "refusals", refusal_rows, node);
	rows_register(node, "requests", request_rows, node);
}
