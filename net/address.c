#include <arpa/inet.h>
#include <net/if.h>
#include <string.h>

#include <glib.h>
#include <uv.h>

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

/* Parses what follows the host of an address; returns false unless it is a port. */
static bool parse_port(const char *colon, in_port_t *port)
{
	char *end;
	guint64 number;

	/* g_ascii_strtoull() would skip spaces and take a sign. */
	if (*colon != ':' || !g_ascii_isdigit(colon[1]))
		return false;
	number = g_ascii_strtoull(colon + 1, &end, 10);
	*port = htons((uint16_t)number);
	return !*end && number <= UINT16_MAX;
}

/* Copies the host of an address, as inet_pton() ends it with the text. */
static bool copy_host(const char *from, const char *end, char *host,
		      size_t size)
{
	size_t len = end ? (size_t)(end - from) : size;

	if (len >= size)
		return false;
	memcpy(host, from, len);
	host[len] = '\0';
	return true;
}

bool address_parse(const char *text, struct sockaddr_in *addr)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN];

	memset(addr, 0, sizeof(*addr));
	addr->sin_family = AF_INET;
	return copy_host(text, colon, host, sizeof(host)) &&
	       parse_port(colon, &addr->sin_port) &&
	       inet_pton(AF_INET, host, &addr->sin_addr) == 1;
}

bool address_parse_any(const char *text, struct sockaddr_storage *addr)
{
	const char *colon = strrchr(text, ':');
	bool brackets = *text == '[' && colon && colon[-1] == ']';
	char host[INET6_ADDRSTRLEN + IF_NAMESIZE];
	in_port_t port;

	memset(addr, 0, sizeof(*addr));
	if (!copy_host(text + brackets, colon ? colon - brackets : NULL, host,
		       sizeof(host)) ||
	    !parse_port(colon, &port))
		return false;
	return !uv_ip4_addr(host, ntohs(port), (struct sockaddr_in *)addr) ||
	       !uv_ip6_addr(host, ntohs(port), (struct sockaddr_in6 *)addr);
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
