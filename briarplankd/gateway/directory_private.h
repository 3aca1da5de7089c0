/**
 * What the following of the store and the pages of other entries share.
 */
#ifndef BRIARPLANKD_GATEWAY_DIRECTORY_PRIVATE_H
#define BRIARPLANKD_GATEWAY_DIRECTORY_PRIVATE_H

#include "core/change_list.h"
#include "directory.h"
#include "directory_share.h"

struct topic {
	struct directory *directory;
	const char *name;
	/* The last answer of the store came in time, in loop ms. */
	uint64_t answered_ms;
	uint64_t next_offset;
	uint64_t snapshot_offset;
	/* Reads that failed in a row. */
	unsigned failures;
	/* The newest values were read; the records behind them follow. */
	bool following;
	char *page_key;
	uv_timer_t timer;
	void (*take)(struct directory *directory,
		     const struct store_record *record);
};

enum { TOPIC_CONFIG, TOPIC_SERVERS, TOPICS };

struct directory {
	struct gateway *gateway;
	struct topic topics[TOPICS];
	/* Servers of the page set that is being read: id to nothing. */
	GHashTable *seen;
	/* Servers whose entry vanished in trouble: id to uint64_t * time. */
	GHashTable *lapsed;
	uint64_t trouble_ms;
	/* Newest entries of servers, for other entries. */
	struct change_list *changes;
	/* The configuration as the platform wrote it. */
	GBytes *config;
	uint64_t config_offset;
	struct directory_share *share;
	uv_timer_t ask_timer;
	uv_timer_t sweep_timer;
	int handles;
};

/** Take a record of the operator's topic, or of the servers'. */
void directory_take_config(struct directory *directory,
			   const struct store_record *record);
void directory_take_server(struct directory *directory,
			   const struct store_record *record);

/** A server is no longer listed, or its entry lapsed in trouble. */
void directory_server_vanished(struct directory *directory, const char *id);

/** Makes a page for another entry; see struct directory_share_hooks. */
void directory_fill_page(void *ctx, DirectoryPage *page, uint64_t servers_from,
			 uint64_t config_offset);

/** Takes a page of another entry; false when it is stale. */
bool directory_take_page(void *ctx, const DirectoryPage *page);

#endif
