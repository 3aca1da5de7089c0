#include <string.h>

#include <glib.h>

#include "answer_syntax.h"

#define STATUS_DIGITS 3
/* Number of digits of a chunk's size that fit into 64 bits. */
#define CHUNK_DIGITS_MAX 16

static bool at_line(struct answer_syntax *syntax, unsigned char c);

/* Tells whether a byte may stand in the name of a field. */
static bool is_token(unsigned char c)
{
	return g_ascii_isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}

/* Tells whether a byte may stand in text: reasons and values of fields. */
static bool is_text(unsigned char c)
{
	return c == '\t' || (c >= ' ' && c != 0x7f);
}

static bool at_line_feed(struct answer_syntax *syntax, unsigned char c)
{
	syntax->next = at_line;
	return c == '\n';
}

/* Takes the end of a line, which may be a line feed alone. */
static bool end_line(struct answer_syntax *syntax, unsigned char c)
{
	if (c == '\n')
		return at_line_feed(syntax, c);
	syntax->next = at_line_feed;
	return c == '\r';
}

static bool in_value(struct answer_syntax *syntax, unsigned char c)
{
	return is_text(c) || end_line(syntax, c);
}

static bool in_name(struct answer_syntax *syntax, unsigned char c)
{
	if (c == ':')
		syntax->next = in_value;
	return c == ':' || is_token(c);
}

static bool at_last_line_feed(struct answer_syntax *syntax, unsigned char c)
{
	syntax->next = NULL;
	return c == '\n';
}

/* Takes the first byte of a field, or of the empty line after the last one. A line that
 * begins with a blank would continue the one before, which is obsolete. */
static bool at_line(struct answer_syntax *syntax, unsigned char c)
{
	if (c == '\n')
		return at_last_line_feed(syntax, c);
	syntax->next = c == '\r' ? at_last_line_feed : in_name;
	return c == '\r' || is_token(c);
}

static bool in_reason(struct answer_syntax *syntax, unsigned char c)
{
	return is_text(c) || end_line(syntax, c);
}

/* The space after the status may be missing if there is no reason. */
static bool after_status(struct answer_syntax *syntax, unsigned char c)
{
	syntax->next = in_reason;
	return c == ' ' || end_line(syntax, c);
}

static bool in_status(struct answer_syntax *syntax, unsigned char c)
{
	bool first = !syntax->len++;

	if (syntax->len == STATUS_DIGITS)
		syntax->next = after_status;
	return first ? c >= '1' && c <= '5' : g_ascii_isdigit(c);
}

static bool after_version(struct answer_syntax *syntax, unsigned char c)
{
	syntax->next = in_status;
	syntax->len = 0;
	return c == ' ';
}

static bool in_version(struct answer_syntax *syntax, unsigned char c)
{
	static const unsigned char prefix[] = "HTTP/1.";

	if (syntax->len < sizeof(prefix) - 1)
		return c == prefix[syntax->len++];
	syntax->next = after_version;
	return g_ascii_isdigit(c);
}

/* Functions that check a body in chunks. */

static bool at_chunk(struct answer_syntax *syntax, unsigned char c);

static bool after_data_return(struct answer_syntax *syntax, unsigned char c)
{
	syntax->next = at_chunk;
	return c == '\n';
}

static bool after_data(struct answer_syntax *syntax, unsigned char c)
{
	syntax->next = after_data_return;
	return c == '\r';
}

static bool in_data(struct answer_syntax *syntax, unsigned char c)
{
	(void)c;
	if (!--syntax->chunk_bytes)
		syntax->next = after_data;
	return true;
}

/* The last chunk, which is empty, is followed by fields and an empty line. */
static bool at_chunk_line_feed(struct answer_syntax *syntax, unsigned char c)
{
	syntax->next = syntax->chunk_bytes ? in_data : at_line;
	return c == '\n';
}

static bool in_extension(struct answer_syntax *syntax, unsigned char c)
{
	if (c == '\r')
		syntax->next = at_chunk_line_feed;
	return c == '\r' || is_text(c);
}

/* Takes what may stand between a chunk's size and its extensions. */
static bool before_extension(struct answer_syntax *syntax, unsigned char c)
{
	if (c == ';')
		syntax->next = in_extension;
	return c == ';' || c == ' ' || c == '\t';
}

static bool in_chunk_size(struct answer_syntax *syntax, unsigned char c)
{
	int digit = g_ascii_xdigit_value((char)c);

	if (digit >= 0) {
		syntax->chunk_bytes =
			syntax->chunk_bytes << 4 | (unsigned)digit;
		return syntax->len++ < CHUNK_DIGITS_MAX;
	}
	if (c == '\r') {
		syntax->next = at_chunk_line_feed;
		return true;
	}
	syntax->next = before_extension;
	return before_extension(syntax, c);
}

static bool at_chunk(struct answer_syntax *syntax, unsigned char c)
{
	syntax->next = in_chunk_size;
	syntax->len = 0;
	syntax->chunk_bytes = 0;
	return g_ascii_isxdigit(c) && in_chunk_size(syntax, c);
}

/* Takes the data of a chunk as a whole, as its bytes may have any value. */
static size_t skip_data(struct answer_syntax *syntax, size_t len)
{
	size_t skipped = 0;

	if (syntax->next == in_data && syntax->chunk_bytes > 1) {
		skipped = MIN(len, syntax->chunk_bytes - 1);
		syntax->chunk_bytes -= skipped;
	}
	return skipped;
}

void answer_syntax_begin_chunks(struct answer_syntax *syntax)
{
	syntax->next = at_chunk;
}

void answer_syntax_begin(struct answer_syntax *syntax)
{
	memset(syntax, 0, sizeof(*syntax));
	syntax->next = in_version;
}

size_t answer_syntax_check(struct answer_syntax *syntax, const char *data,
			   size_t len)
{
	size_t i = 0;

	if (!syntax->next)
		return len;
	while (i < len && syntax->next && !syntax->malformed) {
		i += skip_data(syntax, len - i - 1);
		if (syntax->next(syntax, (unsigned char)data[i]))
			i++;
		else
			syntax->malformed = true;
	}
	return i;
}
