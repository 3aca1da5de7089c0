/**
 * The latest value of each key of a topic, with the offset of its last change.
 *
 * Entries send each other the changes since an offset, without the records in
 * between that change nothing, such as heartbeats.
 */
#ifndef BRIARPLANK_CORE_CHANGE_LIST_H
#define BRIARPLANK_CORE_CHANGE_LIST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>

struct change_list;

/** Latest state of a key. */
struct change {
	const char *key;
	/** Value of the key; NULL when the key was removed. */
	GBytes *value;
	uint64_t offset;
	/** Offset of the newest record, which may repeat the value. */
	uint64_t seen_offset;
};

struct change_list *change_list_create(void);
void change_list_destroy(struct change_list *list);

/** Tells whether a key has a value. */
bool change_list_has(const struct change_list *list, const char *key);

/** Removes all keys. Removals up to the offset are unknown from now on. */
void change_list_reset(struct change_list *list, uint64_t offset);

/** Stores a new value of a key, or its removal when the value is NULL. */
void change_list_put(struct change_list *list, const char *key,
		     const void *value, size_t len, uint64_t offset);

/** Notes a record that repeats a key's value. */
void change_list_repeat(struct change_list *list, const char *key,
			uint64_t offset);

/** Tells whether a key was removed after the offset. */
bool change_list_removed_after(const struct change_list *list, const char *key,
			       uint64_t offset);

/** Removals up to the offset may be missing from now on. */
void change_list_incomplete_until(struct change_list *list, uint64_t offset);

/**
 * Tells whether the list has all changes after an offset. If not, removals are
 * missing, and the receiver must drop all keys that aren't in the list.
 */
bool change_list_complete_since(const struct change_list *list,
				uint64_t offset);

/** Calls fn for each key, removed ones included. */
void change_list_for_each(const struct change_list *list,
			  void (*fn)(void *ctx, const struct change *change),
			  void *ctx);

#endif
