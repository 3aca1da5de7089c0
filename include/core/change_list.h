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

/** What was removed up to the offset isn't known any more. */
void change_list_forget_removed(struct change_list *list, uint64_t offset);

/**
 * Tells whether the changes behind an offset are all that
 * happened. If not, removals are missing: keys that the list doesn't have are
 * gone.
 */
bool change_list_complete_since(const struct change_list *list,
				uint64_t offset);

/** Calls fn for each key, whether or not it changed behind some offset. */
void change_list_each(const struct change_list *list,
		      void (*fn)(void *ctx, const struct change *change),
		      void *ctx);

#endif
