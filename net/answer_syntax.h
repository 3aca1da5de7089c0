/**
 * Checks the bytes of HTTP/1.x answers against the grammar of RFC 9112, of which the
 * parser lets more pass.
 */
#ifndef BRIARPLANK_NET_ANSWER_SYNTAX_H
#define BRIARPLANK_NET_ANSWER_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>

/** State of the check of one answer. */
struct answer_syntax {
	/** Takes the next byte and returns whether it is valid; NULL after the head. */
	bool (*next)(struct answer_syntax *syntax, unsigned char c);
	/** Number of bytes of the current element so far. */
	unsigned len;
	bool malformed;
};

/** Begins with the status line of an answer. */
void answer_syntax_begin(struct answer_syntax *syntax);

/**
 * Checks bytes up to the end of the head, and none after it. Returns the number of valid
 * bytes from the first one on. The byte that follows them, if any, sets malformed or
 * belongs to the body; of a body, all bytes are valid.
 */
size_t answer_syntax_check(struct answer_syntax *syntax, const char *data,
			   size_t len);

#endif
