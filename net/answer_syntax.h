/**
 * Checks the bytes of HTTP/1.x answers against the grammar of RFC 9112, of which the
 * parser lets more pass.
 */
#ifndef BRIARPLANK_NET_ANSWER_SYNTAX_H
#define BRIARPLANK_NET_ANSWER_SYNTAX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** State of the check of one answer. */
struct answer_syntax {
	/** Takes the next byte and returns whether it is valid; NULL where all are. */
	bool (*next)(struct answer_syntax *syntax, unsigned char c);
	/** Number of bytes of the current element so far. */
	unsigned len;
	/** Size of the current chunk, and then what is left of it, in bytes. */
	uint64_t chunk_bytes;
	bool malformed;
};

/** Begins with the status line of an answer. */
void answer_syntax_begin(struct answer_syntax *syntax);

/** Goes on with a body in chunks, after the head. */
void answer_syntax_begin_chunks(struct answer_syntax *syntax);

/**
 * Checks bytes up to the end of the head or of a body in chunks. Returns the number of
 * valid bytes from the first one on. The byte that follows them, if any, is malformed or
 * comes after that end, from which on all bytes are valid.
 */
size_t answer_syntax_check(struct answer_syntax *syntax, const char *data,
			   size_t len);

#endif
