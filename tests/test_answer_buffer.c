/*
 * Tests the send buffer of an answer: credit, acknowledgement, resume and
 * bounds.
 */
#include <string.h>

#include "core/answer_buffer.h"
#include "script.h"

static void *state_create(void)
{
	struct answer_buffer_options options = {
		.credit_bytes = 8,
		.keep_bytes = 8,
		.pause_bytes = 10,
		.piece_bytes = 4,
	};

	return answer_buffer_create(&options);
}

static void state_destroy(void *state)
{
	answer_buffer_destroy(state);
}

static void print_state(const struct answer_buffer *buffer, GString *out)
{
	g_string_append_printf(out, "%zu bytes%s%s%s\n",
			       answer_buffer_bytes(buffer),
			       answer_buffer_full(buffer) ? ", full" : "",
			       answer_buffer_drained(buffer) ? ", drained" : "",
			       answer_buffer_empty(buffer) ? ", empty" : "");
}

static void send_all(struct answer_buffer *buffer, GString *out)
{
	struct answer_piece piece;

	while (answer_buffer_next(buffer, &piece)) {
		g_string_append_printf(out, "%d: %.*s%s\n", (int)piece.sequence,
				       (int)piece.len, (const char *)piece.data,
				       piece.last ? "last" : "");
		answer_buffer_sent(buffer);
	}
	print_state(buffer, out);
}

/*
 * Runs a command: "push TEXT", "finish", "send", "credit NEXT BYTES" or "rewind
 * FROM CREDIT".
 */
static void command(void *state, int argc, char **argv, GString *out)
{
	struct answer_buffer *buffer = state;
	int64_t number = argc > 1 ? g_ascii_strtoll(argv[1], NULL, 10) : 0;

	if (!strcmp(argv[0], "push"))
		answer_buffer_push(buffer, argv[1], strlen(argv[1]));
	else if (!strcmp(argv[0], "finish"))
		answer_buffer_finish(buffer);
	else if (!strcmp(argv[0], "send"))
		send_all(buffer, out);
	else if (!strcmp(argv[0], "credit"))
		answer_buffer_credit(
			buffer, number,
			(uint32_t)g_ascii_strtoull(argv[2], NULL, 10));
	else if (!strcmp(argv[0], "rewind"))
		g_string_append(
			out, answer_buffer_rewind(buffer, number,
						  (uint32_t)g_ascii_strtoull(
							  argv[2], NULL, 10)) ?
				     "rewound\n" :
				     "rejected\n");
}

static const struct script_driver driver = {
	.name = "answer_buffer",
	.create = state_create,
	.destroy = state_destroy,
	.command = command,
};

int main(int argc, char **argv)
{
	return script_main(&driver, argc, argv);
}
