/*
 * Test fixture of ledger transcripts: several nodes and one in-memory stream.
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
	/* Records as GByteArray; the record at offset n has index n - 1. */
	GPtrArray *log;
	uint64_t first_offset;
	GHashTable *nodes;
	struct ledger_schedule *schedule;
	/* Grants in order of their labels g1, g2, ... */
	GArray *grants;
	uint64_t now_ms;
};

/** Returns a node, which must exist. */
struct node *world_node(struct world *world, const char *name);

/** Appends a record, takes ownership of it, and returns its offset. */
uint64_t world_append(struct world *world, GByteArray *bytes, GString *out);

/** Applies all records of the stream that the node has not read yet. */
void world_read(struct world *world, struct node *node, GString *out);

/** Returns whether two ledgers would write the same checkpoint. */
bool world_same_parts(const struct ledger *a, const struct ledger *b);

/** Transcript commands, with the node's name in argv[1]. */
void world_checkpoint(struct world *world, char **argv, GString *out);
void world_restore(struct world *world, char **argv, GString *out);
void world_results(struct world *world, char **argv, GString *out);
void world_refresh(struct world *world, char **argv, GString *out);

#endif
