/**
 * Fetches the store's data from another entry of the region. In a region with
 * many entries only a few, the readers, read the store, and the others ask one
 * of these.
 */
#ifndef BRIARPLANKD_GATEWAY_READER_CLIENT_H
#define BRIARPLANKD_GATEWAY_READER_CLIENT_H

#include "gateway.h"

struct reader_client_options {
	struct gateway *gateway;
	/** What is fetched, for the log. */
	const char *name;
	/** Time for which an answer may send nothing, in ms. */
	uint32_t timeout_ms;
	/**
	 * Called with the body of each answer, or with NULL when a fetch
	 * failed. Returns false if the answer is of no use; another reader is
	 * then preferred for some time.
	 */
	bool (*done)(void *ctx, const uint8_t *body, size_t len);
	void *ctx;
};

struct reader_client;

struct reader_client *reader_client_create(
	const struct reader_client_options *options);
void reader_client_destroy(struct reader_client *client);

/** Chooses the reader to ask; returns false when the store must be read. */
bool reader_client_choose(struct reader_client *client);

/** Returns the packed address of the chosen reader, or 0 for none. */
uint64_t reader_client_reader(const struct reader_client *client);

/** Tells whether a fetch is in progress. */
bool reader_client_busy(const struct reader_client *client);

/** Starts a fetch of a path from the chosen reader. */
void reader_client_fetch(struct reader_client *client, const char *target);

/** Abandons the fetch in progress, if any; done is not called. */
void reader_client_cancel(struct reader_client *client);

/** Returns the number of a query's field, or 0. */
uint64_t reader_query_number(const char *query, const char *name);

#endif
