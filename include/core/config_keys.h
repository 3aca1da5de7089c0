/**
 * The keys of the configuration: their types, ranges and meaning.
 *
 * Ranges are part of the fold, since a record out of range is void on every
 * node. A later version may add keys, but never changes a key's range.
 */
#ifndef BRIARPLANK_CORE_CONFIG_KEYS_H
#define BRIARPLANK_CORE_CONFIG_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum config_key_type {
	CONFIG_KEY_BOOL,
	CONFIG_KEY_INT,
	CONFIG_KEY_TEXT,
	CONFIG_KEY_CHOICE,
};

/** One key. The table ends with an entry without a pattern. */
struct config_key {
	/** Dotted path; "*" stands for one name, as in "service.*.timeout_ms". */
	const char *pattern;
	enum config_key_type type;
	int64_t min;
	int64_t max;
	const char *unit;
	/** Value in force without a record, as JSON text; NULL for none. */
	const char *fallback;
	/** NULL-terminated texts of a CONFIG_KEY_CHOICE. */
	const char *const *choices;
	/** One line for the reference. */
	const char *help;
};

enum config_check {
	CONFIG_CHECK_GOOD,
	/** No key of this version: kept by the fold, refused from operators. */
	CONFIG_CHECK_UNKNOWN_KEY,
	/** The key or the value is malformed or out of range. */
	CONFIG_CHECK_BAD,
};

/** All keys, sorted by pattern. */
extern const struct config_key config_keys[];

/** Finds the entry of a key, or NULL. */
const struct config_key *config_key_find(const char *key);

/**
 * Checks a value, which is JSON text, or empty to remove the key. The error
 * message names the rule and the bound.
 */
enum config_check config_key_check(const char *key, const char *value);

/**
 * Tells whether a name can be a part of a key: 1 to 64 letters, digits, dashes
 * or underscores.
 */
bool config_name_valid(const char *name, size_t len);

#endif
