/*
 * Tests which items are marked late when the slots don't suffice for all.
 */
#include <string.h>
#include <glib.h>

#include "core/batch_plan.h"
#include "script.h"

struct state {
	GArray *items;
	struct item_length length;
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->items = g_array_new(FALSE, TRUE, sizeof(struct batch_plan_item));
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	g_array_free(state->items, TRUE);
	g_free(state);
}

/* item due=MS left=MS [done=MS] [nr=N], in the order of due times */
static void add(struct state *state, int argc, char **argv)
{
	struct batch_plan_item item = {
		.due_ms = (uint64_t)script_arg_int(argc, argv, "due", 0),
		.done_ms = (double)script_arg_int(argc, argv, "done", 0),
		.left_ms = (double)script_arg_int(argc, argv, "left", 0),
	};
	int64_t nr = script_arg_int(argc, argv, "nr", 1);

	while (nr-- > 0)
		g_array_append_val(state->items, item);
}

/* Plans the items and prints a character for each: '.' for in time, 'L' for
 * late. */
static void plan(struct state *state, int argc, char **argv, GString *out)
{
	struct batch_plan_item *items =
		(struct batch_plan_item *)state->items->data;
	guint i;

	batch_plan(items, state->items->len,
		   (double)script_arg_int(argc, argv, "slots", 1),
		   (uint64_t)script_arg_int(argc, argv, "now", 0));
	for (i = 0; i < state->items->len; i++)
		g_string_append_c(out, items[i].late ? 'L' : '.');
	g_string_append_c(out, '\n');
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;
	uint64_t events = (uint64_t)script_arg_int(argc, argv, "events", 0);

	if (!strcmp(argv[0], "item"))
		add(state, argc, argv);
	else if (!strcmp(argv[0], "plan"))
		plan(state, argc, argv, out);
	else if (!strcmp(argv[0], "done"))
		item_length_record_item(&state->length, events);
	else if (!strcmp(argv[0], "ran"))
		item_length_record_run(
			&state->length, events,
			(double)script_arg_int(argc, argv, "ms", 0));
	else if (!strcmp(argv[0], "left"))
		g_string_append_printf(
			out, "%.0f\n",
			item_length_left_ms(&state->length, events));
}

static const struct script_driver driver = {
	.name = "batch_plan",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
