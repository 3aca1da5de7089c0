/**
 * What the choice of servers and the room for batch share.
 */
#ifndef BRIARPLANK_CORE_FLEET_PRIVATE_H
#define BRIARPLANK_CORE_FLEET_PRIVATE_H

#include <string.h>

#include "core/fleet.h"

struct fleet_peer {
	struct peer_load *loads;
	size_t nr;
};

struct fleet_peak {
	double value;
	uint64_t at_ms;
};

struct fleet_mean {
	double value;
	uint64_t at_ms;
};

struct fleet {
	struct fleet_options options;
	char *data_centre;
	char *region;
	struct list servers;
	/* Server hash to struct server *. */
	GHashTable *by_hash;
	/* Peer to struct fleet_peer *. */
	GHashTable *peers;
	/* Service name to struct fleet_peak * of its online load. */
	GHashTable *peaks;
	/* Service name to struct fleet_mean * of the slots that batch gets. */
	GHashTable *batch_slots;
};

/** Requests of a class that all entries are known to have at the server. */
double server_load(const struct server *server, enum work_class class);

/** Load in the server's last report that nobody is known to have sent. */
double server_unexplained(const struct server *server, uint64_t now_ms);

/** Tells whether the server takes new requests of a service. */
bool server_serves(const struct server *server, const char *service);

/** Tells whether the server is neither avoided nor silent. */
bool server_usable(const struct server *server, uint64_t now_ms);

#endif
