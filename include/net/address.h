/**
 * Conversions of IPv4 addresses with a port: IP:PORT text, sockaddr_in, and a
 * packed 48-bit integer.
 */
#ifndef BRIARPLANK_NET_ADDRESS_H
#define BRIARPLANK_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** Parses numeric IP:PORT; returns false for any other text. */
bool address_parse(const char *text, struct sockaddr_in *addr);

/**
 * Parses numeric IP:PORT, also of IPv6, with or without brackets round the IP; returns false
 * for any other text.
 */
bool address_parse_any(const char *text, struct sockaddr_storage *addr);

/** Tells whether a text is numeric IP:PORT to which one can connect. */
bool address_is_destination(const char *text);

/** Returns IP:PORT, which the caller frees. */
char *address_format(const struct sockaddr_in *addr);

/**
 * Packs an address into an integer, which isn't 0 for any valid destination.
 */
uint64_t address_pack(const struct sockaddr_in *addr);

/** Inverse of address_pack(). */
struct sockaddr_in address_unpack(uint64_t packed);

/** Returns a packed address with its port replaced. */
uint64_t address_with_port(uint64_t packed, uint32_t port);

#endif
