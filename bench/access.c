/*
 * Measures the time to look up a caller by its bearer key, for several numbers
 * of callers.
 */
#include <stdio.h>
#include <string.h>

#include <glib.h>
#include <openssl/sha.h>

#include "briarplankd/access.h"
#include "common/hash.h"

#define ROUNDS 100000
#define NS_PER_US 1000

static void add_caller(struct access_settings *access, unsigned nr)
{
	char *key = g_strdup_printf("key-%u", nr);
	uint8_t digest[SHA256_DIGEST_LENGTH];

	SHA256((const uint8_t *)key, strlen(key), digest);
	access->name = key;
	access->key_sha256 = g_malloc(2 * sizeof(digest) + 1);
	hash_to_hex(digest, sizeof(digest), access->key_sha256);
}

static void measure(unsigned callers)
{
	struct access_settings *list = g_new0(struct access_settings, callers);
	struct daemon_settings settings = { 0 };
	struct access_index *index;
	unsigned found = 0;
	gint64 start;
	unsigned i;

	for (i = 0; i < callers; i++)
		add_caller(&list[i], i);
	settings.access.items = list;
	settings.access.nr = callers;
	index = access_index_create(&settings);
	start = g_get_monotonic_time();
	for (i = 0; i < ROUNDS; i++) {
		char field[32];

		snprintf(field, sizeof(field), "Bearer key-%u", i % callers);
		found += access_find(index, field) != NULL;
	}
	printf("callers_%u ns=%.0f found=%u\n", callers,
	       (double)(g_get_monotonic_time() - start) * NS_PER_US / ROUNDS,
	       found);
	access_index_destroy(index);
	for (i = 0; i < callers; i++) {
		g_free(list[i].name);
		g_free(list[i].key_sha256);
	}
	g_free(list);
}

int main(void)
{
	measure(100);
	measure(1000);
	measure(7300);
	return 0;
}
