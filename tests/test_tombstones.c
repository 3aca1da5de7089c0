/*
 * Tests how long and how many ids a set of tombstones keeps.
 */
#include <string.h>

#include "core/tombstones.h"
#include "script.h"

#define SET_MAX 3
#define KEEP_MS 1000

static void *state_create(void)
{
	return tombstones_create(SET_MAX, KEEP_MS);
}

static void state_destroy(void *state)
{
	tombstones_destroy(state);
}

/* Commands: "add ID KIND at=MS" and "find ID at=MS". */
static void command(void *state, int argc, char **argv, GString *out)
{
	static const char *const kinds[] = { "none", "never-started", "ended" };
	uint64_t at = script_arg_int(argc, argv, "at", 0);
	enum tombstone_kind kind;

	if (!strcmp(argv[0], "find")) {
		kind = tombstones_find(state, argv[1], at);
		g_string_append_printf(out, "%s, %u held\n", kinds[kind],
				       tombstones_nr(state));
		return;
	}
	kind = !strcmp(argv[2], "ended") ? TOMBSTONE_ENDED :
					   TOMBSTONE_NEVER_STARTED;
	g_string_append(out, tombstones_add(state, argv[1], kind, at) ?
				     "kept\n" :
				     "full\n");
}

static const struct script_driver driver = {
	.name = "tombstones",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
