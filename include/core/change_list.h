/**
 * The newest value of each key of a topic, by the offset of its last change.
 *
 * Entries pass on to each other what has changed since an offset, without the
 * records in between that change nothing, as heartbeats do.
 */
#ifndef BRIARPLANK_CORE_CHANGE_LIST_H
#define BRIARPLANK_CORE_CHANGE_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

struct change_list;

struct change {
	const char *key;
	/** NULL for a key that was removed. */
	GBytes *value;
	uint64_t offset;
};

struct change_list *change_list_create(void);
void change_list_destroy(struct change_list *list);

/** Forgets all; what was removed up to the offset isn't known any more. */
void change_list_reset(struct change_list *list, uint64_t offset);

/** A key has a new value, or was removed when the value is NULL. */
void change_list_put(struct change_list *list, const char *key,
		     const void *value, size_t len, uint64_t offset);

/**
 * Tells whether what change_list_since() yields is all that happened since the
 * offset. If not, it must be asked for everything, and other keys are gone.
 */
bool change_list_complete_since(const struct change_list *list,
				uint64_t offset);

/** Calls fn for each change behind the offset; for all values with whole. */
void change_list_since(const struct change_list *list, uint64_t offset,
		       bool whole,
		       void (*fn)(void *ctx, const struct change *change),
		       void *ctx);

#endif
