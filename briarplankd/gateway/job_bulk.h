/**
 * Bodies and outputs of batch items in the platform's store. Records of the
 * index say where they lie; without one they mean nothing.
 */
#ifndef BRIARPLANKD_GATEWAY_JOB_BULK_H
#define BRIARPLANKD_GATEWAY_JOB_BULK_H

#include "gateway.h"

struct job_bulk *job_bulk_create(struct gateway *gateway);
void job_bulk_destroy(struct job_bulk *bulk);

struct job_bulk_write;

/** Writes byte arrays in a row; gives each one's place, or NULL if refused. */
struct job_bulk_write *job_bulk_write(
	struct job_bulk *bulk, GPtrArray *blobs, uint64_t hash,
	uint64_t give_up_ms,
	void (*done)(void *ctx, const struct job_blob *places), void *ctx);

/** No callback comes any more. */
void job_bulk_write_cancel(struct job_bulk_write *write);

struct job_bulk_read;

/** Reads a blob; data is NULL when the store can't give it now. */
struct job_bulk_read *job_bulk_read(
	struct job_bulk *bulk, const struct job_blob *place,
	void (*done)(void *ctx, const char *data, size_t len), void *ctx);

/** No callback comes any more. */
void job_bulk_read_cancel(struct job_bulk_read *read);

#endif
