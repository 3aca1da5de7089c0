/**
 * The other entries: which of them live, and who runs the items of a job.
 *
 * An entry counts as alive once it is heard itself. A process that starts at
 * the address of another replaces it.
 */
#ifndef BRIARPLANK_CORE_PEER_TABLE_H
#define BRIARPLANK_CORE_PEER_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/list.h"

/** Batch items that wait for a slot. */
struct batch_backlog {
	/** Those that can still be done by their due time. */
	unsigned in_time;
	unsigned late;
};

struct peer {
	struct list link;
	/** Name and incarnation. */
	char *identity;
	uint64_t hash;
	/** Where it is told of others' load; packed by the table's owner. */
	uint64_t address;
	bool same_region;
	uint64_t heard_ms;
	/** Of its last report. */
	uint64_t sequence;
	bool alive;
	/** It shuts down and takes no more items. */
	bool leaving;
	/** Offset behind its last record in the job index, as it last said. */
	uint64_t index_offset;
	/** Where it is asked for the directory; 0 when that isn't known. */
	uint64_t directory;
	/** Its own way to the store is open, as it last said. */
	bool reaches_store;
	struct batch_backlog backlog;
};

struct peer_table_options {
	/** Identity of this node. */
	const char *self;
	uint64_t now_ms;
	/** Whom the table tells of changes; may be NULL. */
	void (*on_alive)(void *ctx, const struct peer *peer);
	void (*on_lost)(void *ctx, const struct peer *peer, const char *why);
	/**
	 * A silent entry was forgotten, and nothing is sent to it any more. It
	 * may live behind a cut and have forgotten this node, too: this node
	 * must be announced again.
	 */
	void (*on_forgotten)(void *ctx, const struct peer *peer);
	void *ctx;
};

struct peer_table;

struct peer_table *peer_table_create(const struct peer_table_options *options);
void peer_table_destroy(struct peer_table *table);

/** An entry as the job log announces it. */
struct peer_announcement {
	const char *identity;
	uint64_t address;
	bool same_region;
	/** Read from the log's past: it may have been replaced since. */
	bool past;
};

void peer_table_announced(struct peer_table *table,
			  const struct peer_announcement *announcement,
			  uint64_t now_ms);

/**
 * A report arrived from an entry. Returns the entry, or NULL when the report
 * is older than one before it, or is this node's own.
 */
struct peer *peer_table_reported(struct peer_table *table, const char *identity,
				 uint64_t address, uint64_t sequence,
				 uint64_t now_ms);

/** Longest time between two reports of an entry, by their number, in ms. */
uint64_t peer_table_heartbeat_ms(const struct peer_table *table);

/** Drops what is silent for too long; called some times a second. */
void peer_table_sweep(struct peer_table *table, uint64_t now_ms);

/** This node leaves its items to the others. */
void peer_table_hand_over(struct peer_table *table);

/** Who runs the items of a job. */
struct peer_owner_query {
	const char *job;
	/** Identity of the entry that took it. */
	const char *taken_by;
	/** Offset up to which this node has read the job index. */
	uint64_t index_offset;
	uint64_t now_ms;
};

/**
 * Tells whether this node runs the items of a job: the entry that took it while
 * it lives, else the first of the living by a hash of both. What one that left
 * has saved of its items must have been read first.
 */
bool peer_table_owns(const struct peer_table *table,
		     const struct peer_owner_query *query);

/** Age of the oldest report of a living entry, in ms. */
uint64_t peer_table_age_ms(const struct peer_table *table, uint64_t now_ms);

/** Sum of what waits at the living entries of this region, or of all. */
struct batch_backlog peer_table_backlog(const struct peer_table *table,
					bool all_regions);

/** Who reads the directory in the store for an entry. */
struct peer_reader_query {
	/** This entry could read it itself. */
	bool self_reaches_store;
	/** Entries of a region from which on only a few read it. */
	unsigned readers_from;
	/** Directory address of an entry that isn't asked now; 0 for none. */
	uint64_t avoided;
};

/** Directory address of the entry to ask; 0 to read the store itself. */
uint64_t peer_table_reader(const struct peer_table *table,
			   const struct peer_reader_query *query);

/** Entries that are known, this one included, whether they live or not. */
unsigned peer_table_entries(const struct peer_table *table);

/** All entries that reports are sent to (struct peer), by their link. */
struct list *peer_table_peers(struct peer_table *table);

#endif
