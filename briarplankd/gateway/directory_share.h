/**
 * Fetches the directory from another entry, and serves it to others. In a
 * region with many entries only a few, the readers, read the servers and the
 * configuration from the store. The others fetch the changes from a reader,
 * which spares them and the store the reads of heartbeats that change nothing.
 */
#ifndef BRIARPLANKD_GATEWAY_DIRECTORY_SHARE_H
#define BRIARPLANKD_GATEWAY_DIRECTORY_SHARE_H

#include "directory.pb-c.h"
#include "gateway.h"

struct directory_share;

/** Callbacks into the directory. */
struct directory_share_hooks {
	/**
	 * Fills a page with all servers that changed since servers_from, and
	 * the configuration if it was written at config_from or later. The
	 * share frees the page's members.
	 */
	void (*fill_page)(void *ctx, DirectoryPage *page, uint64_t servers_from,
			  uint64_t config_from);
	/**
	 * Applies a page from the reader; returns false if the page is too old
	 * to be used.
	 */
	bool (*apply_page)(void *ctx, const DirectoryPage *page);
	void *ctx;
};

/** Creates a share that serves pages at gateway->node_web. */
struct directory_share *directory_share_create(
	struct gateway *gateway, const struct directory_share_hooks *hooks);
void directory_share_destroy(struct directory_share *share);

/** Tells whether pages are fetched from a reader instead of the store. */
bool directory_share_has_reader(const struct directory_share *share);

/**
 * Chooses a reader, if one is needed, and fetches from it what changed since
 * these offsets. Does nothing while an earlier fetch is in progress.
 */
void directory_share_fetch(struct directory_share *share, uint64_t servers_from,
			   uint64_t config_from);

#endif
