/**
 * IPv4 addresses with a port, as text, for sockets, and as one number.
 */
#ifndef BRIARPLANK_NET_ADDRESS_H
#define BRIARPLANK_NET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

/** Reads IP:PORT, both numeric; false for any other text. */
bool address_parse(const char *text, struct sockaddr_in *addr);

/** Writes IP:PORT; the caller frees the text. */
char *address_text(const struct sockaddr_in *addr);

/** One number for an address: never 0 for one that can be sent to. */
uint64_t address_pack(const struct sockaddr_in *addr);
struct sockaddr_in address_unpack(uint64_t packed);

/** The same host, another port. */
uint64_t address_with_port(uint64_t packed, uint32_t port);

#endif
