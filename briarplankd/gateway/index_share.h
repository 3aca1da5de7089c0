/**
 * Passes the records of the job index on to other entries of the region, and
 * fetches them from one that reads the store.
 */
#ifndef BRIARPLANKD_GATEWAY_INDEX_SHARE_H
#define BRIARPLANKD_GATEWAY_INDEX_SHARE_H

#include "directory.pb-c.h"
#include "gateway.h"

struct index_share;

struct index_share_options {
	struct gateway *gateway;
	/** Returns the time since this node was up to date, in ms. */
	uint64_t (*age_ms)(void *ctx);
	/**
	 * Called with a fetched page, or with NULL when the fetch failed.
	 * Returns false if the reader should be avoided for some time.
	 */
	bool (*on_page)(void *ctx, const IndexPage *page);
	void *ctx;
};

struct index_share *index_share_create(
	const struct index_share_options *options);
void index_share_destroy(struct index_share *share);

/** Keeps a record that was read, and sends it to the entries that wait. */
void index_share_add(struct index_share *share, uint64_t offset,
		     const void *data, size_t len);

/** Answers the entries that wait for records that have been added. */
void index_share_flush(struct index_share *share);

/** Chooses a reader; returns false when the store must be read. */
bool index_share_choose_reader(struct index_share *share);

/**
 * Fetches the records from an offset on. The reader may hold the request for
 * wait_ms until there is one.
 */
void index_share_fetch(struct index_share *share, uint64_t from,
		       unsigned wait_ms);

/** Abandons the fetch in progress; returns false if there is none. */
bool index_share_cancel(struct index_share *share);

#endif
