/**
 * A batch job as its caller submits it, and the form in which the bodies of
 * its items are kept.
 */
#ifndef BRIARPLANK_CORE_JOB_REQUEST_H
#define BRIARPLANK_CORE_JOB_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

struct job_request_field {
	char *name;
	char *value;
};

/** What an item sends to a server. */
struct job_request_item {
	char *id;
	/** Path and query. */
	char *path;
	struct job_request_field *fields;
	size_t fields_nr;
	unsigned char *body;
	size_t body_len;
	/** Tokens of the prompt and the longest output. */
	uint64_t tokens;
};

struct job_request {
	struct job_request_item *items;
	size_t items_nr;
};

void job_request_free(struct job_request *request);

/** Frees what an item holds, not the item. */
void job_request_item_clear(struct job_request_item *item);

/** Encodes path, fields and body of an item; the caller frees the buffer. */
GByteArray *job_request_item_encode(const struct job_request_item *item);

/** Decodes path, fields and body; false when the bytes can't be read. */
bool job_request_item_decode(const void *data, size_t len,
			     struct job_request_item *item);

#endif
