/**
 * Fleet state shared by server selection (fleet.c) and batch placement
 * (fleet_batch.c).
 */
#ifndef BRIARPLANK_CORE_FLEET_PRIVATE_H
#define BRIARPLANK_CORE_FLEET_PRIVATE_H

#include <string.h>

#include "core/fleet.h"

struct peer_report {
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
	/* Maps a server hash to a struct server *. */
	GHashTable *by_hash;
	/* Maps the hash of a server that has said that it leaves to its
	 * started_ms, and the hashes in the order in which they were added. */
	GHashTable *leaving;
	GQueue leaving_order;
	/* Maps a peer id to a struct peer_report *. */
	GHashTable *peers;
	/* Maps "SERVICE/0" (own region) and "SERVICE/1" (other regions) to the
	 * struct fleet_peak * of their online load. */
	GHashTable *peaks;
	/* Maps a service name to a struct fleet_mean * of the slots available
	 * to batch. */
	GHashTable *batch_slots;
	/* Maps the key of another entry to its struct sharer *. */
	GHashTable *sharers;
	/* Maps the hash of a service's name to its struct demand_meter *. */
	GHashTable *demands;
	/* Key of this node among the entries that share limits. */
	uint64_t self;
	/* Maps the hash of a service and region to this node's struct share *
	 * in this slot. */
	GHashTable *shares;
	/* Maps the hash of a service and software version to its struct software *. */
	GHashTable *software;
	/* Servers that start or recover are paced. */
	bool paces;
	/* Last slot of the time of day whose permits were issued. */
	uint64_t permit_slot;
};

/** Returns how long work takes at the server now, relative to the usual. */
double server_slowdown(const struct server *server, uint64_t now_ms);

/** Begins the pace of a server that starts or recovers, if the fleet paces them. */
void server_begin_pace(struct server *server);

/** Tells whether its pace lets the server get no further request now. */
bool server_is_paced(const struct server *server);

/** Notes an answer for the server's pace. */
void server_note_pace(struct server *server, double first_ms, uint64_t now_ms);

/** Creates and frees the memory of software versions. */
void fleet_software_init(struct fleet *fleet);
void fleet_software_clear(struct fleet *fleet);

/** Notes which versions are listed. */
void fleet_software_sweep(struct fleet *fleet, uint64_t now_ms);

/** Creates and frees the state of limits. */
void fleet_limits_init(struct fleet *fleet);
void fleet_limits_clear(struct fleet *fleet);

/** Tells whether the server's limit, if any, allows a request now. */
bool server_permits(const struct server *server, enum work_class class,
		    uint64_t now_ms);

/** Uses a permit for a request that is sent. */
void server_use_permit(struct server *server, uint64_t now_ms);

/** Returns the known number of requests of a class at the server, from all
 * entries. */
double server_load(const struct server *server, enum work_class class);

/** Returns the part of the server's last reported load that no entry's known
 * requests account for, decayed by the age of the report. */
double server_unattributed(const struct server *server, uint64_t now_ms);

/** Tells whether a request to the server needs no new connection. */
bool server_has_connection(const struct fleet *fleet,
			   const struct server *server);

/** Tells whether the server accepts new requests of a service. */
bool server_serves(const struct server *server, const char *service);

/** Tells whether a server has a version of software; 0 for any. */
bool server_has_software(const struct server *server, uint64_t software);

/** Tells whether the server is neither in backoff nor silent. */
bool server_usable(const struct server *server, uint64_t now_ms);

#endif
