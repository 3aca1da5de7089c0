/**
 * TCP peers that send given bytes, valid HTTP or not, for tests of adapters.
 */
#ifndef BRIARPLANK_TESTS_RAW_PEER_H
#define BRIARPLANK_TESTS_RAW_PEER_H

#include <stdbool.h>
#include <stdint.h>
#include <glib.h>
#include <uv.h>

/** Action of a raw server on a connection after sending its bytes. */
enum raw_close_mode {
	RAW_KEEP_OPEN,
	RAW_CLOSE,
	RAW_RESET,
	/** Sends a FIN and reads on. */
	RAW_FINISH,
	/** Sends the last line of its bytes again and again until the peer
	 * closes. */
	RAW_REPEAT,
	/** Sends a byte now and then until the peer closes. */
	RAW_TRICKLE,
	/** Answers each request, over all connections, with the next of the replies into
	 * which form feeds divide its bytes; the last one is repeated. What follows a
	 * vertical tab in a reply is sent RAW_LATE_MS later. */
	RAW_REPLIES,
};

#define RAW_LATE_MS 400

struct raw_server;
struct raw_client;

/** Creates a server that sends the bytes after a connection's first read. */
struct raw_server *raw_server_create(uv_loop_t *loop, const char *bytes,
				     enum raw_close_mode then);
const char *raw_server_address(const struct raw_server *server);
/** Returns all bytes received over all connections. */
const GString *raw_server_received(const struct raw_server *server);
/** Returns the number of connections that were open at least once, and of those
 * that are open now. */
unsigned raw_server_accepted(const struct raw_server *server);
unsigned raw_server_open(const struct raw_server *server);
/** Returns the number of requests that got a reply of RAW_REPLIES. */
unsigned raw_server_replies(const struct raw_server *server);
/** Returns the number of bytes that the server's repetitions wrote. */
uint64_t raw_server_repeated(const struct raw_server *server);
void raw_server_destroy(struct raw_server *server);

/** Connects to IP:PORT; bytes sent before the connection is up are queued. */
struct raw_client *raw_client_create(uv_loop_t *loop, const char *address);
void raw_client_send(struct raw_client *client, const char *bytes, size_t len);
/** Sends a FIN and keeps reading. */
void raw_client_half_close(struct raw_client *client);
/** Resumes or pauses reading. */
void raw_client_read(struct raw_client *client, bool read);
/** Returns all bytes received. */
GString *raw_client_received(struct raw_client *client);
/** Returns whether the connection failed or the peer closed it. */
bool raw_client_ended(const struct raw_client *client);
/** Closes the connection, with a TCP reset if reset is set. */
void raw_client_destroy(struct raw_client *client, bool reset);

#endif
