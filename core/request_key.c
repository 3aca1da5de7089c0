#include <string.h>
#include <glib.h>

#include "core/request_key.h"

/* This bit separates the keys of requests from those of parts of prompts, whose
 * hash callers can aim at any value. */
#define REQUEST_KEY_BIT (1ULL << 63)

/* Adds a field with its length, so that no two identities have the same bytes. */
static void add_field(GChecksum *hash, const char *data, size_t len)
{
	uint64_t bytes = len;

	g_checksum_update(hash, (const guchar *)&bytes, sizeof(bytes));
	if (len)
		g_checksum_update(hash, (const guchar *)data, (gssize)len);
}

static void add_text(GChecksum *hash, const char *text)
{
	add_field(hash, text, text ? strlen(text) : 0);
}

uint64_t request_key(const struct request_identity *identity)
{
	GChecksum *hash = g_checksum_new(G_CHECKSUM_SHA256);
	guint8 digest[32];
	gsize len = sizeof(digest);
	uint64_t key;

	add_text(hash, identity->method);
	add_text(hash, identity->host);
	add_text(hash, identity->target);
	add_text(hash, identity->account);
	add_field(hash, identity->body, identity->body_len);
	g_checksum_get_digest(hash, digest, &len);
	g_checksum_free(hash);
	memcpy(&key, digest, sizeof(key));
	return GUINT64_FROM_BE(key) | REQUEST_KEY_BIT;
}

bool is_request_key(uint64_t key)
{
	return key & REQUEST_KEY_BIT;
}

uint64_t prompt_part_key(uint64_t hash)
{
	return hash & ~REQUEST_KEY_BIT;
}
