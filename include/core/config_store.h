/**
 * The configuration as a fold of the records of the stream "config".
 *
 * Every node folds the same records to the same state. A record takes effect
 * unless the value that it was based on has changed since, its command came
 * before, or it is malformed or out of range. The revision in force is the
 * offset of the last record that took effect; it never goes down.
 */
#ifndef BRIARPLANK_CORE_CONFIG_STORE_H
#define BRIARPLANK_CORE_CONFIG_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>

#include "config.pb-c.h"

struct config_store;

enum config_outcome {
	CONFIG_APPLIED,
	/** The value had changed since the base revision. */
	CONFIG_CONFLICT,
	/** Malformed or out of range. */
	CONFIG_VOID,
};

enum config_fold {
	CONFIG_FOLD_APPLIED,
	CONFIG_FOLD_CONFLICT,
	CONFIG_FOLD_VOID,
	/** A resend of an earlier command: without effect. */
	CONFIG_FOLD_REPEATED,
	/** A snapshot, or bytes that are no record: without effect. */
	CONFIG_FOLD_SKIPPED,
	/** The offset was folded before. */
	CONFIG_FOLD_OLD,
};

/** A value in force. */
struct config_entry {
	const char *key;
	/** JSON text. */
	const char *value;
	/** Offset of the record that set it. */
	uint64_t revision;
	const char *command_id;
};

/** What became of a command. */
struct config_command {
	uint64_t offset;
	enum config_outcome outcome;
	/** Revision of the value that stood in the way of a conflict. */
	uint64_t revision;
	/** Hash of the key and the value. */
	uint64_t content;
};

/** Makes a store that knows nothing; its next offset is 0. */
struct config_store *config_store_create(void);
void config_store_destroy(struct config_store *store);

/** Begins the fold at offset 1 with no values. */
void config_store_begin(struct config_store *store);

/** Revision in force; 0 before any record took effect. */
uint64_t config_store_revision(const struct config_store *store);

/** First offset that is not folded yet; 0 while nothing is known. */
uint64_t config_store_next_offset(const struct config_store *store);

/** Time at which the change in force last was published; 0 if not known. */
uint64_t config_store_published_ms(const struct config_store *store);

/** Folds the record at an offset; offsets must not skip records. */
enum config_fold config_store_fold(struct config_store *store, uint64_t offset,
				   const Briarplank__ConfigAppend *append);

/** Declares that no record is left below an offset. */
void config_store_advance(struct config_store *store, uint64_t next_offset);

/** Value of a key in JSON text, or NULL. */
const char *config_store_value(const struct config_store *store,
			       const char *key);

/** Revision of a key, also of a removed one; 0 when it never had a value. */
uint64_t config_store_key_revision(const struct config_store *store,
				   const char *key);

/** Calls fn for each value in force, sorted by key. */
void config_store_each(const struct config_store *store,
		       void (*fn)(void *ctx, const struct config_entry *entry),
		       void *ctx);

/** Finds what became of a command; false when it isn't remembered. */
bool config_store_command(const struct config_store *store,
			  const char *operator_name, const char *command_id,
			  struct config_command *command);

/** Hash that tells commands of the same id apart. */
uint64_t config_content_hash(const char *key, const char *value);

/** Makes a snapshot; free it with the generated free_unpacked. */
Briarplank__ConfigSnapshot *config_store_snapshot(
	const struct config_store *store);

/** Takes over a snapshot unless the store is as far already. */
bool config_store_load(struct config_store *store,
		       const Briarplank__ConfigSnapshot *snapshot);

/**
 * Makes the update that brings a reader forward from an offset: the records
 * while they are still held, else a snapshot. Free it with the generated
 * free_unpacked. NULL when this store isn't further.
 */
Briarplank__ConfigUpdate *config_store_update(const struct config_store *store,
					      uint64_t from_offset);

/** Takes over a peer's update; false when it doesn't join on to the store. */
bool config_store_apply(struct config_store *store,
			const Briarplank__ConfigUpdate *update);

#endif
