/*
 * Tests that the same records of the job log give the same state at every node,
 * also if records were lost, late or duplicated.
 */
#include <inttypes.h>
#include <string.h>

#include "core/job_log.h"
#include "script.h"

struct state {
	struct job_log *log;
	/* All records of the test so far, to be applied again on a restart. */
	GPtrArray *records;
	GString *out;
	bool silent;
};

static void on_submission(void *ctx, uint64_t submission,
			  enum job_submission_outcome outcome, struct job *job)
{
	static const char *const names[] = { "accepted", "repeated",
					     "over limit" };
	struct state *state = ctx;

	if (!state->silent)
		g_string_append_printf(state->out,
				       "submission %" PRIu64 " %s%s%s\n",
				       submission, names[outcome],
				       job ? ": " : "", job ? job->id : "");
}

static void on_result(void *ctx, struct job *job, struct job_item *item)
{
	struct state *state = ctx;

	if (!state->silent)
		g_string_append_printf(
			state->out,
			"%s position %zu: %s %s output=%" PRIu64 "\n", job->id,
			job->results_nr - 1, item->id,
			item->state == JOB_ITEM_DONE ? "done" : "dead",
			item->output.offset);
}

static void on_end(void *ctx, struct job *job)
{
	struct state *state = ctx;

	if (!state->silent)
		g_string_append_printf(state->out, "%s ended\n", job->id);
}

static void on_node(void *ctx, const char *name, const char *address,
		    const char *data_centre)
{
	struct state *state = ctx;

	if (!state->silent)
		g_string_append_printf(state->out, "node %s at %s in %s\n",
				       name, address, data_centre);
}

static struct job_log *log_create(struct state *state)
{
	struct job_log_watcher watcher = {
		.on_submission = on_submission,
		.on_result = on_result,
		.on_end = on_end,
		.on_node = on_node,
		.ctx = state,
	};

	return job_log_create(&watcher);
}

static void record_free(gpointer data)
{
	g_byte_array_free(data, TRUE);
}

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->records = g_ptr_array_new_with_free_func(record_free);
	state->log = log_create(state);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	job_log_destroy(state->log);
	g_ptr_array_free(state->records, TRUE);
	g_free(state);
}

/* submit JOB number=N items=N tokens=EACH limit=N attempts=N at=MS */
static GByteArray *submission(int argc, char **argv)
{
	struct job_submission_item items[8] = { { 0 } };
	struct job_submission record = {
		.id = argv[1],
		.submission = (uint64_t)script_arg_int(argc, argv, "number", 1),
		.host = "h",
		.path = "/p/",
		.route = script_arg(argc, argv, "route", "r"),
		.node = "n1",
		.accepted_ms = (uint64_t)script_arg_int(argc, argv, "at", 0),
		.completion_ms = 18000,
		.retention_ms = 60000,
		.attempts_max =
			(unsigned)script_arg_int(argc, argv, "attempts", 3),
		.waiting_tokens_max =
			(uint64_t)script_arg_int(argc, argv, "limit", 0),
		.items = items,
		.items_nr = (size_t)script_arg_int(argc, argv, "items", 2),
	};
	static const char *const ids[] = { "a", "b", "c", "d",
					   "e", "f", "g", "h" };
	size_t i;

	for (i = 0; i < record.items_nr; i++) {
		items[i].id = ids[i];
		items[i].tokens =
			(uint64_t)script_arg_int(argc, argv, "tokens", 100);
		items[i].body.offset = i;
	}
	return job_log_encode_submission(&record);
}

static GByteArray *encode(int argc, char **argv)
{
	size_t item = (size_t)script_arg_int(argc, argv, "item", 0);
	struct job_blob output = {
		.offset = (uint64_t)script_arg_int(argc, argv, "output", 0),
		.records = 1,
	};

	if (!strcmp(argv[0], "submit"))
		return submission(argc, argv);
	if (!strcmp(argv[0], "done"))
		return job_log_encode_result(argv[1], item, &output, NULL);
	if (!strcmp(argv[0], "dead"))
		return job_log_encode_result(argv[1], item, NULL, "why");
	if (!strcmp(argv[0], "failed"))
		return job_log_encode_failure(argv[1], item, 500);
	if (!strcmp(argv[0], "discarded"))
		return job_log_encode_discard(argv[1], item);
	if (!strcmp(argv[0], "saved"))
		return job_log_encode_progress(
			argv[1], item,
			(uint64_t)script_arg_int(argc, argv, "event", 0),
			(uint64_t)script_arg_int(argc, argv, "software", 1),
			&output);
	if (!strcmp(argv[0], "end"))
		return job_log_encode_end(argv[1]);
	return job_log_encode_node(argv[1], "1.2.3.4:5", "dc");
}

static void print_job(struct state *state, const char *id)
{
	struct job *job = job_log_find(state->log, id);
	size_t i;

	if (!job) {
		g_string_append(state->out, "unknown\n");
		return;
	}
	g_string_append_printf(state->out, "open=%zu%s due=%" PRIu64 " [",
			       job->open_nr, job->ended ? " ended" : "",
			       job->due_ms);
	for (i = 0; i < job->results_nr; i++)
		g_string_append_printf(state->out, "%s%s", i ? " " : "",
				       job->items[job->results[i]].id);
	g_string_append(state->out, "]");
	for (i = 0; i < job->items_nr; i++) {
		if (job->items[i].saved_event >= 0)
			g_string_append_printf(
				state->out, " %s saved to %" PRId64,
				job->items[i].id, job->items[i].saved_event);
	}
	g_string_append_printf(
		state->out, " waiting=%" PRIu64 "\n",
		job_log_waiting_tokens(state->log, job->route, job->account));
}

static void apply(struct state *state, GByteArray *record)
{
	if (!job_log_apply(state->log, record->data, record->len))
		g_string_append(state->out, "unreadable\n");
}

/* Applies all but the first N records to an empty log, like a node that just
 * started. */
static void restart(struct state *state, int argc, char **argv)
{
	guint i = (guint)script_arg_int(argc, argv, "lost", 0);

	job_log_destroy(state->log);
	state->log = log_create(state);
	state->silent = true;
	for (; i < state->records->len; i++)
		apply(state, g_ptr_array_index(state->records, i));
	state->silent = false;
}

/* given-up JOB at=WALL_MS: whether the job's open items may be given up */
static void given_up(struct state *state, int argc, char **argv)
{
	const struct job *job = job_log_find(state->log, argv[1]);
	uint64_t at = (uint64_t)script_arg_int(argc, argv, "at", 0);

	g_string_append(state->out,
			job_may_be_given_up(job, at) ? "yes\n" : "no\n");
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	GByteArray *record;

	state->out = out;
	if (!strcmp(argv[0], "show")) {
		print_job(state, argv[1]);
	} else if (!strcmp(argv[0], "restart")) {
		restart(state, argc, argv);
	} else if (!strcmp(argv[0], "expire")) {
		job_log_expire(state->log, (uint64_t)script_arg_int(
						   argc, argv, "before", 0));
	} else if (!strcmp(argv[0], "given-up")) {
		given_up(state, argc, argv);
	} else if (!strcmp(argv[0], "garbage")) {
		if (!job_log_apply(state->log, argv[1], strlen(argv[1])))
			g_string_append(out, "unreadable\n");
	} else {
		record = encode(argc, argv);
		g_ptr_array_add(state->records, record);
		apply(state, record);
	}
}

static const struct script_driver driver = {
	.name = "job_log",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
