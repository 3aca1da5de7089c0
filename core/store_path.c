#include <math.h>
#include <glib.h>

#include "common/hash.h"
#include "core/peer_table.h"
#include "core/store_path.h"

/* Consecutive failures after which the direct path counts as down. One or two
 * failures may come from single unavailable partitions of the store. */
#define DOWN_FAILURES 3
/* A call that failed after at least this time counts as DOWN_FAILURES failures,
 * in ms: a node that is cut off from the store sees only timeouts. */
#define SILENT_MS 400
/* Time without an answered call after which throttled calls count as failed, in
 * ms. Hundreds of nodes that start together are throttled for about this time,
 * and relaying through another entry would not help them. */
#define THROTTLED_MS 1500
/* Consecutive answered calls after which the direct path is up again. A single
 * answer doesn't suffice, because a busy store rejects only part of the
 * calls. */
#define UP_ANSWERS 2
/* Time for which a relay isn't used again after a failed call, in ms: about the
 * time until its heartbeat reports that it lost the store, too. */
#define AVOID_MS 600
/* Maximum age of an entry's report that it reaches the store, in ms: the
 * longest heartbeat interval and the delay of a datagram. */
#define REPORT_MS 1100

struct store_path {
	/* Random number of this node, so that nodes choose different relays. */
	uint64_t seed;
	/* The direct path is down. */
	bool down;
	/* Numbers of consecutive failed calls and of consecutive answered calls
	 * on the direct path. */
	unsigned failures;
	unsigned answers;
	/* Time of the last answered call on the direct path; before the first
	 * one, the time at which the node started. */
	uint64_t answered_ms;
	/* Addresses of the entry used as relay, and of the last failed one. */
	uint64_t relay;
	uint64_t avoided;
	uint64_t avoid_until_ms;
};

struct store_path *store_path_create(uint64_t seed, uint64_t now_ms)
{
	struct store_path *path = g_new0(struct store_path, 1);

	path->seed = seed;
	path->answered_ms = now_ms;
	return path;
}

void store_path_destroy(struct store_path *path)
{
	g_free(path);
}

static void direct_answered(struct store_path *path, uint64_t now_ms)
{
	path->answered_ms = now_ms;
	path->failures = 0;
	path->answers++;
	if (path->answers >= UP_ANSWERS)
		path->down = false;
}

static void direct_failed(struct store_path *path,
			  const struct store_path_call *call)
{
	/* Ignore a failure if another call was answered while this one was in
	 * flight. */
	if (path->answered_ms > call->sent_ms)
		return;
	path->answers = 0;
	if (call->throttled &&
	    call->ended_ms - path->answered_ms < THROTTLED_MS)
		return;
	path->failures +=
		call->ended_ms - call->sent_ms >= SILENT_MS ? DOWN_FAILURES : 1;
	if (path->failures >= DOWN_FAILURES)
		path->down = true;
}

bool store_path_record_call(struct store_path *path,
			    const struct store_path_call *call)
{
	bool before = path->down;

	if (call->relay) {
		if (!call->answered) {
			path->avoided = call->relay;
			path->avoid_until_ms = call->ended_ms + AVOID_MS;
		}
		return false;
	}
	if (call->answered)
		direct_answered(path, call->ended_ms);
	else
		direct_failed(path, call);
	return path->down != before;
}

bool store_path_is_down(const struct store_path *path)
{
	return path->down;
}

static bool can_relay(const struct store_path *path, const struct peer *peer,
		      uint64_t now_ms)
{
	if (peer->address == path->avoided && now_ms < path->avoid_until_ms)
		return false;
	return peer->alive && !peer->leaving && peer->reaches_store &&
	       now_ms - peer->heard_ms <= REPORT_MS;
}

/*
 * Returns the score of an entry as this node's relay; the lowest is chosen.
 * Weighted rendezvous hashing: an entry is chosen by a number of nodes in
 * proportion to its processor time.
 */
static double relay_score(const struct store_path *path,
			  const struct peer *peer)
{
	uint64_t hash = hash_combine(path->seed, peer->address);
	double unit = ((double)(hash >> 11) + 1) / (double)(1ULL << 53);

	return -log(unit) / MAX(peer->capacity, 1);
}

static bool is_better_relay(const struct store_path *path,
			    const struct peer *peer, const struct peer *best)
{
	if (!best || peer->same_region != best->same_region)
		return !best || peer->same_region;
	return relay_score(path, peer) < relay_score(path, best);
}

uint64_t store_path_choose(struct store_path *path, const struct list *peers,
			   uint64_t now_ms)
{
	const struct peer *best = NULL;
	struct list *pos;

	if (!path->down)
		return 0;
	list_for_each (pos, peers) {
		const struct peer *peer = list_entry(pos, struct peer, link);

		if (!can_relay(path, peer, now_ms))
			continue;
		/* Keep the current relay to reuse its connections. */
		if (peer->address == path->relay)
			return path->relay;
		if (is_better_relay(path, peer, best))
			best = peer;
	}
	path->relay = best ? best->address : 0;
	return path->relay;
}
