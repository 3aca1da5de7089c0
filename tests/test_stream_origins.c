/*
 * Tests of how long and how many streams' software versions are remembered.
 */
#include <string.h>

#include "common/hash.h"
#include "core/stream_origins.h"
#include "script.h"

static void *state_create(void)
{
	return stream_origins_create();
}

static void state_destroy(void *state)
{
	stream_origins_destroy(state);
}

static void add(void *state, const char *stream, const char *software, bool own,
		int argc, char **argv)
{
	uint64_t now_ms = (uint64_t)script_arg_int(argc, argv, "at", 0);
	struct stream_origin origin = {
		.stream = hash_string(stream, 0),
		.software = g_ascii_strtoull(software, NULL, 10),
		.own = own,
		.expires_ms = now_ms +
			      (uint64_t)script_arg_int(argc, argv, "ms", 1000),
	};

	stream_origins_add(state, &origin, now_ms);
}

/* fill NR at=MS: adds streams s1, s2, ... of version 1 */
static void fill(void *state, int argc, char **argv)
{
	uint64_t i, nr = g_ascii_strtoull(argv[1], NULL, 10);

	for (i = 1; i <= nr; i++) {
		char *stream = g_strdup_printf("s%" G_GUINT64_FORMAT, i);

		add(state, stream, "1", false, argc, argv);
		g_free(stream);
	}
}

static void print_own(void *ctx, const struct stream_origin *origin)
{
	g_string_append_printf(ctx, "version %" G_GUINT64_FORMAT "\n",
			       origin->software);
}

/* Commands: "begin STREAM VERSION at=MS ms=MS" for a stream of this entry, "told" for one
 * of another, "find STREAM at=MS", "own at=MS", "fill NR at=MS", "ttl TIMEOUT_MS". */
static void command(void *state, int argc, char **argv, GString *out)
{
	uint64_t at = (uint64_t)script_arg_int(argc, argv, "at", 0);

	if (!strcmp(argv[0], "begin"))
		add(state, argv[1], argv[2], true, argc, argv);
	else if (!strcmp(argv[0], "told"))
		add(state, argv[1], argv[2], false, argc, argv);
	else if (!strcmp(argv[0], "fill"))
		fill(state, argc, argv);
	else if (!strcmp(argv[0], "own"))
		stream_origins_each_own(state, at, print_own, out);
	else if (!strcmp(argv[0], "ttl"))
		g_string_append_printf(
			out, "%" G_GUINT64_FORMAT "\n",
			stream_origin_ttl_ms(
				(uint32_t)g_ascii_strtoull(argv[1], NULL, 10)));
	else
		g_string_append_printf(
			out, "%" G_GUINT64_FORMAT "\n",
			stream_origins_find(state, hash_string(argv[1], 0),
					    at));
}

static const struct script_driver driver = {
	.name = "stream_origins",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
