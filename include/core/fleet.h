/**
 * An entry's view of the backend servers, and the selection of a server for a
 * request.
 *
 * The load of a server is the sum of this node's requests, the requests last
 * reported by the other entries, and the part of the server's own load report
 * that neither accounts for. The server with the shortest expected time to the
 * first byte is selected.
 */
#ifndef BRIARPLANK_CORE_FLEET_H
#define BRIARPLANK_CORE_FLEET_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>

#include "common/list.h"
#include "core/server_pace.h"

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

/** Description of a server from the platform. Strings are copied. */
struct server_info {
	const char *id;
	const char *service;
	/** Address as IP:PORT. */
	const char *address;
	const char *data_centre;
	/** Number of requests that it runs concurrently. */
	unsigned slots;
	/** Version of its software, to be compared for equality only. */
	const char *software;
	/** The server shuts down soon and must get no new requests. */
	bool draining;
	/**
	 * Unix time at which this incarnation of the server started, in ms; 0
	 * if unknown.
	 */
	uint64_t started_ms;
};

/** Length of the slots by which permits are issued, in ms, and number of slots
 * for which they are valid. */
#define PERMIT_SLOT_MS 50
#define PERMIT_SLOTS 30

/** Permits for a server with a limit, by the slot of their issue. */
struct permits {
	/** Numbers of permits, by slot modulo PERMIT_SLOTS. */
	uint16_t by_slot[PERMIT_SLOTS];
	/** Newest slot: a loop time in ms divided by PERMIT_SLOT_MS. */
	uint64_t newest;
	/** Sum of the numbers. */
	unsigned nr;
};

struct server {
	struct list link;
	struct fleet *fleet;
	char *id;
	char *service;
	char *address;
	char *data_centre;
	/** Version of its software, and the hash of it and of the service; never 0. */
	char *software;
	uint64_t software_hash;
	uint64_t hash;
	uint64_t started_ms;
	unsigned slots;
	bool draining;
	/** The server itself has said that it shuts down soon. */
	bool leaving;
	uint64_t service_hash;
	/** Hash of its region's name; 0 if unknown. */
	uint64_t region;
	/** Requests a second that it takes from all entries together, as it has
	 * said last; 0 for no limit. */
	double rate_limit;
	/** Loop time at which it said so, in ms. */
	uint64_t rate_heard_ms;
	/** This node's permits to send it a request. */
	struct permits permits;
	/** The platform lists the server; one that is no longer listed finishes
	 * its requests and gets no new ones. */
	bool listed;
	enum server_distance distance;
	/** Outstanding requests of this node. */
	unsigned own[WORK_CLASSES];
	/** Outstanding requests of the other entries, as last reported. */
	unsigned others[WORK_CLASSES];
	/** Requests in the server's last report that no entry is known to have
	 * sent. */
	unsigned unattributed;
	uint64_t reported_ms;
	/** Moving average of the time to the first byte without queueing, in
	 * ms. */
	double first_ms;
	/** Moving average of the time for which a request occupies a slot, in
	 * ms. */
	double hold_ms;
	/** How long work takes there, relative to the usual: as the server said last, on
	 * average, and the loop time at which it said so; 0 if it never has. */
	double slowdown;
	double slowdown_usual;
	uint64_t slowdown_ms;
	/** Its pace after a start or recovery, the loop time at which that ended, and
	 * whether it is logged. */
	struct server_pace pace;
	uint64_t pace_ended_ms;
	bool pace_logged;
	/** Moving average of the share of failed requests. */
	double failures;
	/** Requests sent since the server last sent a byte. */
	unsigned unanswered;
	uint64_t unanswered_since_ms;
	/** Loop time of the last data from the server, in ms; 0 before it. */
	uint64_t data_ms;
	/** End of the current backoff; no request is sent before. */
	uint64_t avoid_until_ms;
	/** Number of backoffs in a row. */
	unsigned backoffs;
	/** Pooled connections; closed by the fleet's on_forget. */
	void *connections;
};

struct fleet_options {
	const char *data_centre;
	const char *region;
	/**
	 * Maps the name of a data centre to its region. The table is not
	 * copied.
	 */
	GHashTable *regions;
	/** Called before a server is freed or its address or incarnation
	 * changes; may be NULL. */
	void (*on_forget)(void *ctx, struct server *server);
	/** Tells whether an open connection to the server is idle; may be
	 * NULL, then connections are not considered. */
	bool (*has_connection)(void *ctx, const struct server *server);
	void *ctx;
};

