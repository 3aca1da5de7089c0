/**
 * The table of the other nodes, with failure detection.
 *
 * It does no I/O: messages, list rows and the time go in, pings and state
 * changes come out. The VM list lags, so that only messages and ping timeouts
 * decide whether a node is up.
 */
#ifndef BRIARPLANK_CORE_MEMBERS_H
#define BRIARPLANK_CORE_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "common/list.h"

enum member_role { MEMBER_ENTRY, MEMBER_AGENT };

enum member_state {
	/** The member is known, but no message from it has arrived yet. */
	MEMBER_UNKNOWN,
	MEMBER_UP,
	/**
	 * A ping timed out: the member gets no new work, but is still pinged.
	 */
	MEMBER_SUSPECT,
	MEMBER_DOWN,
};

/** Load of a backend server, as measured by its agent. */
struct member_load {
	uint32_t running_online;
	uint32_t running_batch;
	uint32_t queued_online;
	uint32_t concurrency_limit;
	uint32_t expected_wait_us;
	uint64_t sequence;
	uint64_t received_ms;
	bool ready;
};

/** Another node of the fleet, as this node knows it. */
struct member {
	struct list link;
	char *name;
	enum member_role role;
	char *address;
	char *data_centre;
	char *region;
	/** Service of an agent's server; empty for an entry. */
	char *service;
	enum member_state state;
	/** The platform or the node itself announced the node's shutdown. */
	bool leaving;
	/** Incarnation of the last message; 0 before the first. */
	uint64_t incarnation;
	uint64_t heard_ms;
	uint64_t pinged_ms;
	/** Time at which the oldest unanswered ping was sent; 0 for none. */
	uint64_t unanswered_ms;
	/** Time at which the member was added. */
	uint64_t added_ms;
	/** Last time at which the member was in the VM list; 0 for never. */
	uint64_t listed_ms;
	/**
	 * Last values of address and leaving in the VM list, to detect its
	 * changes.
	 */
	char *listed_address;
	bool listed_leaving;
	/** Configuration revision in the last message from the member. */
	uint64_t config_revision;
	/** Configuration revision that this node last pushed to the member. */
	uint64_t config_pushed;
	/**
	 * Time at which this node detected the member's loss; 0 if it did not.
	 */
	uint64_t lost_ms;
	/**
	 * Another node reported the member as lost; this node pings it until it
	 * answers or times out.
	 */
	bool loss_reported;
	/** Number of consecutive pings that found no connection. */
	unsigned unsent_pings;
	/**
	 * The member is named in this node's settings, and so is never removed.
	 */
	bool configured;
	/**
	 * The member is pinged at each interval; members that are not watched
	 * are pinged by round robin.
	 */
	bool watched;
	/** A task of this node requested that the member is watched. */
	bool watch_requested;
	uint32_t round_trip_us;
	struct member_load load;
	/** Ledger shards that an entry reports to own, with their epochs. */
	uint32_t *owned_shards;
	uint64_t *owned_epochs;
	uint32_t owned_nr;
};

/** Description of a node by the settings, the VM list or itself. */
struct member_info {
	const char *name;
	enum member_role role;
	const char *address;
	const char *data_centre;
	const char *region;
	const char *service;
	bool leaving;
	bool configured;
};

enum members_change_kind {
	MEMBERS_CAME_UP,
	MEMBERS_WENT_DOWN,
	MEMBERS_LEAVING,
	/**
	 * The member was removed: it was neither up nor listed for a long time.
	 */
	MEMBERS_REMOVED,
};

/** A change of a member's state, as returned by members_next_change(). */
struct members_change {
	enum members_change_kind kind;
	/** Name of the member, valid until the next call on members. */
	const char *name;
};

/** Content of a member's answer to a ping. */
struct members_pong {
	uint64_t incarnation;
	uint32_t round_trip_us;
	bool leaving;
	const uint32_t *shards;
	const uint64_t *epochs;
	uint32_t shards_nr;
};

struct members;

