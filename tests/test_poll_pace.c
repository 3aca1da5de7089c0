/*
 * Tests of the poll intervals of entries, by their number.
 */
#include <string.h>
#include <glib.h>

#include "core/poll_pace.h"
#include "script.h"

static void *state_create(void)
{
	return NULL;
}

static void state_destroy(void *state)
{
	(void)state;
}

/* pace ENTRIES READS_PER_S */
static void command(void *state, int argc, char **argv, GString *out)
{
	unsigned entries = (unsigned)g_ascii_strtoull(argv[1], NULL, 10);
	unsigned reads = (unsigned)g_ascii_strtoull(argv[2], NULL, 10);
	struct poll_pace pace = poll_pace_for(entries, reads);
	/* Each read takes at least 5 ms in addition to its pause. */
	double polls = entries * (1000.0 / pace.config_wait_ms +
				  1000.0 / (pace.servers_pause_ms + 5) +
				  1000.0 / (pace.index_pause_ms + 5));

	(void)state;
	(void)argc;
	g_string_append_printf(
		out,
		"config=%u servers=%" G_GUINT64_FORMAT
		" index=%" G_GUINT64_FORMAT " %s\n",
		pace.config_wait_ms, pace.servers_pause_ms, pace.index_pause_ms,
		polls <= reads ? "within the rate" : "over the rate");
}

static const struct script_driver driver = {
	.name = "poll_pace",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