struct fleet *fleet_create(const struct fleet_options *options);
void fleet_destroy(struct fleet *fleet);

/** Returns the hash under which a version of a service's software is compared;
 * never 0. */
uint64_t fleet_software_hash(const char *service, const char *software);

/**
 * Returns the hash of the only version that a service's servers have been listed with
 * since a loop time, or 0 if there are none or several.
 */
uint64_t fleet_sole_software(struct fleet *fleet, const char *service,
			     uint64_t since_ms);

/**
 * Returns the service of a version by its hash, of those that are listed or were in the
 * last minutes; NULL if this entry knows none. Valid until the next change of the fleet.
 */
const char *fleet_software_service(struct fleet *fleet, uint64_t software_hash);

/** Tells whether a server of a version takes new requests, by the version's hash. */
bool fleet_software_serves(struct fleet *fleet, uint64_t software_hash);

/**
 * Tells whether servers of other versions take new requests of a service, and none of
 * this one.
 */
bool fleet_software_gone(struct fleet *fleet, const char *service,
			 uint64_t software_hash);

/** Adds a server or updates its description. */
void fleet_update_server(struct fleet *fleet, const struct server_info *facts);

/**
 * Records that a server has said that it shuts down soon. It gets no new
 * requests until it is listed with a later start; this is kept when the server
 * is no longer listed.
 */
void fleet_mark_leaving(struct fleet *fleet, struct server *server);

/** Marks a server as no longer listed by the platform. */
void fleet_mark_unlisted(struct fleet *fleet, const char *id);

/**
 * Puts silent servers into backoff, and removes unlisted servers that have no
 * outstanding requests of this node. Called several times a second.
 */
void fleet_sweep(struct fleet *fleet, uint64_t now_ms);

struct server *fleet_find(struct fleet *fleet, const char *id);

/** Finds a server by the hash of its id. */
struct server *fleet_find_hash(struct fleet *fleet, uint64_t hash);

/** Returns the list of all servers, linked by server->link. */
struct list *fleet_servers(struct fleet *fleet);

/** An online request that needs a server. */
struct fleet_query {
	const char *service;
	uint64_t now_ms;
	/** Hash of the prompt's shared prefix; 0 if there is none. */
	uint64_t prefix_hash;
	/** Hash of the version that the server must have; 0 for any. */
	uint64_t software;
	/** Hashes of the servers that already got this request. */
	const uint64_t *tried;
	size_t tried_nr;
};

struct fleet_choice {
	/** The chosen server; NULL if the service has no usable server. */
	struct server *server;
	/** Expected wait for a slot, in ms. */
	double wait_ms;
	/** Expected time to the first byte, including the wait, in ms. */
	double first_ms;
};

/** Chooses a server for an online request. */
struct fleet_choice fleet_choose(struct fleet *fleet,
				 const struct fleet_query *query);

/** Returns the number of usable servers of a service. */
unsigned fleet_usable(struct fleet *fleet, const char *service,
		      uint64_t now_ms);

/** Returns the number of slots of a service's usable servers. */
unsigned fleet_slots(struct fleet *fleet, const char *service, uint64_t now_ms);

/** Records that a request was sent to the server. */
void fleet_request_sent(struct server *server, enum work_class class,
			uint64_t now_ms);

/** Records that the server sent data: it isn't silent, and its backoff starts
 * again at the shortest time. */
void fleet_data_received(struct server *server, uint64_t now_ms);

/** Records the time to the first byte of an answer, in ms; first_ms < 0, for a
 * request that was queued, is ignored. */
void fleet_first_byte_received(struct server *server, double first_ms,
			       uint64_t now_ms);

/** Result of a request at a server. */
enum fleet_result {
	FLEET_SUCCEEDED,
	/** The request ran and failed, or its result is unknown. */
	FLEET_FAILED,
	/** The server refused to run the request. */
	FLEET_REFUSED,
	/** The server could not be reached. */
	FLEET_UNREACHABLE,
	/** This node cancelled the request. */
	FLEET_CANCELLED,
};

/** Records the end of a request that occupied a slot for hold_ms. */
void fleet_request_ended(struct server *server, enum work_class class,
			 enum fleet_result result, double hold_ms,
			 uint64_t now_ms);

/** Records the load that the server reported in an answer, in requests. */
void fleet_load_reported(struct server *server, unsigned running,
			 unsigned waiting, uint64_t now_ms);

