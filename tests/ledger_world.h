/*
 * The nodes and the stream of a ledger's transcript.
 */
#ifndef TESTS_LEDGER_WORLD_H
#define TESTS_LEDGER_WORLD_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "core/ledger_schedule.h"

struct node {
	char *name;
	uint64_t incarnation;
	struct ledger *ledger;
	GByteArray *held;
};

struct world {
	/* Of GByteArray; the record at offset n stands at n - 1. */
	GPtrArray *log;
	uint64_t first_offset;
	GHashTable *nodes;
	struct ledger_schedule *schedule;
	/* Grants by label g1, g2, ... */
	GArray *grants;
	uint64_t now_ms;
};

/** Finds a node, which must be there. */
struct node *world_node(struct world *world, const char *name);

/** Appends a record, which it then owns, and returns its offset. */
uint64_t world_append(struct world *world, GByteArray *bytes, GString *out);

/** Folds what is new in the stream. */
void world_read(struct world *world, struct node *node, GString *out);

/** Tells whether two ledgers would write the same checkpoint. */
bool world_same_parts(const struct ledger *a, const struct ledger *b);

/** Commands of the transcript, with the node's name in argv[1]. */
void world_checkpoint(struct world *world, char **argv, GString *out);
void world_restore(struct world *world, char **argv, GString *out);
void world_results(struct world *world, char **argv, GString *out);
void world_refresh(struct world *world, char **argv, GString *out);

#endif
