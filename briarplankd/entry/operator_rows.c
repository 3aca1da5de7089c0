/*
 * Rows that an entry lists from its own state: its online requests and
 * refusals, and the jobs of the shards that it owns.
 */
#include <string.h>

#include "briarplankd/entry/ledger_task.h"
#include "briarplankd/online.h"
#include "briarplankd/rows.h"
#include "common/hash.h"
#include "operator.h"

#define US_PER_MS 1000

static void add_request(void *ctx, const struct online_request *request)
{
	struct json_object *row = json_object_new_object();

	row_add_text(row, "id", request->id);
	row_add_text(row, "caller", request->caller);
	row_add_text(row, "service", request->service);
	row_add_text(row, "state", outcome_state_text(request->outcome.state));
	row_add_text(row, "server", request->agent);
	row_add_number(row, "attempt", request->outcome.attempt);
	row_add_number(row, "age_ms",
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

	row_add_time(row, "time", refusal->wall_ms);
	row_add_text(row, "id", refusal->id);
	row_add_text(row, "caller", refusal->caller);
	row_add_text(row, "service", refusal->service);
	row_add_number(row, "http_status", refusal->status);
	row_add_text(row, "outcome",
		     outcome_statement_text(refusal->statement));
	row_add_text(row, "reason", refusal->reason);
	json_object_array_add(ctx, row);
}

static void refusal_rows(void *ctx, struct json_object *rows)
{
	online_view_refusals(ctx, add_refusal, rows);
}

static const char *job_state_text(const Briarplank__JobState *state)
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
	row_add_text(row, "id", id);
	row_add_text(row, "name", state->name);
	row_add_text(row, "caller", state->caller);
	row_add_text(row, "service", state->service);
	row_add_text(row, "state", job_state_text(state));
	row_add_number(row, "items", state->items);
	row_add_number(row, "waiting", state->waiting);
	row_add_number(row, "running", state->running);
	row_add_number(row, "done", state->done);
	row_add_number(row, "failed", state->failed);
	row_add_number(row, "cancelled", state->cancelled);
	row_add_number(row, "outcome_unknown", state->outcome_unknown);
	row_add_time(row, "due", state->due_ms);
	row_add_time(row, "expected_end", state->expected_end_ms);
	row_add_number(row, "shard", state->shard);
	row_add_number(row, "as_of_offset", state->as_of_offset);
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

void operator_rows_register(struct node *node)
{
	rows_register(node, "jobs", job_rows, node);
	rows_register(node, "refusals", refusal_rows, node);
	rows_register(node, "requests", request_rows, node);
}
