/**
 * A batch job as submitted by its caller, and the encoding in which its items
 * are stored.
 */
#ifndef BRIARPLANK_CORE_JOB_REQUEST_H
#define BRIARPLANK_CORE_JOB_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

/** A header field of an item's request. */
struct job_request_field {
	char *name;
	char *value;
};

/** The request that an item sends to a server. */
struct job_request_item {
	char *id;
	/** Path, including the query. */
	char *path;
	struct job_request_field *fields;
	size_t fields_nr;
	unsigned char *body;
	size_t body_len;
	/**
	 * Number of tokens of the prompt plus the maximum number of output
	 * tokens.
	 */
	uint64_t tokens;
};

struct job_request {
	struct job_request_item *items;
	size_t items_nr;
};

void job_request_free(struct job_request *request);

/** Frees the members of an item, but not the item. */
void job_request_item_clear(struct job_request_item *item);

/** Encodes path, fields and body of an item; the caller frees the buffer. */
GByteArray *job_request_item_encode(const struct job_request_item *item);

/** Decodes path, fields and body; returns false if the data is invalid. */
bool job_request_item_decode(const void *data, size_t len,
			     struct job_request_item *item);

#endif
