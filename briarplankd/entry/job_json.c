/*
 * Formats a job's state as the JSON shown to callers and operators.
 */
#include "briarplankd/entry/jobs.h"

#define MS_PER_S 1000

static void add_time(struct json_object *root, const char *name, uint64_t ms)
{
	GDateTime *time;
	char *text;

	if (!ms)
		return;
	time = g_date_time_new_from_unix_utc((gint64)(ms / MS_PER_S));
	text = time ? g_date_time_format_iso8601(time) : g_strdup("");
	json_object_object_add(root, name, json_object_new_string(text));
	g_free(text);
	if (time)
		g_date_time_unref(time);
}

static void add_count(struct json_object *root, const char *name, uint64_t nr)
{
	json_object_object_add(root, name, json_object_new_uint64(nr));
}

struct json_object *job_state_json(const Briarplank__JobState *state)
{
	struct json_object *root = json_object_new_object();
	char id[2 * HASH128_BYTES + 1];

	hash_to_hex(state->job_id.data, MIN(state->job_id.len, HASH128_BYTES),
		    id);
	json_object_object_add(root, "id", json_object_new_string(id));
	json_object_object_add(root, "job",
			       json_object_new_string(state->name));
	json_object_object_add(root, "caller",
			       json_object_new_string(state->caller));
	json_object_object_add(root, "service",
			       json_object_new_string(state->service));
	add_count(root, "items", state->items);
	add_count(root, "waiting", state->waiting);
	add_count(root, "running", state->running);
	add_count(root, "done", state->done);
	add_count(root, "failed", state->failed);
	add_count(root, "cancelled", state->cancelled);
	add_count(root, "outcome_unknown", state->outcome_unknown);
	json_object_object_add(root, "cancel_accepted",
			       json_object_new_boolean(state->cancel_accepted));
	add_time(root, "due", state->due_ms);
	add_time(root, "keep_until", state->keep_until_ms);
	add_time(root, "expected_end", state->expected_end_ms);
	add_count(root, "shard", state->shard);
	add_count(root, "as_of_offset", state->as_of_offset);
	return root;
}
