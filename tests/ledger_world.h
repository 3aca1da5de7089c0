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

struct fixture {
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
struct node *fixture_node(struct fixture *fixture, const char *name);

/** Appends a record, takes ownership of it, and returns its offset. */
uint64_t fixture_append(struct fixture *fixture, GByteArray *bytes,
			GString *out);

/** Applies all records of the stream that the node has not read yet. */
void fixture_read(struct fixture *fixture, struct node *node, GString *out);

/** Returns whether two ledgers would write the same checkpoint. */
bool fixture_same_checkpoints(const struct ledger *a, const struct ledger *b);

/** Transcript commands, with the node's name in argv[1]. */
void fixture_checkpoint(struct fixture *fixture, char **argv, GString *out);
void fixture_restore(struct fixture *fixture, char **argv, GString *out);
void fixture_results(struct fixture *fixture, char **argv, GString *out);
void fixture_refresh(struct fixture *fixture, char **argv, GString *out);

#endif
