/**
 * TCP peers that send given bytes, well formed or not, for contract tests.
 */
#ifndef BRIARPLANK_TESTS_RAW_PEER_H
#define BRIARPLANK_TESTS_RAW_PEER_H

#include <stdbool.h>
#include <glib.h>
#include <uv.h>

/** What a raw server does after its bytes. */
enum raw_then {
	RAW_HOLD,
	RAW_CLOSE,
	RAW_RESET,
};

struct raw_server;
struct raw_client;

/** Answers the first bytes of each connection with the given bytes. */
struct raw_server *raw_server_create(uv_loop_t *loop, const char *bytes,
				     enum raw_then then);
const char *raw_server_address(const struct raw_server *server);
/** All that came in, over all connections. */
const GString *raw_server_received(const struct raw_server *server);
void raw_server_destroy(struct raw_server *server);

/** Connects to IP:PORT; bytes may be sent at once. */
struct raw_client *raw_client_create(uv_loop_t *loop, const char *address);
void raw_client_send(struct raw_client *client, const char *bytes, size_t len);
/** Sends a FIN and goes on reading. */
void raw_client_half_close(struct raw_client *client);
/** Stops or goes on reading. */
void raw_client_read(struct raw_client *client, bool read);
/** All that came in. */
GString *raw_client_received(struct raw_client *client);
/** Tells whether the other side ended the connection. */
bool raw_client_ended(const struct raw_client *client);
/** Closes the connection, by a reset if so asked. */
void raw_client_destroy(struct raw_client *client, bool reset);

#endif
