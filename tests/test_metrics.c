/*
 * Tests of counters, histograms and the Prometheus text output.
 */
#include <string.h>

#include "common/metrics.h"
#include "script.h"

static void *state_create(void)
{
	return metrics_create();
}

static void state_destroy(void *state)
{
	metrics_destroy(state);
}

/* Indents the lines, since a line that begins with "#" is a comment in a
 * transcript. */
static void print_rendered(const struct metrics *metrics, GString *out)
{
	GString *text = g_string_new(NULL);
	char **lines;
	int i;

	metrics_render(metrics, text);
	lines = g_strsplit(g_strchomp(text->str), "\n", -1);
	for (i = 0; lines[i]; i++)
		g_string_append_printf(out, "  %s\n", lines[i]);
	g_strfreev(lines);
	g_string_free(text, TRUE);
}

/*
 * Runs a command, such as "count NAME [labels=L] [by=N]", "time NAME us=N" or
 * "quantile NAME q=PERCENT".
 */
static void command(void *state, int argc, char **argv, GString *out)
{
	const char *labels = script_arg(argc, argv, "labels", "");
	struct histogram *times;

	if (!strcmp(argv[0], "render")) {
		print_rendered(state, out);
	} else if (!strcmp(argv[0], "count")) {
		counter_add(metrics_counter(state, argv[1], labels),
			    script_arg_int(argc, argv, "by", 1));
	} else if (!strcmp(argv[0], "time")) {
		times = metrics_histogram(state, argv[1], labels);
		histogram_record(times, script_arg_int(argc, argv, "us", 0));
	} else if (!strcmp(argv[0], "quantile")) {
		times = metrics_histogram(state, argv[1], labels);
		g_string_append_printf(
			out, "%" G_GUINT64_FORMAT "\n",
			histogram_quantile(times, (double)script_arg_int(
							  argc, argv, "q", 50) /
							  100));
	}
}

static const struct script_driver driver = {
	.name = "metrics",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
