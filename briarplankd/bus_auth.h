/**
 * Admits only holders of the fleet's key pair to the bus.
 *
 * CURVE alone accepts any client that knows the server's public key. libzmq
 * therefore asks this module to authenticate each client (ZAP, ZeroMQ RFC 27)
 * before its first message.
 */
#ifndef BRIARPLANKD_BUS_AUTH_H
#define BRIARPLANKD_BUS_AUTH_H

#include <stdbool.h>
#include <uv.h>

#include "common/metrics.h"

/** ZAP domain to set on the listening socket. */
#define BUS_AUTH_DOMAIN "briarplank"

/** Length of a key as Z85 text, without the terminating NUL. */
#define BUS_KEY_TEXT_BYTES 40

struct bus_auth;

/** Checks that the keys are valid and form a pair; sets the error if not. */
bool bus_auth_check_keys(const char *public_key, const char *secret_key);

/** Checks that a text is a valid public key; sets the error if not. */
bool bus_auth_check_public(const char *public_key);

/**
 * Authenticates the clients of a ZeroMQ context; must be created before sockets
 * are bound. Clients with other_key are admitted too, unless it is NULL.
 */
struct bus_auth *bus_auth_create(void *zmq, uv_loop_t *loop,
				 const char *public_key, const char *other_key,
				 struct metrics *metrics);

/** Closes the socket in the loop's next iteration and frees the module. */
void bus_auth_destroy(struct bus_auth *auth);

#endif
