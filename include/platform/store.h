/**
 * The one client of the platform's store: a log with topics and partitions.
 *
 * A result says what is known: STORE_REFUSED proves that nothing was done,
 * STORE_UNKNOWN that the call may have been, or may yet be, carried out.
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
	/** Nothing was done; the store is busy, full or can't be reached. */
	STORE_REFUSED,
	/** No answer came, or none that could be read. */
	STORE_UNKNOWN,
	/** The producer's sequence number doesn't follow the last one. */
	STORE_OUT_OF_SEQUENCE,
	/** The producer was fenced by a higher epoch. */
	STORE_FENCED,
	/** The records asked for have expired. */
	STORE_EXPIRED,
	/** The store answered that the call is wrong. */
	STORE_INVALID,
};

/** Names a status for logs and metrics. */
const char *store_status_name(enum store_status status);

/** What became of a call, for the choice of the next one's way. */
struct store_call_end {
	/** The node that passed it on, or NULL. */
	const char *via;
	/** The store answered and did not turn it away. */
	bool answered;
	/** It was turned away for the rate of calls. */
	bool throttled;
	/** Loop time at which it was sent, in ms. */
	uint64_t sent_ms;
};

/** Which way calls take; decided outside of the client. */
struct store_route {
	/**
	 * The next call's way: the IP:PORT of a node that passes it on, or NULL
	 * for the store's own address. Valid until the next call.
	 */
	const char *(*via)(void *ctx);
	/** A call ended. */
	void (*ended)(void *ctx, const struct store_call_end *end);
};

struct store_options {
	uv_loop_t *loop;
	/** IP:PORT. */
	const char *address;
	struct metrics *metrics;
	/** NULL to call the store itself, always. */
	const struct store_route *route;
	void *route_ctx;
};

struct store *store_create(const struct store_options *options);
void store_destroy(struct store *store);

/** Tells whether the last call that ended was answered. */
bool store_reachable(const struct store *store);

/** Outcome of an append. */
struct store_append_result {
	enum store_status status;
	/** Offset of the first record (STORE_OK). */
	uint64_t first_offset;
	/** Offset behind the last record (STORE_OK). */
	uint64_t end_offset;
	/** The sequence number that would follow (STORE_OUT_OF_SEQUENCE). */
	uint64_t expected_sequence;
};

/** An append of framed records, all or none. */
struct store_append {
	const char *topic;
	int partition;
	/** Records, each framed by store_frame_record(); taken over. */
	GString *records;
	/** Identity of the writer, for exactly one effect; NULL for none. */
	const char *producer;
	uint64_t epoch;
	uint64_t sequence;
	/** Time after which the call counts as unanswered, in ms. */
	uint32_t timeout_ms;
	void (*done)(void *ctx, const struct store_append_result *result);
	void *ctx;
};

void store_append(struct store *store, const struct store_append *append);

/** Adds a record with its length in front. */
void store_frame_record(GString *records, const void *data, size_t len);

/** Adds a record with a key to a keyed topic's buffer. */
void store_frame_keyed(GString *records, const char *key, const void *data,
		       size_t len);

struct store_record {
	uint64_t offset;
	/** Key in a keyed topic, else NULL. */
	const char *key;
	const char *data;
	size_t len;
};

/** Outcome of a read; records are valid during the callback. */
struct store_read_result {
	enum store_status status;
	const struct store_record *records;
	size_t records_nr;
	/** Offset behind the partition's last record (STORE_OK). */
	uint64_t end_offset;
	/** First offset still held (STORE_OK, STORE_EXPIRED). */
	uint64_t first_offset;
	/** Offset behind the last record that was read, readable or not. */
	uint64_t next_offset;
	/** A further page follows, after the last key (newest values). */
	bool more;
	/** Loop time at which the call was sent, in ms. */
	uint64_t sent_ms;
};

struct store_read {
	const char *topic;
	int partition;
	/** First offset wanted. */
	uint64_t from;
	/** Most bytes to return, in KiB. */
	unsigned max_kb;
	/** Time for which the store may wait for a record, in ms. */
	unsigned wait_ms;
	/** Time beyond the wait after which the call is unanswered, in ms. */
	uint32_t timeout_ms;
	/** Calls the store itself, whatever the route says. */
	bool direct;
	/** Key after which to go on (newest values); NULL for the start. */
	const char *after_key;
	void (*done)(void *ctx, const struct store_read_result *result);
	void *ctx;
};

/** Reads records from an offset on. */
void store_read(struct store *store, const struct store_read *read);

/**
 * Sends the reads that wait for an answer again, by the route's way of now: the
 * one that they took is lost.
 */
void store_resend_reads(struct store *store);

/** Reads a page of the newest value of each key of a keyed topic. */
void store_read_newest(struct store *store, const struct store_read *read);

/**
 * Parses the body of a read: offsets and records, which point into it, and keys
 * that the caller frees. The result's next_offset is the first one asked for,
 * and is moved behind the last whole record. False when it can't be a read's.
 */
bool store_parse_records(const char *body, size_t len, bool keyed,
			 struct store_read_result *result, GArray *records,
			 GPtrArray *keys);

/** The topics that the platform itself writes. */
extern const char store_topic_operator[];
extern const char store_topic_servers[];
/** Key of the configuration in the operator's topic. */
extern const char store_key_config[];

#endif