/** Records how long work takes at the server, relative to the usual. */
void fleet_slowdown_reported(struct server *server, double slowdown,
			     uint64_t now_ms);

/** From now on servers that start or recover get requests at a pace that is found from
 * their answers. */
void fleet_begin_pacing(struct fleet *fleet);

/** Records the pace that another entry has found; 0 for no limit. */
void fleet_pace_heard(struct server *server, double allowed, uint64_t now_ms);

/** Tells whether other entries are to be told of the server's pace. */
bool fleet_pace_is_told(const struct server *server, uint64_t now_ms);

/** Number of requests that another entry has at one server. */
struct peer_load {
	uint64_t server_hash;
	unsigned counts[WORK_CLASSES];
};

/** Replaces the load reported by a peer; nr 0 removes the peer. */
void fleet_set_peer_load(struct fleet *fleet, uint64_t peer,
			 const struct peer_load *loads, size_t nr);

/*
 * Limits that servers name. The permits of a limit are issued in slots of the
 * time of day that all entries know alike, each to one entry, in proportion to
 * the requests that arrive at the entries. So all entries together keep to the
 * limit without a message for each request.
 */

/** Records the limit that a server named at heard_ms, in requests a second; 0
 * for none. An older statement than the last one is ignored. */
void server_limit_named(struct server *server, double rate, uint64_t heard_ms);

/** Requests that arrive for a service. */
struct service_demand {
	uint64_t service_hash;
	/** Requests a second. */
	double rate;
};

/** Another entry that shares the limits. */
struct fleet_sharer {
	uint64_t key;
	/** Hash of its region's name. */
	uint64_t region;
	/** It takes no new requests soon. */
	bool leaving;
	const struct service_demand *demands;
	size_t demands_nr;
};

/** Sets the key of this node among them, such as its packed address. */
void fleet_set_self(struct fleet *fleet, uint64_t key);

/** Records what another entry reported. */
void fleet_set_sharer(struct fleet *fleet, const struct fleet_sharer *sharer,
		      uint64_t now_ms);

/** Returns the hash under which a region is compared. */
uint64_t fleet_region_hash(const char *region);

/** Records that a request arrived for a service. */
void fleet_note_demand(struct fleet *fleet, const char *service,
		       uint64_t now_ms);

/** Calls fn with this node's demand for each service that has a server with a
 * limit. */
void fleet_each_demand(struct fleet *fleet, uint64_t now_ms,
		       void (*fn)(void *ctx,
				  const struct service_demand *demand),
		       void *ctx);

/**
 * Issues this node's permits; returns whether any server has a limit. Called each
 * PERMIT_INTERVAL_MS while one has, and before the first one gets it.
 */
bool fleet_issue_permits(struct fleet *fleet, uint64_t now_ms,
			 uint64_t wall_ms);

/** Interval at which permits are issued, in ms. */
#define PERMIT_INTERVAL_MS 20

/**
 * Returns the time after which a request that is refused now can be served, in ms,
 * or 0 if no server of the service has a limit. Requests that are refused one after
 * the other get times in the same order, as the service has room for them.
 */
double fleet_retry_after_ms(struct fleet *fleet, const char *service,
			    uint64_t now_ms);

/** A batch item that needs a slot. */
struct batch_query {
	const char *service;
	uint64_t now_ms;
	/** Hash of the version that the server must have; 0 for any. */
	uint64_t software;
	/** Selects only servers of other regions, whose load is known less
	 * precisely. */
	bool other_region;
	/** Random number, so that nodes that ask at the same time choose
	 * different servers. */
	uint64_t random;
};

/** Returns the number of slots that batch items may occupy now, without the
 * reserve for online requests; may be negative. */
double fleet_batch_capacity(struct fleet *fleet,
			    const struct batch_query *query);

/**
 * Returns the average number of a service's slots that were available to batch
 * items over the last seconds. Called several times a second.
 */
double fleet_batch_slots(struct fleet *fleet, const char *service,
			 uint64_t now_ms);

/** Chooses a server with a free slot for a batch item, or NULL. */
struct server *fleet_choose_batch(struct fleet *fleet,
				  const struct batch_query *query);

/**
 * Returns how many of its batch items this node must preempt at a server, so
 * that online requests don't queue behind them. All nodes compute the same
 * division of the preemptions among them.
 */
unsigned fleet_excess_batch(struct fleet *fleet, const struct server *server,
			    uint64_t self);

#endif
