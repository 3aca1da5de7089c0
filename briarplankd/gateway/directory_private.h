/**
 * State shared by the code that reads the store (directory.c) and the pages
 * exchanged with other entries (directory_pages.c).
 */
#ifndef BRIARPLANKD_GATEWAY_DIRECTORY_PRIVATE_H
#define BRIARPLANKD_GATEWAY_DIRECTORY_PRIVATE_H

#include "core/change_list.h"
#include "directory.h"
#include "directory_share.h"

/* How far one topic of the store has been read. */
struct topic {
	struct directory *directory;
	const char *name;
	/* Loop time in ms as of which the data is up to date: when the last
	 * read that reached the end was sent. */
	uint64_t as_of_ms;
	uint64_t next_offset;
	/* End of the topic when the snapshot was begun. */
	uint64_t snapshot_offset;
	/* Number of consecutive reads that failed. */
	unsigned failures;
	/* A read is in flight, and another one is wanted without a pause. */
	bool reading;
	bool refresh;
	/* The snapshot was read; reads now return the records after it. */
	bool following;
	/* Last key of the previous page of the snapshot, or NULL. */
	char *page_key;
	uv_timer_t timer;
	void (*apply)(struct directory *directory,
		      const struct store_record *record);
};

enum { TOPIC_CONFIG, TOPIC_SERVERS, TOPICS };

struct directory {
	struct gateway *gateway;
	struct topic topics[TOPICS];
	/* Set of server ids in the snapshot that is being read; NULL if none is
	 * read. */
	GHashTable *seen;
	/* Maps the id of a server that vanished soon after a store failure to a
	 * uint64_t *: the loop time at which its grace period started. */
	GHashTable *unlist_pending;
	/* Loop time of the last failed read; 0 for none. */
	uint64_t store_failed_ms;
	/* Loop time since which the list of servers has been kept up to date; 0 while
	 * it isn't. */
	uint64_t known_since_ms;
	/* Newest records of servers, for pages to other entries. */
	struct change_list *changes;
	/* The encoded configuration as the platform wrote it. */
	GBytes *config;
	uint64_t config_offset;
	/* The last page listed a server that this node knows to be removed. */
	bool page_had_removed;
	struct directory_share *share;
	uv_timer_t fetch_timer;
	uv_timer_t sweep_timer;
	/* Number of timers that are still to be closed. */
	int open_handles;
};

/**
 * Each applies one record of the store: the first of the operator's topic, the
 * second of the servers' topic.
 */
void directory_apply_config(struct directory *directory,
			    const struct store_record *record);
void directory_apply_server(struct directory *directory,
			    const struct store_record *record);

/**
 * Returns the offset up to which the servers were read. A removal without a
 * record of its own is noted there, so that entries that fetch from it on
 * receive it.
 */
uint64_t directory_next_offset(const struct directory *directory);

/**
 * Handles a server that the store no longer holds as of an offset: unlists it,
 * or starts a grace period if the store failed shortly before.
 */
void directory_server_removed(struct directory *directory, const char *id,
			      uint64_t offset);

/** Fills a page for another entry; see struct directory_share_hooks. */
void directory_fill_page(void *ctx, DirectoryPage *page, uint64_t servers_from,
			 uint64_t config_from);

/**
 * Applies a page of another entry; returns false if the page is too old to be
 * used.
 */
bool directory_apply_page(void *ctx, const DirectoryPage *page);

#endif
