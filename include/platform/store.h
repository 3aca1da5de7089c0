/**
 * Client of the platform's store, a log with topics and partitions.
 *
 * Each call ends with a status. STORE_REFUSED means that nothing was done, and
 * STORE_UNKNOWN that the call may have been or may still be carried out.
 */
#ifndef BRIARPLANK_PLATFORM_STORE_H
#define BRIARPLANK_PLATFORM_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <glib.h>
#include <uv.h>

#include "common/metrics.h"

struct store;

enum store_status {
	STORE_OK,
	/** Nothing was done: the store is busy, full or unreachable. */
	STORE_REFUSED,
	/** No answer was received, or a malformed one. */
	STORE_UNKNOWN,
	/**
	 * The producer's sequence number isn't the one that the store expects.
	 */
	STORE_OUT_OF_SEQUENCE,
	/** The producer was fenced by one with a higher epoch. */
	STORE_FENCED,
	/** The requested records have expired. */
	STORE_EXPIRED,
	/** The store rejected the call as invalid. */
	STORE_INVALID,
};

/** Returns the name of a status for logs and metrics. */
const char *store_status_name(enum store_status status);

/** Outcome of a call, which the route uses to choose the next call's path. */
struct store_call_outcome {
	/** IP:PORT of the relay, or NULL for a direct call. */
	const char *via;
	/** The store answered and did not refuse the call. */
	bool answered;
	/**
	 * The store refused the call because the rate of calls was too high.
	 */
	bool throttled;
	/** Loop time at which the call was sent, in ms. */
	uint64_t sent_ms;
};

/** Callbacks that choose whether calls go directly or through a relay. */
struct store_route {
	/**
	 * Returns the IP:PORT of the relay for the next call, or NULL to call
	 * the store directly. The text is valid until the next call.
	 */
	const char *(*via)(void *ctx);
	/** Called when a call has ended. */
	void (*ended)(void *ctx, const struct store_call_outcome *end);
};

struct store_options {
	uv_loop_t *loop;
	/** IP:PORT of the store; copied. */
	const char *address;
	struct metrics *metrics;
	/** Maximum size of the records of one append, in bytes. */
	size_t call_bytes;
	/**
	 * Callbacks that choose the path of each call; NULL if all calls go
	 * directly to the store.
	 */
	const struct store_route *route;
	void *route_ctx;
};

/** Creates a client. Connections are opened as calls need them. */
struct store *store_create(const struct store_options *options);

/**
 * Closes all connections and frees the client; drops calls without a callback.
 */
void store_destroy(struct store *store);

/**
 * Cancels the reads with this ctx whose answers have not begun to arrive; their
 * callbacks are not called. Returns whether there were any.
 */
bool store_cancel_reads(struct store *store, void *ctx);

/** Tells whether the store answered the last call that ended. */
bool store_reachable(const struct store *store);

/** Outcome of an append of records. */
struct store_append_result {
	enum store_status status;
	/** Offset of the first appended record; set for STORE_OK. */
	uint64_t first_offset;
	/** Offset after the last appended record; set for STORE_OK. */
	uint64_t end_offset;
	/**
	 * Sequence number that the store expects; set for
	 * STORE_OUT_OF_SEQUENCE.
	 */
	uint64_t expected_sequence;
};

/** An atomic append of framed records: all of them or none. */
struct store_append {
	const char *topic;
	int partition;
	/** Records, each added by store_add_record(); taken over. */
	GString *records;
	/** Producer id for an idempotent append; NULL for none. */
	const char *producer;
	uint64_t epoch;
	uint64_t sequence;
	/** Timeout of the call, in ms. */
	uint32_t timeout_ms;
	void (*done)(void *ctx, const struct store_append_result *result);
	void *ctx;
};

/** Starts an append of records to a partition. */
void store_append(struct store *store, const struct store_append *append);

/** Adds a record to a buffer, with its length in front. */
void store_add_record(GString *records, const void *data, size_t len);

/** Adds a record with a key to the buffer for a keyed topic. */
void store_add_keyed_record(GString *records, const char *key, const void *data,
			    size_t len);

struct store_record {
	uint64_t offset;
	/** Key of the record in a keyed topic; NULL in other topics. */
	const char *key;
	const char *data;
	size_t len;
};

/** Outcome of a read. Its records are valid during the callback only. */
struct store_read_result {
	enum store_status status;
	const struct store_record *records;
	size_t records_nr;
	/** Offset after the partition's last record; set for STORE_OK. */
	uint64_t end_offset;
	/**
	 * First offset of the partition that the store still holds; set for
	 * STORE_OK and STORE_EXPIRED.
	 */
	uint64_t first_offset;
	/** Offset after the last record that was received, malformed or not. */
	uint64_t next_offset;
	/** More pages follow after the last key; set by store_read_newest(). */
	bool more;
	/** Loop time at which the call was sent, in ms. */
	uint64_t sent_ms;
};

struct store_read {
	const char *topic;
	int partition;
	/** Offset of the first record to read. */
	uint64_t from;
	/** Maximum size of the answer, in KiB. */
	unsigned max_kb;
	/** Time for which the store may hold the read until a record comes, in
	 * ms. */
	unsigned wait_ms;
	/** Timeout of the call, beyond wait_ms, in ms. */
	uint32_t timeout_ms;
	/** Calls the store directly, without asking the route. */
	bool direct;
	/**
	 * Key after which the page of store_read_newest() starts, or NULL for
	 * the first page.
	 */
	const char *after_key;
	void (*done)(void *ctx, const struct store_read_result *result);
	void *ctx;
};

/** Starts a read of the records from an offset on. */
void store_read(struct store *store, const struct store_read *read);

/**
 * Sends all unanswered reads again on the path that the route chooses now,
 * except direct ones. To be called when the path that they took is lost.
 */
void store_resend_reads(struct store *store);

/** Starts a read of one page of the newest values by key of a keyed topic. */
void store_read_newest(struct store *store, const struct store_read *read);

/**
 * Parses the body of a read's answer. The records point into it; keys gets the
 * keys, which the caller frees. The caller sets the result's next_offset to the
 * requested offset, and it is advanced past the last complete record. Returns
 * false for a body that no read can have.
 */
bool store_parse_records(const char *body, size_t len, bool keyed,
			 struct store_read_result *result, GArray *records,
			 GPtrArray *keys);

/** Names of the topics that the platform writes. */
extern const char store_topic_operator[];
extern const char store_topic_servers[];
/** Key of the configuration in the operator's topic. */
extern const char store_key_config[];

#endif
