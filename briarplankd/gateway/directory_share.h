/**
 * The directory by way of another entry.
 *
 * In a region with many entries a few read the servers and the configuration
 * in the store, and the others ask these for what has changed. So the store is
 * not read by each for heartbeats that change nothing.
 */
#ifndef BRIARPLANKD_GATEWAY_DIRECTORY_SHARE_H
#define BRIARPLANKD_GATEWAY_DIRECTORY_SHARE_H

#include "directory.pb-c.h"
#include "gateway.h"

struct directory_share;

/** What the share needs of the directory, and tells it. */
struct directory_share_hooks {
	/**
	 * Fills a page with all that changed since an offset, and the
	 * configuration if it is newer than the one at an offset. The share
	 * frees the page's members.
	 */
	void (*fill)(void *ctx, DirectoryPage *page, uint64_t servers_from,
		     uint64_t config_offset);
	/** A page came from the entry that is asked; false when it is stale. */
	bool (*take)(void *ctx, const DirectoryPage *page);
	void *ctx;
};

/** Listens for other entries; NULL with an error message when it can't. */
struct directory_share *directory_share_create(
	struct gateway *gateway, const struct directory_share_hooks *hooks);
void directory_share_destroy(struct directory_share *share);

/** The port at which other entries ask. */
unsigned directory_share_port(const struct directory_share *share);

/** Tells whether another entry is asked; if so the store need not be read. */
bool directory_share_asks(const struct directory_share *share);

/** Asks for what has changed since these offsets, if one is to be asked. */
void directory_share_ask(struct directory_share *share, uint64_t servers_from,
			 uint64_t config_offset);

#endif
