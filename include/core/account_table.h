/**
 * The client accounts of a configuration, found by the keys of their callers.
 *
 * Keys are kept and compared only as hashes under a secret of this process.
 */
#ifndef BRIARPLANK_CORE_ACCOUNT_TABLE_H
#define BRIARPLANK_CORE_ACCOUNT_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct account {
	char *name;
	/** Hash of the name; never 0. */
	uint64_t hash;
	/** Rank before other accounts; 0 is the highest. */
	int rank;
	/** Requests a second that all entries together accept; 0 for no limit. */
	double rate;
	/** Requests beyond the rate that may come at once; at least 1. */
	double burst;
	/** Number of keys. */
	unsigned keys_nr;
};

struct account_table;

struct account_table *account_table_create(void);
void account_table_destroy(struct account_table *table);

/** Description of an account. The name is copied. */
struct account_info {
	const char *name;
	int rank;
	double rate;
	double burst;
};

/**
 * Adds an account. Returns NULL with an error message if its name is empty, has
 * characters that a header field can't hold, or is in the table already.
 */
struct account *account_table_add(struct account_table *table,
				  const struct account_info *info);

/**
 * Adds a key of an account. Returns false with an error message if the key is empty
 * or another account has it.
 */
bool account_table_add_key(struct account_table *table, struct account *account,
			   const char *key);

/** Returns the account with a key, or NULL. */
const struct account *account_table_find(const struct account_table *table,
					 const char *key);

/** Returns the account with a name, or NULL. */
const struct account *account_table_find_name(const struct account_table *table,
					      const char *name);

/** Returns the account whose name has a hash, or NULL. */
const struct account *account_table_find_hash(const struct account_table *table,
					      uint64_t hash);

unsigned account_table_nr(const struct account_table *table);

/** Calls fn for each account, in the order in which they were added. */
void account_table_each(const struct account_table *table,
			void (*fn)(void *ctx, const struct account *account),
			void *ctx);

/** Returns the hash under which an account is known to other entries. */
uint64_t account_hash(const char *name);

#endif
