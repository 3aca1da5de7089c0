/**
 * State of a shard and internal functions, shared by shard*.c.
 */
#ifndef BRIARPLANKD_ENTRY_SHARD_STATE_H
#define BRIARPLANKD_ENTRY_SHARD_STATE_H

#include <glib.h>

#include "briarplankd/entry/shard.h"

/** Size of the buffer for a stream's name, in bytes. */
#define SHARD_STREAM_BYTES 32

/** Content of the append in flight. */
enum shard_append_kind {
	SHARD_APPEND_NONE,
	/**
	 * Records, a chunk or a checkpoint part, with an epoch and a sequence
	 * number.
	 */
	SHARD_APPEND_RECORDS,
	SHARD_APPEND_CLAIM,
	SHARD_APPEND_RELEASE,
};

/** Steps of reading a stream. */
enum shard_read_step {
	/** Reads the first and end offsets of the stream. */
	SHARD_READ_BOUNDS,
	/** Searches backwards from the end for a hint to a checkpoint. */
	SHARD_READ_HINT,
	/** Loads the parts of the checkpoint. */
	SHARD_READ_PARTS,
	/** Applies records in order. */
	SHARD_READ_FOLD,
};

/** Search for records near the end of retention, and their reappending. */
struct shard_refresh {
	/** A search or the reappending that follows it is in progress. */
	bool busy;
	/** A read for the search or the reappending is in flight. */
	bool reading;
	/** Time of the next search for old records. */
	uint64_t next_search_ms;
	/**
	 * Records stored before this wall-clock time are old and must be
	 * reappended if they are still needed.
	 */
	uint64_t cutoff_ms;
	/**
	 * Bounds of the binary search: the record at offset low is old, the one
	 * at high is not.
	 */
	uint64_t low;
	uint64_t middle;
	uint64_t high;
	/** Offsets (uint64_t) of old appends that are still needed. */
	GArray *offsets;
	/** Index in offsets of the next append to read. */
	guint next_index;
};

struct shard {
	struct shard_options options;
	enum shard_state state;
	struct ledger *ledger;
	char stream[SHARD_STREAM_BYTES];
	uv_timer_t timer;

	/** A read of the shard's stream is in flight. */
	bool reading;
	/**
	 * Another read of the stream was requested during the one in flight.
	 */
	bool read_again;
	enum shard_read_step step;
	uint64_t first_offset;
	uint64_t end_offset;
	/**
	 * Distance from the end of the stream at which a hint to a checkpoint
	 * is searched.
	 */
	uint64_t hint_distance;
	/**
	 * Checkpoint that is being loaded, and number of its part to load next.
	 */
	struct ledger_checkpoint_location loading_checkpoint;
	uint32_t part;

	enum shard_append_kind kind;
	GByteArray *in_flight;
	bool appending;
	/**
	 * The append in flight may have been stored, so the stream is read
	 * before it is sent again.
	 */
	bool in_doubt;
	uint64_t next_append_ms;
	/** Time of the log's last answer and of the last failed call. */
	uint64_t last_answer_ms;
	uint64_t last_failure_ms;
	/** Time of the last claim check, or of the start of a release. */
	uint64_t last_check_ms;
	uint64_t last_tick_ms;
	/** The claim is unchecked since a pause of the process. */
	bool unverified;

	/** Parts (GByteArray) of the checkpoint that is being appended. */
	GPtrArray *parts;
	uint64_t parts_as_of;
	uint32_t parts_sent;
	/** A checkpoint is needed because the last one is stale or missing. */
	bool checkpoint_due;
	struct shard_refresh refresh;
	/** Old chunks (Briarplank__JobChunk) to append again. */
	GQueue refreshed_chunks;
	struct counter *appends;
	struct counter *takeovers;
	struct counter *append_bytes;
};

/**
 * Reads the part of the stream that the current step needs, at once or after
 * the read in flight.
 */
void shard_read(struct shard *shard);
/** Continues after the stream was read to its end; ok is false on failure. */
void shard_read_done(struct shard *shard, bool ok);
/** Updates ownership and the append in flight after records were applied. */
void shard_update_folded(struct shard *shard);
/**
 * Sends the next append. Reads the stream first if the shard is being opened or
 * an append is in doubt, and arms the timer if the next append is not due.
 */
void shard_send_next(struct shard *shard);
/** Packs the next checkpoint part or the hint; NULL when none is due. */
GByteArray *shard_next_checkpoint_part(struct shard *shard, uint64_t now_ms);

/** Packs the next old chunk to append again; NULL when there is none. */
GByteArray *shard_next_refreshed_chunk(struct shard *shard);
/** Searches for old records and reads the next of them. */
void shard_refresh_tick(struct shard *shard, uint64_t now_ms);
/**
 * Cancels the search for old records and drops old chunks that wait to be
 * appended again.
 */
void shard_refresh_cancel(struct shard *shard);

#endif
