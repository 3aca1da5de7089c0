/**
 * The data of a shard, shared by briarplankd/entry/shard*.c.
 */
#ifndef BRIARPLANKD_ENTRY_SHARD_STATE_H
#define BRIARPLANKD_ENTRY_SHARD_STATE_H

#include <glib.h>

#include "briarplankd/entry/shard.h"

#define SHARD_STREAM_BYTES 32

/** What the append in flight carries. */
enum shard_append_kind {
	SHARD_APPEND_NONE,
	/** Under the epoch, with a sequence. */
	SHARD_APPEND_RECORDS,
	SHARD_APPEND_CLAIM,
	SHARD_APPEND_RELEASE,
};

/** Steps of opening a stream. */
enum shard_read_step {
	/** Asks where the stream begins and ends. */
	SHARD_READ_BOUNDS,
	/** Looks back from the end for a hint at a checkpoint. */
	SHARD_READ_HINT,
	/** Loads the checkpoint's parts. */
	SHARD_READ_PARTS,
	/** Folds records in order. */
	SHARD_READ_FOLD,
};

/** The search for old records, and their way into new appends. */
struct shard_refresh {
	bool busy;
	bool reading;
	uint64_t look_ms;
	uint64_t cutoff_ms;
	uint64_t low;
	uint64_t middle;
	uint64_t high;
	/** Offsets of appends that are still needed and old. */
	GArray *offsets;
	guint at;
};

struct shard {
	struct shard_options options;
	enum shard_state state;
	struct ledger *ledger;
	char stream[SHARD_STREAM_BYTES];
	uv_timer_t timer;

	bool reading;
	bool read_again;
	enum shard_read_step step;
	uint64_t first_offset;
	uint64_t end_offset;
	uint64_t back;
	struct ledger_checkpoint_place place;
	uint32_t part;

	enum shard_append_kind kind;
	GByteArray *in_flight;
	bool appending;
	/** The answer was lost: read before it is sent again. */
	bool in_doubt;
	uint64_t next_append_ms;
	uint64_t heard_ms;
	uint64_t failed_ms;
	uint64_t checked_ms;
	uint64_t ticked_ms;
	bool unverified;

	/** Packed states of a checkpoint that is being appended. */
	GPtrArray *parts;
	uint64_t parts_as_of;
	uint32_t parts_sent;
	bool checkpoint_due;
	struct shard_refresh refresh;
	/** Chunks (Briarplank__JobChunk) that are appended anew. */
	GQueue chunks;
	struct counter *appends;
	struct counter *takeovers;
	struct counter *append_bytes;
};

/** Begins to read; what is read decides how it goes on. */
void shard_read(struct shard *shard);
/** Goes on after the stream was read to its end, or not (ok is false). */
void shard_read_done(struct shard *shard, bool ok);
/** Compares what was folded with what was sent. */
void shard_settle(struct shard *shard);
/** Plans the next append. */
void shard_pump(struct shard *shard);
/** Packs the next part of a checkpoint; NULL when none is due. */
GByteArray *shard_next_part(struct shard *shard, uint64_t now_ms);

/** Packs a chunk that is appended anew; NULL when there is none. */
GByteArray *shard_next_chunk(struct shard *shard);
/** Looks for old records and reads the next of them. */
void shard_refresh_tick(struct shard *shard, uint64_t now_ms);
/** Forgets the search. */
void shard_refresh_drop(struct shard *shard);

#endif
