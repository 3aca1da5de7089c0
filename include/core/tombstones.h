/**
 * A set of the ids of attempts that must not start any more.
 *
 * A dispatch can arrive twice, or after the message that cancels it. The set
 * keeps the attempt's id for a limited time, which must exceed the maximum
 * delay of a message.
 */
#ifndef BRIARPLANK_CORE_TOMBSTONES_H
#define BRIARPLANK_CORE_TOMBSTONES_H

#include <stdbool.h>
#include <stdint.h>

enum tombstone_kind {
	TOMBSTONE_NONE,
	/** The attempt was cancelled before it started. */
	TOMBSTONE_NEVER_STARTED,
	/** The attempt ran and is over. */
	TOMBSTONE_ENDED,
};

struct tombstones;

/** Creates a set of at most max ids, each kept for keep_ms. */
struct tombstones *tombstones_create(unsigned max, uint32_t keep_ms);

void tombstones_destroy(struct tombstones *set);

/**
 * Adds an id. Returns false if the set is full; the caller then must not
 * promise that the attempt won't start. An id that is already in the set keeps
 * its kind and its time.
 */
bool tombstones_add(struct tombstones *set, const char *id,
		    enum tombstone_kind kind, uint64_t now_ms);

/** Returns the kind of an id, or TOMBSTONE_NONE. */
enum tombstone_kind tombstones_find(struct tombstones *set, const char *id,
				    uint64_t now_ms);

/** Returns the number of ids in the set. */
unsigned tombstones_nr(const struct tombstones *set);

#endif
