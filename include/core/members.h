/**
 * What a node knows of the other nodes.
 *
 * Pure state: facts and the time go in, pings and changes come out. The VM
 * list is a hint that lags; direct observation decides whether a node is up.
 */
#ifndef BRIARPLANK_CORE_MEMBERS_H
#define BRIARPLANK_CORE_MEMBERS_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "common/list.h"

enum member_role { MEMBER_ENTRY, MEMBER_AGENT };

enum member_state {
	/** Listed, not heard yet. */
	MEMBER_UNKNOWN,
	MEMBER_UP,
	/** Silent for a while: gets no new work, is still probed. */
	MEMBER_SUSPECT,
	MEMBER_DOWN,
};

/** Load of a backend server as its agent measures it. */
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

/** One other node. */
struct member {
	struct list link;
	char *name;
	enum member_role role;
	char *address;
	char *data_centre;
	char *region;
	/** Service of the server beside an agent, else empty. */
	char *service;
	enum member_state state;
	/** The platform or the node itself says that it goes. */
	bool leaving;
	/** Incarnation last heard; 0 while unheard. */
	uint64_t incarnation;
	uint64_t heard_ms;
	uint64_t pinged_ms;
	/** Time of the first ping without an answer; 0 when none is open. */
	uint64_t unanswered_ms;
	/** Time at which it became known. */
	uint64_t learnt_ms;
	/** Last time at which the list of VMs named it; 0 for never. */
	uint64_t listed_ms;
	/** Address and leaving as the list had them last: only news counts. */
	char *listed_address;
	bool listed_leaving;
	/** Configuration revision on the last message heard. */
	uint64_t config_revision;
	/** Revision last pushed to it by this node. */
	uint64_t config_pushed;
	/** When this node judged it lost; 0 when it did not. */
	uint64_t lost_ms;
	/** Another node told its loss: it is pinged until that is decided. */
	bool doubted;
	/** Pings in a row that found no connection. */
	unsigned unsent;
	/** Named in this node's settings, so never forgotten. */
	bool fixed;
	/** Pinged at each interval; the others in turn. */
	bool watched;
	/** A task of this node asked for it to be watched. */
	bool wanted;
	uint32_t round_trip_us;
	struct member_load load;
	/** Ledger shards that an entry says it owns, with their epochs. */
	uint32_t *owned_shards;
	uint64_t *owned_epochs;
	uint32_t owned_nr;
};

/** How a node is known when it is first told of. */
struct member_facts {
	const char *name;
	enum member_role role;
	const char *address;
	const char *data_centre;
	const char *region;
	const char *service;
	bool leaving;
	bool fixed;
};

enum members_change_kind {
	MEMBERS_CAME_UP,
	MEMBERS_WENT_DOWN,
	MEMBERS_LEAVES,
	/** Down and no longer listed for long: it is freed next. */
	MEMBERS_REMOVED,
};

/** A change of what may be expected of a member. */
struct members_change {
	enum members_change_kind kind;
	/** Name of the member, valid until the next call on members. */
	const char *name;
};

/** What an entry says of itself in answer to a ping. */
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
	/** Name of this node, which is no member of its own list. */
	const char *self;
	enum member_role self_role;
	const char *data_centre;
	const char *region;
	/** Time between two pings of a watched member; in a large fleet longer. */
	uint32_t ping_interval_ms;
	uint32_t ping_interval_large_ms;
	uint32_t suspect_after_ms;
	uint32_t down_after_ms;
	/**
	 * Share of silent members, in percent, above which silence is taken for
	 * this node's own isolation, and the time for which that holds.
	 */
	uint32_t panic_percent;
	uint32_t panic_limit_ms;
	/** Time after which a lost member that isn't listed is forgotten. */
	uint32_t forget_after_ms;
	/** Up to this size of the fleet every member is watched. */
	uint32_t watch_all_max;
	/** Members watched in the own data centre and elsewhere. */
	uint32_t watch_near;
	uint32_t watch_far;
	/** Members pinged in turn at each tick besides the watched ones. */
	uint32_t sample;
	/** Time for which a loss is told to others, and losses in one ping. */
	uint32_t tell_losses_ms;
	uint32_t tell_losses_max;
	uint64_t seed;
};

struct members *members_create(const struct members_options *options);
void members_destroy(struct members *members);

/** Adds or updates a node from settings; NULL for this node itself. */
struct member *members_learn(struct members *members,
			     const struct member_facts *facts);

/**
 * Takes over a row of the VM list. The list lags, so that only what it did not
 * say before counts: an address that a node gave itself stays in force until
 * the list has a new one.
 */
struct member *members_listed(struct members *members,
			      const struct member_facts *facts,
			      uint64_t now_ms);

/** Takes over what a node says of itself; stronger than the VM list. */
struct member *members_introduced(struct members *members,
				  const struct member_facts *facts,
				  uint64_t incarnation);

/** Asks for a member to be watched, or no longer. */
void members_watch(struct members *members, const char *name, bool wanted);

/** Tells whether all members are watched, as the fleet is small. */
bool members_watch_all(const struct members *members);

/** Notes that any message of this incarnation came from a member. */
void members_heard(struct members *members, const char *name,
		   uint64_t incarnation, uint64_t now_ms);

/** Notes an answer to a ping. */
void members_ponged(struct members *members, const char *name,
		    const struct members_pong *pong, uint64_t now_ms);

/** Stores a report unless a later one of the same incarnation came before. */
void members_loaded(struct members *members, const char *name,
		    const struct member_load *load);

/** Notes that a member takes no new work from now on. */
void members_set_leaving(struct members *members, const char *name);

/**
 * Judges silence and appends the members to ping now (struct member *).
 * Call at each ping interval.
 */
void members_tick(struct members *members, uint64_t now_ms, GPtrArray *pings);

/**
 * Notes that a ping found no connection, which is made in the meantime: the
 * ping is due again at the next tick, and counts as silence only after several.
 */
void members_ping_unsent(struct members *members, struct member *member);

/** Most losses told at once. */
#define MEMBERS_LOSSES_MAX 4

/**
 * Chooses losses that this node lately saw itself, to tell another one; others
 * at each call if there are many. Returns how many of MEMBERS_LOSSES_MAX.
 */
unsigned members_losses(struct members *members, const struct member **losses);

/** Another node says that it lost a member in this incarnation. */
void members_told_lost(struct members *members, const char *name,
		       uint64_t incarnation, uint64_t now_ms);

/** Takes the next change, in the order in which they came; false for none. */
bool members_next_change(struct members *members,
			 struct members_change *change);

/** Tells whether silence is taken for this node's own isolation. */
bool members_isolated(const struct members *members);

/** Returns a node by name, or NULL. */
struct member *members_find(const struct members *members, const char *name);

/** Returns the list of all members, linked by member.link. */
const struct list *members_all(const struct members *members);

/** Number of members with this role that are up and not leaving. */
unsigned members_up_nr(const struct members *members, enum member_role role);

/** Tells whether new work may go to a member. */
bool member_usable(const struct member *member);

#endif
