#include <glib.h>

#include "core/peer_table.h"
#include "core/store_path.h"

/* Calls in a row that must fail before the own way counts as lost: single
 * partitions of the store may be away. */
#define LOST_FAILURES 3
/* A call that failed after so long counts as that many, in ms: what is cut off
 * shows by silence only. */
#define SILENT_MS 400
/* Time without an answer after which calls that are turned away for their rate
 * count as failed, in ms. Hundreds of nodes that start together meet that for
 * about as long, and another entry would not help them. */
#define THROTTLED_MS 1500
/* Calls in a row that must be answered before the own way is back: a store
 * that is busy turns away a part of the calls. */
#define FOUND_ANSWERS 2
/* Time for which an entry isn't asked again after a call by it failed, in ms:
 * about what its report needs to say that it lost the store, too. */
#define AVOID_MS 600
/* Age up to which an entry's report that it reaches the store holds, in ms: the
 * longest heartbeat, and a datagram's way. */
#define REPORT_MS 1100

struct store_path {
	bool lost;
	unsigned failures;
	unsigned answers;
	/* When the last call on the own way was answered, or the start. */
	uint64_t answered_ms;
	/* The entry in use, and the last one that failed. */
	uint64_t relay;
	uint64_t avoided;
	uint64_t avoid_until_ms;
};

struct store_path *store_path_create(uint64_t now_ms)
{
	struct store_path *path = g_new0(struct store_path, 1);

	path->answered_ms = now_ms;
	return path;
}

void store_path_destroy(struct store_path *path)
{
	g_free(path);
}

static void own_answered(struct store_path *path, uint64_t now_ms)
{
	path->answered_ms = now_ms;
	path->failures = 0;
	path->answers++;
	if (path->answers >= FOUND_ANSWERS)
		path->lost = false;
}

static void own_failed(struct store_path *path,
		       const struct store_path_call *call)
{
	/* Another call was answered while this one was under way. */
	if (path->answered_ms > call->sent_ms)
		return;
	path->answers = 0;
	if (call->throttled &&
	    call->ended_ms - path->answered_ms < THROTTLED_MS)
		return;
	path->failures +=
		call->ended_ms - call->sent_ms >= SILENT_MS ? LOST_FAILURES : 1;
	if (path->failures >= LOST_FAILURES)
		path->lost = true;
}

bool store_path_ended(struct store_path *path,
		      const struct store_path_call *call)
{
	bool before = path->lost;

	if (call->relay) {
		if (!call->answered) {
			path->avoided = call->relay;
			path->avoid_until_ms = call->ended_ms + AVOID_MS;
		}
		return false;
	}
	if (call->answered)
		own_answered(path, call->ended_ms);
	else
		own_failed(path, call);
	return path->lost != before;
}

bool store_path_lost(const struct store_path *path)
{
	return path->lost;
}

static bool can_relay(const struct store_path *path, const struct peer *peer,
		      uint64_t now_ms)
{
	if (peer->address == path->avoided && now_ms < path->avoid_until_ms)
		return false;
	return peer->alive && !peer->leaving && peer->reaches_store &&
	       now_ms - peer->heard_ms <= REPORT_MS;
}

uint64_t store_path_choose(struct store_path *path, const struct list *peers,
			   uint64_t now_ms)
{
	const struct peer *best = NULL;
	struct list *pos;

	if (!path->lost)
		return 0;
	list_for_each (pos, peers) {
		const struct peer *peer = list_entry(pos, struct peer, link);

		if (!can_relay(path, peer, now_ms))
			continue;
		/* Calls stay with one entry, whose connections are kept. */
		if (peer->address == path->relay)
			return path->relay;
		if (!best || (peer->same_region && !best->same_region))
			best = peer;
	}
	path->relay = best ? best->address : 0;
	return path->relay;
}
