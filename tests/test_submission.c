/*
 * Tests of the parser of submissions: lines, chunks and content hashes.
 *
 *   body TEXT                        adds a line to the body
 *   parse [chunk=BYTES] [step=LINES] [query=Q] [name=N] [part=P line=L]
 *   same                             compares the last two content hashes
 */
#include <inttypes.h>
#include <string.h>

#include "common/error.h"
#include "core/submission.h"
#include "ledger.pb-c.h"
#include "script.h"

struct state {
	GString *body;
	uint8_t hashes[2][HASH128_BYTES];
};

static void *state_create(void)
{
	struct state *state = g_new0(struct state, 1);

	state->body = g_string_new(NULL);
	return state;
}

static void state_destroy(void *data)
{
	struct state *state = data;

	g_string_free(state->body, TRUE);
	g_free(state);
}

static void print_chunk(const GByteArray *bytes, GString *out)
{
	Briarplank__ShardAppend *append =
		briarplank__shard_append__unpack(NULL, bytes->len, bytes->data);
	const Briarplank__JobChunk *chunk = append->chunk;
	size_t i;

	g_string_append_printf(out, "chunk %u from %u\n", chunk->index,
			       chunk->first_item);
	for (i = 0; i < chunk->n_items; i++) {
		g_string_append_printf(out, "  %s %.*s%s", chunk->items[i]->id,
				       (int)chunk->items[i]->body.len,
				       (const char *)chunk->items[i]->body.data,
				       chunk->items[i]->idempotent ? "" :
								     " once");
		if (chunk->part)
			g_string_append_printf(out, " line %u of part %u",
					       chunk->items[i]->line,
					       chunk->part);
		g_string_append_c(out, '\n');
	}
	briarplank__shard_append__free_unpacked(append, NULL);
}

static void print_submission(struct state *state,
			     const struct submission *submission, GString *out)
{
	guint i;

	memcpy(state->hashes[0], state->hashes[1], HASH128_BYTES);
	memcpy(state->hashes[1], submission->content_hash, HASH128_BYTES);
	for (i = 0; i < submission->chunks->len; i++)
		print_chunk(submission->chunks->pdata[i], out);
	g_string_append_printf(out, "%u items\n", submission->items);
}

static void parse(struct state *state, int argc, char **argv, GString *out)
{
	struct submission_options options = {
		.writer = "entry-1",
		.caller = "desk",
		.name = script_arg(argc, argv, "name", "night"),
		.query = script_arg(argc, argv, "query", "service=s"),
		.part = script_arg_int(argc, argv, "part", 0),
		.first_line = script_arg_int(argc, argv, "line", 0),
		.body = state->body->str,
		.body_len = state->body->len,
		.chunk_bytes = script_arg_int(argc, argv, "chunk", 1000),
	};
	unsigned step = script_arg_int(argc, argv, "step", 100);
	struct submission_parser *parser = submission_parser_create(&options);
	enum submission_status status;

	do {
		status = submission_parser_step(parser, step);
	} while (status == SUBMISSION_MORE);
	if (status == SUBMISSION_OK)
		print_submission(state, submission_parser_result(parser), out);
	else
		g_string_append_printf(out, "%s\n", error_last());
	submission_parser_destroy(parser);
}

static void command(void *data, int argc, char **argv, GString *out)
{
	struct state *state = data;

	if (!strcmp(*argv, "body"))
		g_string_append_printf(state->body, "%s\n", argv[1]);
	else if (!strcmp(*argv, "parse"))
		parse(state, argc, argv, out);
	else
		g_string_append_printf(out, "%s\n",
				       memcmp(state->hashes[0],
					      state->hashes[1], HASH128_BYTES) ?
					       "other" :
					       "same");
}

static const struct script_driver driver = {
	.name = "submission",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
