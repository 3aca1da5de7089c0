/**
 * Tracks the other entries: which are alive, and the load that each puts on the
 * servers.
 *
 * Load reports are datagrams. Each replaces the one before it, so a lost report
 * needs no retransmission.
 */
#ifndef BRIARPLANKD_GATEWAY_PEERS_H
#define BRIARPLANKD_GATEWAY_PEERS_H

#include <netinet/in.h>

#include "core/peer_table.h"
#include "core/poll_pace.h"
#include "gateway.h"
#include "nodeload.pb-c.h"

/**
 * Starts load reports; returns NULL with error_last() set if the port can't be
 * bound.
 */
struct peers *peers_create(struct gateway *gateway, int port);
void peers_destroy(struct peers *peers);

/** Returns the IP:PORT at which this node receives load reports. */
/** Returns the number of live entries, with this one. */
unsigned peers_entries(const struct peers *peers);

const char *peers_address(const struct peers *peers);

/** Adds an entry whose announcement was read from the job log. */
void peers_add_announced(struct peers *peers, const char *identity,
			 const char *address, const char *data_centre);

/**
 * Announces this entry's address to the others through the job log and the list
 * of entries, and reads that list.
 */
void peers_announce(struct peers *peers);

/** Schedules a report after a change of this node's load. */
void peers_load_changed(struct peers *peers);

/** Sends a message, which may get lost, to an entry by its packed address. */
void peers_send(struct peers *peers, uint64_t address, NodeLoad *message);

/** Chooses entries by a key; see peer_table_choose(). */
unsigned peers_choose(const struct peers *peers, uint64_t key, bool same_region,
		      uint64_t *addresses, unsigned max);

/** Hands the batch items of this node over to the others, and reports it. */
void peers_hand_over(struct peers *peers);

/** Tells whether this node runs the items of a job; see peer_table_owns(). */
bool peers_owns_job(const struct peers *peers, const struct job *job);

/** Tells whether this node is responsible for a key; see
 * peer_table_owns_hash(). */
bool peers_owns_hash(const struct peers *peers, uint64_t hash);

/** Returns the list of the other entries (struct peer). */
struct list *peers_list(struct peers *peers);

/** Tells whether an entry is known at an IP address. */
bool peers_has_address(struct peers *peers, const struct in_addr *ip);

/**
 * Tells whether enough is known of the other entries to choose a reader. A node
 * that has just started waits for it, so that the entries of a region that
 * start together don't all read the store.
 */
bool peers_settled(const struct peers *peers);

/** Tells whether another entry has loaded the store's data. */
bool peers_have_loaded(const struct peers *peers);

/** Interval at which a starting node asks peers_settled() again, in ms. */
#define PEERS_SETTLE_CHECK_MS 20

/**
 * Tells whether a node that has not loaded the store's data may still wait for a
 * reader to load it. Later it reads the store itself.
 */
bool peers_may_wait(const struct peers *peers);

/**
 * Returns the packed address of the reader to ask, or 0 when the store must be
 * read; see peer_table_reader(). "avoided" is a reader to leave out, or 0.
 */
uint64_t peers_choose_reader(const struct peers *peers, uint64_t avoided);

/** Returns how often this entry may read the store. */
struct poll_pace peers_poll_pace(const struct peers *peers);

/** Returns the age of the oldest report of an entry that is alive, in ms. */
uint64_t peers_age_ms(const struct peers *peers);

/** Returns the heartbeat interval of the entries, in ms. */
uint64_t peers_heartbeat_ms(const struct peers *peers);

/**
 * Returns the batch items that wait at this entry and at the others of its
 * region, or of all regions.
 */
struct batch_backlog peers_backlog(const struct peers *peers, bool all_regions);

#endif
