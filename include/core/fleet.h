/**
 * What an entry believes of the backend servers, and where it sends work.
 *
 * A server's load is this node's own requests, what the other entries last
 * said of theirs, and the part of the server's own report that neither
 * explains. The server with the shortest expected time to the first byte wins.
 */
#ifndef BRIARPLANK_CORE_FLEET_H
#define BRIARPLANK_CORE_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "common/list.h"

struct fleet;

enum work_class {
	WORK_ONLINE,
	WORK_BATCH,
	WORK_CLASSES,
};

enum server_distance {
	SERVER_SAME_DATA_CENTRE,
	SERVER_SAME_REGION,
	SERVER_OTHER_REGION,
	SERVER_DISTANCES,
};

/** What the platform says of a server. Strings are copied. */
struct server_facts {
	const char *id;
	const char *service;
	/** IP:PORT. */
	const char *address;
	const char *data_centre;
	/** Requests that it runs at once. */
	unsigned slots;
	/** It leaves soon and must get nothing new. */
	bool draining;
	/** Start of this incarnation, Unix ms; 0 when it isn't known. */
	uint64_t born_ms;
};

struct server {
	struct list link;
	char *id;
	char *service;
	char *address;
	char *data_centre;
	uint64_t hash;
	uint64_t born_ms;
	unsigned slots;
	bool draining;
	/** The platform lists it; an unlisted one only finishes its work. */
	bool listed;
	enum server_distance distance;
	/** Requests of this node that it has. */
	unsigned own[WORK_CLASSES];
	/** Requests of the other entries, as they last said. */
	unsigned others[WORK_CLASSES];
	/** Requests in its last report that nobody was known to have sent. */
	unsigned unexplained;
	uint64_t reported_ms;
	/** Smoothed time to the first byte without a queue, in ms. */
	double first_ms;
	/** Smoothed time for which a request holds a slot, in ms. */
	double hold_ms;
	/** Smoothed share of requests that failed. */
	double failures;
	/** Requests sent since it was last heard. */
	unsigned unheard;
	uint64_t unheard_since_ms;
	/** Nothing is sent before this time, and how often that was so. */
	uint64_t avoid_until_ms;
	unsigned strikes;
	/** Kept connections; closed by the fleet's on_forget. */
	void *connections;
};

struct fleet_options {
	const char *data_centre;
	const char *region;
	/** Data centre to region, both strings; not copied. */
	GHashTable *regions;
	/** Called before a server's memory goes; may be NULL. */
	void (*on_forget)(void *ctx, struct server *server);
	void *ctx;
};

struct fleet *fleet_create(const struct fleet_options *options);
void fleet_destroy(struct fleet *fleet);

/** Adds a server or changes what is known of it. */
void fleet_learn(struct fleet *fleet, const struct server_facts *facts);

/** The platform no longer lists the server. */
void fleet_unlist(struct fleet *fleet, const char *id);

/**
 * Looks at all servers, some times a second: silent ones are avoided for a
 * while, and unlisted ones without work of this node are forgotten.
 */
void fleet_sweep(struct fleet *fleet, uint64_t now_ms);

struct server *fleet_find(struct fleet *fleet, const char *id);

/** All servers, by their link. */
struct list *fleet_servers(struct fleet *fleet);

/** A request that looks for a server. */
struct fleet_query {
	const char *service;
	uint64_t now_ms;
	/** Hash of the prompt's shared parts; 0 when there is none. */
	uint64_t prefix_hash;
	/** Hashes of the servers that this request was at already. */
	const uint64_t *tried;
	size_t tried_nr;
};

struct fleet_choice {
	/** NULL when the service has no server that can be used. */
	struct server *server;
	/** Expected wait for a slot, in ms. */
	double wait_ms;
	/** Expected time to the first byte with the wait, in ms. */
	double first_ms;
};

/** Chooses a server for an online request. */
struct fleet_choice fleet_choose(struct fleet *fleet,
				 const struct fleet_query *query);

/** Servers of a service that can be used now. */
unsigned fleet_usable(struct fleet *fleet, const char *service,
		      uint64_t now_ms);

/** A request was sent to the server. */
void fleet_sent(struct server *server, enum work_class class, uint64_t now_ms);

/** Any byte came from the server. */
void fleet_heard(struct server *server, uint64_t now_ms);

/** The first byte of an answer came; first_ms < 0 when it had to queue. */
void fleet_answered(struct server *server, double first_ms);

/** How a request at a server ended. */
enum fleet_result {
	FLEET_GOOD,
	/** It ran and failed, or its fate is unknown. */
	FLEET_FAILED,
	/** The server refused to run it. */
	FLEET_REFUSED,
	/** The server could not be reached. */
	FLEET_UNREACHED,
	/** This node ended it itself. */
	FLEET_CANCELLED,
};

void fleet_done(struct server *server, enum work_class class,
		enum fleet_result result, double hold_ms, uint64_t now_ms);

/** The server reported its own load in an answer. */
void fleet_reported(struct server *server, unsigned running, unsigned waiting,
		    uint64_t now_ms);

/** One server's load from another entry. */
struct peer_load {
	uint64_t server_hash;
	unsigned counts[WORK_CLASSES];
};

/** Replaces what a peer said of its load; nr 0 forgets the peer. */
void fleet_peer(struct fleet *fleet, uint64_t peer,
		const struct peer_load *loads, size_t nr);

/** A batch item that looks for a slot. */
struct batch_query {
	const char *service;
	uint64_t now_ms;
	/** Takes servers of other regions, of which less is known. */
	bool far;
	/** Any number; nodes that ask at the same time differ by it. */
	uint64_t random;
};

/** Slots that batch items may take now, with a reserve kept. */
double fleet_batch_room(struct fleet *fleet, const struct batch_query *query);

/**
 * Slots of a service that batch items get on average, over some seconds that
 * end now. Called some times a second.
 */
double fleet_batch_slots(struct fleet *fleet, const char *service,
			 uint64_t now_ms);

/** Chooses a server with a free slot for a batch item, or NULL. */
struct server *fleet_choose_batch(struct fleet *fleet,
				  const struct batch_query *query);

/**
 * Number of its batch items that this node must take off a server, so that
 * online requests don't queue behind them. Each node works out the same split.
 */
unsigned fleet_yield(struct fleet *fleet, const struct server *server,
		     uint64_t self);

#endif
