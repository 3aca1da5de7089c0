/**
 * The other entries: which of them are alive, and which runs a job's items.
 *
 * An entry counts as alive once a report came from it. A process that starts
 * at the address of another replaces it.
 */
#ifndef BRIARPLANK_CORE_PEER_TABLE_H
#define BRIARPLANK_CORE_PEER_TABLE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/list.h"

/** Numbers of batch items that wait to be run. */
struct batch_backlog {
	/** Items that can still be completed by their due time. */
	unsigned in_time;
	/** Items that can no longer be completed by their due time. */
	unsigned late;
};

/** Another entry of the fleet, as this node knows it. */
struct peer {
	struct list link;
	/** Name and incarnation of the entry, in one string. */
	char *identity;
	uint64_t hash;
	/** Address that load reports are sent to, packed by the caller. */
	uint64_t address;
	bool same_region;
	uint64_t heard_ms;
	/** Sequence number of the entry's last report. */
	uint64_t sequence;
	bool alive;
	/** The entry is shutting down and takes no more items. */
	bool leaving;
	/** Offset after its last record in the job index, as it last
	 * reported. */
	uint64_t index_offset;
	/** Address that directory requests are sent to; 0 when unknown. */
	uint64_t directory;
	/** The entry can reach the store itself, as last reported. */
	bool reaches_store;
	/** The entry has read the directory and the job index. */
	bool loaded;
	/** Share of a processor core that it has, in thousandths. */
	unsigned capacity;
	struct batch_backlog backlog;
};

struct peer_table_options {
	/** Identity of this node. */
	const char *self;
	/** Address that this node receives load reports at, packed. */
	uint64_t address;
	/** Time at which this node started. */
	uint64_t now_ms;
	/** Share of a processor core that it has, in thousandths. */
	unsigned capacity;
	/** Callbacks for state changes; each may be NULL. */
	void (*on_alive)(void *ctx, const struct peer *peer);
	void (*on_lost)(void *ctx, const struct peer *peer, const char *why);
	/**
	 * A silent entry was removed, and nothing is sent to it any more. It
	 * may be alive behind a network partition and have removed this node,
	 * too, so that this node must be announced again.
	 */
	void (*on_removed)(void *ctx, const struct peer *peer);
	void *ctx;
};

struct peer_table;

struct peer_table *peer_table_create(const struct peer_table_options *options);
void peer_table_destroy(struct peer_table *table);

/** Announcement of an entry in the job log. */
struct peer_announcement {
	const char *identity;
	uint64_t address;
	bool same_region;
	/** Share of a processor core in thousandths; 0 if unknown. */
	unsigned capacity;
	/**
	 * The announcement was read from older records, so the entry may have
	 * been replaced since.
	 */
	bool replayed;
};

/** Adds an announced entry, or updates its region. */
void peer_table_note_announcement(struct peer_table *table,
				  const struct peer_announcement *announcement,
				  uint64_t now_ms);

/**
 * Handles a report of an entry, which marks it as alive. Returns the entry, or
 * NULL for an outdated or repeated report and for one of this node itself.
 */
struct peer *peer_table_note_report(struct peer_table *table,
				    const char *identity, uint64_t address,
				    uint64_t sequence, uint64_t now_ms);

/** Returns the heartbeat interval for the number of entries, in ms. */
uint64_t peer_table_heartbeat_ms(const struct peer_table *table);

/**
 * Marks entries as lost after the heartbeat timeout and removes them later.
 * Must be called several times a second.
 */
void peer_table_sweep(struct peer_table *table, uint64_t now_ms);

/** Hands this node's items over to the other entries, before a shutdown. */
void peer_table_hand_over(struct peer_table *table);

/** Parameters of peer_table_owns(). */
struct peer_owner_query {
	const char *job;
	/** Identity of the entry that accepted the job. */
	const char *accepted_by;
	/** Offset up to which this node has read the job index. */
	uint64_t index_offset;
	uint64_t now_ms;
};

/**
 * Tells whether this node runs the items of a job. The entry that accepted the
 * job does so while it is alive, else the live entry of the highest rendezvous
 * hash. This node takes over only after it has read the job index as far as
 * the former owner reported to have written it.
 */
bool peer_table_owns(const struct peer_table *table,
		     const struct peer_owner_query *query);

/**
 * Tells whether this node is the live entry with the highest rendezvous hash for
 * a key.
 */
bool peer_table_owns_hash(const struct peer_table *table, uint64_t hash);

/**
 * Chooses up to max live entries of this region, or of others, that a key selects:
 * those of the highest rendezvous hash, by their addresses, so that an entry that
 * restarts is chosen again. Returns their number.
 */
unsigned peer_table_choose(const struct peer_table *table, uint64_t key,
			   bool same_region, uint64_t *addresses, unsigned max);

/** Returns the age of the oldest last report of a live entry, in ms. */
uint64_t peer_table_oldest_report_ms(const struct peer_table *table,
				     uint64_t now_ms);

/**
 * Returns the sum of the backlogs of the live entries in this region, or in all
 * regions.
 */
struct batch_backlog peer_table_backlog(const struct peer_table *table,
					bool all_regions);

/** Parameters of peer_table_reader(). */
struct peer_reader_query {
	/** This entry can reach the store itself. */
	bool self_reaches_store;
	/** This entry has read the directory and the job index. */
	bool self_loaded;
	/**
	 * Minimum number of entries in a region at which only a few of them
	 * read the store.
	 */
	unsigned readers_from;
	/** Directory address of an entry to exclude; 0 for none. */
	uint64_t avoided;
};

/**
 * Returns the entry to request the store's data from, or NULL when this entry
 * must read the store itself.
 */
const struct peer *peer_table_reader(const struct peer_table *table,
				     const struct peer_reader_query *query);

/** Returns the number of known entries, alive or not, including this node. */
unsigned peer_table_entries(const struct peer_table *table);

/** Returns the same for this region. */
unsigned peer_table_region_entries(const struct peer_table *table);

/**
 * Tells whether this node is to read the store on behalf of its region while
 * none of the announced entries is known to be alive. As the choice depends on
 * addresses, all entries that start together make the same one.
 */
bool peer_table_is_designated(const struct peer_table *table);

/**
 * Tells whether a live entry of this region has loaded the store's data and
 * passes it on.
 */
bool peer_table_has_loaded(const struct peer_table *table);

/**
 * Returns the list of entries that reports are sent to: struct peer, linked by
 * its member link.
 */
struct list *peer_table_peers(struct peer_table *table);

#endif
