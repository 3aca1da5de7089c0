/**
 * Clients and backend servers for the cases of the review, as threads with blocking
 * sockets on loopback, and the record of what they sent, answered and ran.
 */
#ifndef BRIARPLANK_REVIEW_HARNESS_H
#define BRIARPLANK_REVIEW_HARNESS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Exit statuses of a case. */
enum case_result {
	CASE_HELD = 0,
	CASE_BROKEN = 1,
	CASE_NOT_RUN = 2,
};

#define TEXT_BYTES 256
#define HEAD_BYTES 8192
#define BODY_BYTES 262144

/** A message that was read from a connection. */
struct message {
	/** Request line or status line, and header fields. */
	char head[HEAD_BYTES];
	char body[BODY_BYTES];
	size_t body_len;
	/** Status of an answer; 0 when no head came. */
	int status;
	/** The message came to its end as its framing tells it. */
	bool complete;
};

/** Bytes that were read from a connection and not used yet. */
struct conn {
	int fd;
	char bytes[65536];
	size_t len;
};

struct server;

/** A request at a server of this process. */
struct request {
	struct server *server;
	struct conn *conn;
	struct message message;
	char id[TEXT_BYTES];
	/** Value of Last-Event-Id; -1 without it. */
	long last_event;
};

/** A server of this process; fn answers one request of a connection after the other. */
struct server {
	const char *id;
	/** Zone in the list of servers; akl-a if NULL. */
	const char *zone;
	char address[TEXT_BYTES];
	void (*fn)(struct request *request);
};

/** Returns the steady clock in ms. */
uint64_t clock_ms(void);
void sleep_ms(uint64_t ms);

/** Opens record.txt in the folder RECORD_DIR. */
void record_open(void);
/** Writes a line with the time since record_open(). */
void record(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/** Ends the process with CASE_NOT_RUN. */
void not_run(const char *fmt, ...) __attribute__((format(printf, 1, 2)));

/** Copies a header field into value; returns whether the message has it. */
bool head_field(const struct message *message, const char *name, char *value,
		size_t len);

/** Connects to IP:PORT; returns false on failure. */
bool conn_open(struct conn *conn, const char *address);
void conn_close(struct conn *conn);
bool conn_send(struct conn *conn, const char *bytes, size_t len);
bool conn_printf(struct conn *conn, const char *fmt, ...)
	__attribute__((format(printf, 2, 3)));
/** Tells whether the peer has closed the connection. */
bool conn_ended(struct conn *conn);
/** Reads an answer for at most wait_ms; returns whether it is complete. */
bool conn_read_answer(struct conn *conn, struct message *answer,
		      uint64_t wait_ms);

/** Sends one request on a connection of its own; returns the status or 0. */
int call(const char *address, const char *method, const char *target,
	 const char *fields, const char *body, struct message *answer,
	 uint64_t wait_ms);

/** Listens on a free loopback port and serves each connection in a thread. */
void server_start(struct server *server);

/** Writes the newest value of a key to the platform's store, as its operator does. */
void store_put(const char *store, const char *topic, const char *key,
	       const char *value);
/** Lists a ready server in the platform's store. */
void store_list(const char *store, const struct server *server,
		const char *service, unsigned slots);
/** Waits until a gateway's readiness check succeeds. */
void wait_ready(const char *address);

/** Sends a chunk of an answer with Transfer-Encoding: chunked. */
bool send_chunk(struct conn *conn, const char *text);
/** Sends one event of a stream as a chunk. */
bool send_event(struct conn *conn, const char *id, long event);
/** Sends the head of a signed stream. */
bool send_stream_head(struct request *request);

/** Tells whether the disruption is wanted (TROUBLE is not 0). */
bool has_trouble(void);

#endif
