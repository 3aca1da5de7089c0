/*
 * Tests the receiver of an answer's pieces: order, duplicates, gaps and credit.
 */
#include <inttypes.h>
#include <string.h>

#include "core/stream.h"
#include "script.h"

#define WINDOW_BYTES 16
#define MAX_BUFFERED 4

static const char *const statuses[] = {
	[STREAM_OK] = "ok",
	[STREAM_DUPLICATE] = "duplicate",
	[STREAM_FULL] = "full",
	[STREAM_INVALID] = "invalid",
};

static void *state_create(void)
{
	struct stream_options options = {
		.window_bytes = WINDOW_BYTES,
		.max_buffered = MAX_BUFFERED,
	};

	return stream_create(&options);
}

static void state_destroy(void *state)
{
	stream_destroy(state);
}

static void print_pieces(struct stream *stream, GString *out)
{
	GBytes *bytes;

	while ((bytes = stream_next(stream)) != NULL) {
		g_string_append_printf(
			out, "returns %.*s\n", (int)g_bytes_get_size(bytes),
			(const char *)g_bytes_get_data(bytes, NULL));
		g_bytes_unref(bytes);
	}
	if (stream_has_gap(stream))
		g_string_append_printf(out, "missing %" PRIu64 "\n",
				       stream_resume_from(stream));
	if (stream_ended(stream))
		g_string_append(out, "ended\n");
}

static void insert(struct stream *stream, int argc, char **argv, GString *out)
{
	const char *data = script_arg(argc, argv, "data", "");
	enum stream_status status = stream_insert(
		stream, script_arg_int(argc, argv, "seq", 0), data,
		strlen(data), script_arg_int(argc, argv, "last", 0));

	if (status != STREAM_OK)
		g_string_append_printf(out, "%s\n", statuses[status]);
	print_pieces(stream, out);
}

static void command(void *state, int argc, char **argv, GString *out)
{
	size_t queued = script_arg_int(argc, argv, "queued", 0);

	if (!strcmp(argv[0], "piece"))
		insert(state, argc, argv, out);
	else if (!strcmp(argv[0], "grant"))
		g_string_append_printf(out, "%u\n",
				       stream_grant(state, queued));
	else if (!strcmp(argv[0], "resume"))
		g_string_append_printf(out, "%u\n",
				       stream_resume(state, queued));
}

static const struct script_driver driver = {
	.name = "stream",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
