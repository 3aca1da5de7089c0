/**
 * Attempts that will never start, or start no more.
 *
 * A dispatch can arrive after the message that called it off, or twice. The
 * set remembers the attempt's id for a limited time, which must exceed the
 * longest time that a message can be under way.
 */
#ifndef BRIARPLANK_CORE_TOMBSTONES_H
#define BRIARPLANK_CORE_TOMBSTONES_H

#include <stdbool.h>
#include <stdint.h>

enum tombstone_kind {
	TOMBSTONE_NONE,
	/** Nothing of the attempt ran. */
	TOMBSTONE_NEVER_STARTED,
	/** The attempt ran and is over. */
	TOMBSTONE_ENDED,
};

struct tombstones;

/** Makes a set of at most max ids, each kept for keep_ms. */
struct tombstones *tombstones_create(unsigned max, uint32_t keep_ms);

void tombstones_destroy(struct tombstones *set);

/**
 * Adds an id. False when the set is full of ids that are still kept: then the
 * caller must not promise that the attempt won't start. An id that is in the
 * set keeps its kind and its time.
 */
bool tombstones_add(struct tombstones *set, const char *id,
		    enum tombstone_kind kind, uint64_t now_ms);

/** Tells what is remembered of an id. */
enum tombstone_kind tombstones_find(struct tombstones *set, const char *id,
				    uint64_t now_ms);

/** Number of ids held. */
unsigned tombstones_nr(const struct tombstones *set);

#endif
