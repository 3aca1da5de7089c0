/**
 * The other entries: who lives, and what load each puts on the servers.
 *
 * Reports are datagrams: the newest replaces the ones before, and a lost one
 * is made good by the next.
 */
#ifndef BRIARPLANKD_GATEWAY_PEERS_H
#define BRIARPLANKD_GATEWAY_PEERS_H

#include "batch.h"
#include "gateway.h"

/** NULL with an error message when the port can't be bound. */
struct peers *peers_create(struct gateway *gateway);
void peers_destroy(struct peers *peers);

/** IP:PORT at which this node is told of others' load. */
const char *peers_address(const struct peers *peers);

/** The job log told of an entry that started. */
void peers_learn(struct peers *peers, const char *identity, const char *address,
		 const char *data_centre);

/** This node's load changed; a report follows soon. */
void peers_load_changed(struct peers *peers);

/** Tells whether an entry is alive and takes batch items. */
bool peers_alive(const struct peers *peers, const char *identity);

/**
 * Tells whether this node owns a job: the entry that took it while it lives,
 * else the first of the living by a hash of both.
 */
bool peers_own(const struct peers *peers, const struct job *job);

/** Age of the oldest report of a living entry, in ms. */
uint64_t peers_age_ms(const struct peers *peers);

/** Batch items that wait at this entry and the others of its region, or of
 * all regions. */
struct batch_backlog peers_backlog(const struct peers *peers, bool far);

#endif
