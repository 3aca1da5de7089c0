/**
 * Writes and reads the bodies and outputs of batch items in the bulk topic of
 * the store. Their locations are kept in the job log; data that no record of it
 * refers to is unused.
 */
#ifndef BRIARPLANKD_GATEWAY_JOB_BULK_H
#define BRIARPLANKD_GATEWAY_JOB_BULK_H

#include "gateway.h"

struct job_bulk *job_bulk_create(struct gateway *gateway);
void job_bulk_destroy(struct job_bulk *bulk);

struct job_bulk_write;

/**
 * Writes byte arrays in order and takes over blobs. Failed calls are retried,
 * also on other partitions, until loop time deadline_ms. done gets the location
 * of each blob, valid during the call, or NULL when the write failed. hash
 * chooses the first partition.
 */
struct job_bulk_write *job_bulk_write(
	struct job_bulk *bulk, GPtrArray *blobs, uint64_t hash,
	uint64_t deadline_ms,
	void (*done)(void *ctx, const struct job_blob *locations), void *ctx);

/** Cancels a write; its callback is not called. */
void job_bulk_write_cancel(struct job_bulk_write *write);

struct job_bulk_read;

/**
 * Reads a blob. data is valid during the call of done, and NULL when the blob
 * has expired or could not be read after some attempts.
 */
struct job_bulk_read *job_bulk_read(
	struct job_bulk *bulk, const struct job_blob *location,
	void (*done)(void *ctx, const char *data, size_t len), void *ctx);

/** Cancels a read; its callback is not called. */
void job_bulk_read_cancel(struct job_bulk_read *read);

#endif
