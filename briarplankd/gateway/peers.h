/**
 * The other entries: who lives, and what load each puts on the servers.
 *
 * Reports are datagrams: the newest replaces the ones before, and a lost one
 * is made good by the next.
 */
#ifndef BRIARPLANKD_GATEWAY_PEERS_H
#define BRIARPLANKD_GATEWAY_PEERS_H

#include <netinet/in.h>

#include "core/peer_table.h"
#include "core/poll_pace.h"
#include "gateway.h"

/** NULL with an error message when the port can't be bound. */
struct peers *peers_create(struct gateway *gateway, int port);
void peers_destroy(struct peers *peers);

/** IP:PORT at which this node is told of others' load. */
const char *peers_address(const struct peers *peers);

/** The job log told of an entry that started. */
void peers_learn(struct peers *peers, const char *identity, const char *address,
		 const char *data_centre);

/** Tells the other entries by the job log where this one is. */
void peers_announce(struct peers *peers);

/** This node's load changed; a report follows soon. */
void peers_load_changed(struct peers *peers);

/** Leaves the items of this node to the others, and tells them. */
void peers_hand_over(struct peers *peers);

/** Tells whether this node runs the items of a job; see peer_table_owns(). */
bool peers_own(const struct peers *peers, const struct job *job);

/** The other entries (struct peer), by their link. */
struct list *peers_list(struct peers *peers);

/** Tells whether an entry is known at an IP address. */
bool peers_know(struct peers *peers, const struct in_addr *ip);

/** Directory address of the entry to ask, or 0; see peer_table_reader(). */
uint64_t peers_reader(const struct peers *peers,
		      const struct peer_reader_query *query);

/** How often this entry reads the store, by the number of entries. */
struct poll_pace peers_poll_pace(const struct peers *peers);

/** Age of the oldest report of a living entry, in ms. */
uint64_t peers_age_ms(const struct peers *peers);

/** Batch items that wait at this entry and the others of its region, or of
 * all regions. */
struct batch_backlog peers_backlog(const struct peers *peers, bool far);

#endif
