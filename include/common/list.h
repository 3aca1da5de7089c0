/**
 * Intrusive doubly linked lists: the link is a member of the entry.
 */
#ifndef BRIARPLANK_COMMON_LIST_H
#define BRIARPLANK_COMMON_LIST_H

#include <stdbool.h>
#include <stddef.h>

/** A link in an entry, or the head of a list. */
struct list {
	struct list *prev;
	struct list *next;
};

/** Evaluates to the entry of the given type that contains the link. */
#define list_entry(ptr, type, member) \
	((type *)((char *)(ptr)-offsetof(type, member)))

/** Iterates over a list; the current link must not be removed. */
#define list_for_each(pos, head) \
	for ((pos) = (head)->next; (pos) != (head); (pos) = (pos)->next)

/** Iterates over a list; the current link may be removed. */
#define list_for_each_safe(pos, tmp, head)                               \
	for ((pos) = (head)->next, (tmp) = (pos)->next; (pos) != (head); \
	     (pos) = (tmp), (tmp) = (pos)->next)

/** Initializes a list head or an unlinked entry. */
static inline void list_init(struct list *head)
{
	head->prev = head;
	head->next = head;
}

static inline bool list_empty(const struct list *head)
{
	return head->next == head;
}

/** Inserts a link after another one. */
static inline void list_insert(struct list *after, struct list *link)
{
	link->prev = after;
	link->next = after->next;
	after->next->prev = link;
	after->next = link;
}

/** Appends a link at the end of the list. */
static inline void list_append(struct list *head, struct list *link)
{
	list_insert(head->prev, link);
}

/** Removes a link from its list; no-op for an unlinked entry. */
static inline void list_remove(struct list *link)
{
	link->prev->next = link->next;
	link->next->prev = link->prev;
	list_init(link);
}

/** Returns the first link, or NULL for an empty list. */
static inline struct list *list_first(const struct list *head)
{
	return list_empty(head) ? NULL : head->next;
}

#endif
