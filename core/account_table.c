#include <string.h>
#include <glib.h>

#include "common/error.h"
#include "common/hash.h"
#include "core/account_table.h"

/* Bytes of the secret under which keys are hashed. */
#define SECRET_BYTES 32

struct account_table {
	/* Array of struct account *. */
	GPtrArray *accounts;
	GHashTable *by_name;
	GHashTable *by_hash;
	/* Maps the digest of a key (GBytes) to its struct account *. */
	GHashTable *by_key;
	uint8_t secret[SECRET_BYTES];
};

static void account_free(gpointer data)
{
	struct account *account = data;

	g_free(account->name);
	g_free(account);
}

struct account_table *account_table_create(void)
{
	struct account_table *table = g_new0(struct account_table, 1);
	size_t i;

	table->accounts = g_ptr_array_new_with_free_func(account_free);
	table->by_name = g_hash_table_new(g_str_hash, g_str_equal);
	table->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	table->by_key =
		g_hash_table_new_full(g_bytes_hash, g_bytes_equal,
				      (GDestroyNotify)g_bytes_unref, NULL);
	for (i = 0; i < SECRET_BYTES; i++)
		table->secret[i] = (uint8_t)g_random_int();
	return table;
}

void account_table_destroy(struct account_table *table)
{
	if (!table)
		return;
	g_hash_table_destroy(table->by_key);
	g_hash_table_destroy(table->by_hash);
	g_hash_table_destroy(table->by_name);
	g_ptr_array_free(table->accounts, TRUE);
	g_free(table);
}

uint64_t account_hash(const char *name)
{
	return hash_string(name, 0) | 1;
}

/* A name becomes the value of a header field of requests. */
static bool is_valid_name(const char *name)
{
	const char *at;

	for (at = name; *at; at++) {
		if (!g_ascii_isgraph(*at) && !(*at & 0x80))
			return false;
	}
	return at != name;
}

struct account *account_table_add(struct account_table *table,
				  const struct account_info *info)
{
	struct account *account;

	if (!is_valid_name(info->name)) {
		error_set("the name of account %u is missing or has characters "
			  "that aren't allowed",
			  table->accounts->len);
		return NULL;
	}
	if (g_hash_table_contains(table->by_name, info->name)) {
		error_set("two accounts have the name %s", info->name);
		return NULL;
	}
	account = g_new0(struct account, 1);
	account->name = g_strdup(info->name);
	account->hash = account_hash(info->name);
	account->rank = info->rank;
	account->rate = info->rate;
	account->burst = MAX(info->burst, 1);
	g_ptr_array_add(table->accounts, account);
	g_hash_table_insert(table->by_name, account->name, account);
	g_hash_table_insert(table->by_hash, &account->hash, account);
	return account;
}

/* The time that a lookup takes says nothing about a key, as the digest of a guess
 * can't be foretold without the secret. */
static GBytes *digest_of(const struct account_table *table, const char *key)
{
	GHmac *hmac =
		g_hmac_new(G_CHECKSUM_SHA256, table->secret, SECRET_BYTES);
	guint8 digest[32];
	gsize len = sizeof(digest);

	g_hmac_update(hmac, (const guchar *)key, -1);
	g_hmac_get_digest(hmac, digest, &len);
	g_hmac_unref(hmac);
	return g_bytes_new(digest, len);
}

bool account_table_add_key(struct account_table *table, struct account *account,
			   const char *key)
{
	GBytes *digest = digest_of(table, key);
	const struct account *owner =
		g_hash_table_lookup(table->by_key, digest);

	if (!*key || (owner && owner != account)) {
		g_bytes_unref(digest);
		if (owner)
			error_set("accounts %s and %s have the same key",
				  owner->name, account->name);
		else
			error_set("account %s has an empty key", account->name);
		return false;
	}
	account->keys_nr += !owner;
	g_hash_table_replace(table->by_key, digest, account);
	return true;
}

const struct account *account_table_find(const struct account_table *table,
					 const char *key)
{
	GBytes *digest = digest_of(table, key);
	const struct account *account =
		g_hash_table_lookup(table->by_key, digest);

	g_bytes_unref(digest);
	return account;
}

const struct account *account_table_find_name(const struct account_table *table,
					      const char *name)
{
	return g_hash_table_lookup(table->by_name, name);
}

const struct account *account_table_find_hash(const struct account_table *table,
					      uint64_t hash)
{
	return g_hash_table_lookup(table->by_hash, &hash);
}

unsigned account_table_nr(const struct account_table *table)
{
	return table->accounts->len;
}

void account_table_each(const struct account_table *table,
			void (*fn)(void *ctx, const struct account *account),
			void *ctx)
{
	guint i;

	for (i = 0; i < table->accounts->len; i++)
		fn(ctx, g_ptr_array_index(table->accounts, i));
}
