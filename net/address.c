#include <arpa/inet.h>
#include <string.h>

#include <glib.h>

#include "net/address.h"

bool address_is_destination(const char *text)
{
	struct sockaddr_in addr;
	uint32_t host;

	if (!address_parse(text, &addr) || !addr.sin_port)
		return false;
	host = ntohl(addr.sin_addr.s_addr);
	return host != INADDR_ANY && host != INADDR_BROADCAST &&
	       !IN_MULTICAST(host);
}

bool address_parse(const char *text, struct sockaddr_in *addr)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];
	char *end;
	guint64 port;

	/* g_ascii_strtoull() would skip spaces and take a sign. */
	if (!colon || (size_t)(colon - text) >= sizeof(host) ||
	    !g_ascii_isdigit(colon[1]))
		return false;
	memcpy(host, text, colon - text);
	host[colon - text] = '\0';
	port = g_ascii_strtoull(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port > UINT16_MAX)
		return false;
	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	addr->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, host, &addr->sin_addr) == 1;
}

char *address_format(const struct sockaddr_in *addr)
{
	char host[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &addr->sin_addr, host, sizeof(host));
	return g_strdup_printf("%s:%u", host, ntohs(addr->sin_port));
}

uint64_t address_pack(const struct sockaddr_in *addr)
{
	return (uint64_t)ntohl(addr->sin_addr.s_addr) << 16 |
	       ntohs(addr->sin_port);
}

struct sockaddr_in address_unpack(uint64_t packed)
{
	struct sockaddr_in addr = {
		.sin_family = AF_INET,
		.sin_addr.s_addr = htonl((uint32_t)(packed >> 16)),
		.sin_port = htons((uint16_t)(packed & UINT16_MAX)),
	};

	return addr;
}

uint64_t address_with_port(uint64_t packed, uint32_t port)
{
	return (packed & ~(uint64_t)UINT16_MAX) | (port & UINT16_MAX);
}
