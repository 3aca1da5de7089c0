/**
 * The configuration, built by applying the records of the stream "config".
 *
 * Every node reaches the same state from the same records. A record takes
 * effect unless the value that it was based on has changed since, its command
 * is a duplicate, or it is malformed or out of range. The current revision is
 * the offset of the last record that took effect; it never decreases.
 */
#ifndef BRIARPLANK_CORE_CONFIG_STORE_H
#define BRIARPLANK_CORE_CONFIG_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "config.pb-c.h"

struct config_store;

/** Result of applying a command. */
enum config_outcome {
	CONFIG_APPLIED,
	/** The value had changed since the base revision. */
	CONFIG_CONFLICT,
	/** The record is malformed or out of range. */
	CONFIG_VOID,
};

/** Result of config_store_apply_record(). */
enum config_record_result {
	CONFIG_RECORD_APPLIED,
	CONFIG_RECORD_CONFLICT,
	CONFIG_RECORD_VOID,
	/**
	 * The record is a duplicate of an earlier command and has no effect.
	 */
	CONFIG_RECORD_REPEATED,
	/** The bytes are a snapshot, or not a record, and have no effect. */
	CONFIG_RECORD_SKIPPED,
	/** The record at this offset was applied before. */
	CONFIG_RECORD_OLD,
};

/** A key with its current value. */
struct config_entry {
	const char *key;
	/** The value as JSON text. */
	const char *value;
	/** Offset of the record that set the value. */
	uint64_t revision;
	const char *command_id;
};

/** Record of a command and its result. */
struct config_command {
	uint64_t offset;
	enum config_outcome outcome;
	/** Revision of the value that a conflict left unchanged. */
	uint64_t revision;
	/** Hash of the key and the value. */
	uint64_t content;
};

/** Creates an empty store, whose next offset is 0. */
struct config_store *config_store_create(void);
void config_store_destroy(struct config_store *store);

/** Sets the next offset to 1: the log has all records from the first on. */
void config_store_begin(struct config_store *store);

/** Returns the current revision; 0 before any record took effect. */
uint64_t config_store_revision(const struct config_store *store);

/** Returns the first offset not applied yet; 0 for an empty store. */
uint64_t config_store_next_offset(const struct config_store *store);

/** Returns the publication time of the current revision; 0 if unknown. */
uint64_t config_store_published_ms(const struct config_store *store);

/**
 * Applies the record at an offset; offsets must not skip records. append may be
 * NULL for bytes that can't be unpacked.
 */
enum config_record_result config_store_apply_record(
	struct config_store *store, uint64_t offset,
	const Briarplank__ConfigAppend *append);

/** Sets the next offset, below which there are no more records to apply. */
void config_store_advance(struct config_store *store, uint64_t next_offset);

/** Returns the value of a key as JSON text, or NULL. */
const char *config_store_value(const struct config_store *store,
			       const char *key);

/**
 * Returns the revision at which a key was last set or removed; 0 when it never
 * had a value. For keys no longer stored it is the highest revision of the
 * removed keys that were evicted.
 */
uint64_t config_store_key_revision(const struct config_store *store,
				   const char *key);

/** Calls fn for each current value, sorted by key. */
void config_store_for_each(const struct config_store *store,
			   void (*fn)(void *ctx,
				      const struct config_entry *entry),
			   void *ctx);

/** Looks up a command. Returns false when it is unknown or was evicted. */
bool config_store_command(const struct config_store *store,
			  const char *operator_name, const char *command_id,
			  struct config_command *command);

/** Returns a hash of a key and value, which distinguishes different commands
 * with the same id. */
uint64_t config_content_hash(const char *key, const char *value);

/** Creates a snapshot, to be freed with the generated free_unpacked(). */
Briarplank__ConfigSnapshot *config_store_snapshot(
	const struct config_store *store);

/** Loads a snapshot. Returns false when the store is as new or newer. */
bool config_store_load(struct config_store *store,
		       const Briarplank__ConfigSnapshot *snapshot);

/**
 * Creates an update for a node that needs the records from an offset on. It has
 * these records while they are retained, else a snapshot. To be freed with the
 * generated free_unpacked(). NULL when this store has nothing newer.
 */
Briarplank__ConfigUpdate *config_store_update(const struct config_store *store,
					      uint64_t from_offset);

/**
 * Applies a peer's update. Returns false when records before it are missing.
 */
bool config_store_apply_update(struct config_store *store,
			       const Briarplank__ConfigUpdate *update);

#endif
