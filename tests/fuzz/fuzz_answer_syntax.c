/*
 * Checks arbitrary bytes as the head of an answer and as a body in chunks: the result must
 * be the same however the bytes are divided, and the parser must read a valid status and
 * names of fields from a head that passes.
 */
#include <stdint.h>
#include <stdlib.h>

#include <glib.h>
#include <http_parser.h>

#include "../../net/answer_syntax.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len);

/* Checks the bytes in pieces; returns how many are valid. */
static size_t check(struct answer_syntax *syntax, const char *data, size_t len,
		    size_t piece)
{
	size_t valid = 0;

	while (valid < len && syntax->next && !syntax->malformed) {
		size_t part = MIN(piece, len - valid);

		valid += answer_syntax_check(syntax, data + valid, part);
	}
	return valid;
}

static void compare(void (*begin)(struct answer_syntax *syntax),
		    const char *data, size_t len)
{
	struct answer_syntax whole, divided;
	size_t piece;

	answer_syntax_begin(&whole);
	begin(&whole);
	check(&whole, data, len, len);
	for (piece = 1; piece <= 3; piece++) {
		answer_syntax_begin(&divided);
		begin(&divided);
		check(&divided, data, len, piece);
		if (divided.malformed != whole.malformed ||
		    divided.next != whole.next)
			abort();
	}
}

static int on_field_name(http_parser *parser, const char *at, size_t len)
{
	size_t i;

	(void)parser;
	for (i = 0; i < len; i++) {
		if (!g_ascii_isgraph(at[i]) || at[i] == ':')
			abort();
	}
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	if (parser->status_code < 100 || parser->status_code > 599 ||
	    parser->http_major != 1)
		abort();
	return 1;
}

static void parse_head(const char *data, size_t len)
{
	static const http_parser_settings settings = {
		.on_header_field = on_field_name,
		.on_headers_complete = on_headers_complete,
	};
	struct answer_syntax syntax;
	http_parser parser;
	size_t valid;

	answer_syntax_begin(&syntax);
	valid = answer_syntax_check(&syntax, data, len);
	if (syntax.next || !valid)
		return;
	http_parser_init(&parser, HTTP_RESPONSE);
	http_parser_execute(&parser, &settings, data, valid);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t len)
{
	const char *bytes = (const char *)data;

	compare(answer_syntax_begin, bytes, len);
	compare(answer_syntax_begin_chunks, bytes, len);
	parse_head(bytes, len);
	return 0;
}
