/* Tests the changes of the list of servers that one entry sends to another. */
#include <string.h>
#include <glib.h>

#include "core/change_list.h"
#include "script.h"

static void *state_create(void)
{
	return change_list_create();
}

static void state_destroy(void *state)
{
	change_list_destroy(state);
}

struct collection {
	GPtrArray *lines;
	uint64_t offset;
	bool full;
};

static void collect(void *ctx, const struct change *change)
{
	struct collection *collection = ctx;
	gsize len = 0;
	const char *value =
		change->value ? g_bytes_get_data(change->value, &len) : "-";

	if (collection->full ? !change->value :
			       change->offset <= collection->offset)
		return;
	g_ptr_array_add(collection->lines,
			g_strdup_printf("%s=%.*s@%" G_GUINT64_FORMAT,
					change->key,
					change->value ? (int)len : 1, value,
					collection->full ? change->seen_offset :
							   change->offset));
}

static gint compare(gconstpointer a, gconstpointer b)
{
	return strcmp(*(char *const *)a, *(char *const *)b);
}

static void since(struct change_list *list, uint64_t offset, GString *out)
{
	GPtrArray *lines = g_ptr_array_new_with_free_func(g_free);
	bool full = !change_list_complete_since(list, offset);
	struct collection collection = { lines, offset, full };
	guint i;

	change_list_for_each(list, collect, &collection);
	g_ptr_array_sort(lines, compare);
	g_string_append(out, full ? "full" : "changes");
	for (i = 0; i < lines->len; i++)
		g_string_append_printf(out, " %s",
				       (char *)g_ptr_array_index(lines, i));
	g_string_append_c(out, '\n');
	g_ptr_array_free(lines, TRUE);
}

/*
 * Runs a command: "put KEY VALUE at=N", "remove KEY at=N", "repeat KEY at=N",
 * "removed KEY at=N", "incomplete at=N", "reset at=N", "since at=N" or
 * "remove-many NR at=N".
 */
static void command(void *state, int argc, char **argv, GString *out)
{
	struct change_list *list = state;
	uint64_t at = (uint64_t)script_arg_int(argc, argv, "at", 0);
	uint64_t i;

	if (!strcmp(argv[0], "put")) {
		change_list_put(list, argv[1], argv[2], strlen(argv[2]), at);
	} else if (!strcmp(argv[0], "remove")) {
		change_list_put(list, argv[1], NULL, 0, at);
	} else if (!strcmp(argv[0], "repeat")) {
		change_list_repeat(list, argv[1], at);
	} else if (!strcmp(argv[0], "incomplete")) {
		change_list_incomplete_until(list, at);
	} else if (!strcmp(argv[0], "removed")) {
		g_string_append(out,
				change_list_removed_after(list, argv[1], at) ?
					"yes\n" :
					"no\n");
	} else if (!strcmp(argv[0], "reset")) {
		change_list_reset(list, at);
	} else if (!strcmp(argv[0], "since")) {
		since(list, at, out);
	} else if (!strcmp(argv[0], "remove-many")) {
		for (i = 0; i < g_ascii_strtoull(argv[1], NULL, 10); i++) {
			char *key = g_strdup_printf("gone-%u", (unsigned)i);

			change_list_put(list, key, NULL, 0, at + i);
			g_free(key);
		}
	}
}

static const struct script_driver driver = {
	.name = "change_list",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
