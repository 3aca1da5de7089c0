/*
 * Tests of the online queue: deadlines, early refusal, fair shares, and deficit
 * round robin.
 */
#include <string.h>

#include "core/admission.h"
#include "script.h"

struct state {
	struct admission *admission;
	/* Names of requests; each is also the request's owner. */
	GHashTable *names;
};

static void *state_create(void)
{
	struct admission_options options = { .max_waiting = 8, .quantum = 100 };
	struct state *state = g_new0(struct state, 1);

	state->admission = admission_create(&options);
	state->names =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	admission_destroy(state->admission);
	g_hash_table_destroy(state->names);
	g_free(state);
}

static char *owner_of(struct state *state, const char *name)
{
	char *owner = g_hash_table_lookup(state->names, name);

	if (owner)
		return owner;
	owner = g_strdup(name);
	g_hash_table_insert(state->names, owner, owner);
	return owner;
}

/* "offer NAME CALLER cost=C deadline=MS running=R limit=L at=MS" */
static void offer(struct state *state, int argc, char **argv, GString *out)
{
	static const char *const texts[] = { "queued", "overloaded",
					     "caller limit", "deadline" };
	struct admission_request request = {
		.owner = owner_of(state, argv[1]),
		.caller = argv[2],
		.cost = (uint32_t)script_arg_int(argc, argv, "cost", 100),
		.deadline_us =
			script_arg_int(argc, argv, "deadline", 10000) * 1000,
	};
	uint64_t retry_us;
	enum admission_status status = admission_enqueue(
		state->admission, &request,
		(unsigned)script_arg_int(argc, argv, "running", 0),
		(unsigned)script_arg_int(argc, argv, "limit", 4),
		script_arg_int(argc, argv, "at", 0) * 1000, &retry_us);

	g_string_append(out, texts[status]);
	if (status != ADMISSION_QUEUED)
		g_string_append_printf(out, ", again after %d ms",
				       (int)(retry_us / 1000));
	g_string_append(out, "\n");
}

static void print_all(struct state *state, bool expired, uint64_t now_us,
		      GString *out)
{
	const char *name;

	while ((name = expired ? admission_expired(state->admission, now_us) :
				 admission_next(state->admission, now_us)))
		g_string_append_printf(out, "%s ", name);
	g_string_append_printf(out, "(%u wait)\n",
			       admission_waiting(state->admission));
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	uint64_t at = script_arg_int(argc, argv, "at", 0) * 1000;

	if (!strcmp(argv[0], "offer"))
		offer(state, argc, argv, out);
	else if (!strcmp(argv[0], "drain"))
		print_all(state, false, at, out);
	else if (!strcmp(argv[0], "expired"))
		print_all(state, true, at, out);
	else if (!strcmp(argv[0], "next"))
		g_string_append_printf(
			out, "%s\n",
			(char *)admission_next(state->admission, at));
	else if (!strcmp(argv[0], "served"))
		admission_record_service(state->admission,
					 script_arg_int(argc, argv, "ms", 0) *
						 1000);
	else if (!strcmp(argv[0], "remove"))
		g_string_append(out,
				admission_remove(state->admission,
						 owner_of(state, argv[1])) ?
					"removed\n" :
					"absent\n");
}

static const struct script_driver driver = {
	.name = "admission",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
