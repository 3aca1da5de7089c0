/**
 * Lets only holders of the fleet's key pair connect to the bus.
 *
 * CURVE alone accepts any client that knows the server's public key. libzmq
 * asks this module about each client (RFC 27, ZAP) before the first message.
 */
#ifndef BRIARPLANKD_BUS_AUTH_H
#define BRIARPLANKD_BUS_AUTH_H

#include <stdbool.h>
#include <uv.h>

#include "common/metrics.h"

/** Domain that the bound socket must name. */
#define BUS_AUTH_DOMAIN "briarplank"

/** Bytes of a key as Z85 text, without the end mark. */
#define BUS_KEY_TEXT_BYTES 40

struct bus_auth;

/** Tells whether both texts are keys and belong together; sets the error. */
bool bus_auth_check_keys(const char *public_key, const char *secret_key);

/** Tells whether a text is a public key; sets the error. */
bool bus_auth_check_public(const char *public_key);

/**
 * Answers for a ZeroMQ context; must exist before sockets are bound. The other
 * key is let in as well, unless it is NULL.
 */
struct bus_auth *bus_auth_create(void *zmq, uv_loop_t *loop,
				 const char *public_key, const char *other_key,
				 struct metrics *metrics);

/** Closes the socket in the loop's next turn, and then frees the module. */
void bus_auth_destroy(struct bus_auth *auth);

#endif
