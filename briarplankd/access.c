#include <string.h>

#include <glib.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include "briarplankd/access.h"
#include "common/hash.h"

#define BEARER "Bearer "
#define DIGEST_HEX_BYTES (2 * SHA256_DIGEST_LENGTH)
/* Failures answered at once, and a second in the long run. */
#define FAILURES_BURST 20
#define FAILURES_PER_S 5

static bool digest_equals(const char *configured, const char *hex)
{
	char lower[DIGEST_HEX_BYTES];
	size_t i;

	if (strlen(configured) != DIGEST_HEX_BYTES)
		return false;
	for (i = 0; i < DIGEST_HEX_BYTES; i++)
		lower[i] = g_ascii_tolower(configured[i]);
	return !CRYPTO_memcmp(lower, hex, DIGEST_HEX_BYTES);
}

const struct access_settings *access_find(
	const struct daemon_settings *settings, const char *authorization)
{
	const struct access_settings *access = settings->access.items;
	const struct access_settings *found = NULL;
	uint8_t digest[SHA256_DIGEST_LENGTH];
	char hex[DIGEST_HEX_BYTES + 1];
	const char *key;
	size_t i;

	if (!authorization ||
	    g_ascii_strncasecmp(authorization, BEARER, strlen(BEARER)) != 0)
		return NULL;
	key = authorization + strlen(BEARER);
	SHA256((const uint8_t *)key, strlen(key), digest);
	hash_to_hex(digest, sizeof(digest), hex);
	/* All entries are looked at, whichever matches. */
	for (i = 0; i < settings->access.nr; i++) {
		if (digest_equals(access[i].key_sha256, hex))
			found = &access[i];
	}
	return found;
}

bool access_failure_allowed(struct access_failures *failures, uint64_t now_ms)
{
	double gained =
		(double)(now_ms - failures->counted_ms) * FAILURES_PER_S / 1000;

	if (!failures->counted_ms)
		gained = FAILURES_BURST;
	failures->left = MIN(failures->left + gained, FAILURES_BURST);
	failures->counted_ms = now_ms;
	if (failures->left < 1)
		return false;
	failures->left -= 1;
	return true;
}