struct members_options {
	/** Name of this node, which is not in its own table. */
	const char *self;
	enum member_role self_role;
	const char *data_centre;
	const char *region;
	/**
	 * Time between two pings of a watched member, in ms. The second value
	 * applies to a fleet of more than watch_all_max members.
	 */
	uint32_t ping_interval_ms;
	uint32_t ping_interval_large_ms;
	uint32_t suspect_after_ms;
	uint32_t down_after_ms;
	/**
	 * Share of silent members, in percent, above which this node assumes
	 * that it is itself isolated, and the longest time for which it then
	 * marks no member as down.
	 */
	uint32_t isolation_percent;
	uint32_t isolation_limit_ms;
	/**
	 * Time in ms after which a member that is neither up nor listed is
	 * removed.
	 */
	uint32_t remove_after_ms;
	/** Number of members up to which all of them are watched. */
	uint32_t watch_all_max;
	/** Numbers of members watched in this data centre and in others. */
	uint32_t watch_near;
	uint32_t watch_far;
	/** Number of unwatched members pinged by round robin at each tick. */
	uint32_t round_robin_pings;
	/**
	 * Time in ms for which a loss is reported to other nodes, and the
	 * maximum number of losses in one ping.
	 */
	uint32_t report_losses_ms;
	uint32_t report_losses_max;
	uint64_t seed;
};

struct members *members_create(const struct members_options *options);
void members_destroy(struct members *members);

/** Adds or updates a node from settings. Returns NULL for this node itself. */
struct member *members_add_configured(struct members *members,
				      const struct member_info *info);

/**
 * Adds or updates a node from a row of the VM list. Returns NULL for this node
 * itself. The list lags, so that only its changes take effect: an address that
 * a node sent itself stays in force until the list has a new one.
 */
struct member *members_update_listed(struct members *members,
				     const struct member_info *info,
				     uint64_t now_ms);

/**
 * Adds or updates a node by its own introduction, which takes precedence over
 * the VM list. Returns NULL for this node itself and for an older incarnation.
 */
struct member *members_update_introduced(struct members *members,
					 const struct member_info *info,
					 uint64_t incarnation);

/** Requests that a member is watched, or withdraws the request. */
void members_request_watch(struct members *members, const char *name,
			   bool watch_requested);

/** Tells whether all members are watched because the fleet is small. */
bool members_watch_all(const struct members *members);

/** Marks a member as up, because a message of this incarnation came from it. */
void members_note_message(struct members *members, const char *name,
			  uint64_t incarnation, uint64_t now_ms);

/** Handles the answer to a ping. */
void members_note_pong(struct members *members, const char *name,
		       const struct members_pong *pong, uint64_t now_ms);

/** Stores a load report unless a later one has already arrived. */
void members_update_load(struct members *members, const char *name,
			 const struct member_load *load);

/** Marks a member as leaving: it takes no new work. */
void members_set_leaving(struct members *members, const char *name);

/**
 * Updates the states by the ping timeouts and appends the members to ping now
 * (struct member *). Must be called at each ping interval.
 */
void members_tick(struct members *members, uint64_t now_ms, GPtrArray *pings);

/**
 * Handles a ping that found no connection. The caller connects meanwhile; the
 * ping is due again at the next tick, and counts as silence only after several
 * such pings.
 */
void members_note_unsent_ping(struct members *members, struct member *member);

/** Maximum number of losses in one ping. */
#define MEMBERS_LOSSES_MAX 4

/**
 * Stores up to MEMBERS_LOSSES_MAX members whose loss this node itself detected
 * recently, to report them to another node, and returns their number.
 * Successive calls rotate through them when there are more.
 */
unsigned members_pick_losses(struct members *members,
			     const struct member **losses);

/** Handles another node's report that this incarnation of a member is lost. */
void members_note_reported_loss(struct members *members, const char *name,
				uint64_t incarnation, uint64_t now_ms);

/**
 * Removes the oldest pending change from the queue. Returns false when there is
 * none.
 */
bool members_next_change(struct members *members,
			 struct members_change *change);

/** Tells whether this node assumes that it is itself isolated. */
bool members_isolated(const struct members *members);

/** Returns a node by name, or NULL. */
struct member *members_find(const struct members *members, const char *name);

/** Returns the list of all members, linked by member.link. */
const struct list *members_all(const struct members *members);

/** Returns the number of members of a role that are up and not leaving. */
unsigned members_up_nr(const struct members *members, enum member_role role);

/** Tells whether new work may be sent to a member: it is up and not leaving. */
bool member_usable(const struct member *member);

#endif
